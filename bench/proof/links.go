package proof

import (
	"context"
	"errors"
	"fmt"
	"time"

	"foxtaildock.example/bench/cluster"
	"foxtaildock.example/bench/link"

	"foxtaildock.example/dock/pause"
)

// cutTime is how long a link is cut.
const cutTime = 8 * time.Second

// linkProofs returns the proofs with faults of the links. A silenced connection stays
// open and delivers no more data.
func linkProofs() []Proof {
	return []Proof{
		{
			Name:      "silent-backend",
			Guarantee: guaranteeOnce,
			Scenario:  "open connections to a backend server permanently silent",
			Spec:      defaultSpec(),
			Run:       silentBackend,
		},
		{
			Name:      "silent-callers",
			Guarantee: guaranteeComplete,
			Scenario:  "open connections of callers permanently silent, three times",
			Spec:      cluster.Spec{Entries: 2, Agents: 3, CallerLinks: true},
			Run:       silentCallers,
		},
		{
			Name:      "silent-platform",
			Guarantee: guaranteeOutage,
			Scenario:  "open connections to the platform permanently silent",
			Spec:      defaultSpec(),
			Run:       silentPlatform,
		},
		{
			Name:      "cut-entry-platform",
			Guarantee: guaranteeOutage,
			Scenario:  "one entry cut off from the platform for 8 s",
			Spec:      defaultSpec(),
			Run:       cutEntryFromPlatform,
		},
	}
}

func silentBackend(ctx context.Context, b *Testbed) error {
	agent := b.Cluster.Agents[0]
	// Tasks on a silent connection end only with the deadline of their job, which
	// must therefore pass within settleTime.
	b.Load.Workload.Deadline = settleTime
	return b.RunUnderLoad(ctx, func(ctx context.Context) error {
		n, err := b.Cluster.SilenceLink(ctx, agent.BackendLink)
		if err == nil && n == 0 {
			err = fmt.Errorf("no open connection to silence on %s", agent.BackendLink)
		}
		return err
	})
}

const (
	// silenceCount is the number of times that callers' connections are silenced.
	silenceCount = 3
	// silenceInterval is the time between two of those times, and the time that a caller
	// waits for one attempt.
	silenceInterval = 2 * time.Second
)

// silentCallers relies on callers that give up a silent connection and resubmit on a
// new one, which attaches them to their job.
func silentCallers(ctx context.Context, b *Testbed) error {
	b.Load.Caller.AttemptTimeout = silenceInterval
	err := b.RunUnderLoad(ctx, func(ctx context.Context) error {
		for range silenceCount {
			for _, e := range b.Cluster.Entries {
				if _, err := b.Cluster.SilenceLink(ctx, e.CallerLink); err != nil {
					return err
				}
			}
			pause.For(ctx, silenceInterval)
		}
		return nil
	})
	return errors.Join(err, b.CheckAllComplete())
}

func silentPlatform(ctx context.Context, b *Testbed) error {
	err := b.RunUnderLoad(ctx, func(ctx context.Context) error {
		for _, e := range b.Cluster.Entries {
			if _, err := b.Cluster.SilenceLink(ctx, e.PlatformLink); err != nil {
				return err
			}
		}
		for _, a := range b.Cluster.Agents {
			if _, err := b.Cluster.SilenceLink(ctx, a.PlatformLink); err != nil {
				return err
			}
		}
		return nil
	})
	return errors.Join(err, b.CheckAllComplete())
}

func cutEntryFromPlatform(ctx context.Context, b *Testbed) error {
	name := b.Cluster.Entries[0].PlatformLink
	err := b.RunUnderLoad(ctx, func(ctx context.Context) error {
		if err := b.Cluster.SetLink(ctx, name, link.State{Cut: true}); err != nil {
			return err
		}
		pause.For(ctx, cutTime)
		return b.Cluster.SetLink(ctx, name, link.State{})
	})
	return errors.Join(err, b.CheckAllComplete())
}
