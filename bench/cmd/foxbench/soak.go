package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"foxtaildock.example/bench/soak"
)

// soakCommand runs the fault soak on real processes, once for each seed.
type soakCommand struct {
	Seeds   int           `arg:"--seeds" default:"3" help:"number of seeds"`
	First   uint64        `arg:"--first" default:"1" help:"the first seed"`
	Length  time.Duration `arg:"--length" default:"15s" help:"duration of the load for each seed"`
	Entries int           `arg:"--entries" default:"2" help:"number of entries"`
	Agents  int           `arg:"--agents" default:"4" help:"number of agents"`
	Callers int           `arg:"--callers" default:"8" help:"number of callers"`
	Pause   time.Duration `arg:"--pause" default:"700ms" help:"mean time between faults"`
	Dir     string        `arg:"--dir" help:"directory for settings and logs [default: a new one, kept and printed if a seed fails]"`
}

func (c *soakCommand) run(ctx context.Context) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	failed := false
	for i := range c.Seeds {
		violated, err := c.runSeed(ctx, filepath.Join(filepath.Dir(self), "foxtaildockd"), c.First+uint64(i))
		if err != nil {
			return err
		}
		failed = failed || violated
	}
	if failed {
		return errViolated
	}
	return nil
}

// runSeed runs one seed and reports whether a guarantee was violated. The logs are kept
// in that case.
func (c *soakCommand) runSeed(ctx context.Context, daemon string, seed uint64) (violated bool, err error) {
	dir := c.Dir
	if dir == "" {
		if dir, err = os.MkdirTemp("", "foxbench-soak"); err != nil {
			return false, err
		}
	}
	r, err := soak.Run(ctx, soak.Config{
		Daemon: daemon, Dir: dir, Seed: seed, Length: c.Length, Entries: c.Entries, Agents: c.Agents,
		Callers: c.Callers, Pause: c.Pause,
	})
	if err != nil {
		return false, err
	}
	fmt.Printf("seed %d: %d jobs, %d completed, %d rejected, %d without an answer, %d runs, %d faults, %d guarantee violations\n",
		seed, r.Jobs, r.Completed, r.Rejected, r.Unanswered, r.Starts, len(r.Faults), len(r.Violations))
	if len(r.Violations) == 0 {
		if c.Dir == "" {
			return false, os.RemoveAll(dir)
		}
		return false, nil
	}
	for _, line := range append(r.Faults, r.Violations...) {
		fmt.Println("   ", line)
	}
	fmt.Println("    logs:", dir)
	return true, nil
}
