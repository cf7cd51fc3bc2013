package schedule

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/run"
	"foxtaildock.example/dock/work"
)

// reportSpeed reports the room and the speed of an agent's server.
func (b *testBench) reportSpeed(name ident.Incarnation, usedMilli int64, f run.SpeedFigure, labels ...string) {
	b.step(AgentRoomReported{
		Agent: name, Server: work.Server{Incarnation: "server of " + string(name), Service: "s", Domain: "d", Labels: labels, Capacity: work.Demand{CPUMilli: 4000, MemoryMB: 4000}},
		Used: work.Demand{CPUMilli: usedMilli}, LastOfferIncluded: b.core.agents[name].sequence, Speed: f,
	})
}

// attachWithSpeeds attaches one agent for each speed, named s0, s1, ...
func (b *testBench) attachWithSpeeds(speeds ...float64) {
	for i, v := range speeds {
		name := ident.Incarnation(fmt.Sprint("s", i))
		b.step(AgentAttached{Agent: name, Address: string(name), RequestedAt: b.now})
		b.reportSpeed(name, 0, run.SpeedFigure{Value: v, Samples: 100})
	}
}

func (b *testBench) factor(name ident.Incarnation) float64 {
	b.core.speedsDue = 0
	b.core.refreshSpeeds()
	return b.core.agents[name].speed.factor()
}

// An entry that has just started must place by the agents' figures from the first
// reports on, not learn the speeds by tasks that are late.
func TestANewEntryPlacesBySpeed(t *testing.T) {
	b := newTestBench(t)
	b.attachWithSpeeds(2.2, 1, 2.2, 1)
	b.submit("job", 2, 2)
	for r, agent := range offered(b.takeActions()) {
		if agent != "s1" && agent != "s3" {
			t.Errorf("%v is offered to the slow server of %s", r, agent)
		}
	}
}

// A figure that is too old, rests on too few runs or can't be right must not decide.
func TestOnlyUsableFiguresCount(t *testing.T) {
	for name, test := range map[string]struct {
		figure run.SpeedFigure
		want   float64
	}{
		"usable":       {run.SpeedFigure{Value: 2, Samples: 8, Age: 30 * time.Second}, 2},
		"too old":      {run.SpeedFigure{Value: 2, Samples: 8, Age: 30*time.Second + 1}, 1},
		"few samples":  {run.SpeedFigure{Value: 2, Samples: 7}, 1},
		"unknown":      {run.SpeedFigure{}, 1},
		"out of range": {run.SpeedFigure{Value: 100, Samples: 8}, 8},
		"too fast":     {run.SpeedFigure{Value: 0.01, Samples: 8}, 0.25},
	} {
		b := newTestBench(t)
		b.now = time.Minute
		b.attachWithSpeeds(1, 1, 1)
		b.step(AgentAttached{Agent: "a", Address: "a", RequestedAt: b.now})
		b.reportSpeed("a", 0, test.figure, "other kind")
		if got := b.factor("a"); math.Abs(got-test.want) > 0.01 {
			t.Errorf("%s: speed %.2f, want %.2f", name, got, test.want)
		}
	}
}

// A server without a figure must be judged by its kind, whatever its rack, but only if
// servers of that kind are alike.
func TestAServerWithoutFigureIsJudgedByItsKind(t *testing.T) {
	for _, test := range []struct {
		speeds []float64
		want   float64
	}{{[]float64{2, 2.1, 2.2}, 2.1}, {[]float64{1, 2, 3}, 1}, {[]float64{2, 2}, 1}} {
		b := newTestBench(t)
		b.core.noteRack("r1")
		b.core.noteRack("r2")
		b.attachWithSpeeds(1, 1, 1, 1)
		for i, v := range test.speeds {
			name := ident.Incarnation(fmt.Sprint("k", i))
			b.step(AgentAttached{Agent: name, Address: string(name), RequestedAt: b.now})
			b.reportSpeed(name, 0, run.SpeedFigure{Value: v, Samples: 100}, "old", "r1")
		}
		b.step(AgentAttached{Agent: "new", Address: "new", RequestedAt: b.now})
		b.reportSpeed("new", 0, run.SpeedFigure{}, "r2", "old")
		if got := b.factor("new"); math.Abs(got-test.want) > 0.01 {
			t.Errorf("kind with speeds %v: speed %.2f, want %.2f", test.speeds, got, test.want)
		}
	}
}

// Speeds and the ratios of routes are learnt from the same runs, so they could drift
// against each other. The median speed must stay near 1 and the product of both right,
// with estimates that are off by 40 %, stragglers, and figures that start at twice the
// usual scale.
func TestSpeedsAndRoutesDoNotDrift(t *testing.T) {
	b := newTestBench(t)
	random := rand.New(rand.NewPCG(1, 2))
	speeds := []float64{2.2, 1, 1, 1, 2.2, 1, 1, 1}
	agents := make([]float64, len(speeds)) // figures that the agents report
	for i := range agents {
		agents[i] = 2 * speeds[i]
	}
	b.attachWithSpeeds(agents...)
	const estimate, ratio = 100 * time.Millisecond, 0.5
	for i := range 20000 {
		b.now += 5 * time.Millisecond
		b.step(Tick{})
		at := i % len(speeds)
		name := ident.Incarnation(fmt.Sprint("s", at))
		ran := float64(estimate) * ratio * speeds[at] / (1 + 0.4*(2*random.Float64()-1))
		if random.IntN(100) < 3 {
			ran *= 7
		}
		expected := b.core.expectedTask("route-2", &Step{Estimate: estimate})
		agents[at] += 0.06 * (min(ran/float64(expected), 2*agents[at]) - agents[at])
		b.reportSpeed(name, 0, run.SpeedFigure{Value: agents[at], Samples: 100})
		j := &jobState{Job: Job{Route: route(2), Steps: []Step{{Count: 1, Estimate: estimate}}}}
		b.core.recordRunTime(b.core.agents[name], j, RunEnded{Ran: time.Duration(ran)})
	}
	if m := b.factor("s1"); m < 0.85 || m > 1.15 {
		t.Errorf("speed of a usual server %.2f, want about 1", m)
	}
	if f := b.factor("s0") / b.factor("s1"); f < 1.9 || f > 2.5 {
		t.Errorf("a server 2.2 times as slow has a speed of %.2f times the usual one", f)
	}
	// The mean with stragglers is 1.18 times the time without, and limits of samples lower
	// it; both are the same for all servers.
	expected := float64(b.core.expectedTask("route-2", &Step{Estimate: estimate})) * b.factor("s1")
	if want := ratio * float64(estimate); expected < 0.9*want || expected > 1.4*want {
		t.Errorf("expected run time %v, want about %v", time.Duration(expected), time.Duration(want))
	}
}
