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
	// burstJobs is the number of jobs that are submitted at once on top of the
	// default load.
	burstJobs        = 400
	burstConcurrency = 400
	// burstDeadline is too short for most jobs of the burst to complete.
	burstDeadline = 3 * time.Second
	// cancelDelay is the time from the start of the burst to its cancellation, so
	// that jobs are in flight by then.
	cancelDelay = 500 * time.Millisecond
)

func loadProofs() []Proof {
	return []Proof{
		{
			Name:      "burst",
			Guarantee: guaranteeRefusal,
			Scenario:  "400 jobs at once, each with a deadline of 3 s, far more than the slots can run",
			Spec:      defaultSpec(),
			Run:       burst,
		},
		{
			Name:      "cancel-wave",
			Guarantee: guaranteeRefusal,
			Scenario:  "400 jobs at once, all cancelled after 500 ms",
			Spec:      defaultSpec(),
			Run:       cancelWave,
		},
		{
			Name:      "resubmit-storm",
			Guarantee: guaranteeOnce,
			Scenario:  "callers resubmit every 50 ms, every job sent twice",
			Spec:      defaultSpec(),
			Run:       resubmitStorm,
		},
	}
}

// newBurst returns a driver that submits burstJobs at once. Their results are verified
// with those of the default load.
func (b *Testbed) newBurst() *load.Driver {
	base := b.Load.Caller
	workload := b.Load.Workload
	workload.Prefix = "burst"
	workload.Jobs = burstJobs
	workload.Deadline = burstDeadline
	return &load.Driver{
		Caller: &load.Caller{
			Entries:        base.Entries,
			Token:          base.Token,
			AttemptTimeout: base.AttemptTimeout,
			GiveUpAfter:    base.GiveUpAfter,
			RetryRefused:   true,
		},
		Workload:    workload,
		Concurrency: burstConcurrency,
		OnResult:    b.addResult,
	}
}

func burst(ctx context.Context, b *Testbed) error {
	return b.RunUnderLoad(ctx, func(ctx context.Context) error {
		b.newBurst().Run(ctx)
		return nil
	})
}

func cancelWave(ctx context.Context, b *Testbed) error {
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
// not be the one that accepted it.
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
		return fmt.Errorf("cancel the jobs in flight: %w", err)
	}
	return nil
}

// stormTimeout is the time that a caller waits for one attempt, far below the response
// time of most jobs.
const stormTimeout = 50 * time.Millisecond

func resubmitStorm(ctx context.Context, b *Testbed) error {
	b.Load.Caller.AttemptTimeout = stormTimeout
	b.Load.Caller.DuplicateShare = 1
	err := b.RunUnderLoad(ctx, func(context.Context) error { return nil })
	return errors.Join(err, b.CheckAllComplete())
}
