package dispatcher

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"foxtaildock.example/dock/claim"
	"foxtaildock.example/dock/directory"
)

// peerSet holds the other entries that an entry knows of. Nobody tells when an entry is gone for
// good, and its row stays in the store, so that each is asked now and then. One that doesn't
// answer any more is kept apart: it may be cut off, and nobody would tell of its return.
type peerSet struct {
	byAddress map[string]*peer
}

// peer is another entry.
type peer struct {
	member  directory.Member
	askedAt time.Duration // when it was called last, or became known
	addedAt time.Duration // when this incarnation became known
	// failures is the number of calls without an answer since the last answer, and failingSince
	// when the first of them ended.
	failures     int
	failingSince time.Duration
}

// What is believed of the other entries.
const (
	// peerCheckInterval is the interval at which an entry that isn't called otherwise is asked.
	// At the target's size that are two calls a second.
	peerCheckInterval = 5 * time.Minute
	// goneAfter and goneFailures are how long an entry has to leave all calls unanswered, and at
	// least how many, until it counts as gone: many times the length of a restart or a network
	// partition.
	goneAfter    = 10 * time.Minute
	goneFailures = 3
	// knownToAllAfter is how long after it became known here an entry is known to all others: more
	// than their longest poll of the table of members.
	knownToAllAfter = 5 * time.Second
	// maxPeers bounds the entries that are kept: several times as many as there are at the
	// target's size.
	maxPeers = 2048
)

// add adds an entry. The row of one that is known already says nothing of whether it still
// exists. It returns false if there are too many already.
func (s *peerSet) add(m directory.Member, now time.Duration) bool {
	known := s.byAddress[m.Address]
	if known != nil && known.member == m {
		return true
	}
	if known == nil && len(s.byAddress) >= maxPeers && !s.dropGone() {
		return false
	}
	s.byAddress[m.Address] = &peer{member: m, askedAt: now, addedAt: now}
	return true
}

// dropGone drops the entry that has been gone for longest. It returns false if none is.
func (s *peerSet) dropGone() bool {
	gone := s.addresses(true)
	if len(gone) == 0 {
		return false
	}
	oldest := slices.MinFunc(gone, func(a, b string) int {
		return cmp.Compare(s.byAddress[a].failingSince, s.byAddress[b].failingSince)
	})
	delete(s.byAddress, oldest)
	return true
}

// peerChange is what a call to an entry has changed.
type peerChange struct {
	// gone and back are true if the entry counts as gone by the call, or no longer does.
	gone, back bool
	// silentFor is for how long the entry had left calls unanswered that has answered this one.
	silentFor time.Duration
}

// called records the result of a call.
func (s *peerSet) called(address string, answered bool, now time.Duration) (change peerChange) {
	p := s.byAddress[address]
	if p == nil {
		return change
	}
	before := p.gone()
	p.askedAt = now
	if answered {
		if p.failures > 0 {
			change.silentFor = now - p.failingSince
		}
		p.failures, p.failingSince = 0, 0
		change.back = before
		return change
	}
	if p.failures == 0 {
		p.failingSince = now
	}
	p.failures++
	change.gone = p.gone() && !before
	return change
}

// gone reports whether the entry counts as gone.
func (p *peer) gone() bool {
	return p.failures >= goneFailures && p.askedAt-p.failingSince >= goneAfter
}

// addresses returns the addresses of the entries that count as gone, or of all others, sorted.
func (s *peerSet) addresses(gone bool) []string {
	var list []string
	for _, address := range slices.Sorted(maps.Keys(s.byAddress)) {
		if s.byAddress[address].gone() == gone {
			list = append(list, address)
		}
	}
	return list
}

// candidates returns the entries that don't count as gone, as arbiters of jobs, and those of them
// that all others know for sure. anySilent is true if one of them left the last call unanswered.
func (s *peerSet) candidates(now time.Duration) (all, established []claim.Candidate, anySilent bool) {
	for address, p := range s.byAddress {
		if p.gone() {
			continue
		}
		c := claim.Candidate{Address: address, Domain: p.member.Domain, Silent: p.failures > 0}
		anySilent = anySilent || c.Silent
		all = append(all, c)
		if now-p.addedAt >= knownToAllAfter {
			established = append(established, c)
		}
	}
	return all, established, anySilent
}

// members returns the entries that don't count as gone.
func (s *peerSet) members() []directory.Member {
	var list []directory.Member
	for _, address := range s.addresses(false) {
		list = append(list, s.byAddress[address].member)
	}
	return list
}

// due returns up to n addresses of entries that weren't called for peerCheckInterval.
func (s *peerSet) due(now time.Duration, n int) []string {
	var list []string
	for _, address := range slices.Sorted(maps.Keys(s.byAddress)) {
		if len(list) < n && now-s.byAddress[address].askedAt >= peerCheckInterval {
			list = append(list, address)
		}
	}
	return list
}
