package usersite

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"
)

// oddReports are reports that another writer sends to the agent of a server, under an ID.
var oddReports = []struct {
	name, id string
	change   func(report map[string]any)
}{
	{"another service", "w-1", func(r map[string]any) { r["service"], r["born"] = "backup", time.Now().UnixMilli() }},
	{"a later start", "server-0", func(r map[string]any) { r["born"] = time.Now().UnixMilli() }},
	{"a start far ahead", "server-0", func(r map[string]any) { r["born"] = int64(9_000_000_000_000) }},
	{"a start out of range", "server-0", func(r map[string]any) { r["born"] = int64(1) << 60 }},
	{"an earlier start", "w-1", func(r map[string]any) { r["born"] = 1 }},
	{"another address", "w-1", func(r map[string]any) { r["address"], r["born"] = "127.0.0.1:9", time.Now().UnixMilli() }},
	{"a port out of range", "w-1", func(r map[string]any) { r["address"], r["born"] = "127.0.0.1:99999", time.Now().UnixMilli() }},
	{"a sequence far ahead", "server-0", func(r map[string]any) { r["sequence"], r["service"] = int64(1)<<52, "backup" }},
	{"a clock far ahead", "server-0", func(r map[string]any) { r["clockMs"], r["labels"] = 1_000_000_000, []string{"b"} }},
	{"a negative capacity", "server-0", func(r map[string]any) { r["capacity"] = map[string]int64{"cpu": -1} }},
	{"a larger capacity", "server-0", func(r map[string]any) { r["capacity"] = map[string]int64{"cpu": 64_000, "memMb": 1 << 20} }},
	{"another capacity", "server-0", func(r map[string]any) { r["capacity"] = map[string]int64{"cpu": 1, "memMb": 1} }},
	{"another kind", "server-0", func(r map[string]any) { r["labels"], r["zone"] = []string{"b"}, "elsewhere" }},
	{"draining", "server-0", func(r map[string]any) { r["state"] = "draining" }},
}

// startsLess has the names of those that are obeyed until the server's next one, as they start
// less.
var startsLess = map[string]bool{"another capacity": true, "draining": true}

// servedWithin is how long jobs may wait after an odd report: two reports of the server, which
// come each 500 ms here, and the job itself.
const servedWithin = 2 * time.Second

// One report of another writer took the server of an agent out of use for good (review/3).
func TestAServerServesAfterAnOddReport(t *testing.T) {
	s := startSite(t, 1, 1, 20*time.Millisecond)
	var c Caller
	submit(t, s, &c, 0, "0000000000000001", 1)
	for i, odd := range oddReports {
		status := s.Backends[0].SendOddReport(t.Context(), odd.id, odd.change)
		if status != http.StatusOK && status != http.StatusBadRequest {
			t.Errorf("%s: status %d, want 200 or 400", odd.name, status)
		}
		awaitServed(t, s, &c, i+1, odd.name)
	}
}

