package agentlink

import (
	"reflect"
	"testing"
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/membership"
	"foxtaildock.example/dock/rpc"
)

// A load-only report, completed from the last report, gives the same agent as a
// full report.
func TestLoadOnlyReportUpdatesWholeLoad(t *testing.T) {
	b := newPeerStates()
	a := peer(1)
	if _, ok := b.add("entry0", rpc.PeerFromProto(rpc.LoadToProto(&a))); ok {
		t.Error("a load-only report of an unknown peer was accepted")
	}
	b.add("entry0", rpc.PeerFromProto(rpc.PeerToProto(&a)))
	a.Free, a.Queued, a.Pace, a.OutOfService = 7, 70, 30*time.Millisecond, true
	got, ok := b.add("entry0", rpc.PeerFromProto(rpc.LoadToProto(&a)))
	want := rpc.PeerFromProto(rpc.PeerToProto(&a))
	if !ok || !reflect.DeepEqual(got, want) {
		t.Errorf("after a load-only report the peer is %+v, want %+v", got, want)
	}
}

// A peer that one entry reports as suspected or gone stays up while another entry
// reports it as up.
func TestReportsOfEntriesAreCombined(t *testing.T) {
	steps := []struct {
		entry      ident.Incarnation
		says, want membership.State
	}{
		{"entry0", membership.Up, membership.Up},
		{"entry1", membership.Suspected, membership.Up},
		{"entry1", membership.Gone, membership.Up},
		{"entry1", membership.Leaving, membership.Leaving},
		{"entry1", membership.Gone, membership.Up},
		{"entry0", membership.Gone, membership.Gone},
	}
	b := newPeerStates()
	for i, s := range steps {
		a := peer(1)
		a.State = s.says
		if got, _ := b.add(s.entry, a); got.State != s.want {
			t.Errorf("step %d: the peer is %v, want %v", i, got.State, s.want)
		}
	}
	a := peer(1)
	b.add("entry0", a)
	a.State = membership.Suspected
	b.add("entry1", a)
	b.removeEntry("entry0")
	if got, _ := b.add("entry1", a); got.State != membership.Suspected {
		t.Errorf("after the reports of the other entry were dropped the peer is %v, want suspected", got.State)
	}
}

// A load-only report replaces every figure of the load, the number of waiting tasks too.
func TestALoadReportReplacesTheWaitingTasks(t *testing.T) {
	p := newPeerStates()
	a := peer(1)
	a.Waiting = 3
	p.add("entry", a)
	load := a
	load.Address, load.Waiting = "", 7
	if got, known := p.add("entry", load); !known || got.Waiting != 7 || got.Address != a.Address {
		t.Errorf("got %d waiting at %s, want 7 at %s", got.Waiting, got.Address, a.Address)
	}
}
