package membership

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/placement"
)

// fleet drives a Tracker and a Planner in simulated time.
type fleet struct {
	t       *Tracker
	p       *Planner
	now     time.Duration
	wall    time.Time
	current *placement.Placement
	joined  map[ident.Incarnation]ident.Epoch
	epochs  int
}

func newFleet() *fleet {
	cfg := DefaultConfig()
	return &fleet{
		t: NewTracker(cfg), p: NewPlanner(cfg), now: time.Hour,
		wall: time.Unix(1_800_000_000, 0), current: placement.New(0, nil),
		joined: make(map[ident.Incarnation]ident.Epoch),
	}
}

func agentOf(i int) Announcement {
	return Announcement{
		Incarnation: ident.Incarnation(fmt.Sprintf("a%04d", i)), Address: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250),
		Domain: "lulea", Services: []ident.Service{"serials"}, Slots: 8, Free: 3,
	}
}

// advance moves the time on in steps of 500 ms, with a heartbeat of each of the
// given agents per step.
func (f *fleet) advance(d time.Duration, heard ...Announcement) {
	for end := f.now + d; f.now < end; {
		for i := range heard {
			// An agent that has received a placement remembers when it joined.
			if m, ok := f.current.Member(heard[i].Incarnation); ok {
				f.joined[m.Incarnation] = m.Joined
			}
			heard[i].Joined = f.joined[heard[i].Incarnation]
		}
		f.now += 500 * time.Millisecond
		f.wall = f.wall.Add(500 * time.Millisecond)
		for _, n := range heard {
			f.t.Step(f.now, Heartbeat{n})
		}
		f.t.Step(f.now, Tick{})
		if prop, ok := f.p.Plan(f.now, f.wall, f.t, f.current, 0); ok {
			f.current = prop.Next
			f.epochs++
			f.t.Step(f.now, Installed{f.current})
		}
	}
}

func (f *fleet) state(i int) State {
	a, _ := f.t.Agent(agentOf(i).Incarnation)
	return a.State
}

func agentsFrom(from, to int) []Announcement {
	var ns []Announcement
	for i := from; i < to; i++ {
		ns = append(ns, agentOf(i))
	}
	return ns
}

func TestJoinsMakeOneEpoch(t *testing.T) {
	f := newFleet()
	f.advance(5*time.Second, agentsFrom(0, 11)...)
	if f.epochs != 1 || len(f.current.Current()) != 11 {
		t.Errorf("%d epochs with %d members, want 1 with 11", f.epochs, len(f.current.Current()))
	}
}

func TestSilentAgentIsSuspectedThenGone(t *testing.T) {
	f := newFleet()
	f.advance(5*time.Second, agentsFrom(0, 11)...)
	f.advance(3*time.Second, agentsFrom(1, 11)...)
	if f.state(0) != Suspected || !f.current.Lists("a0000") {
		t.Errorf("after 3 s without heartbeats the agent is %v, want suspected and listed", f.state(0))
	}
	f.advance(2*time.Second, agentsFrom(0, 11)...)
	if f.state(0) != Up {
		t.Errorf("after a heartbeat the agent is %v, want up", f.state(0))
	}
	f.advance(12*time.Second, agentsFrom(1, 11)...)
	if f.state(0) != Gone || f.current.Lists("a0000") {
		t.Errorf("after 12 s without heartbeats the agent is %v, want gone and not listed", f.state(0))
	}
	acts := f.t.Step(f.now, Heartbeat{agentOf(0)})
	if len(acts) != 1 || acts[0] != (Removed{"a0000"}) {
		t.Errorf("a heartbeat of a removed agent gave the actions %v, want Removed", acts)
	}
}

func TestWholeDomainIsLostButNotTheFleet(t *testing.T) {
	f := newFleet()
	f.advance(5*time.Second, agentsFrom(0, 11)...)
	f.advance(15*time.Second, agentsFrom(4, 11)...)
	if n := len(f.current.Current()); n != 7 {
		t.Errorf("%d members after 4 of 11 agents went silent, want 7", n)
	}
	f.advance(time.Minute)
	if n := len(f.current.Current()); n != 7 || f.state(5) != Up {
		t.Errorf("%d members and state %v after all agents went silent, want 7 and up", n, f.state(5))
	}
	f.advance(3*time.Second, agentsFrom(4, 11)...)
	if f.t.LocalFault() || f.state(5) != Up {
		t.Error("the local fault did not end after heartbeats arrived again")
	}
}

