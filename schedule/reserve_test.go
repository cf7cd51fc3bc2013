package schedule

import (
	"fmt"
	"testing"
	"time"

	"foxtaildock.example/dock/work"
)

// A burst of urgent jobs found every slot taken by long, less urgent tasks, because those
// took each slot that became free. Without such a shortage nothing may be held back.
func TestLessUrgentWorkLeavesRoomOnlyAfterAShortage(t *testing.T) {
	for name, c := range map[string]struct {
		urgent   work.Priority
		shortage bool
		later    time.Duration
		want     int
	}{
		"no shortage":                {urgent: 0, want: 8},
		"shortage just now":          {urgent: 0, shortage: true, later: 900 * time.Millisecond, want: 7},
		"shortage over a second ago": {urgent: 0, shortage: true, later: 1100 * time.Millisecond, want: 8},
		"shortage of the same one":   {urgent: 2, shortage: true, want: 8},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestBench(t)
			b.attachAgent("a", "1")
			b.attachAgent("b", "2")
			if c.shortage {
				b.reportRoom("a", 4000)
				b.reportRoom("b", 4000)
			}
			for i := range 4 {
				b.submit(fmt.Sprint("urgent-", i), c.urgent, 2)
			}
			for i := range 4 {
				b.step(JobDropped{ID: work.JobID(fmt.Sprint("urgent-", i))})
			}
			b.now += c.later
			b.ackHeartbeat("a")
			b.ackHeartbeat("b")
			b.reportRoom("a", 0)
			b.reportRoom("b", 0)
			b.takeActions()
			b.submit("long", 2, 8)
			if n := len(offered(b.takeActions())); n != c.want {
				t.Errorf("%d less urgent tasks are offered into room for 8, want %d", n, c.want)
			}
		})
	}
}

// On a fleet that is no larger than one urgent job, less urgent work waited for ever.
func TestAReservationTakesAFewPercentOfASmallFleet(t *testing.T) {
	b := newTestBench(t)
	b.attachAgent("a", "1")
	b.submit("urgent", 0, 8)
	b.step(JobDropped{ID: "urgent"})
	b.reportRoom("a", 0)
	b.takeActions()
	b.submit("long", 2, 4)
	if n := len(offered(b.takeActions())); n != 3 {
		t.Errorf("%d less urgent tasks are offered into room for 4, want 3", n)
	}
}
