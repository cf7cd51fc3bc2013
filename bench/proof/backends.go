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
	// faultTime is how long a backend server misbehaves.
	faultTime = 6 * time.Second
	// slowFactor makes a backend server a straggler.
	slowFactor = 10
	// lateMS delays answers beyond the time that a caller waits.
	lateMS = 5000
)

func backendProofs() []Proof {
	return []Proof{
		backendProof("backend-fails", promiseRefusal, "a backend server fails all it starts, 6 s", backend.Faults{Fail: true}),
		backendProof("backend-refuses", promiseRefusal, "a backend server refuses all, 6 s", backend.Faults{Refuse: true}),
		backendProof("backend-freezes", promiseOnce, "a backend server answers nothing, 6 s", backend.Faults{Freeze: true}),
		backendProof("backend-slow", promiseWhole, "a backend server 10 times slower, 6 s", backend.Faults{SlowFactor: slowFactor}),
		backendProof("backend-late", promiseWhole, "answers 5 s late, 6 s long", backend.Faults{LateMS: lateMS}),
		backendProof("backend-twice", promiseWhole, "every answer sent twice, 6 s", backend.Faults{DuplicateAnswers: true}),
		backendProof("backend-crossed", promiseWhole, "answers crossed, 6 s", backend.Faults{PreviousAnswer: true}),
		{
			Name:     "backend-killed",
			Promise:  promiseOnce,
			Scenario: "backend server killed, its agent stays, back after 3 s",
			Shape:    cluster.Spec{Entries: 2, Agents: 3, DirectBackends: true},
			Run:      killBackend,
		},
	}
}

// backendProof lets one backend server fail in one way for a while.
func backendProof(name, promise, scenario string, faults backend.Faults) Proof {
	return Proof{
		Name:     name,
		Promise:  promise,
		Scenario: scenario,
		Shape:    usual(),
		Run: func(ctx context.Context, b *Bed) error {
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

func killBackend(ctx context.Context, b *Bed) error {
	target := b.Cluster.Agents[0].Backend
	err := b.RunUnderLoad(ctx, func(ctx context.Context) error {
		if err := target.Kill(); err != nil {
			return err
		}
		pause.For(ctx, downTime)
		return target.Start()
	})
	return errors.Join(err, b.failedOnlyOn(target))
}

// failedOnlyOn returns an error if a job failed that had started nothing on the
// backend server that was harmed.
func (b *Bed) failedOnlyOn(target *cluster.Backend) error {
	starts, err := backend.ReadLedger(target.Ledger)
	if err != nil {
		return err
	}
	touched := make(map[string]bool)
	for _, s := range starts {
		touched[s.Job] = true
	}
	for _, r := range b.Results() {
		if r.Outcome == load.Failed && !touched[r.Job.Key] {
			return fmt.Errorf("%s failed (%s) without a task on %s", r.Job.Key, r.Reason, target.Name)
		}
	}
	return nil
}
