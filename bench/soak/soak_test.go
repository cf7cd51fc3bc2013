package soak

import (
	"context"
	"fmt"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// buildDaemon builds foxtaildockd and returns its path.
func buildDaemon(t *testing.T) string {
	t.Helper()
	daemon := filepath.Join(t.TempDir(), "foxtaildockd")
	build := exec.Command("go", "build", "-o", daemon, "foxtaildock.example/dock/cmd/foxtaildockd")
	if text, err := build.CombinedOutput(); err != nil {
		t.Fatalf("building foxtaildockd: %v\n%s", err, text)
	}
	return daemon
}

// soakSeed runs one seed and fails the test if a guarantee is violated.
func soakSeed(t *testing.T, cfg Config) {
	t.Helper()
	r, err := Run(context.Background(), cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("seed %d: %d jobs, %d completed, %d rejected, %d without an answer, %d runs, %d faults",
		cfg.Seed, r.Jobs, r.Completed, r.Rejected, r.Unanswered, r.Starts, len(r.Faults))
	for _, v := range r.Violations {
		t.Errorf("seed %d: %s", cfg.Seed, v)
	}
	if r.Completed == 0 {
		t.Errorf("seed %d: none of %d jobs was completed", cfg.Seed, r.Jobs)
	}
	if t.Failed() {
		t.Logf("faults: %q", r.Faults)
	}
}

// A short soak of real processes with two seeds. Seed 1 guards against a fault: a task
// ran twice when a backend server restarted immediately under the same id.
func TestShortSoak(t *testing.T) {
	t.Parallel()
	daemon := buildDaemon(t)
	for _, seed := range []uint64{1, 20} {
		soakSeed(t, Config{
			Daemon: daemon, Dir: t.TempDir(), Seed: seed, Length: 8 * time.Second,
			Entries: 2, Agents: 4, Callers: 6, Pause: 600 * time.Millisecond,
		})
		if t.Failed() {
			return
		}
	}
}

// A short soak with scarce capacity: servers of two speeds, stragglers, three priorities,
// and capacity that shrinks and grows while runs go on. It guards against starts beyond a
// capacity that has shrunk, and against runs that are lost or doubled when servers leave.
// It doesn't run beside the other soaks, so that their processes start as fast as without it.
func TestShortSoakOfScarceCapacity(t *testing.T) {
	soakSeed(t, Config{
		Daemon: buildDaemon(t), Dir: t.TempDir(), Seed: 1, Length: 8 * time.Second, Scarce: true,
		Entries: 2, Agents: 4, Callers: 9, Pause: 400 * time.Millisecond,
	})
}

// A short soak of planned stops and reloads alone, with two seeds. Issue 26: requests that
// had been read were cut.
func TestShortSoakOfPlannedStops(t *testing.T) {
	t.Parallel()
	daemon := buildDaemon(t)
	for _, seed := range []uint64{1, 3} {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			soakSeed(t, Config{
				Daemon: daemon, Dir: t.TempDir(), Seed: seed, Length: 4 * time.Second, Planned: true,
				Entries: 3, Agents: 4, Callers: 16, Pause: 600 * time.Millisecond,
			})
		})
	}
}
