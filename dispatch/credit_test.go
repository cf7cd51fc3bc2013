package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"foxtaildock.example/dock/ident"
)

var testServices = []ident.Service{"s"}

func threeExecutors() []Executor {
	return []Executor{
		{Incarnation: "a", Services: testServices, Slots: 8, Free: 1, Accepting: true},
		{Incarnation: "b", Services: testServices, Slots: 8, Free: 2, Accepting: true},
		{Incarnation: "own", Services: testServices, Slots: 8, Free: 1, Accepting: true},
	}
}

func newTestCredit() *Credit {
	p := NewCredit(Config{Own: "own", Random: rand.New(rand.NewPCG(1, 2))})
	p.SetExecutors(0, threeExecutors())
	return p
}

func mustPick(t *testing.T, p Pool, now time.Duration, want ident.Incarnation) {
	t.Helper()
	got, ok := p.Pick(now, "s")
	if !ok || got != want {
		t.Fatalf("picked %q %v, want %q", got, ok, want)
	}
}

func TestCreditPicksOwnThenKeptThenFreeThenWaits(t *testing.T) {
	p := newTestCredit()
	p.Offer(0, "a", 1)
	mustPick(t, p, 0, "own")
	mustPick(t, p, 0, "a")
	mustPick(t, p, 0, "b")
	mustPick(t, p, 0, "b")
	if inc, ok := p.Pick(0, "s"); ok {
		t.Fatalf("no slot is idle, but %q was picked", inc)
	}
	if got := p.Wants(0, "s", 1, 0); len(got) != 3 {
		t.Fatalf("told %v that a task waits", got)
	}
	if got := p.Wants(0, "s", 1, 0); got != nil {
		t.Fatalf("told %v the same twice", got)
	}
	p.Offer(0, "a", 1)
	mustPick(t, p, 0, "a")
	if got := p.Wants(0, "s", 0, 0); len(got) != 3 {
		t.Fatalf("told %v that nothing waits any more", got)
	}
}

func TestCreditLapses(t *testing.T) {
	p := newTestCredit()
	for range 4 {
		p.Pick(0, "s")
	}
	p.Offer(0, "b", 1)
	if inc, ok := p.Pick(DefaultCreditFor, "s"); ok {
		t.Fatalf("%q was picked on a lapsed credit", inc)
	}
}

func TestCreditIgnoresExecutorsNotAccepting(t *testing.T) {
	p := newTestCredit()
	list := threeExecutors()
	list[1].Accepting = false
	list[2].Services = nil
	p.SetExecutors(0, list)
	mustPick(t, p, 0, "a")
	if inc, ok := p.Pick(0, "s"); ok {
		t.Fatalf("%q was picked", inc)
	}
}

func BenchmarkCreditPick(b *testing.B) {
	p := newTestCredit()
	for b.Loop() {
		inc, ok := p.Pick(0, "s")
		if !ok {
			b.Fatal("no executor")
		}
		p.Report(0, inc, Report{Free: 1, Started: true})
	}
}
