package proof

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"foxtaildock.example/bench/backend"
	"foxtaildock.example/bench/cluster"
	"foxtaildock.example/bench/link"
	"foxtaildock.example/bench/platformd"

	"foxtaildock.example/dock/pause"
)

func domainProofs() []Proof {
	return []Proof{
		domainProof("domain-out", "domain withdrawn for 8 s and restored", domainOnly),
		domainProof("domain-out-agent-cut", "withdrawn while its agent is cut from the platform", domainAgentCut),
		domainProof("domain-out-entry-cut", "withdrawn while an entry is cut from the platform", domainEntryCut),
		domainProof("domain-out-agent-paused", "agent paused across the withdrawal and resumed", domainAgentPaused),
		domainProof("domain-out-platform-down", "platform down right after the withdrawal", domainPlatformDown),
		{
			Name:     "domain-killed",
			Promise:  promiseOnce,
			Scenario: "all of a domain killed and back, two agents each",
			Shape:    cluster.Spec{Entries: 3, Agents: 6},
			Run:      killDomain,
		},
		{
			Name:     "domain-race",
			Promise:  promiseConfig,
			Scenario: "operators race withdraw and restore, last accepted holds",
			Shape:    usual(),
			Run:      raceDomain,
		},
	}
}

// around does harm before and after a withdrawal. It returns what ends the harm.
type around struct {
	before func(context.Context, *Bed, *cluster.Agent) error
	after  func(context.Context, *Bed, *cluster.Agent) error
	heal   func(context.Context, *Bed, *cluster.Agent) error
}

func nothing(context.Context, *Bed, *cluster.Agent) error { return nil }

var domainOnly = around{before: nothing, after: nothing, heal: nothing}

var domainAgentCut = around{
	before: func(ctx context.Context, b *Bed, a *cluster.Agent) error {
		return b.Cluster.SetLink(ctx, a.PlatformLink, link.State{Cut: true})
	},
	after: nothing,
	heal: func(ctx context.Context, b *Bed, a *cluster.Agent) error {
		return b.Cluster.SetLink(ctx, a.PlatformLink, link.State{})
	},
}

var domainEntryCut = around{
	before: func(ctx context.Context, b *Bed, _ *cluster.Agent) error {
		return b.Cluster.SetLink(ctx, b.Cluster.Entries[1].PlatformLink, link.State{Cut: true})
	},
	after: nothing,
	heal: func(ctx context.Context, b *Bed, _ *cluster.Agent) error {
		return b.Cluster.SetLink(ctx, b.Cluster.Entries[1].PlatformLink, link.State{})
	},
}

var domainAgentPaused = around{
	before: func(_ context.Context, _ *Bed, a *cluster.Agent) error { return a.Pause() },
	after: func(ctx context.Context, _ *Bed, a *cluster.Agent) error {
		pause.For(ctx, forceLimit+time.Second)
		return a.Resume()
	},
	heal: nothing,
}

var domainPlatformDown = around{
	before: nothing,
	after: func(ctx context.Context, b *Bed, _ *cluster.Agent) error {
		return b.Cluster.SetPlatformFaults(ctx, platformd.Faults{Down: true})
	},
	heal: func(ctx context.Context, b *Bed, _ *cluster.Agent) error {
		return b.Cluster.SetPlatformFaults(ctx, platformd.Faults{})
	},
}

// domainProof withdraws and restores the domain of the second agent.
func domainProof(name, scenario string, harm around) Proof {
	return Proof{
		Name:     name,
		Promise:  promiseDomain,
		Scenario: scenario,
		Shape:    usual(),
		Run: func(ctx context.Context, b *Bed) error {
			agent := b.Cluster.Agents[1]
			var out window
			err := b.RunUnderLoad(ctx, func(ctx context.Context) error {
				var err error
				out, err = b.withdrawAndRestore(ctx, agent, harm)
				return err
			})
			return errors.Join(err, b.noStarts(out, inDomain(agent.Domain)))
		},
	}
}

// withdrawAndRestore returns the window in which nothing may start in the domain.
func (b *Bed) withdrawAndRestore(ctx context.Context, agent *cluster.Agent, harm around) (window, error) {
	if err := harm.before(ctx, b, agent); err != nil {
		return window{}, err
	}
	accepted, err := b.Operators.SetDomain(ctx, agent.Domain, false)
	if err != nil {
		return window{}, err
	}
	if err := harm.after(ctx, b, agent); err != nil {
		return window{}, err
	}
	pause.For(ctx, outTime)
	if err := harm.heal(ctx, b, agent); err != nil {
		return window{}, err
	}
	out := window{from: accepted.Add(forceLimit), to: time.Now()}
	_, err = b.Operators.SetDomain(ctx, agent.Domain, true)
	return out, err
}

func inDomain(domain string) func(backend.Start) bool {
	return func(s backend.Start) bool { return s.Domain == domain }
}

func killDomain(ctx context.Context, b *Bed) error {
	domain := b.Cluster.Agents[0].Domain
	var members []*cluster.Agent
	for _, a := range b.Cluster.Agents {
		if a.Domain == domain {
			members = append(members, a)
		}
	}
	return b.RunUnderLoad(ctx, func(ctx context.Context) error {
		for _, a := range members {
			if err := errors.Join(a.Kill(), a.Backend.Kill()); err != nil {
				return err
			}
		}
		pause.For(ctx, outTime)
		for _, a := range members {
			if err := errors.Join(a.Backend.Start(), a.Start()); err != nil {
				return err
			}
		}
		return b.Cluster.WaitReady(ctx)
	})
}

// races is the number of races of withdraw and restore.
const races = 5

// raceDomain lets two operators race at two entries. After each race the last
// accepted state must be the same at both entries, and if that is withdrawn,
// nothing may start there any more.
func raceDomain(ctx context.Context, b *Bed) error {
	domain := b.Cluster.Agents[1].Domain
	var out window
	err := b.RunUnderLoad(ctx, func(ctx context.Context) error {
		for range races {
			if err := b.raceOnce(ctx, domain); err != nil {
				return err
			}
		}
		accepted, err := b.Operators.SetDomain(ctx, domain, false)
		if err != nil {
			return err
		}
		pause.For(ctx, outTime)
		out = window{from: accepted.Add(forceLimit), to: time.Now()}
		_, err = b.Operators.SetDomain(ctx, domain, true)
		return err
	})
	return errors.Join(err, b.noStarts(out, inDomain(domain)))
}

// raceOnce changes the domain both ways at once, each at an entry of its own, and
// compares what both entries say afterwards.
func (b *Bed) raceOnce(ctx context.Context, domain string) error {
	addresses := b.Cluster.OperatorAddresses()
	var wg sync.WaitGroup
	errs := make([]error, 2)
	for i := range errs {
		client, err := b.Operators.clientOf(addresses[i : i+1])
		if err != nil {
			return err
		}
		wg.Go(func() { _, errs[i] = setDomain(ctx, client, domain, i == 0) })
	}
	wg.Wait()
	if errs[0] != nil && errs[1] != nil {
		return fmt.Errorf("both racing changes were refused: %w", errors.Join(errs...))
	}
	pause.For(ctx, forceLimit)
	first, err := b.Operators.DomainState(ctx, domain)
	if err != nil {
		return err
	}
	second, err := b.Operators.DomainState(ctx, domain)
	if err != nil {
		return err
	}
	if first != second {
		return fmt.Errorf("one entry says %s, another %s", first, second)
	}
	return nil
}
