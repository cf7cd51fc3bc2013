package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"foxtaildock.example/bench/soak"
)

// soakCommand runs the fault soak on real processes, once for each seed.
type soakCommand struct {
	Seeds    int           `arg:"--seeds" default:"3" help:"number of seeds"`
	First    uint64        `arg:"--first" default:"1" help:"the first seed"`
	Length   time.Duration `arg:"--length" default:"15s" help:"duration of the load for each seed"`
	Entries  int           `arg:"--entries" default:"2" help:"number of entries"`
	Agents   int           `arg:"--agents" default:"4" help:"number of agents"`
	Callers  int           `arg:"--callers" default:"8" help:"number of callers"`
	Parallel int           `arg:"--parallel" default:"1" help:"number of seeds that run at the same time, up to 3"`
	Pause    time.Duration `arg:"--pause" default:"700ms" help:"mean time between faults"`
	Planned  bool          `arg:"--planned" help:"only planned stops and reloads; every request that an entry read must be answered"`
	Scarce   bool          `arg:"--scarce" help:"servers of two speeds, stragglers, three priorities, and capacity that shrinks and grows"`
	Dir      string        `arg:"--dir" help:"directory for settings and logs [default: a new one, kept and printed if a seed fails]"`
}

func (c *soakCommand) run(ctx context.Context) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	daemon := filepath.Join(filepath.Dir(self), "foxtaildockd")
	var failed atomic.Bool
	var seeds errgroup.Group
	seeds.SetLimit(max(1, c.Parallel))
	for i := range c.Seeds {
		seeds.Go(func() error {
			violated, err := c.runSeed(ctx, daemon, c.First+uint64(i))
			if violated {
				failed.Store(true)
			}
			return err
		})
	}
	if err := seeds.Wait(); err != nil {
		return err
	}
	if failed.Load() {
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
		Callers: c.Callers, Pause: c.Pause, Planned: c.Planned, Scarce: c.Scarce,
	})
	if err != nil {
		return false, err
	}
	line := fmt.Sprintf("seed %d: %d jobs, %d completed, %d rejected, %d without an answer, %d runs, %d faults, %d guarantee violations\n",
		seed, r.Jobs, r.Completed, r.Rejected, r.Unanswered, r.Starts, len(r.Faults), len(r.Violations))
	if c.Planned {
		line += fmt.Sprintf("    %d planned stops, %d of them ended by SIGKILL\n", r.Stops, r.Killed)
	}
	if len(r.Violations) == 0 {
		fmt.Print(line)
		if c.Dir == "" {
			return false, os.RemoveAll(dir)
		}
		return false, nil
	}
	for _, detail := range append(r.Faults, r.Violations...) {
		line += "    " + detail + "\n"
	}
	fmt.Print(line + "    logs: " + dir + "\n") // at once, since seeds may run in parallel
	return true, nil
}