func TestOtherEntriesKeepAnAgent(t *testing.T) {
	f := newFleet()
	f.advance(5*time.Second, agentsFrom(0, 5)...)
	for range 30 {
		f.t.Step(f.now, HeardElsewhere{agentsFrom(0, 1)})
		f.advance(time.Second, agentsFrom(1, 5)...)
	}
	if f.state(0) != Suspected || !f.current.Lists("a0000") {
		t.Errorf("an agent whose heartbeats reach only another entry is %v, want suspected and listed", f.state(0))
	}
}

func TestPlannedLeaveAndReturn(t *testing.T) {
	f := newFleet()
	f.advance(5*time.Second, agentsFrom(0, 5)...)
	leaver := agentOf(0)
	leaver.Leaving = true
	f.advance(5*time.Second, append(agentsFrom(1, 5), leaver)...)
	if f.current.Lists("a0000") || f.state(0) != Leaving {
		t.Errorf("the leaving agent is %v, want leaving and not listed", f.state(0))
	}
	back := agentOf(0)
	back.Incarnation = "a0000b"
	f.advance(5*time.Second, append(agentsFrom(1, 5), back)...)
	if !f.current.Lists("a0000b") || len(f.current.Current()) != 5 {
		t.Error("the new incarnation of the agent did not join")
	}
	m, known := f.current.Member("a0000")
	if !known || m.Left == 0 {
		t.Error("the earlier incarnation is no longer in the row")
	}
	// A wall clock that is stepped must not make an entry drop a former member
	// that may still have records.
	f.wall = f.wall.Add(DefaultConfig().Retention + time.Hour)
	f.advance(5*time.Second, append(agentsFrom(1, 5), back)...)
	if _, known := f.current.Member("a0000"); !known {
		t.Error("a stepped wall clock removed the earlier incarnation from the row")
	}
	f.advance(DefaultConfig().Retention+time.Minute, append(agentsFrom(1, 5), back)...)
	if _, known := f.current.Member("a0000"); known {
		t.Error("the earlier incarnation is still in the row after the retention")
	}
}

func TestPeersSinceReportsChangesAndSamplesLoads(t *testing.T) {
	f := newFleet()
	all := agentsFrom(0, 100)
	f.advance(5*time.Second, all...)
	if n := len(f.t.PeersSince(f.now, 0, "a0000")); n != 99 {
		t.Errorf("the first reply reports %d of 99 peers", n)
	}
	seen := make(map[ident.Incarnation]bool)
	for range 12 {
		since := f.now
		f.advance(500*time.Millisecond, all...)
		peers := f.t.PeersSince(f.now, since, "a0000")
		if len(peers) > DefaultConfig().LoadSample {
			t.Fatalf("a reply reports %d peers, more than the load sample, although nothing changed", len(peers))
		}
		for _, p := range peers {
			seen[p.Incarnation] = true
		}
	}
	if len(seen) < 90 {
		t.Errorf("only %d of 99 loads were reported in 6 s", len(seen))
	}
}

// For any sequence of heartbeats, leaves and silence, a removed incarnation is
// never listed again, each proposal raises the epoch by one, and the placement row
// can be decoded after it was encoded.
func TestPlacementInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet()
		left := make(map[ident.Incarnation]bool)
		t.Repeat(map[string]func(*rapid.T){"pass": func(t *rapid.T) {
			var heard []Announcement
			for i, in := range rapid.SliceOfN(rapid.Bool(), 6, 6).Draw(t, "heard") {
				n := agentOf(i)
				n.Leaving = rapid.IntRange(0, 9).Draw(t, "leaving") == 0
				if in {
					heard = append(heard, n)
				}
			}
			before := f.current.Epoch
			epochs := f.epochs
			f.advance(time.Duration(rapid.IntRange(1, 12).Draw(t, "s"))*time.Second, heard...)
			if f.current.Epoch != before+ident.Epoch(f.epochs-epochs) {
				t.Fatalf("epoch is %d, was %d before %d proposals", f.current.Epoch, before, f.epochs-epochs)
			}
			value, err := EncodePlacement(f.current)
			if err != nil {
				t.Fatal(err)
			}
			again, err := DecodePlacement(value)
			if err != nil || len(again.Members) != len(f.current.Members) {
				t.Fatalf("the decoded row differs from the encoded one: %v", err)
			}
			for _, m := range f.current.Members {
				if m.Left == 0 && left[m.Incarnation] {
					t.Fatalf("%s is listed again after it left", m.Incarnation)
				}
				left[m.Incarnation] = m.Left != 0
			}
		}})
	})
}

func FuzzDecodePlacement(f *testing.F) {
	f.Add([]byte(`{"epoch":3,"members":[{"incarnation":"a","address":"x","joined":1}]}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		p, err := DecodePlacement(value)
		if err == nil && p == nil {
			t.Error("DecodePlacement returned neither a placement nor an error")
		}
	})
}
