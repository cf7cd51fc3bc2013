package session

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Results arrive exactly once and in order, whichever connections, messages or
// acknowledgements are lost.
func TestResultsArriveOnceAndInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var agent Outbox[int]
		var entry EntryEnd
		entry.Open()
		entry.Welcome("a")
		var got []int
		accept := func(results []NumberedResult[int]) {
			for _, r := range results {
				if entry.AcceptResult(r.Sequence) {
					got = append(got, r.Value)
				}
			}
		}
		reopen := func() {
			agent.Acknowledge(entry.Open().ResultsSeen)
			entry.Welcome("a")
			accept(slices.Clone(agent.Unacknowledged()))
		}
		open, made := true, 0
		t.Repeat(map[string]func(*rapid.T){
			"result": func(t *rapid.T) {
				made++
				n := agent.Add(made)
				if open = open && rapid.Bool().Draw(t, "arrives"); open {
					accept([]NumberedResult[int]{n})
				}
			},
			"beat": func(*rapid.T) {
				if open {
					agent.Acknowledge(entry.NextHeartbeat(0).ResultsSeen)
				}
			},
			"reopen": func(*rapid.T) {
				reopen()
				open = true
			},
		})
		reopen()
		if len(got) != made || !slices.IsSorted(got) {
			t.Fatalf("%d results sent, got %v, want all of them once and in order", made, got)
		}
	})
}

// A new incarnation of the agent numbers its results from 1 again.
func TestANewIncarnationNumbersResultsFromOne(t *testing.T) {
	var e EntryEnd
	e.Open()
	e.Welcome("a")
	if !e.AcceptResult(5) || e.AcceptResult(5) {
		t.Fatal("a result was not accepted exactly once")
	}
	if h := e.Open(); h.Agent != "a" || h.ResultsSeen != 5 {
		t.Fatalf("the entry opens with %+v, want agent a and 5 results seen", h)
	}
	e.Welcome("b")
	if !e.AcceptResult(1) {
		t.Fatal("the first result of a new incarnation was treated as a duplicate")
	}
}

// Heartbeats carry no agent clock of an earlier session: it may be that of another
// machine.
func TestAClockCountsInItsSessionOnly(t *testing.T) {
	var e EntryEnd
	e.Open()
	e.Welcome("a")
	e.Processed(7 * time.Second)
	e.Processed(6 * time.Second)
	if got := e.NextHeartbeat(time.Second).AgentClock; got != 7*time.Second {
		t.Fatalf("the heartbeat carries agent clock %v, want the newest, 7s", got)
	}
	e.Open()
	if got := e.NextHeartbeat(time.Second).AgentClock; got != 0 {
		t.Fatalf("the first heartbeat of a new session carries agent clock %v, want 0", got)
	}
}

// The send time of a heartbeat is kept for the newest 16 heartbeats.
func TestTimesOfHeartbeats(t *testing.T) {
	var e EntryEnd
	for i := range 20 {
		e.NextHeartbeat(time.Duration(i+1) * time.Second)
	}
	for number, want := range map[uint64]time.Duration{0: 0, 4: 0, 5: 5 * time.Second, 20: 20 * time.Second, 21: 0} {
		if got := e.SentAt(number); got != want {
			t.Errorf("heartbeat %d was sent at %v, want %v", number, got, want)
		}
	}
}
