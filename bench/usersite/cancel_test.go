package usersite

import (
	"context"
	"net/http"
	"testing"
	"time"
)

// cancelledJob runs a job at the first entry, cancels it at another one, and returns the job's
// ID and the channel of its answer. Between the two before is called.
func cancelledJob(t *testing.T, s *Site, at int, before func()) (id string, answer chan Reply) {
	t.Helper()
	id, answer = "0000000000000009", make(chan Reply, 1)
	starts := s.Checks.Starts()
	var c Caller
	go func() {
		answer <- c.Submit(context.Background(), s.CallerAddress(0), id, 24, 200*time.Millisecond, 9*time.Second)
	}()
	awaitStarts(t, s, starts+4)
	before()
	if r := c.Cancel(t.Context(), s.CallerAddress(at), id); r.Status != http.StatusOK {
		t.Errorf("the cancel is answered %+v, want 200", r)
	}
	return id, answer
}

// startSiteOfThree starts a site of three entries that serve.
func startSiteOfThree(t *testing.T) *Site {
	t.Helper()
	s := startSite(t, 3, 1, 200*time.Millisecond)
	var c Caller
	for entry, id := range []string{"0000000000000001", "0000000000000002", "0000000000000003"} {
		submit(t, s, &c, entry, id, 1)
	}
	return s
}

// restartEntry kills an entry and starts it again, and returns once it is ready.
func restartEntry(t *testing.T, s *Site, entry int) {
	t.Helper()
	if err := s.Entries[entry].Kill(); err != nil {
		t.Fatal(err)
	}
	if err := s.Entries[entry].Start(); err != nil {
		t.Fatal(err)
	}
	for !s.Ready(entry) {
		if t.Context().Err() != nil {
			t.Fatal("an entry that was restarted doesn't get ready")
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// A job whose route had been removed couldn't be cancelled by anybody: each DELETE was answered 404
// (review/8).
func TestAJobOfARemovedRouteCanBeCancelled(t *testing.T) {
	t.Parallel()
	s := startSiteOfThree(t)
	id, answer := cancelledJob(t, s, 1, func() {
		empty := map[string]any{"version": 2, "routes": []any{}, "services": []any{}, "limits": map[string]any{}}
		if err := s.Store.Put("op", "config", empty); err != nil {
			t.Fatal(err)
		}
		time.Sleep(500 * time.Millisecond)
	})
	if r := <-answer; r.State != "cancelled" {
		t.Errorf("the cancelled job is answered %+v", r)
	}
	starts := s.Checks.Starts()
	time.Sleep(500 * time.Millisecond)
	if n := s.Checks.Starts() - starts; n != 0 {
		t.Errorf("%d tasks of the cancelled job start", n)
	}
	var c Caller
	if r := c.Cancel(t.Context(), s.CallerAddress(0), "0000000000000abc"); r.Status != http.StatusNotFound {
		t.Errorf("a cancel of a job that nobody has, without a route, is answered %+v, want 404", r)
	}
	if r := c.Submit(t.Context(), s.CallerAddress(0), id, 1, time.Millisecond, time.Second); r.Status != http.StatusNotFound {
		t.Errorf("a job of a removed route is answered %+v, want 404", r)
	}
}

// A cancel ended with the entry that had acknowledged it, while the job's entry was frozen: that one
// went on with the job when it was back (review/9).
func TestACancelHoldsAlthoughTheEntryThatTookItHasEnded(t *testing.T) {
	t.Parallel()
	s := startSiteOfThree(t)
	_, answer := cancelledJob(t, s, 1, func() {
		if err := s.Entries[0].Pause(); err != nil {
			t.Fatal(err)
		}
	})
	restartEntry(t, s, 1)
	time.Sleep(time.Second)
	starts := s.Checks.Starts()
	if err := s.Entries[0].Resume(); err != nil {
		t.Fatal(err)
	}
	if r := <-answer; r.State != "cancelled" {
		t.Errorf("the cancelled job is answered %+v", r)
	}
	time.Sleep(time.Second)
	if n := s.Checks.Starts() - starts; n != 0 {
		t.Errorf("%d tasks of the cancelled job start after its entry is back", n)
	}
}

// A cancel was forgotten with the entries' processes: a late copy of the job's POST ran at an entry
// that had been restarted (review/7). Here all entries are restarted in turn.
func TestACancelHoldsAtEntriesThatWereRestarted(t *testing.T) {
	t.Parallel()
	s := startSiteOfThree(t)
	id, answer := cancelledJob(t, s, 0, func() {})
	if r := <-answer; r.State != "cancelled" {
		t.Errorf("the cancelled job is answered %+v", r)
	}
	starts := s.Checks.Starts()
	for entry := range s.Entries {
		restartEntry(t, s, entry)
		var c Caller
		if r := c.Submit(t.Context(), s.CallerAddress(entry), id, 4, 200*time.Millisecond, 5*time.Second); r.State != "cancelled" {
			t.Errorf("a late copy at entry %d, which was restarted, is answered %+v, want cancelled", entry, r)
		}
	}
	if n := s.Checks.Starts() - starts; n != 0 {
		t.Errorf("%d tasks of a cancelled job start", n)
	}
}
