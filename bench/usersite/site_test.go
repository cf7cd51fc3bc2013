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

// startSite starts a site whose tasks run for the given time. When the test ends, it
// closes the site and reports violations.
func startSite(t *testing.T, entries, agents int, runTime time.Duration) *Site {
	t.Helper()
	return startPlannedSite(t, entries, agents, func(work.Run, string) runserver.Plan {
		return runserver.Plan{Demand: Demand, Length: runTime}
	})
}

// startPlannedSite starts a site whose tasks run as planned. When the test ends, it closes
// the site and reports violations.
func startPlannedSite(t *testing.T, entries, agents int, plan func(work.Run, string) runserver.Plan) *Site {
	t.Helper()
	s, err := Start(Config{Daemon: daemonPath, Dir: t.TempDir(), Entries: entries, Agents: agents, Plan: plan})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		s.Close()
		for _, v := range s.Checks.Violations() {
			t.Errorf("violated guarantee: %s", v)
		}
	})
	return s
}

// submit sends a job until it is answered with status 200. Like a caller it retries
// while the job is rejected or unanswered.
func submit(t *testing.T, s *Site, c *Caller, entry int, id string, tasks int) {
	t.Helper()
	for {
		r := c.Submit(t.Context(), s.CallerAddress(entry), id, tasks, 50*time.Millisecond, 10*time.Second)
		if r.Status == http.StatusOK {
			if r.State != "completed" {
				t.Fatalf("job %s was answered with %+v, want it completed", id, r)
			}
			if n := s.Checks.Done(work.JobID(id), tasks); n != tasks {
				t.Fatalf("job %s is answered as completed, but only %d of its %d tasks are", id, n, tasks)
			}
			return
		}
		if t.Context().Err() != nil {
			t.Fatalf("job %s was not completed; the last reply was %+v", id, r)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func TestEveryEntryCompletesJobs(t *testing.T) {
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

// The lease of a killed agent's runs lapses. Its tasks then run on other backend
// servers, never twice at once.
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
			t.Fatalf("%d runs have started, want %d", s.Checks.Starts(), n)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// A job whose entry was killed completes when its caller sends it to another entry.
func TestJobIsResubmittedToAnotherEntry(t *testing.T) {
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
	time.Sleep(1300 * time.Millisecond) // the time after which the users' callers send a job again
	submit(t, s, &c, 1, "0000000000000003", 6)
}

// SIGTERM ends a process gracefully: an entry still answers the jobs that it accepted.
func TestTerminatedEntryAnswersAcceptedJobs(t *testing.T) {
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
		t.Errorf("the job was answered with %+v, want it completed", r)
	}
	if err := s.Entries[0].Wait(time.Minute); err != nil {
		t.Error(err)
	}
}

// Jobs are served while the store is unavailable, and processes that start meanwhile
// are found through the seeds.
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

// A withdrawn failure domain gets no task once its agent knows of the withdrawal.
func TestAWithdrawnDomainGetsNothing(t *testing.T) {
	s := startSite(t, 1, 2, 20*time.Millisecond)
	var c Caller
	submit(t, s, &c, 0, "0000000000000001", 8)
	if err := s.Store.Put("op", "evacuate/"+Domains[0], map[string]any{}); err != nil {
		t.Fatal(err)
	}
	// Both domains are withdrawn: no task runs, and callers are rejected at once.
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
		t.Errorf("%d runs started in withdrawn failure domains", n-starts)
	}
	if err := s.Store.Put("op", "evacuate/"+Domains[0], nil); err != nil {
		t.Fatal(err)
	}
	submit(t, s, &c, 0, "0000000000000004", 3)
}

// After all processes were killed and started again, the site serves without
// intervention.
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

// SIGHUP makes a process read its settings again. It ends no process, and invalid
// settings change nothing.
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

// A new manifest of the operators takes effect at every entry, and a route that it
// drops is no longer served.
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
