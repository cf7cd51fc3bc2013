package agentlink

import (
	"reflect"
	"testing"
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/membership"
	"foxtaildock.example/dock/rpc"
)

// News of a load, completed by what is known, says the same as full news.
func TestLoadOnlyNewsCarriesTheWholeLoad(t *testing.T) {
	b := newPeerBook()
	a := peer(1)
	if _, ok := b.add("entry0", rpc.PeerFromProto(rpc.LoadToProto(&a))); ok {
		t.Error("news of the load of an unknown peer was taken")
	}
	b.add("entry0", rpc.PeerFromProto(rpc.PeerToProto(&a)))
	a.Free, a.Queued, a.Pace, a.OutOfService = 7, 70, 30*time.Millisecond, true
	got, ok := b.add("entry0", rpc.PeerFromProto(rpc.LoadToProto(&a)))
	want := rpc.PeerFromProto(rpc.PeerToProto(&a))
	if !ok || !reflect.DeepEqual(got, want) {
		t.Errorf("the load made the peer %+v, not %+v", got, want)
	}
}

// An entry that is cut from a peer does not hide it while another one hears it.
func TestEntriesWordsAreJoined(t *testing.T) {
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
	b := newPeerBook()
	for i, s := range steps {
		a := peer(1)
		a.State = s.says
		if got, _ := b.add(s.entry, a); got.State != s.want {
			t.Errorf("step %d: the peer is %v, not %v", i, got.State, s.want)
		}
	}
	a := peer(1)
	b.add("entry0", a)
	a.State = membership.Suspected
	b.add("entry1", a)
	b.forget("entry0")
	if got, _ := b.add("entry1", a); got.State != membership.Suspected {
		t.Errorf("after the other entry fell silent the peer is %v", got.State)
	}
}
