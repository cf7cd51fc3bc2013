package session

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Results arrive once and in order, whatever connections are lost on the way and
// wherever a message or the word of its arrival is lost.
func TestResultsArriveOnceAndInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var agent Outbox[int]
		var entry EntryEnd
		entry.Open()
		entry.Welcome("a")
		var got []int
		take := func(results []Numbered[int]) {
			for _, r := range results {
				if entry.TakeResult(r.Sequence) {
					got = append(got, r.Value)
				}
			}
		}
		reopen := func() {
			agent.Seen(entry.Open().ResultsSeen)
			entry.Welcome("a")
			take(slices.Clone(agent.Kept()))
		}
		open, made := true, 0
		t.Repeat(map[string]func(*rapid.T){
			"result": func(t *rapid.T) {
				made++
				n := agent.Add(made)
				if open = open && rapid.Bool().Draw(t, "arrives"); open {
					take([]Numbered[int]{n})
				}
			},
			"beat": func(*rapid.T) {
				if open {
					agent.Seen(entry.Beat(0).ResultsSeen)
				}
			},
			"reopen": func(*rapid.T) {
				reopen()
				open = true
			},
		})
		reopen()
		if len(got) != made || !slices.IsSorted(got) {
			t.Fatalf("%d results made, got %v", made, got)
		}
	})
}

// A new incarnation of the agent numbers its results anew.
func TestANewIncarnationBeginsAgain(t *testing.T) {
	var e EntryEnd
	e.Open()
	e.Welcome("a")
	if !e.TakeResult(5) || e.TakeResult(5) {
		t.Fatal("a result is taken once")
	}
	if h := e.Open(); h.Agent != "a" || h.ResultsSeen != 5 {
		t.Fatalf("the entry says %+v", h)
	}
	e.Welcome("b")
	if !e.TakeResult(1) {
		t.Fatal("the first result of another incarnation is taken for an old one")
	}
}

// Heartbeats carry no clock of an earlier session: it may be another machine's.
func TestAClockCountsInItsSessionOnly(t *testing.T) {
	var e EntryEnd
	e.Open()
	e.Welcome("a")
	e.Worked(7 * time.Second)
	e.Worked(6 * time.Second)
	if got := e.Beat(time.Second).AgentClock; got != 7*time.Second {
		t.Fatalf("the heartbeat carries %v, want the newest clock", got)
	}
	e.Open()
	if got := e.Beat(time.Second).AgentClock; got != 0 {
		t.Fatalf("the heartbeat of a new session carries %v", got)
	}
}

// The time of a heartbeat is known for as long as a session may be silent.
func TestTimesOfHeartbeats(t *testing.T) {
	var e EntryEnd
	for i := range 20 {
		e.Beat(time.Duration(i+1) * time.Second)
	}
	for number, want := range map[uint64]time.Duration{0: 0, 4: 0, 5: 5 * time.Second, 20: 20 * time.Second, 21: 0} {
		if got := e.SentAt(number); got != want {
			t.Errorf("heartbeat %d was sent at %v, want %v", number, got, want)
		}
	}
}
