package schedule

import (
	"testing"

	"foxtaildock.example/dock/work"
)

// reportCapacity reports a server of which two tasks take up 2000 of the capacity.
func (b *testBench) reportCapacity(cpuMilli int64) {
	b.step(AgentRoomReported{
		Agent: "a", Server: work.Server{Incarnation: "server of a", Service: "s", Domain: "d", Capacity: work.Demand{CPUMilli: cpuMilli, MemoryMB: 4000}},
		Used: work.Demand{CPUMilli: 2000}, LastOfferIncluded: b.core.agents["a"].sequence,
	})
}

// Nothing is offered into a room that has shrunk, what runs there goes on, and room that has
// grown again is used. (Only the most urgent tasks may wait at a full agent.)
func TestNothingIsOfferedIntoARoomThatHasShrunk(t *testing.T) {
	b := newTestBench(t)
	b.attachAgent("a", "1")
	b.submit("job", 2, 2)
	b.takeActions()
	b.reportCapacity(2000)
	b.submit("later", 2, 1)
	out := b.takeActions()
	if runs := offered(out); len(runs) != 0 {
		t.Fatalf("%v are offered to a server whose smaller capacity is used up", runs)
	}
	if len(actionsOf[SendStops](out)) != 0 || len(actionsOf[Answer](out)) != 0 {
		t.Fatalf("actions %+v since the capacity has shrunk, want none", out)
	}
	b.reportCapacity(4000)
	if runs := offered(b.takeActions()); len(runs) != 1 {
		t.Fatalf("%v are offered once the capacity has grown again, want the waiting task", runs)
	}
}
