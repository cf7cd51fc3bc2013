package schedule

import (
	"testing"
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/work"
)

// A job of many tasks that need nothing was placed in one step, which took the longer the more of
// its offers were in flight, and kept the entry from all else for a minute.
func TestAJobOfManyTasksIsPlacedInParts(t *testing.T) {
	const tasks = 3 * maxPlaced
	b := newTestBench(t)
	b.attachAgent("a", "1")
	b.step(JobArrived{Job: Job{ID: "many", Route: route(0), Deadline: time.Hour, Steps: []Step{{Count: tasks}}}})
	runs := offered(b.takeActions())
	if len(runs) != maxInFlight {
		t.Fatalf("%d tasks are offered at once, want %d", len(runs), maxInFlight)
	}
	b.reportRoom("a", 0) // the offers have arrived
	for r := range offered(b.takeActions()) {
		runs[r] = "a"
	}
	if len(runs) != maxPlaced {
		t.Fatalf("%d tasks are placed, want %d", len(runs), maxPlaced)
	}
	b.submit("ordinary", 0, 1)
	if _, ok := offered(b.takeActions())[runOf("ordinary", 0, 1)]; !ok {
		t.Error("an ordinary job isn't placed beside it")
	}
	if n := b.endAll(runs); n != tasks {
		t.Errorf("%d tasks have run, want %d", n, tasks)
	}
	if j := b.core.jobs["many"]; j != nil {
		t.Error("the job isn't answered although all its tasks are done")
	}
}

// endAll ends runs at agent a, and those that are offered meanwhile, and returns their number.
func (b *testBench) endAll(runs map[work.Run]ident.Incarnation) int {
	n := 0
	for len(runs) > 0 {
		for r := range runs {
			b.endRun("a", r, work.Done)
			n++
		}
		b.reportRoom("a", 0)
		runs = offered(b.takeActions())
	}
	return n
}
