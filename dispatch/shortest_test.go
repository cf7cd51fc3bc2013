package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"foxtaildock.example/dock/ident"
)

var testServices = []ident.Service{"s"}

func threeExecutors() []Executor {
	return []Executor{
		{Incarnation: "a", Services: testServices, Slots: 8, Load: Load{Free: 1}, Accepting: true},
		{Incarnation: "b", Services: testServices, Slots: 8, Load: Load{Free: 3}, Accepting: true},
		{Incarnation: "own", Services: testServices, Slots: 8, Load: Load{Free: 1}, Accepting: true},
	}
}

func newTestPool() *ShortestQueue {
	p := NewShortestQueue(Config{Own: "own", Random: rand.New(rand.NewPCG(1, 2))})
	p.SetExecutors(0, threeExecutors())
	return p
}

func mustPick(t *testing.T, p Pool, now time.Duration, want ident.Incarnation) {
	t.Helper()
	got, ok := p.Pick(now, "s", false)
	if !ok || got != want {
		t.Fatalf("picked %q %v, want %q", got, ok, want)
	}
}

func TestShortestQueuePicksOwnThenMostIdleThenWaits(t *testing.T) {
	p := newTestPool()
	mustPick(t, p, 0, "own")
	mustPick(t, p, 0, "b")
	mustPick(t, p, 0, "b")
	for range 2 + 3*4 {
		if _, ok := p.Pick(0, "s", false); !ok {
			t.Fatal("no executor was picked, though a gate has room")
		}
	}
	if inc, ok := p.Pick(0, "s", false); ok {
		t.Fatalf("%q was picked, though no gate has room", inc)
	}
	if _, ok := p.Pick(0, "s", true); !ok {
		t.Fatal("no executor was picked for an urgent task")
	}
}

func TestListedLoadDoesNotOutrankFreshReport(t *testing.T) {
	p := newTestPool()
	p.Report(0, "b", Report{Started: true, Load: Load{Queued: 5}})
	p.SetExecutors(defaultReportedLoadTTL/2, threeExecutors())
	mustPick(t, p, defaultReportedLoadTTL/2, "own")
	mustPick(t, p, defaultReportedLoadTTL/2, "a")
	p.SetExecutors(defaultReportedLoadTTL, threeExecutors())
	mustPick(t, p, defaultReportedLoadTTL, "own")
	mustPick(t, p, defaultReportedLoadTTL, "b")
}

func TestExecutorsNotAcceptingAreNotPicked(t *testing.T) {
	p := newTestPool()
	list := threeExecutors()
	list[1].Accepting = false
	list[2].Services = nil
	p.SetExecutors(0, list)
	for range 1 + 4 {
		mustPick(t, p, 0, "a")
	}
	if inc, ok := p.Pick(0, "s", false); ok {
		t.Fatalf("%q was picked, want none", inc)
	}
}

func BenchmarkShortestQueuePick(b *testing.B) {
	for _, n := range []int{11, 200} {
		b.Run(fmt.Sprint(n), func(b *testing.B) { benchmarkPick(b, n) })
	}
}

func benchmarkPick(b *testing.B, executors int) {
	p := newTestPool()
	var list []Executor
	for i := range executors {
		e := threeExecutors()[0]
		e.Incarnation = ident.Incarnation(rune('a' + i))
		list = append(list, e)
	}
	p.SetExecutors(0, list)
	for b.Loop() {
		inc, ok := p.Pick(0, "s", true)
		if !ok {
			b.Fatal("no executor")
		}
		p.Report(0, inc, Report{Load: Load{Free: 1}, Started: true})
	}
}

func TestExecutorThatRefusedGetsAPause(t *testing.T) {
	p := newTestPool()
	mustPick(t, p, 0, "own")
	p.Report(0, "own", Report{Load: Load{Free: 8}})
	mustPick(t, p, 0, "b")
	mustPick(t, p, refusalPause, "own")
}
