package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"foxtaildock.example/dock/ident"
)

const (
	fleetSize = 11
	usualPace = 300 * time.Millisecond
)

func newFleet() *ShortestQueue {
	p := NewShortestQueue(Config{Random: rand.New(rand.NewPCG(3, 4))})
	var list []Executor
	for i := range fleetSize {
		inc := ident.Incarnation(fmt.Sprintf("x%02d", i))
		load := Load{Free: 8, Pace: usualPace}
		list = append(list, Executor{Incarnation: inc, Services: testServices, Slots: 8, Load: load, Accepting: true})
	}
	p.SetExecutors(0, list)
	return p
}

// serve lets the pool place n tasks, each answered at once, and returns the number
// of tasks for each executor.
func serve(p *ShortestQueue, n int, answer func(ident.Incarnation) Report) map[ident.Incarnation]int {
	counts := make(map[ident.Incarnation]int)
	for i := range n {
		now := time.Duration(i) * 10 * time.Millisecond
		inc, ok := p.Pick(now, "s", i%2 == 0)
		if !ok {
			continue
		}
		counts[inc]++
		p.Report(now, inc, answer(inc))
	}
	return counts
}

func good(ident.Incarnation) Report {
	return Report{Load: Load{Free: 8, Pace: usualPace}, Started: true, Ran: usualPace}
}

func failingAt(bad ident.Incarnation) func(ident.Incarnation) Report {
	return func(inc ident.Incarnation) Report {
		r := good(inc)
		r.Failed = inc == bad
		return r
	}
}

func slowAt(bad ident.Incarnation) func(ident.Incarnation) Report {
	return func(inc ident.Incarnation) Report {
		r := good(inc)
		if inc == bad {
			r.Ran *= 10
			r.Load.Pace *= 10
		}
		return r
	}
}

func TestFailingExecutorIsAvoidedAndComesBack(t *testing.T) {
	p := newFleet()
	if n := serve(p, 4000, failingAt("x03"))["x03"]; n > 4000/100 {
		t.Fatalf("the failing executor got %d of 4000 tasks, want at most 40", n)
	}
	serve(p, 2*probeMax, good)
	if n := serve(p, 1100, good)["x03"]; n < 50 {
		t.Fatalf("after its recovery the executor got %d of 1100 tasks, want at least 50", n)
	}
}

func TestStragglerIsAvoidedAndComesBack(t *testing.T) {
	p := newFleet()
	if n := serve(p, 4000, slowAt("x03"))["x03"]; n > 4000/100 {
		t.Fatalf("the straggler got %d of 4000 tasks, want at most 40", n)
	}
	serve(p, 2*probeMax, good)
	if n := serve(p, 1100, good)["x03"]; n < 50 {
		t.Fatalf("after its recovery the executor got %d of 1100 tasks, want at least 50", n)
	}
}

func TestFailureOfAllAvoidsNobody(t *testing.T) {
	p := newFleet()
	allFail := func(inc ident.Incarnation) Report {
		r := good(inc)
		r.Failed = true
		return r
	}
	serve(p, 1000, allFail)
	for inc, n := range serve(p, 1100, allFail) {
		if n < 50 {
			t.Errorf("%s got %d of 1100 tasks, want at least 50", inc, n)
		}
	}
}

func TestLastExecutorIsUsedThoughItFails(t *testing.T) {
	p := newTestPool()
	p.Remove("a")
	p.Remove("b")
	for range 20 {
		inc, ok := p.Pick(0, "s", true)
		if !ok {
			t.Fatal("the only executor was not picked")
		}
		p.Report(0, inc, Report{Load: Load{Free: 1}, Started: true, Failed: true})
	}
}

func TestLateAnswersSayNothingAboutHealth(t *testing.T) {
	p := newFleet()
	late := func(inc ident.Incarnation) Report {
		r := failingAt("x03")(inc)
		r.Late = r.Failed
		return r
	}
	if n := serve(p, 1100, late)["x03"]; n < 50 {
		t.Fatalf("the executor with late failures got %d of 1100 tasks, want at least 50", n)
	}
}
