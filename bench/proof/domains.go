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
		domainProof("domain-out", "domain withdrawn for 8 s and restored", withdrawOnly),
		domainProof("domain-out-agent-cut", "domain withdrawn while its agent is cut off from the platform", withdrawAgentCut),
		domainProof("domain-out-entry-cut", "domain withdrawn while an entry is cut off from the platform", withdrawEntryCut),
		domainProof("domain-out-agent-paused", "agent paused before the withdrawal and resumed after it", withdrawAgentPaused),
		domainProof("domain-out-platform-down", "platform down from right after the withdrawal", withdrawPlatformDown),
		{
			Name:      "domain-killed",
			Guarantee: guaranteeOnce,
			Scenario:  "all agents and backend servers of a domain killed and restarted, two of each",
			Spec:      cluster.Spec{Entries: 3, Agents: 6},
			Run:       killDomain,
		},
		{
			Name:      "domain-race",
			Guarantee: guaranteeConfig,
			Scenario:  "two operators withdraw and restore concurrently, last accepted change holds",
			Spec:      defaultSpec(),
			Run:       raceDomain,
		},
	}
}

// withdrawalFaults injects faults around the withdrawal of an agent's domain: before it
// and after its acceptance. undo ends them before the domain is restored.
type withdrawalFaults struct {
	before func(context.Context, *Testbed, *cluster.Agent) error
	after  func(context.Context, *Testbed, *cluster.Agent) error
	undo   func(context.Context, *Testbed, *cluster.Agent) error
}

func noFault(context.Context, *Testbed, *cluster.Agent) error { return nil }

var withdrawOnly = withdrawalFaults{before: noFault, after: noFault, undo: noFault}

var withdrawAgentCut = withdrawalFaults{
	before: func(ctx context.Context, b *Testbed, a *cluster.Agent) error {
		return b.Cluster.SetLink(ctx, a.PlatformLink, link.State{Cut: true})
	},
	after: noFault,
	undo: func(ctx context.Context, b *Testbed, a *cluster.Agent) error {
		return b.Cluster.SetLink(ctx, a.PlatformLink, link.State{})
	},
}

var withdrawEntryCut = withdrawalFaults{
	before: func(ctx context.Context, b *Testbed, _ *cluster.Agent) error {
		return b.Cluster.SetLink(ctx, b.Cluster.Entries[1].PlatformLink, link.State{Cut: true})
	},
	after: noFault,
	undo: func(ctx context.Context, b *Testbed, _ *cluster.Agent) error {
		return b.Cluster.SetLink(ctx, b.Cluster.Entries[1].PlatformLink, link.State{})
	},
}

var withdrawAgentPaused = withdrawalFaults{
	before: func(_ context.Context, _ *Testbed, a *cluster.Agent) error { return a.Pause() },
	after: func(ctx context.Context, _ *Testbed, a *cluster.Agent) error {
		pause.For(ctx, propagationLimit+time.Second)
		return a.Resume()
	},
	undo: noFault,
}

var withdrawPlatformDown = withdrawalFaults{
	before: noFault,
	after: func(ctx context.Context, b *Testbed, _ *cluster.Agent) error {
		return b.Cluster.SetPlatformFaults(ctx, platformd.Faults{Down: true})
	},
	undo: func(ctx context.Context, b *Testbed, _ *cluster.Agent) error {
		return b.Cluster.SetPlatformFaults(ctx, platformd.Faults{})
	},
}

// domainProof returns a proof that withdraws and restores the domain of the second agent,
// with the faults around the withdrawal.
func domainProof(name, scenario string, faults withdrawalFaults) Proof {
	return Proof{
		Name:      name,
		Guarantee: guaranteeDomain,
		Scenario:  scenario,
		Spec:      defaultSpec(),
		Run: func(ctx context.Context, b *Testbed) error {
			agent := b.Cluster.Agents[1]
			var out window
			err := b.RunUnderLoad(ctx, func(ctx context.Context) error {
				var err error
				out, err = b.withdrawAndRestore(ctx, agent, faults)
				return err
			})
			return errors.Join(err, b.checkNoStarts(out, inDomain(agent.Domain)))
		},
	}
}

// withdrawAndRestore withdraws the domain of the agent for outOfServiceTime, with the
// faults around it. It returns the window in which no task may start in the domain.
func (b *Testbed) withdrawAndRestore(ctx context.Context, agent *cluster.Agent, faults withdrawalFaults) (window, error) {
	if err := faults.before(ctx, b, agent); err != nil {
		return window{}, err
	}
	accepted, err := b.Operators.SetDomain(ctx, agent.Domain, false)
	if err != nil {
		return window{}, err
	}
	if err := faults.after(ctx, b, agent); err != nil {
		return window{}, err
	}
	pause.For(ctx, outOfServiceTime)
	if err := faults.undo(ctx, b, agent); err != nil {
		return window{}, err
	}
	out := window{from: accepted.Add(propagationLimit), to: time.Now()}
	_, err = b.Operators.SetDomain(ctx, agent.Domain, true)
	return out, err
}

func inDomain(domain string) func(backend.Start) bool {
	return func(s backend.Start) bool { return s.Domain == domain }
}

func killDomain(ctx context.Context, b *Testbed) error {
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
		pause.For(ctx, outOfServiceTime)
		for _, a := range members {
			if err := errors.Join(a.Backend.Start(), a.Start()); err != nil {
				return err
			}
		}
		return b.Cluster.WaitReady(ctx)
	})
}

// raceCount is the number of concurrent pairs of withdrawal and restoration.
const raceCount = 5

// raceDomain lets two operators change a domain concurrently, each at an entry of its
// own. After each race both entries must report the same state. A withdrawal after the
// races must take effect: nothing may start in the domain then.
func raceDomain(ctx context.Context, b *Testbed) error {
	domain := b.Cluster.Agents[1].Domain
	var out window
	err := b.RunUnderLoad(ctx, func(ctx context.Context) error {
		for range raceCount {
			if err := b.raceOnce(ctx, domain); err != nil {
				return err
			}
		}
		accepted, err := b.Operators.SetDomain(ctx, domain, false)
		if err != nil {
			return err
		}
		pause.For(ctx, outOfServiceTime)
		out = window{from: accepted.Add(propagationLimit), to: time.Now()}
		_, err = b.Operators.SetDomain(ctx, domain, true)
		return err
	})
	return errors.Join(err, b.checkNoStarts(out, inDomain(domain)))
}

// raceOnce withdraws and restores the domain concurrently, each at an entry of its own,
// and compares the states that both entries report afterwards.
func (b *Testbed) raceOnce(ctx context.Context, domain string) error {
	addresses := b.Cluster.OperatorAddresses()
	var wg sync.WaitGroup
	errs := make([]error, 2)
	for i := range errs {
		client, err := b.Operators.newClient(addresses[i : i+1])
		if err != nil {
			return err
		}
		wg.Go(func() { _, errs[i] = setDomain(ctx, client, domain, i == 0) })
	}
	wg.Wait()
	if errs[0] != nil && errs[1] != nil {
		return fmt.Errorf("both concurrent changes failed: %w", errors.Join(errs...))
	}
	pause.For(ctx, propagationLimit)
	first, err := b.Operators.DomainState(ctx, domain)
	if err != nil {
		return err
	}
	second, err := b.Operators.DomainState(ctx, domain)
	if err != nil {
		return err
	}
	if first != second {
		return fmt.Errorf("entries disagree on the state of the domain: one reports %s, another %s", first, second)
	}
	return nil
}
