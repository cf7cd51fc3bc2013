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

func linkProofs() []Proof {
	return []Proof{
		{
			Name:     "silent-backend",
			Promise:  promiseOnce,
			Scenario: "open connections to a backend server silent for good",
			Shape:    usual(),
			Run:      silentBackend,
		},
		{
			Name:     "silent-callers",
			Promise:  promiseWhole,
			Scenario: "open connections of callers silent for good, three times",
			Shape:    cluster.Spec{Entries: 2, Agents: 3, CallerLinks: true},
			Run:      silentCallers,
		},
		{
			Name:     "silent-platform",
			Promise:  promiseOutage,
			Scenario: "open connections to the platform silent for good",
			Shape:    usual(),
			Run:      silentPlatform,
		},
		{
			Name:     "cut-entry-platform",
			Promise:  promiseOutage,
			Scenario: "one entry cut from the platform for 8 s",
			Shape:    usual(),
			Run:      cutEntryFromPlatform,
		},
	}
}

func silentBackend(ctx context.Context, b *Bed) error {
	agent := b.Cluster.Agents[0]
	// Tasks on a silent connection end with the deadline of their job.
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
	// silences is the number of times that callers' connections go silent.
	silences = 3
	// silenceGap is the time between two of them.
	silenceGap = 2 * time.Second
)

// silentCallers needs callers that give up and attach through a new connection.
func silentCallers(ctx context.Context, b *Bed) error {
	b.Load.Caller.Patience = silenceGap
	err := b.RunUnderLoad(ctx, func(ctx context.Context) error {
		for range silences {
			for _, e := range b.Cluster.Entries {
				if _, err := b.Cluster.SilenceLink(ctx, e.CallerLink); err != nil {
					return err
				}
			}
			pause.For(ctx, silenceGap)
		}
		return nil
	})
	return errors.Join(err, b.AllComplete())
}

func silentPlatform(ctx context.Context, b *Bed) error {
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
	return errors.Join(err, b.AllComplete())
}

func cutEntryFromPlatform(ctx context.Context, b *Bed) error {
	name := b.Cluster.Entries[0].PlatformLink
	err := b.RunUnderLoad(ctx, func(ctx context.Context) error {
		if err := b.Cluster.SetLink(ctx, name, link.State{Cut: true}); err != nil {
			return err
		}
		pause.For(ctx, cutTime)
		return b.Cluster.SetLink(ctx, name, link.State{})
	})
	return errors.Join(err, b.AllComplete())
}
