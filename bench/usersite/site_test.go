package usersite

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"foxtaildock.example/bench/cluster"
	"foxtaildock.example/bench/runserver"
	"foxtaildock.example/dock/work"
)

var daemonPath string

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "usersite")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	daemonPath = filepath.Join(dir, "foxtaildockd")
	build := exec.Command("go", "build", "-o", daemonPath, "foxtaildock.example/dock/cmd/foxtaildockd")
	if text, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "building foxtaildockd: %v\n%s", err, text)
		return 1
	}
	return m.Run()
}

// startSite starts a site whose tasks take the given time.
func startSite(t *testing.T, entries, agents int, length time.Duration) *Site {
	t.Helper()
	s, err := Start(Config{
		Daemon: daemonPath, Dir: t.TempDir(), Entries: entries, Agents: agents,
		Plan: func(work.Run, string) runserver.Plan {
			return runserver.Plan{Demand: work.Demand{CPUMilli: 1000, MemoryMB: 64}, Length: length}
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		s.Close()
		for _, b := range s.Checks.Broken() {
			t.Errorf("broken promise: %s", b)
		}
	})
	return s
}

// submit sends a job, again and again while it is rejected or unanswered, as
// callers do, until it is answered with the status.
func submit(t *testing.T, s *Site, c *Caller, entry int, id string, tasks int) {
	t.Helper()
	for {
		r := c.Submit(t.Context(), s.CallerAddress(entry), id, tasks, 50*time.Millisecond, 10*time.Second)
		if r.Status == http.StatusOK {
			if r.State != "completed" {
				t.Fatalf("job %s: %+v", id, r)
			}
			if n := s.Checks.Done(work.JobID(id), tasks); n != tasks {
				t.Fatalf("job %s is answered as completed, but %d of its %d tasks are", id, n, tasks)
			}
			return
		}
		if t.Context().Err() != nil {
			t.Fatalf("job %s: no answer: %+v", id, r)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func TestJobsAreAnsweredWholeByEveryEntry(t *testing.T) {
	s := startSite(t, 2, 3, 20*time.Millisecond)
	var wait sync.WaitGroup
	for entry := range 2 {
		wait.Go(func() {
			var c Caller
			for i := range 20 {
				submit(t, s, &c, entry, fmt.Sprintf("%08x%08x", entry, i), 5)
			}
		})
	}
	wait.Wait()
}

func TestAnUnknownRouteIsNotFound(t *testing.T) {
	s := startSite(t, 1, 1, 20*time.Millisecond)
	var c Caller
	submit(t, s, &c, 0, "0000000000000001", 1)
	req, err := http.NewRequest(http.MethodPost, "http://"+s.CallerAddress(0)+"/nowhere/1", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = Host
	if r := c.do(req); r.Status != http.StatusNotFound {
		t.Errorf("status %d, want 404", r.Status)
	}
}

// An agent that is killed leaves runs whose lease lapses; its tasks run elsewhere,
// never twice at once.
func TestTasksOfAKilledAgentRunElsewhere(t *testing.T) {
	s := startSite(t, 1, 2, 400*time.Millisecond)
	var c Caller
	submit(t, s, &c, 0, "0000000000000001", 1)
	var wait sync.WaitGroup
	wait.Go(func() { submit(t, s, &c, 0, "0000000000000002", 12) })
	awaitStarts(t, s, 7)
	if err := s.Agents[0].Kill(); err != nil {
		t.Fatal(err)
	}
	wait.Wait()
}

func awaitStarts(t *testing.T, s *Site, n int) {
	t.Helper()
	for s.Checks.Starts() < n {
		if t.Context().Err() != nil {
			t.Fatalf("%d runs have begun, want %d", s.Checks.Starts(), n)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// A job comes again at another entry after the first was killed.
func TestAJobComesAgainAtAnotherEntry(t *testing.T) {
	s := startSite(t, 2, 2, 300*time.Millisecond)
	var c Caller
	submit(t, s, &c, 0, "0000000000000001", 1)
	submit(t, s, &c, 1, "0000000000000002", 1)
	first := make(chan Reply, 1)
	go func() {
		first <- c.Submit(context.Background(), s.CallerAddress(0), "0000000000000003", 6, 300*time.Millisecond, 5*time.Second)
	}()
	awaitStarts(t, s, 4)
	if err := s.Entries[0].Kill(); err != nil {
		t.Fatal(err)
	}
	if r := <-first; r.Status != 0 {
		t.Errorf("a killed entry answered %+v", r)
	}
	time.Sleep(1300 * time.Millisecond) // the users' delay before a job comes again
	submit(t, s, &c, 1, "0000000000000003", 6)
}

// SIGTERM ends a process gracefully: what was taken is answered.
func TestATerminatedEntryAnswersWhatItTook(t *testing.T) {
	s := startSite(t, 1, 1, 300*time.Millisecond)
	var c Caller
	submit(t, s, &c, 0, "0000000000000001", 1)
	reply := make(chan Reply, 1)
	go func() {
		reply <- c.Submit(context.Background(), s.CallerAddress(0), "0000000000000002", 2, 300*time.Millisecond, 4*time.Second)
	}()
	awaitStarts(t, s, 3)
	if err := s.Entries[0].Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if r := <-reply; r.Status != http.StatusOK || r.State != "completed" {
		t.Errorf("the job was answered with %+v", r)
	}
	if err := s.Entries[0].Wait(time.Minute); err != nil {
		t.Error(err)
	}
}

// Jobs are served while the store is away, and processes that start meanwhile are
// found by way of the seeds.
func TestWorkGoesOnWithoutTheStore(t *testing.T) {
	s := startSite(t, 1, 1, 20*time.Millisecond)
	var c Caller
	submit(t, s, &c, 0, "0000000000000001", 1)
	s.Store.SetFault(StoreBusy)
	submit(t, s, &c, 0, "0000000000000002", 3)
	if err := s.Agents[0].Kill(); err != nil {
		t.Fatal(err)
	}
	if err := s.Agents[0].Start(); err != nil {
		t.Fatal(err)
	}
	submit(t, s, &c, 0, "0000000000000003", 3)
}

// A failure domain that is withdrawn gets no task once its agent knows.
func TestAWithdrawnDomainGetsNothing(t *testing.T) {
	s := startSite(t, 1, 2, 20*time.Millisecond)
	var c Caller
	submit(t, s, &c, 0, "0000000000000001", 8)
	if err := s.Store.Put("op", "evacuate/"+Domains[0], map[string]any{}); err != nil {
		t.Fatal(err)
	}
	// Both domains are withdrawn: nothing runs, and callers are told at once.
	if err := s.Store.Put("op", "evacuate/"+Domains[1], map[string]any{}); err != nil {
		t.Fatal(err)
	}
	for c.Submit(t.Context(), s.CallerAddress(0), "0000000000000002", 1, time.Millisecond, time.Second).Status == http.StatusOK {
		time.Sleep(20 * time.Millisecond)
	}
	starts := s.Checks.Starts()
	r := c.Submit(t.Context(), s.CallerAddress(0), "0000000000000003", 1, time.Millisecond, time.Second)
	if r.Status != http.StatusTooManyRequests && r.Status != http.StatusServiceUnavailable {
		t.Errorf("status %d, want a rejection", r.Status)
	}
	if n := s.Checks.Starts(); n != starts {
		t.Errorf("%d runs began in withdrawn domains", n-starts)
	}
	if err := s.Store.Put("op", "evacuate/"+Domains[0], nil); err != nil {
		t.Fatal(err)
	}
	submit(t, s, &c, 0, "0000000000000004", 3)
}

// After everything was killed at once, the site serves again by itself.
func TestASiteServesAgainAfterEverythingWasKilled(t *testing.T) {
	s := startSite(t, 2, 2, 20*time.Millisecond)
	var c Caller
	submit(t, s, &c, 0, "0000000000000001", 2)
	for _, p := range append(append([]*cluster.Process{}, s.Entries...), s.Agents...) {
		if err := p.Kill(); err != nil {
			t.Fatal(err)
		}
	}
	for _, p := range append(append([]*cluster.Process{}, s.Agents...), s.Entries...) {
		if err := p.Start(); err != nil {
			t.Fatal(err)
		}
	}
	submit(t, s, &c, 0, "0000000000000002", 4)
	submit(t, s, &c, 1, "0000000000000003", 4)
}

// SIGHUP reads the settings again and ends nothing; settings that are wrong change
// nothing.
func TestAReloadEndsNothing(t *testing.T) {
	s := startSite(t, 1, 1, 20*time.Millisecond)
	var c Caller
	submit(t, s, &c, 0, "0000000000000001", 2)
	path := filepath.Join(s.cfg.Dir, "entry-0.toml")
	if err := os.WriteFile(path, []byte("ip = 7"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, p := range []*cluster.Process{s.Entries[0], s.Agents[0]} {
		if err := p.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	submit(t, s, &c, 0, "0000000000000002", 2)
}

// A manifest that operators write later is in force at every entry, and a dropped
// route is gone.
func TestALaterManifestIsInForce(t *testing.T) {
	s := startSite(t, 1, 1, 20*time.Millisecond)
	var c Caller
	submit(t, s, &c, 0, "0000000000000001", 1)
	empty := map[string]any{"version": 2, "routes": []any{}, "services": []any{}, "limits": map[string]any{}}
	if err := s.Store.Put("op", "config", empty); err != nil {
		t.Fatal(err)
	}
	for c.Submit(t.Context(), s.CallerAddress(0), "0000000000000002", 1, time.Millisecond, time.Second).Status != http.StatusNotFound {
		if t.Context().Err() != nil {
			t.Fatal("a dropped route is still served")
		}
		time.Sleep(10 * time.Millisecond)
	}
}
