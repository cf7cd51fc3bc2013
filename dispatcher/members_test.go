package dispatcher

import (
	"context"
	"fmt"
	"testing"

	"connectrpc.com/connect"

	"foxtaildock.example/dock/clock"
	"foxtaildock.example/dock/directory"
	"foxtaildock.example/dock/link"
	"foxtaildock.example/dock/rpc/linkpb"
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
	d.chooseSubset()
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
	d.chooseSubset()
	if d.links.agents["a"] == nil {
		t.Fatal("an agent that was announced again was not added")
	}
}

// An entry opens sessions with a bounded number of agents, and with one that asks for it.
func TestAnEntryUsesASubsetAndWhoeverAsks(t *testing.T) {
	d := newOfflineEntry(t)
	const agents = 300
	for i := range 60 {
		d.links.addMember(directory.Member{Role: directory.RoleEntry, Address: fmt.Sprint("entry-", i), Incarnation: "e"})
	}
	for i := range agents {
		d.links.addMember(directory.Member{Role: directory.RoleAgent, Address: fmt.Sprint("agent-", i), Incarnation: "i"})
	}
	d.chooseSubset()
	before := len(d.links.agents)
	if before == 0 || before > agents/4 {
		t.Fatalf("the entry uses %d of %d agents, want a small part", before, agents)
	}
	var unused directory.Member
	for i := range agents {
		if address := fmt.Sprint("agent-", i); d.links.agents[address] == nil {
			unused = directory.Member{Role: directory.RoleAgent, Address: address, Incarnation: "i"}
		}
	}
	announce(t, d, unused)
	if len(d.links.agents) != before+1 || d.links.agents[unused.Address] == nil {
		t.Errorf("the entry uses %d agents after an announcement, want %d with the announced one", len(d.links.agents), before+1)
	}
}

func announce(t *testing.T, d *Dispatcher, m directory.Member) {
	t.Helper()
	req := connect.NewRequest(&linkpb.AnnounceRequest{Member: link.MemberMessage(&m)})
	if _, err := (Peer{d}).Announce(t.Context(), req); err != nil {
		t.Fatal(err)
	}
}

// A message that arrives on a link after its release doesn't bring the session back: the
// core would offer tasks on a link that nobody serves.
func TestAReleasedLinkStaysReleased(t *testing.T) {
	d := newOfflineEntry(t)
	d.links.addMember(directory.Member{Role: directory.RoleAgent, Address: "a", Incarnation: "i"})
	d.chooseSubset()
	a := d.links.agents["a"]
	welcome := agentMessage{link: a, session: &link.Session{Out: make(chan *linkpb.ToAgent, 8)}, message: &linkpb.FromAgent{Welcome: &linkpb.Welcome{Agent: "i"}}}
	d.handleAgentMessage(welcome)
	if d.core.Stats().Agents != 1 {
		t.Fatal("the agent is not attached")
	}
	d.release("a")
	d.handleAgentMessage(welcome)
	if n := d.core.Stats().Agents; n != 0 || len(d.links.sessions) != 0 {
		t.Errorf("%d agents and %d sessions after the release, want none", n, len(d.links.sessions))
	}
}

// The end of a released link doesn't remove the one that was opened to the same agent
// after it.
func TestTheEndOfAReleasedLinkKeepsItsSuccessor(t *testing.T) {
	d := newOfflineEntry(t)
	d.links.addMember(directory.Member{Role: directory.RoleAgent, Address: "a", Incarnation: "i"})
	d.chooseSubset()
	released := d.links.agents["a"]
	d.release("a")
	d.chooseSubset()
	successor := d.links.agents["a"]
	if successor == nil || successor == released {
		t.Fatal("the agent is not used again")
	}
	d.links.removeIfExpired(released, clock.Now()+2*agentExpiry)
	if d.links.agents["a"] != successor {
		t.Error("the end of the released link removed its successor")
	}
}
