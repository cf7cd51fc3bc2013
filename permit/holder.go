package permit

import (
	"slices"
	"time"
)

// maxPendingIntents is the maximum number of announced changes that one agent
// remembers. At the limit it acknowledges no further ones.
const maxPendingIntents = 64

// Holder keeps the permit of an agent, the newest state that the agent has learned
// of, and the announced changes (intents) whose outcome it does not know.
//
// Invariants:
//   - The version and the epoch of the permit and of Known never go down.
//   - Permit().Until is never later than the start of a confirming read plus
//     Lease, on the clock of the holder.
//   - Known covers every state that the holder acknowledged as committed.
type Holder struct {
	permit Permit
	known  State
	// confirmation is the newest one learned from answers of entries.
	confirmation Confirmation
	// pending lists the announced changes in the order of arrival. It is a slice,
	// so that the order of reports is deterministic.
	pending []string
}

// Offer processes the permit in the answer to a heartbeat that was sent at sentAt
// and answered by now. It reports whether the permit was accepted. The lease is
// counted from sentAt, which can only shorten it. A permit whose version or epoch
// is older than the known one is dropped: it was granted before the newer state
// was committed.
func (h *Holder) Offer(sentAt, now time.Duration, grant Grant) bool {
	if sentAt > now || h.known.NewerThan(grant.State) {
		return false
	}
	h.known = h.known.Join(grant.State)
	until := sentAt + min(max(grant.Remaining, 0), Lease)
	if grant.State != h.state() {
		h.permit = Permit{Version: grant.State.Version, Epoch: grant.State.Epoch, InService: grant.InService, Ramp: grant.Ramp, Until: until}
		return true
	}
	// Two entries can't disagree on one version. If a fault makes them disagree,
	// out of service is the safe answer, since it starts no task.
	h.permit.InService = h.permit.InService && grant.InService
	h.permit.Until = max(h.permit.Until, until)
	return true
}

// state returns the state that the permit names.
func (h *Holder) state() State { return State{Version: h.permit.Version, Epoch: h.permit.Epoch} }

// Permit returns the newest permit. It may have lapsed, and it may name an older
// state than Known; see Live.
func (h *Holder) Permit() Permit { return h.permit }

// Live returns the newest permit and whether it is live at now. A permit for a
// state older than Known stays live for the rest of its lease. Every such permit
// has lapsed one lease after the newer state was committed.
func (h *Holder) Live(now time.Duration) (Permit, bool) {
	return h.permit, h.permit.Live(now)
}

// Known returns the newest state that the holder has learned of.
func (h *Holder) Known() State { return h.known }

// RaiseKnown raises the known state without granting anything.
func (h *Holder) RaiseKnown(s State) { h.known = h.known.Join(s) }

// Confirm processes a confirmation in an entry's answer; see
// ConfirmationFromAnswer. The confirmation of the newest state is kept, and among
// equal states the later read.
func (h *Holder) Confirm(c Confirmation) {
	h.known = h.known.Join(c.State)
	h.confirmation = newest(h.confirmation, c)
}

// Confirmation returns the newest confirmation that the holder has learned of.
func (h *Holder) Confirmation() Confirmation { return h.confirmation }

// Announce records a change that is about to be committed and reports whether the
// holder acknowledges it. It does not if id is empty or too many changes are
// pending. Heartbeats then name the oldest pending change until it is settled.
func (h *Holder) Announce(id string) bool {
	if id == "" {
		return false
	}
	if slices.Contains(h.pending, id) {
		return true
	}
	if len(h.pending) >= maxPendingIntents {
		return false
	}
	h.pending = append(h.pending, id)
	return true
}

// Settle removes an announced change whose outcome the sender knows. Committed is
// the state after the change if it was committed, or the zero State if it never
// will be. The state is learned before the intent is removed, so that every
// heartbeat shows one of them.
func (h *Holder) Settle(id string, committed State) {
	h.known = h.known.Join(committed)
	h.pending = slices.DeleteFunc(h.pending, func(p string) bool { return p == id })
}

// Intent returns the id of the oldest pending change, or "" if there is none.
func (h *Holder) Intent() string {
	if len(h.pending) == 0 {
		return ""
	}
	return h.pending[0]
}

// newest returns the confirmation with the newer state, or with the later read of
// the same state. It never combines the state of one with the time of the other.
func newest(a, b Confirmation) Confirmation {
	if b.State.NewerThan(a.State) {
		return b
	}
	if b.State == a.State && b.ReadAt > a.ReadAt {
		return b
	}
	return a
}
