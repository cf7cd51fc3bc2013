package soak

import (
	"context"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// A short soak of real processes with two seeds. Seed 1 guards against a fault: a task
// ran twice when a backend server restarted immediately under the same id.
func TestShortSoak(t *testing.T) {
	daemon := filepath.Join(t.TempDir(), "foxtaildockd")
	build := exec.Command("go", "build", "-o", daemon, "foxtaildock.example/dock/cmd/foxtaildockd")
	if text, err := build.CombinedOutput(); err != nil {
		t.Fatalf("building foxtaildockd: %v\n%s", err, text)
	}
	for _, seed := range []uint64{1, 20} {
		r, err := Run(context.Background(), Config{
			Daemon: daemon, Dir: t.TempDir(), Seed: seed, Length: 8 * time.Second,
			Entries: 2, Agents: 4, Callers: 6, Pause: 600 * time.Millisecond,
		})
		if err != nil {
			t.Fatal(err)
		}
		for _, v := range r.Violations {
			t.Errorf("seed %d: %s", seed, v)
		}
		if r.Completed == 0 {
			t.Errorf("seed %d: none of %d jobs was completed", seed, r.Jobs)
		}
		if t.Failed() {
			t.Logf("faults: %q", r.Faults)
			return
		}
	}
}
