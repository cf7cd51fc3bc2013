package proof

import (
	"context"
	"errors"
	"fmt"
	"time"

	"foxtaildock.example/bench/backend"
	"foxtaildock.example/bench/cluster"
	"foxtaildock.example/bench/load"

	"foxtaildock.example/dock/pause"
)

const (
	// faultTime is how long the fault of a backend server lasts.
	faultTime = 6 * time.Second
	// slowFactor multiplies the run times of a slow backend server.
	slowFactor = 10
	// lateMS delays each answer for longer than a caller waits for one attempt
	// (Caller.AttemptTimeout, 4 s in defaultLoad).
	lateMS = 5000
)

func backendProofs() []Proof {
	return []Proof{
		backendProof("backend-fails", guaranteeRefusal, "a backend server fails every task it starts, for 6 s", backend.Faults{Fail: true}),
		backendProof("backend-refuses", guaranteeRefusal, "a backend server refuses every task, for 6 s", backend.Faults{Refuse: true}),
		backendProof("backend-freezes", guaranteeOnce, "a backend server answers nothing, for 6 s", backend.Faults{Freeze: true}),
		backendProof("backend-slow", guaranteeComplete, "a backend server 10 times slower, for 6 s", backend.Faults{SlowFactor: slowFactor}),
		backendProof("backend-late", guaranteeComplete, "a backend server answers 5 s late, for 6 s", backend.Faults{LateMS: lateMS}),
		backendProof("backend-twice", guaranteeComplete, "a backend server sends every answer twice, for 6 s", backend.Faults{DuplicateAnswers: true}),
		backendProof("backend-crossed", guaranteeComplete, "a backend server answers each task with the previous answer, for 6 s", backend.Faults{PreviousAnswer: true}),
		{
			Name:      "backend-killed",
			Guarantee: guaranteeOnce,
			Scenario:  "backend server killed and restarted after 3 s, its agent keeps running",
			Spec:      cluster.Spec{Entries: 2, Agents: 3, DirectBackends: true},
			Run:       killBackend,
		},
	}
}

// backendProof returns a proof that injects the faults into one backend server for
// faultTime.
func backendProof(name, guarantee, scenario string, faults backend.Faults) Proof {
	return Proof{
		Name:      name,
		Guarantee: guarantee,
		Scenario:  scenario,
		Spec:      defaultSpec(),
		Run: func(ctx context.Context, b *Testbed) error {
			target := b.Cluster.Agents[0].Backend
			return b.RunUnderLoad(ctx, func(ctx context.Context) error {
				if err := b.Cluster.SetBackendFaults(ctx, target, faults); err != nil {
					return err
				}
				pause.For(ctx, faultTime)
				return b.Cluster.SetBackendFaults(ctx, target, backend.Faults{})
			})
		},
	}
}

func killBackend(ctx context.Context, b *Testbed) error {
	target := b.Cluster.Agents[0].Backend
	err := b.RunUnderLoad(ctx, func(ctx context.Context) error {
		if err := target.Kill(); err != nil {
			return err
		}
		pause.For(ctx, downTime)
		return target.Start()
	})
	return errors.Join(err, b.checkFailedOnlyOn(target))
}

// checkFailedOnlyOn returns an error if a job failed that had started no task on the
// killed backend server.
func (b *Testbed) checkFailedOnlyOn(target *cluster.Backend) error {
	starts, err := backend.ReadLedger(target.Ledger)
	if err != nil {
		return err
	}
	startedOn := make(map[string]bool)
	for _, s := range starts {
		startedOn[s.Job] = true
	}
	for _, r := range b.Results() {
		if r.Outcome == load.Failed && !startedOn[r.Job.Key] {
			return fmt.Errorf("%s failed (%s) although none of its tasks started on %s", r.Job.Key, r.Reason, target.Name)
		}
	}
	return nil
}
