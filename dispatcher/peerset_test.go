package dispatcher

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"foxtaildock.example/dock/directory"
)

// What was believed of other entries was never corrected: neither that one exists, nor how many
// there are.
func TestEntriesThatLeaveAllCallsUnansweredCountAsGone(t *testing.T) {
	for _, c := range []struct {
		name  string
		calls []time.Duration // without an answer
		gone  bool
	}{
		{"never called", nil, false},
		{"one call", []time.Duration{0}, false},
		{"calls of a short cut", []time.Duration{0, 1, 2, 3, time.Minute}, false},
		{"a pause of the caller", []time.Duration{0, time.Hour}, false},
		{"checks for long", []time.Duration{0, peerCheckInterval, 2 * peerCheckInterval}, true},
	} {
		s := peerSet{byAddress: map[string]*peer{}}
		m := directory.Member{Role: directory.RoleEntry, Address: "a", Incarnation: "e"}
		s.add(m, 0)
		for _, at := range c.calls {
			s.called("a", false, at)
		}
		s.add(m, time.Hour) // its row is read once more
		if gone := slices.Contains(s.addresses(true), "a"); gone != c.gone {
			t.Errorf("%s: gone %v, want %v", c.name, gone, c.gone)
		}
		if due := s.due(2*time.Hour, 1); len(due) != 1 {
			t.Errorf("%s: %v are asked later, want the entry", c.name, due)
		}
		if back := s.called("a", true, 2*time.Hour).back; back != c.gone || len(s.addresses(true)) > 0 {
			t.Errorf("%s: back %v after an answer, want %v", c.name, back, c.gone)
		}
		m.Incarnation = "successor"
		s.add(m, 2*time.Hour)
		if got := s.members(); len(got) != 1 || got[0] != m {
			t.Errorf("%s: members %v, want the successor at the address", c.name, got)
		}
	}
}

// The memory for entries was without a bound, and rows of other writers took it.
func TestTheNumberOfKnownEntriesIsBounded(t *testing.T) {
	s := peerSet{byAddress: map[string]*peer{}}
	entry := func(i int) directory.Member {
		return directory.Member{Role: directory.RoleEntry, Address: fmt.Sprint("entry-", i)}
	}
	for i := range maxPeers {
		s.add(entry(i), 0)
	}
	if s.add(entry(maxPeers), 0) {
		t.Errorf("%d entries are kept, want %d", len(s.byAddress), maxPeers)
	}
	for _, at := range []time.Duration{0, goneAfter, goneAfter + 1} {
		s.called("entry-7", false, at)
	}
	if !s.add(entry(maxPeers), 0) || s.byAddress["entry-7"] != nil || len(s.byAddress) != maxPeers {
		t.Error("an entry that is gone doesn't make way for another one")
	}
}
