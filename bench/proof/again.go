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
	// resubmitJobs is the number of answered jobs that are resubmitted.
	resubmitJobs = 120
	// resubmitConcurrency is the number of concurrent resubmissions.
	resubmitConcurrency = 32
)

func resubmitProofs() []Proof {
	return []Proof{
		{
			Name:      "again-after-join",
			Guarantee: guaranteeOnce,
			Scenario:  "answered jobs resubmitted after an agent joined",
			Spec:      cluster.Spec{Entries: 2, Agents: 4, LateAgents: 1},
			Run: func(ctx context.Context, b *Testbed) error {
				return b.runResubmit(ctx, isComplete, func(ctx context.Context) error {
					late := b.Cluster.Agents[3]
					return errors.Join(late.Start(), b.Cluster.WaitReady(ctx))
				})
			},
		},
		{
			Name:      "again-after-stop",
			Guarantee: guaranteeGraceful,
			Scenario:  "answered jobs resubmitted after an agent was stopped",
			Spec:      defaultSpec(),
			Run: func(ctx context.Context, b *Testbed) error {
				return b.runResubmit(ctx, isComplete, func(context.Context) error {
					return b.Cluster.Agents[1].Stop(stopTimeout)
				})
			},
		},
		{
			Name:      "again-after-kill",
			Guarantee: guaranteeOnce,
			Scenario:  "answered jobs resubmitted after an agent was killed",
			Spec:      defaultSpec(),
			Run: func(ctx context.Context, b *Testbed) error {
				return b.runResubmit(ctx, isCompleteOrHomeLost, func(context.Context) error {
					return b.Cluster.Agents[1].Kill()
				})
			},
		},
	}
}

// isComplete accepts only a complete and correct answer.
func isComplete(r load.Result) bool { return r.Outcome == load.Complete && r.Defect == "" }

// isCompleteOrHomeLost also accepts a failure because the job's record was lost with
// its home agent.
func isCompleteOrHomeLost(r load.Result) bool {
	return isComplete(r) || r.Outcome == load.Failed && r.Reason == string(job.ReasonHomeLost)
}

// runResubmit runs some jobs to completion, makes the change, waits settleTime, and
// resubmits all of them. No task may start a second time.
func (b *Testbed) runResubmit(ctx context.Context, accepted func(load.Result) bool, change func(context.Context) error) error {
	b.Load.Workload.Jobs = resubmitJobs
	b.StartLoad(ctx)
	b.WaitLoad()
	if err := b.CheckAllComplete(); err != nil {
		return fmt.Errorf("before the change: %w", err)
	}
	if err := change(ctx); err != nil {
		return err
	}
	pause.For(ctx, settleTime)
	err := checkResubmitted(b.resubmitAll(ctx), accepted)
	return errors.Join(err, b.Verify())
}

// resubmitAll resubmits all jobs that have a result.
func (b *Testbed) resubmitAll(ctx context.Context) []load.Result {
	caller := b.Load.Caller
	caller.Open()
	defer caller.Close()
	earlier := b.Results()
	results := make([]load.Result, len(earlier))
	slots := make(chan struct{}, resubmitConcurrency)
	var wg sync.WaitGroup
	for i := range earlier {
		slots <- struct{}{}
		wg.Go(func() {
			results[i] = caller.Resubmit(ctx, earlier[i], i)
			<-slots
		})
	}
	wg.Wait()
	return results
}

func checkResubmitted(results []load.Result, accepted func(load.Result) bool) error {
	bad := 0
	var first error
	for _, r := range results {
		if accepted(r) {
			continue
		}
		bad++
		if first == nil {
			first = fmt.Errorf("%w, after %v", notCompleteError(r), r.Took.Round(time.Millisecond))
		}
	}
	if bad == 0 {
		return nil
	}
	return fmt.Errorf("%d of %d resubmitted jobs got an unexpected answer, first: %w", bad, len(results), first)
}
