package proof

import (
	"context"
	"errors"
	"time"

	"foxtaildock.example/bench/platformd"

	"foxtaildock.example/dock/pause"
)

const (
	// outageTime is how long the platform is faulty. It is many times as long as a
	// lease lasts.
	outageTime = 15 * time.Second
	// slowLatencyMS is longer than a daemon waits for the platform.
	slowLatencyMS = 3000
	// laggingLatencyMS is shorter than that, but longer than the usual latency.
	laggingLatencyMS = 400
)

func platformProofs() []Proof {
	return []Proof{
		platformProof("platform-down", "platform down for 15 s", platformd.Faults{Down: true}),
		platformProof("platform-silent", "platform silent for 15 s", platformd.Faults{Silent: true}),
		platformProof("platform-slow", "platform answers after 3 s, for 15 s", platformd.Faults{LatencyMS: slowLatencyMS}),
		platformProof("platform-lagging", "platform answers after 400 ms, for 15 s", platformd.Faults{LatencyMS: laggingLatencyMS}),
		platformProof("platform-lost-answers", "all answers to writes lost for 15 s", platformd.Faults{LoseEvery: 1}),
		{
			Name:      "platform-down-kill-agent",
			Guarantee: guaranteeOnce,
			Scenario:  "agent killed and restarted while the platform is down",
			Spec:      defaultSpec(),
			Run:       killAgentInOutage,
		},
		{
			Name:      "platform-lost-answers-kill-agent",
			Guarantee: guaranteeOnce,
			Scenario:  "agent killed and restarted while answers to writes are lost",
			Spec:      defaultSpec(),
			Run:       killAgentWithLostAnswers,
		},
	}
}

// platformProof returns a proof that injects the faults into the platform for
// outageTime. Every job must still be complete.
func platformProof(name, scenario string, faults platformd.Faults) Proof {
	return Proof{
		Name:      name,
		Guarantee: guaranteeOutage,
		Scenario:  scenario,
		Spec:      defaultSpec(),
		Run: func(ctx context.Context, b *Testbed) error {
			err := b.RunUnderLoad(ctx, func(ctx context.Context) error {
				return b.duringPlatformFaults(ctx, faults, func(ctx context.Context) error {
					pause.For(ctx, outageTime)
					return nil
				})
			})
			return errors.Join(err, b.CheckAllComplete())
		},
	}
}

// duringPlatformFaults runs the step while the platform has faults.
func (b *Testbed) duringPlatformFaults(ctx context.Context, faults platformd.Faults, step func(context.Context) error) error {
	if err := b.Cluster.SetPlatformFaults(ctx, faults); err != nil {
		return err
	}
	err := step(ctx)
	return errors.Join(err, b.Cluster.SetPlatformFaults(ctx, platformd.Faults{}))
}

func killAgentInOutage(ctx context.Context, b *Testbed) error {
	return killAgentDuring(ctx, b, platformd.Faults{Down: true})
}

func killAgentWithLostAnswers(ctx context.Context, b *Testbed) error {
	return killAgentDuring(ctx, b, platformd.Faults{LoseEvery: 2})
}

func killAgentDuring(ctx context.Context, b *Testbed, faults platformd.Faults) error {
	agent := b.Cluster.Agents[2]
	return b.RunUnderLoad(ctx, func(ctx context.Context) error {
		err := b.duringPlatformFaults(ctx, faults, func(ctx context.Context) error {
			if err := errors.Join(agent.Kill(), agent.Backend.Kill()); err != nil {
				return err
			}
			pause.For(ctx, downTime)
			err := errors.Join(agent.Backend.Start(), agent.Start())
			pause.For(ctx, downTime)
			return err
		})
		if err != nil {
			return err
		}
		return b.Cluster.WaitProcessReady(ctx, agent.Process, agent.Metrics)
	})
}
