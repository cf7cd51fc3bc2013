package subset

import (
	"fmt"
	"math"
	"testing"
	"time"

	"foxtaildock.example/dock/ident"
)

func domainOf(i int) ident.FailureDomain { return ident.FailureDomain(fmt.Sprint("d", i%5)) }

func agentAt(i int) Agent {
	return Agent{Address: fmt.Sprintf("10.%d.%d.%d:7720", i%5, i/250, i%250), Domain: domainOf(i)}
}

// entryWith returns the chooser of an entry that knows a number of agents in 5 domains.
func entryWith(index, agents, limit int) *Chooser {
	c := New(Config{Self: fmt.Sprintf("10.9.0.%d:7720", index), Domain: domainOf(index), Max: limit})
	for i := range agents {
		c.Add(agentAt(i))
	}
	return c
}

// linksTo returns links to agents whose sessions are all open and idle.
func linksTo(agents []Agent) []Link {
	var links []Link
	for _, a := range agents {
		links = append(links, Link{Address: a.Address, Usable: true, Idle: true})
	}
	return links
}

// settled is a time at which all links count by their state, and no narrowing is held
// back.
const settled = time.Minute

// An entry of a fleet of any size keeps a bounded number of sessions. Each agent is
// reached by entries of at least two domains.
func TestSubsetsAreBoundedAndCoverAllAgents(t *testing.T) {
	for _, c := range []struct{ entries, agents int }{{15, 80}, {47, 253}, {474, 2528}} {
		domains := map[string]map[ident.FailureDomain]bool{}
		for e := range c.entries {
			d := entryWith(e, c.agents, 0).Decide(settled, State{Entries: c.entries})
			limit := int(math.Ceil(max(minWanted, float64(coverage*c.agents)/float64(c.entries))))
			if len(d.Open) > limit {
				t.Errorf("%d entries, %d agents: entry %d uses %d agents, want at most %d", c.entries, c.agents, e, len(d.Open), limit)
			}
			for _, a := range d.Open {
				if domains[a.Address] == nil {
					domains[a.Address] = map[ident.FailureDomain]bool{}
				}
				domains[a.Address][domainOf(e)] = true
			}
		}
		few := 0
		for i := range c.agents {
			if len(domains[agentAt(i).Address]) < 2 {
				few++
			}
		}
		// The hashes leave a few agents to entries of one domain; those ask for a second.
		if share := float64(few) / float64(c.agents); share > 0.1 {
			t.Errorf("%d entries, %d agents: %d agents are reached from fewer than two domains", c.entries, c.agents, few)
		}
	}
}

func TestSmallSitesUseAllAgents(t *testing.T) {
	d := entryWith(0, 11, 80).Decide(settled, State{Entries: 3})
	if len(d.Open) != 11 {
		t.Errorf("the entry uses %d of 11 agents, want all", len(d.Open))
	}
}

func TestUnusableAgentsAreReplaced(t *testing.T) {
	c := entryWith(0, 80, 0)
	first := c.Decide(settled, State{Entries: 15}).Open
	links := linksTo(first)
	for i := range links[:5] {
		links[i].Usable = false
	}
	d := c.Decide(settled, State{Entries: 15, Links: links})
	if len(d.Open) != 5 || len(d.Release) != 0 {
		t.Errorf("%d agents opened and %d released, want 5 and none", len(d.Open), len(d.Release))
	}
}

// If no agent can be used, the entry doesn't dial the whole fleet.
func TestAFailedFleetIsNotDialledAsAWhole(t *testing.T) {
	c := entryWith(0, 1000, 0)
	var links []Link
	now := settled
	for range 50 {
		d := c.Decide(now, State{Entries: 200, Links: links})
		for _, a := range d.Open {
			links = append(links, Link{Address: a.Address, Idle: true, OpenedAt: now})
		}
		now += 2 * openingTime
	}
	if limit := 2 * minWanted; len(links) > limit {
		t.Errorf("%d links, want at most %d", len(links), limit)
	}
}

// An entry whose jobs find no room uses more agents, and fewer again once they have found
// room for a while. Agents that hold its runs, and those that asked for it, are kept.
func TestASubsetIsWidenedAndNarrowed(t *testing.T) {
	c := entryWith(0, 200, 0)
	links := linksTo(c.Decide(settled, State{Entries: 40}).Open)
	before := len(links)
	now := settled
	for range 3 {
		d := c.Decide(now, State{Entries: 40, Links: links, NoRoom: true})
		links = append(links, linksTo(d.Open)...)
		now += widenInterval
	}
	if len(links) < 2*before {
		t.Fatalf("%d links after 3 steps without room, want at least twice the %d before", len(links), before)
	}
	links[len(links)-1].Idle = false
	links[len(links)-2].Pinned = true
	if d := c.Decide(now, State{Entries: 40, Links: links}); len(d.Release) != 0 {
		t.Errorf("%d links released at once, want none before %v", len(d.Release), narrowAfter)
	}
	d := c.Decide(now+narrowAfter, State{Entries: 40, Links: links})
	if len(links)-len(d.Release) != before {
		t.Errorf("%d links left, want %d", len(links)-len(d.Release), before)
	}
	for _, address := range d.Release {
		if address == links[len(links)-1].Address || address == links[len(links)-2].Address {
			t.Errorf("released %s, which holds a run or asked for the session", address)
		}
	}
}

// The processor of the entry limits its sessions, also when it has no room.
func TestTheProcessorLimitsTheSubset(t *testing.T) {
	c := entryWith(0, 200, 38)
	now := settled
	for range 5 {
		c.Decide(now, State{Entries: 40, NoRoom: true})
		now += widenInterval
	}
	if d := c.Decide(now, State{Entries: 40}); d.Wanted != 38 {
		t.Errorf("%d agents wanted, want 38", d.Wanted)
	}
}

// The removal of an agent changes nothing but its own place.
func TestOrderIsStable(t *testing.T) {
	c := entryWith(3, 80, 0)
	before := c.Agents()
	c.Remove(before[7].Address)
	c.Add(before[7])
	after := c.Agents()
	for i := range before {
		if before[i] != after[i] {
			t.Fatalf("place %d has %v, want %v", i, after[i], before[i])
		}
	}
	if near := before[0].Domain; near != domainOf(3) {
		t.Errorf("the first agent is in domain %s, want the entry's own", near)
	}
}

func BenchmarkDecide(b *testing.B) {
	for _, agents := range []int{30, 300, 3000} {
		b.Run(fmt.Sprint(agents), func(b *testing.B) {
			c := entryWith(0, agents, 0)
			entries := max(3, agents/5)
			links := linksTo(c.Decide(settled, State{Entries: entries}).Open)
			for b.Loop() {
				c.Decide(settled, State{Entries: entries, Links: links})
			}
		})
	}
}