// awaitServed submits jobs until one is completed, and fails the test after servedWithin. group
// makes the jobs' IDs differ from those of other calls.
func awaitServed(t *testing.T, s *Site, c *Caller, group int, name string) {
	t.Helper()
	began := time.Now()
	for try := 0; ; try++ {
		id := fmt.Sprintf("%08x%08x", group, try)
		if r := c.Submit(t.Context(), s.CallerAddress(0), id, 8, 50*time.Millisecond, time.Second); r.State == "completed" {
			return
		}
		if time.Since(began) > servedWithin {
			t.Fatalf("%s: no job is served within %v", name, servedWithin)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// A report of another writer that reaches a new agent before the server's first one must not
// keep that one out (review/3 on a cold start).
func TestAServerServesAlthoughAnotherWriterReportsFirst(t *testing.T) {
	s := startSite(t, 1, 1, 20*time.Millisecond)
	var c Caller
	submit(t, s, &c, 0, "0000000000000001", 1)
	server := s.Backends[0]
	for i, odd := range oddReports {
		if err := s.Agents[0].Kill(); err != nil {
			t.Fatal(err)
		}
		server.HoldReports(true)
		if err := s.Agents[0].Start(); err != nil {
			t.Fatal(err)
		}
		for status := 0; status == 0; time.Sleep(5 * time.Millisecond) {
			status = server.SendOddReport(t.Context(), odd.id, odd.change)
		}
		server.HoldReports(false)
		awaitServed(t, s, &c, i+1, odd.name)
	}
}

// Reports of another writer with the server's own ID, start and address, at five times the rate of
// its own, took it out of use as long as they lasted. Of those that start less, nothing may be
// left once they end.
func TestAServerServesBesideLastingOddReports(t *testing.T) {
	for i, odd := range oddReports {
		t.Run(odd.name, func(t *testing.T) {
			t.Parallel()
			s := startSite(t, 1, 1, 20*time.Millisecond)
			var c Caller
			submit(t, s, &c, 0, "0000000000000001", 1)
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			go func() {
				for ctx.Err() == nil {
					s.Backends[0].SendOddReport(ctx, odd.id, odd.change)
					time.Sleep(reportInterval / 5)
				}
			}()
			time.Sleep(2 * reportInterval)
			if startsLess[odd.name] {
				stop()
			}
			for group := range 3 {
				awaitServed(t, s, &c, 16*(i+1)+group, odd.name)
			}
		})
	}
}

// A report of another writer with a tiny capacity made entries answer jobs as failed, since their
// tasks fitted no server any more.
func TestNoJobFailsByAnOddCapacity(t *testing.T) {
	s := startSite(t, 1, 1, 100*time.Millisecond)
	var c Caller
	submit(t, s, &c, 0, "0000000000000001", 1)
	reply := make(chan Reply, 1)
	go func() {
		reply <- c.Submit(context.Background(), s.CallerAddress(0), "0000000000000002", 48, 100*time.Millisecond, 5*time.Second)
	}()
	awaitStarts(t, s, 4)
	s.Backends[0].SendOddReport(t.Context(), "server-0", func(r map[string]any) { r["capacity"] = map[string]int64{"cpu": 1, "memMb": 1} })
	if r := <-reply; r.State != "completed" {
		t.Errorf("the job is answered %+v after the report, want it completed", r)
	}
}

// An entry that was frozen while no other used its agents refused everything for good
// (review/2).
func TestAFrozenEntryServesAgainWithoutOtherTraffic(t *testing.T) {
	s := startSite(t, 1, 2, 20*time.Millisecond)
	var c Caller
	submit(t, s, &c, 0, "0000000000000001", 1)
	if err := s.Entries[0].Pause(); err != nil {
		t.Fatal(err)
	}
	var jobs sync.WaitGroup
	for i := range 30 {
		jobs.Go(func() {
			time.Sleep(time.Duration(i) * 60 * time.Millisecond) // during the freeze and just after it
			c.Submit(t.Context(), s.CallerAddress(0), fmt.Sprintf("%08x%08x", 1, i), 4, 50*time.Millisecond, 2*time.Second)
		})
	}
	time.Sleep(1500 * time.Millisecond)
	if err := s.Entries[0].Resume(); err != nil {
		t.Fatal(err)
	}
	jobs.Wait()
	if r := c.Submit(t.Context(), s.CallerAddress(0), "0000000000000002", 4, 50*time.Millisecond, 2*time.Second); r.State != "completed" {
		t.Errorf("a job after the freeze is answered %+v, want it completed", r)
	}
}

// A job went on after its cancel had been answered, if its entry was frozen meanwhile (review/1).
func TestACancelHoldsAfterAFreezeOfTheJobsEntry(t *testing.T) {
	s := startSite(t, 2, 1, 200*time.Millisecond)
	var c Caller
	submit(t, s, &c, 0, "0000000000000001", 1)
	submit(t, s, &c, 1, "0000000000000002", 1)
	const id = "0000000000000003"
	reply := make(chan Reply, 1)
	go func() {
		reply <- c.Submit(context.Background(), s.CallerAddress(0), id, 24, 200*time.Millisecond, 9*time.Second)
	}()
	awaitStarts(t, s, 4)
	if err := s.Entries[0].Pause(); err != nil {
		t.Fatal(err)
	}
	if r := c.Cancel(t.Context(), s.CallerAddress(1), id); r.Status != http.StatusOK {
		t.Errorf("the cancel is answered %+v while the job's entry is frozen, want 200", r)
	}
	time.Sleep(time.Second)
	if err := s.Entries[0].Resume(); err != nil {
		t.Fatal(err)
	}
	if r := <-reply; r.State != "cancelled" {
		t.Errorf("the cancelled job is answered %+v", r)
	}
	starts := s.Checks.Starts()
	time.Sleep(time.Second)
	if n := s.Checks.Starts(); n != starts {
		t.Errorf("%d tasks of the cancelled job start after it was answered", n-starts)
	}
}
