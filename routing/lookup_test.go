package routing

import (
	"testing"
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/placement"
)

// TestLookupLeavesReplacedHome checks that a look-up whose home was replaced by
// another incarnation calls the home in the newest placement. The failure it guards
// against is calling the lost incarnation again.
func TestLookupLeavesReplacedHome(t *testing.T) {
	r := New(DefaultConfig())
	r.Step(0, SetPlacement{Placement: placement.New(1, []placement.Member{{Incarnation: "old", Joined: 1}})})
	key := ident.JobKey{Team: "tills", Key: "k"}
	r.Step(0, Request{ID: 1, Op: OpState, Key: key, Deadline: time.Minute})
	r.Step(0, CallFailed{ID: 1, Call: 1, Sent: true})
	r.Step(time.Second, Tick{})
	r.Step(time.Second, SetPlacement{Placement: placement.New(2, []placement.Member{
		{Incarnation: "old", Joined: 1, Left: 2},
		{Incarnation: "new", Joined: 2},
	})})
	r.Step(time.Second, CallFailed{ID: 1, Call: 2, Sent: true, Replaced: true})
	for _, a := range r.Step(2*time.Second, Tick{}) {
		if c, ok := a.(Call); ok && c.To.Incarnation == "new" {
			return
		}
	}
	t.Fatal("no call to the home in the newest placement")
}
