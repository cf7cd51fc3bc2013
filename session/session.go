// Package session holds the state that both ends of a session between an entry and an
// agent keep across connections: which results the entry has received, when heartbeats
// were sent, and the agent's clock from which leases count. It has no I/O and no clock
// of its own: in the processes, package link carries the messages, and the site
// simulation uses it without a network.
//
// Invariants:
//   - Every result of an agent incarnation reaches the entry exactly once and in
//     order, however many connections are lost, as long as new ones are opened.
//   - A heartbeat carries a clock reading of the agent only if the agent sent it in
//     the same session and the entry has processed that message.
package session

import (
	"time"

	"foxtaildock.example/dock/ident"
)

// NumberedResult is a result with its sequence number among all results for one entry,
// counted from 1.
type NumberedResult[R any] struct {
	Sequence uint64
	Value    R
}

// maxResults bounds the results that are kept for an entry that does not acknowledge
// them. Long before the bound is reached, the entry opens a new session or its lease
// expires.
const maxResults = 10_000

// Outbox is the agent's end: it keeps results until the entry has acknowledged them.
type Outbox[R any] struct {
	unacknowledged []NumberedResult[R]
	last           uint64
}

// Add keeps a result and returns it with its sequence number.
func (o *Outbox[R]) Add(value R) NumberedResult[R] {
	o.last++
	n := NumberedResult[R]{Sequence: o.last, Value: value}
	o.unacknowledged = append(o.unacknowledged, n)
	if len(o.unacknowledged) > maxResults {
		o.unacknowledged = o.unacknowledged[1:]
	}
	return n
}

// Acknowledge drops the results up to and including the sequence, which the entry has
// acknowledged.
func (o *Outbox[R]) Acknowledge(sequence uint64) {
	for len(o.unacknowledged) > 0 && o.unacknowledged[0].Sequence <= sequence {
		o.unacknowledged = o.unacknowledged[1:]
	}
}

// Unacknowledged returns the results that the entry has not acknowledged yet, in order.
// The slice is valid until the next call that changes the outbox.
func (o *Outbox[R]) Unacknowledged() []NumberedResult[R] { return o.unacknowledged }

// heartbeatHistory is the number of heartbeats whose send times are kept: more than are
// sent before a session without messages is closed.
const heartbeatHistory = 16

// EntryEnd is the entry's end of its sessions with the agent at one address.
type EntryEnd struct {
	agent         ident.Incarnation
	resultsSeen   uint64 // sequence of the newest result received from the incarnation
	lastHeartbeat uint64
	sentTimes     [heartbeatHistory]time.Duration
	agentClock    time.Duration
}

// Hello is what the entry tells an agent when it opens a session.
type Hello struct {
	// Agent is the incarnation that answered last, empty before the first session.
	Agent ident.Incarnation
	// ResultsSeen is the sequence of its newest result that the entry has received.
	ResultsSeen uint64
}

// Open starts a new session and returns its first message.
func (e *EntryEnd) Open() Hello {
	e.agentClock = 0
	return Hello{Agent: e.agent, ResultsSeen: e.resultsSeen}
}

// Agent returns the incarnation that answered last, empty before the first session.
func (e *EntryEnd) Agent() ident.Incarnation { return e.agent }

// Welcome records which incarnation answered. Results of a new incarnation are
// numbered from 1 again.
func (e *EntryEnd) Welcome(agent ident.Incarnation) {
	if e.agent != agent {
		e.agent, e.resultsSeen = agent, 0
	}
}

// AcceptResult records the receipt of a result. It returns false for a duplicate.
func (e *EntryEnd) AcceptResult(sequence uint64) bool {
	if sequence <= e.resultsSeen {
		return false
	}
	e.resultsSeen = sequence
	return true
}

// Processed records that everything that arrived before a message of this session has
// been processed. agentClock is the agent's clock when it sent the message.
//
// It must be called in the order in which the entry makes its decisions, so that a
// lease never counts from a time at which the entry had not yet processed that a
// caller left.
func (e *EntryEnd) Processed(agentClock time.Duration) { e.agentClock = max(e.agentClock, agentClock) }

// Heartbeat is a heartbeat of an entry.
type Heartbeat struct {
	Number      uint64
	ResultsSeen uint64
	// AgentClock is the agent's time from which the lease counts, 0 if none is known
	// in this session.
	AgentClock time.Duration
}

// NextHeartbeat returns the next heartbeat and records now as its send time.
func (e *EntryEnd) NextHeartbeat(now time.Duration) Heartbeat {
	e.lastHeartbeat++
	e.sentTimes[e.lastHeartbeat%heartbeatHistory] = now
	return Heartbeat{Number: e.lastHeartbeat, ResultsSeen: e.resultsSeen, AgentClock: e.agentClock}
}

// SentAt returns when a heartbeat was sent, 0 if it was not sent or is too old.
func (e *EntryEnd) SentAt(number uint64) time.Duration {
	if number == 0 || number > e.lastHeartbeat || e.lastHeartbeat-number >= heartbeatHistory {
		return 0
	}
	return e.sentTimes[number%heartbeatHistory]
}
