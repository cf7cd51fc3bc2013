package dispatcher

import (
	"context"
	"testing"

	"foxtaildock.example/dock/clock"
	"foxtaildock.example/dock/directory"
	"foxtaildock.example/dock/telemetry"
)

// newOfflineEntry returns an entry whose links dial nothing, since its context is
// cancelled.
func newOfflineEntry(t *testing.T) *Dispatcher {
	t.Helper()
	d := New(Config{Self: directory.Member{Role: directory.RoleEntry, Address: "self", Incarnation: "e"}, Log: telemetry.Discard()})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	d.base = ctx
	return d
}

// An agent that stays unreachable is not dialled forever; one that announces itself
// again is dialled again.
func TestAnUnreachableAgentIsRemoved(t *testing.T) {
	d := newOfflineEntry(t)
	member := directory.Member{Role: directory.RoleAgent, Address: "a", Incarnation: "i"}
	d.links.addMember(member)
	a := d.links.agents["a"]
	if now := clock.Now(); d.links.removeIfExpired(a, now) {
		t.Fatal("an agent that was just announced was removed")
	}
	if !d.links.removeIfExpired(a, clock.Now()+2*agentExpiry) {
		t.Fatal("an agent past its expiry was not removed")
	}
	if n := len(d.links.members()); n != 1 {
		t.Fatalf("the entry knows %d processes, want only itself", n)
	}
	d.links.addMember(member)
	if d.links.agents["a"] == nil {
		t.Fatal("an agent that was announced again was not added")
	}
}
