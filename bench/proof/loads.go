package proof

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"foxtaildock.example/bench/load"

	"foxtaildock.example/dock/pause"
)

const (
	// burstJobs come on top of the usual load, all at once.
	burstJobs        = 400
	burstConcurrency = 400
	// burstDeadline is too short for most of the burst.
	burstDeadline = 3 * time.Second
	// cancelDelay lets the burst get under way before it is cancelled.
	cancelDelay = 500 * time.Millisecond
)

func loadProofs() []Proof {
	return []Proof{
		{
			Name:     "burst",
			Promise:  promiseRefusal,
			Scenario: "400 jobs at once with 3 s each, far beyond the slots",
			Shape:    usual(),
			Run:      burst,
		},
		{
			Name:     "cancel-wave",
			Promise:  promiseRefusal,
			Scenario: "400 jobs at once, all cancelled after 500 ms",
			Shape:    usual(),
			Run:      cancelWave,
		},
		{
			Name:     "resubmit-storm",
			Promise:  promiseOnce,
			Scenario: "callers resubmit every 50 ms, every job sent twice",
			Shape:    usual(),
			Run:      resubmitStorm,
		},
	}
}

// newBurst returns a driver for many jobs at once, whose results count as well.
func (b *Bed) newBurst() *load.Driver {
	base := b.Load.Caller
	workload := b.Load.Workload
	workload.Prefix = "burst"
	workload.Jobs = burstJobs
	workload.Deadline = burstDeadline
	return &load.Driver{
		Caller: &load.Caller{
			Entries:      base.Entries,
			Token:        base.Token,
			Patience:     base.Patience,
			GiveUp:       base.GiveUp,
			RetryRefused: true,
		},
		Workload:    workload,
		Concurrency: burstConcurrency,
		OnResult:    b.keep,
	}
}

func burst(ctx context.Context, b *Bed) error {
	return b.RunUnderLoad(ctx, func(ctx context.Context) error {
		b.newBurst().Run(ctx)
		return nil
	})
}

func cancelWave(ctx context.Context, b *Bed) error {
	return b.RunUnderLoad(ctx, func(ctx context.Context) error {
		driver := b.newBurst()
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			driver.Run(ctx)
		}()
		pause.For(ctx, cancelDelay)
		err := cancelAll(ctx, driver.Caller)
		<-ended
		return err
	})
}

// cancelAll cancels every job in flight at once, each through an entry that may
// not be the one that took it.
func cancelAll(ctx context.Context, caller *load.Caller) error {
	jobs := caller.InFlight()
	if len(jobs) == 0 {
		return errors.New("no job in flight to cancel")
	}
	errs := make([]error, len(jobs))
	var wg sync.WaitGroup
	for i, job := range jobs {
		wg.Go(func() { errs[i] = caller.Cancel(ctx, job, i) })
	}
	wg.Wait()
	if err := errors.Join(errs...); err != nil {
		return fmt.Errorf("cancel: %w", err)
	}
	return nil
}

// stormPatience is far below the response time of most jobs.
const stormPatience = 50 * time.Millisecond

func resubmitStorm(ctx context.Context, b *Bed) error {
	b.Load.Caller.Patience = stormPatience
	b.Load.Caller.DuplicateShare = 1
	err := b.RunUnderLoad(ctx, func(context.Context) error { return nil })
	return errors.Join(err, b.AllComplete())
}
