package proof

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"foxtaildock.example/bench/cluster"
	"foxtaildock.example/bench/load"
	"foxtaildock.example/dock/job"
	"foxtaildock.example/dock/pause"
)

const (
	// againJobs is the number of answered jobs that are submitted again.
	againJobs = 120
	// againConcurrency is the number of them under way at a time.
	againConcurrency = 32
)

func againProofs() []Proof {
	return []Proof{
		{
			Name:     "again-after-join",
			Promise:  promiseOnce,
			Scenario: "answered jobs sent again after an agent joined",
			Shape:    cluster.Spec{Entries: 2, Agents: 4, LateAgents: 1},
			Run: func(ctx context.Context, b *Bed) error {
				return b.runAgain(ctx, mustRepeat, func(ctx context.Context) error {
					late := b.Cluster.Agents[3]
					return errors.Join(late.Start(), b.Cluster.WaitReady(ctx))
				})
			},
		},
		{
			Name:     "again-after-stop",
			Promise:  promiseGraceful,
			Scenario: "answered jobs sent again after an agent was stopped",
			Shape:    usual(),
			Run: func(ctx context.Context, b *Bed) error {
				return b.runAgain(ctx, mustRepeat, func(context.Context) error {
					return b.Cluster.Agents[1].Stop(stopTimeout)
				})
			},
		},
		{
			Name:     "again-after-kill",
			Promise:  promiseOnce,
			Scenario: "answered jobs sent again after an agent was killed",
			Shape:    usual(),
			Run: func(ctx context.Context, b *Bed) error {
				return b.runAgain(ctx, mayBeLost, func(context.Context) error {
					return b.Cluster.Agents[1].Kill()
				})
			},
		},
	}
}

// mustRepeat accepts only the whole answer once more.
func mustRepeat(r load.Result) bool { return r.Outcome == load.Complete && r.Wrong == "" }

// mayBeLost also accepts that the record was lost with its home.
func mayBeLost(r load.Result) bool {
	return mustRepeat(r) || r.Outcome == load.Failed && r.Reason == string(job.ReasonHomeLost)
}

// runAgain answers some jobs, makes the change, waits until it has settled, and
// submits all answered jobs once more. Nothing may start a second time.
func (b *Bed) runAgain(ctx context.Context, accepted func(load.Result) bool, change func(context.Context) error) error {
	b.Load.Workload.Jobs = againJobs
	b.StartLoad(ctx)
	b.WaitLoad()
	if err := b.AllComplete(); err != nil {
		return fmt.Errorf("before the change: %w", err)
	}
	if err := change(ctx); err != nil {
		return err
	}
	pause.For(ctx, settleTime)
	err := checkAgain(b.submitAgain(ctx), accepted)
	return errors.Join(err, b.Verify())
}

// submitAgain submits all jobs that have a result once more.
func (b *Bed) submitAgain(ctx context.Context) []load.Result {
	caller := b.Load.Caller
	caller.Open()
	defer caller.Close()
	earlier := b.Results()
	again := make([]load.Result, len(earlier))
	slots := make(chan struct{}, againConcurrency)
	var wg sync.WaitGroup
	for i := range earlier {
		slots <- struct{}{}
		wg.Go(func() {
			again[i] = caller.Resubmit(ctx, earlier[i], i)
			<-slots
		})
	}
	wg.Wait()
	return again
}

func checkAgain(again []load.Result, accepted func(load.Result) bool) error {
	bad := 0
	var first error
	for _, r := range again {
		if accepted(r) {
			continue
		}
		bad++
		if first == nil {
			first = fmt.Errorf("%w, after %v", notComplete(r), r.Took.Round(time.Millisecond))
		}
	}
	if bad == 0 {
		return nil
	}
	return fmt.Errorf("%d of %d jobs sent again, first: %w", bad, len(again), first)
}
