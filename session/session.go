// Package session holds what both ends of a session between an entry and an agent
// keep across its connections: which results were taken note of, which heartbeats
// were taken, and the agent's clock that leases count from. It has no I/O and no
// clock; the processes and the site model both run it.
//
// Invariants:
//   - Every result of an agent incarnation reaches the entry once and in order, as
//     long as connections come back, however many are lost.
//   - A heartbeat carries a clock of the agent only if the agent sent it in the
//     same session and the entry has worked it off.
package session

import (
	"time"

	"foxtaildock.example/dock/ident"
)

// Numbered is a result with its place in the order of all results for one entry,
// from 1.
type Numbered[R any] struct {
	Sequence uint64
	Value    R
}

// maxResults bounds the results that are kept for an entry that doesn't take note
// of them. It opens a new session long before, or its lease ends.
const maxResults = 10_000

// Outbox is the agent's end: it keeps results until the entry has taken note of them.
type Outbox[R any] struct {
	kept []Numbered[R]
	last uint64
}

// Add keeps a result and returns it with its number.
func (o *Outbox[R]) Add(value R) Numbered[R] {
	o.last++
	n := Numbered[R]{Sequence: o.last, Value: value}
	o.kept = append(o.kept, n)
	if len(o.kept) > maxResults {
		o.kept = o.kept[1:]
	}
	return n
}

// Seen drops the results up to the sequence, which the entry has taken note of.
func (o *Outbox[R]) Seen(sequence uint64) {
	for len(o.kept) > 0 && o.kept[0].Sequence <= sequence {
		o.kept = o.kept[1:]
	}
}

// Kept returns the results that the entry may not have taken note of yet, in order.
// The next call that changes the outbox ends their use.
func (o *Outbox[R]) Kept() []Numbered[R] { return o.kept }

// sentBeats is how many heartbeats' times are remembered: more than are sent
// before a silent session ends.
const sentBeats = 16

// EntryEnd is the entry's end of its sessions with the agent at one address.
type EntryEnd struct {
	agent ident.Incarnation
	seen  uint64 // results of the incarnation that were taken note of
	beat  uint64
	sent  [sentBeats]time.Duration
	clock time.Duration
}

// Hello is what the entry tells an agent when it opens a session.
type Hello struct {
	// Agent is the incarnation that was there last, empty at first.
	Agent ident.Incarnation
	// ResultsSeen is the newest of its results that the entry has taken note of.
	ResultsSeen uint64
}

// Open begins a new session.
func (e *EntryEnd) Open() Hello {
	e.clock = 0
	return Hello{Agent: e.agent, ResultsSeen: e.seen}
}

// Agent returns the incarnation that has answered last, empty before the first.
func (e *EntryEnd) Agent() ident.Incarnation { return e.agent }

// Welcome notes which incarnation has answered.
func (e *EntryEnd) Welcome(agent ident.Incarnation) {
	if e.agent != agent {
		e.agent, e.seen = agent, 0
	}
}

// TakeResult takes note of a result. It returns false if it is known.
func (e *EntryEnd) TakeResult(sequence uint64) bool {
	if sequence <= e.seen {
		return false
	}
	e.seen = sequence
	return true
}

// Worked notes that everything that arrived before a message of this session has
// been worked off. clock is the agent's, when it sent the message.
//
// It must be called in the order in which the entry decides, so that a lease never
// counts from a time at which the entry had not yet seen that a caller left.
func (e *EntryEnd) Worked(clock time.Duration) { e.clock = max(e.clock, clock) }

// Beat is a heartbeat.
type Beat struct {
	Number      uint64
	ResultsSeen uint64
	// AgentClock is what the lease counts from, 0 if the session has told none.
	AgentClock time.Duration
}

// Beat returns the next heartbeat, which is sent now.
func (e *EntryEnd) Beat(now time.Duration) Beat {
	e.beat++
	e.sent[e.beat%sentBeats] = now
	return Beat{Number: e.beat, ResultsSeen: e.seen, AgentClock: e.clock}
}

// SentAt returns when a heartbeat was sent, 0 if that isn't known any more.
func (e *EntryEnd) SentAt(number uint64) time.Duration {
	if number == 0 || number > e.beat || e.beat-number >= sentBeats {
		return 0
	}
	return e.sent[number%sentBeats]
}
