package dispatcher

import (
	"context"
	"testing"

	"foxtaildock.example/dock/clock"
	"foxtaildock.example/dock/directory"
	"foxtaildock.example/dock/telemetry"
)

// lonely is an entry whose links dial nothing, since its context is over.
func lonely(t *testing.T) *Dispatcher {
	t.Helper()
	d := New(Config{Self: directory.Member{Role: directory.Entry, Address: "self", Incarnation: "e"}, Log: telemetry.Discard()})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	d.base = ctx
	return d
}

// An agent that is gone for good isn't tried forever; one that tells of itself is
// tried again.
func TestALostAgentIsGivenUp(t *testing.T) {
	d := lonely(t)
	member := directory.Member{Role: directory.Agent, Address: "a", Incarnation: "i"}
	d.links.learnMember(member)
	a := d.links.agents["a"]
	if now := clock.Now(); d.links.forgetIfLost(a, now) {
		t.Fatal("an agent that has just told of itself is given up")
	}
	if !d.links.forgetIfLost(a, clock.Now()+2*forgetAfter) {
		t.Fatal("an agent that is long gone is kept")
	}
	if n := len(d.links.members()); n != 1 {
		t.Fatalf("the entry knows %d processes, want itself only", n)
	}
	d.links.learnMember(member)
	if d.links.agents["a"] == nil {
		t.Fatal("an agent that came back isn't known")
	}
}
