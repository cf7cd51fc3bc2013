package shutdown

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	grace    = 6 * time.Second
	balancer = 3 * time.Second
	poll     = 20 * time.Millisecond
)

// A request that arrives after the balancer's delay, when no other one is in progress, was
// cut by the closing of its listener.
func TestARequestTakenLateInAStopIsAnswered(t *testing.T) {
	s := New(NewPlan(grace, balancer))
	arrival := balancer + 2*poll
	answered := arrival + 900*time.Millisecond
	for now := time.Duration(0); now < grace; now += poll {
		o := Observation{Elapsed: now, SinceArrival: Quiet / 2, Connections: 20}
		if now >= arrival {
			o.SinceArrival = now - arrival
			o.Working = now < answered
		}
		d := s.Step(o)
		if d.CloseIdle {
			o.Connections = 0
			if now < answered {
				o.Connections = 1
			}
			d = s.Step(o)
		}
		if d.End {
			if now < answered {
				t.Fatalf("the process ends %v after the signal, want after the answer at %v", now, answered)
			}
			return
		}
	}
	t.Fatal("the process doesn't end")
}

func TestAnswersHaveTimeToBeWrittenBeforeTheEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := time.Duration(rapid.IntRange(500, 20000).Draw(t, "grace ms")) * time.Millisecond
		p := NewPlan(g, balancer)
		if !(p.Balancer < p.LastAccept && p.LastAccept < p.AnswerBy && p.AnswerBy+poll < p.Limit && p.Limit < g) {
			t.Errorf("plan %+v for a grace period of %v isn't in order", p, g)
		}
	})
}

// Properties of every stop: connections are accepted and kept until the balancer's delay is
// over, nothing open is cut before the limit, no decision is taken back, and the process
// ends within the grace period.
func TestStopsEndWithoutCuttingRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := time.Duration(rapid.IntRange(500, 20000).Draw(t, "grace ms")) * time.Millisecond
		plan := NewPlan(g, balancer)
		s := New(plan)
		last := Decision{}
		for now := time.Duration(0); ; now += poll {
			if now > g {
				t.Fatalf("the process hasn't ended after a grace period of %v", g)
			}
			o := Observation{
				Elapsed:      now,
				SinceArrival: time.Duration(rapid.IntRange(0, 400).Draw(t, "since arrival ms")) * time.Millisecond,
				Connections:  rapid.IntRange(0, 2).Draw(t, "connections"),
				Working:      rapid.Bool().Draw(t, "working"),
			}
			d := s.Step(o)
			if now < plan.Balancer && d != (Decision{}) {
				t.Fatalf("decision %+v after %v, want none before %v", d, now, plan.Balancer)
			}
			if d.End && now < plan.Limit && (o.Connections > 0 || o.Working) {
				t.Fatalf("the process ends after %v with %+v", now, o)
			}
			if last.StopAccepting && !d.StopAccepting {
				t.Fatalf("decision %+v follows %+v", d, last)
			}
			if d.End {
				return
			}
			last = d
		}
	})
}
