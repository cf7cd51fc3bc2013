package proof

import (
	"context"
	"errors"
	"time"

	"foxtaildock.example/dock/pause"
)

// pauseTime is how long a process is paused: longer than a start permit lasts,
// and longer than a process may be silent before it counts as lost.
const pauseTime = 8 * time.Second

func processProofs() []Proof {
	return []Proof{
		{
			Name:      "kill-agent",
			Guarantee: guaranteeOnce,
			Scenario:  "agent and its backend server killed, restarted after 3 s",
			Spec:      defaultSpec(),
			Run:       killAgent,
		},
		{
			Name:      "kill-agent-only",
			Guarantee: guaranteeOnce,
			Scenario:  "agent killed and restarted, its backend server keeps running",
			Spec:      defaultSpec(),
			Run:       killAgentOnly,
		},
		{
			Name:      "kill-entry",
			Guarantee: guaranteeComplete,
			Scenario:  "entry killed, restarted after 3 s",
			Spec:      defaultSpec(),
			Run:       killEntry,
		},
		{
			Name:      "pause-agent",
			Guarantee: guaranteeOnce,
			Scenario:  "agent paused for 8 s",
			Spec:      defaultSpec(),
			Run:       pauseAgent,
		},
		{
			Name:      "pause-entry",
			Guarantee: guaranteeComplete,
			Scenario:  "entry paused for 8 s",
			Spec:      defaultSpec(),
			Run:       pauseEntry,
		},
		{
			Name:      "kill-two",
			Guarantee: guaranteeOnce,
			Scenario:  "entry killed while an agent is paused",
			Spec:      defaultSpec(),
			Run:       killEntryPauseAgent,
		},
	}
}

// downTime is how long a killed process stays down.
const downTime = 3 * time.Second

func killAgent(ctx context.Context, b *Testbed) error {
	agent := b.Cluster.Agents[1]
	return b.RunUnderLoad(ctx, func(ctx context.Context) error {
		if err := errors.Join(agent.Kill(), agent.Backend.Kill()); err != nil {
			return err
		}
		pause.For(ctx, downTime)
		if err := errors.Join(agent.Backend.Start(), agent.Start()); err != nil {
			return err
		}
		return b.Cluster.WaitProcessReady(ctx, agent.Process, agent.Metrics)
	})
}

func killAgentOnly(ctx context.Context, b *Testbed) error {
	agent := b.Cluster.Agents[1]
	return b.RunUnderLoad(ctx, func(ctx context.Context) error {
		if err := agent.Kill(); err != nil {
			return err
		}
		if err := agent.Start(); err != nil {
			return err
		}
		return b.Cluster.WaitProcessReady(ctx, agent.Process, agent.Metrics)
	})
}

func killEntry(ctx context.Context, b *Testbed) error {
	entry := b.Cluster.Entries[0]
	err := b.RunUnderLoad(ctx, func(ctx context.Context) error {
		if err := entry.Kill(); err != nil {
			return err
		}
		pause.For(ctx, downTime)
		if err := entry.Start(); err != nil {
			return err
		}
		return b.Cluster.WaitProcessReady(ctx, entry.Process, entry.Metrics)
	})
	return errors.Join(err, b.CheckAllComplete())
}

func pauseAgent(ctx context.Context, b *Testbed) error {
	agent := b.Cluster.Agents[1]
	return b.RunUnderLoad(ctx, func(ctx context.Context) error {
		if err := agent.Pause(); err != nil {
			return err
		}
		pause.For(ctx, pauseTime)
		return agent.Resume()
	})
}

func pauseEntry(ctx context.Context, b *Testbed) error {
	entry := b.Cluster.Entries[0]
	err := b.RunUnderLoad(ctx, func(ctx context.Context) error {
		if err := entry.Pause(); err != nil {
			return err
		}
		pause.For(ctx, pauseTime)
		return entry.Resume()
	})
	return errors.Join(err, b.CheckAllComplete())
}

func killEntryPauseAgent(ctx context.Context, b *Testbed) error {
	entry, agent := b.Cluster.Entries[1], b.Cluster.Agents[0]
	return b.RunUnderLoad(ctx, func(ctx context.Context) error {
		if err := agent.Pause(); err != nil {
			return err
		}
		if err := entry.Kill(); err != nil {
			return err
		}
		pause.For(ctx, pauseTime)
		if err := agent.Resume(); err != nil {
			return err
		}
		if err := entry.Start(); err != nil {
			return err
		}
		return b.Cluster.WaitProcessReady(ctx, entry.Process, entry.Metrics)
	})
}
