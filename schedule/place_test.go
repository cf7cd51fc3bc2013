package schedule

import (
	"testing"
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/operator"
	"foxtaildock.example/dock/run"
	"foxtaildock.example/dock/work"
)

// Placement while the speeds of servers differ. With slack, tasks once filled the slow servers
// first and waited at their agents.
func TestPlacementBySlack(t *testing.T) {
	const estimate = 100 * time.Millisecond
	for name, test := range map[string]struct {
		target     time.Duration // objective of the job besides its Stretch of 1.6
		slow       float64
		fastUsed   int64 // of each of the two fast servers
		late       bool
		wantAgents []ident.Incarnation // nil if the task has to wait
	}{
		"slack takes the fast server":            {400 * time.Millisecond, 2, 3750, false, []ident.Incarnation{"s0", "s1"}},
		"little slack takes the fast server":     {20 * time.Millisecond, 2, 3750, false, []ident.Incarnation{"s0", "s1"}},
		"in time only without room waits":        {20 * time.Millisecond, 2, 4000, false, nil},
		"late takes slow capacity":               {20 * time.Millisecond, 2, 1000, true, []ident.Incarnation{"s2"}},
		"speeds below the Stretch are no reason": {400 * time.Millisecond, 1.5, 3750, false, []ident.Incarnation{"s0", "s1"}},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestBench(t)
			b.attachWithSpeeds(1, 1, test.slow)
			for _, a := range []ident.Incarnation{"s0", "s1"} {
				b.reportSpeed(a, test.fastUsed, run.SpeedFigure{Value: 1, Samples: 100})
			}
			r := route(2)
			r.TargetLatency = test.target
			j := b.core.newJob(Job{ID: "job", Route: r, Deadline: time.Minute, Steps: []Step{{Count: 1, Demand: work.Demand{CPUMilli: 200}, Estimate: estimate}}})
			j.late = test.late
			b.core.jobs[j.ID] = j
			b.core.enqueue(j)
			b.step(Tick{})
			agent, placed := offered(b.takeActions())[runOf("job", 0, 1)]
			found := len(test.wantAgents) == 0 && !placed
			for _, want := range test.wantAgents {
				found = found || agent == want
			}
			if !found {
				t.Errorf("placed at %q, want one of %v", agent, test.wantAgents)
			}
		})
	}
}

// A service whose routes have no Stretch must be placed as before, however far the speeds
// are apart.
func TestPlacementBySlackNeedsAStretch(t *testing.T) {
	b := newTestBench(t)
	r := route(2)
	r.Stretch = 0
	b.step(OperatorChanged{Rows: operator.Rows{Version: 2, Manifest: &operator.Manifest{Routes: []operator.Route{r}}}})
	b.attachWithSpeeds(1, 1, 3)
	b.factor("s0")
	if b.core.speedsOf("s").apart {
		t.Error("placement by slack is in force without a Stretch")
	}
}
