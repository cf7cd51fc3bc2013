package proof

import (
	"context"
	"errors"
	"fmt"
	"time"

	"foxtaildock.example/bench/backend"
	"foxtaildock.example/bench/cluster"

	"foxtaildock.example/dock/pause"
)

const (
	// stopTimeout bounds a graceful stop of one process under load.
	stopTimeout = 30 * time.Second
	// propagationLimit is how long after its acceptance a change may still be
	// unknown to an agent, which then still starts tasks.
	propagationLimit = 3 * time.Second
	// outOfServiceTime is how long a domain or a backend server is out of service.
	outOfServiceTime = 8 * time.Second
)

func gracefulProofs() []Proof {
	return []Proof{
		{
			Name:      "stop-agent",
			Guarantee: guaranteeGraceful,
			Scenario:  "SIGTERM to an agent under load, then restarted",
			Spec:      defaultSpec(),
			Run:       stopAgent,
		},
		{
			Name:      "stop-entry",
			Guarantee: guaranteeGraceful,
			Scenario:  "SIGTERM to an entry under load, then restarted",
			Spec:      defaultSpec(),
			Run:       stopEntry,
		},
		{
			Name:      "rolling-restart",
			Guarantee: guaranteeGraceful,
			Scenario:  "every agent and entry stopped and started in turn",
			Spec:      defaultSpec(),
			Run:       rollingRestart,
		},
		{
			Name:      "drain-backend",
			Guarantee: guaranteeDrain,
			Scenario:  "backend server drained for 8 s under load",
			Spec:      defaultSpec(),
			Run:       drainBackend,
		},
	}
}

// restartAgent stops an agent gracefully and starts it again.
func (b *Testbed) restartAgent(ctx context.Context, a *cluster.Agent) error {
	if err := a.Stop(stopTimeout); err != nil {
		return err
	}
	if err := a.Start(); err != nil {
		return err
	}
	return b.Cluster.WaitProcessReady(ctx, a.Process, a.Metrics)
}

// restartEntry stops an entry gracefully and starts it again.
func (b *Testbed) restartEntry(ctx context.Context, e *cluster.Entry) error {
	if err := e.Stop(stopTimeout); err != nil {
		return err
	}
	if err := e.Start(); err != nil {
		return err
	}
	return b.Cluster.WaitProcessReady(ctx, e.Process, e.Metrics)
}

func stopAgent(ctx context.Context, b *Testbed) error {
	err := b.RunUnderLoad(ctx, func(ctx context.Context) error {
		return b.restartAgent(ctx, b.Cluster.Agents[1])
	})
	return errors.Join(err, b.CheckAllComplete(), b.CheckNoDisconnects())
}

func stopEntry(ctx context.Context, b *Testbed) error {
	err := b.RunUnderLoad(ctx, func(ctx context.Context) error {
		return b.restartEntry(ctx, b.Cluster.Entries[0])
	})
	return errors.Join(err, b.CheckAllComplete(), b.CheckNoDisconnects())
}

func rollingRestart(ctx context.Context, b *Testbed) error {
	err := b.RunUnderLoad(ctx, func(ctx context.Context) error {
		for _, a := range b.Cluster.Agents {
			if err := b.restartAgent(ctx, a); err != nil {
				return err
			}
		}
		for _, e := range b.Cluster.Entries {
			if err := b.restartEntry(ctx, e); err != nil {
				return err
			}
		}
		return nil
	})
	return errors.Join(err, b.CheckAllComplete(), b.CheckNoDisconnects())
}

func drainBackend(ctx context.Context, b *Testbed) error {
	agent := b.Cluster.Agents[1]
	var out window
	err := b.RunUnderLoad(ctx, func(ctx context.Context) error {
		accepted, err := b.Operators.Drain(ctx, agent, true)
		if err != nil {
			return err
		}
		pause.For(ctx, outOfServiceTime)
		out = window{from: accepted.Add(propagationLimit), to: time.Now()}
		_, err = b.Operators.Drain(ctx, agent, false)
		return err
	})
	return errors.Join(err, b.CheckAllComplete(), b.checkNoStarts(out, func(s backend.Start) bool {
		return s.Server == agent.Backend.Name
	}))
}

// window is a span of time, without its ends.
type window struct{ from, to time.Time }

// checkNoStarts returns an error if a matching start lies in the window.
func (b *Testbed) checkNoStarts(w window, match func(backend.Start) bool) error {
	starts, err := b.Cluster.Starts()
	if err != nil {
		return err
	}
	count := 0
	var last time.Time
	for _, s := range starts {
		at := time.UnixMilli(s.AtUnixMS)
		if match(s) && at.After(w.from) && at.Before(w.to) {
			count++
			last = at
		}
	}
	if count == 0 {
		return nil
	}
	return fmt.Errorf("%d starts while out of service, the last %v after the propagation limit", count, last.Sub(w.from).Round(time.Millisecond))
}
