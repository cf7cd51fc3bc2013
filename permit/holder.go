package permit

import (
	"slices"
	"time"
)

// maxPendingIntents bounds the announced changes that one agent remembers. An
// agent that is at the bound does not acknowledge further ones.
const maxPendingIntents = 64

// Holder is the agent's side of permits: a core that keeps the newest permit,
// the newest state it heard of and the announced changes whose outcome is open.
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
	// pending lists the announced changes in the order of arrival. A slice
	// keeps the order of reports independent of the run.
	pending []string
}

// Offer takes a permit out of the answer to a heartbeat that was sent at sentAt
// and answered by now. It reports whether the permit was taken. The lease is
// counted from sentAt, which can only shorten it. An offer that is older in
// either number than what is known is dropped: it was granted before the newer
// state was committed.
func (h *Holder) Offer(sentAt, now time.Duration, f Fields) bool {
	if sentAt > now || h.known.NewerThan(f.State) {
		return false
	}
	h.known = h.known.Join(f.State)
	until := sentAt + min(max(f.Remaining, 0), Lease)
	if f.State != h.state() {
		h.permit = Permit{Version: f.State.Version, Epoch: f.State.Epoch, InService: f.InService, Ramp: f.Ramp, Until: until}
		return true
	}
	// Two entries can't disagree on one version. If a fault makes them, the
	// answer that starts nothing is the safe one.
	h.permit.InService = h.permit.InService && f.InService
	h.permit.Until = max(h.permit.Until, until)
	return true
}

// state returns the state that the permit names.
func (h *Holder) state() State { return State{Version: h.permit.Version, Epoch: h.permit.Epoch} }

// Permit returns the permit as it is kept. It may have lapsed, and it may name
// an older state than Known: see Live.
func (h *Holder) Permit() Permit { return h.permit }

// Live returns the permit if it holds at now. A permit for a state older than
// Known still holds for the rest of its lease; that is what the bound of one
// lease after the commit rests on.
func (h *Holder) Live(now time.Duration) (Permit, bool) {
	return h.permit, h.permit.Live(now)
}

// Known returns the newest state that the holder heard of.
func (h *Holder) Known() State { return h.known }

// Learn raises the known state without granting anything.
func (h *Holder) Learn(s State) { h.known = h.known.Join(s) }

// Confirm takes a confirmation out of an entry's answer; see FromAnswer. The
// newest state wins, and among equal states the later read.
func (h *Holder) Confirm(c Confirmation) {
	h.known = h.known.Join(c.State)
	h.confirmation = newest(h.confirmation, c)
}

// Confirmation returns the newest confirmation.
func (h *Holder) Confirmation() Confirmation { return h.confirmation }

// Announce remembers a change that is about to be committed and reports whether
// the holder acknowledges it. From then on every heartbeat names it until it is
// settled.
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

// Settle forgets an announced change. The sender has proof of its outcome: the
// state after it if it was committed, the zero State if it never will be. The
// state is learned before the intent is forgotten, so that no heartbeat shows
// neither.
func (h *Holder) Settle(id string, committed State) {
	h.known = h.known.Join(committed)
	h.pending = slices.DeleteFunc(h.pending, func(p string) bool { return p == id })
}

// Intent returns the oldest announced change whose outcome is open, or "".
func (h *Holder) Intent() string {
	if len(h.pending) == 0 {
		return ""
	}
	return h.pending[0]
}

// newest picks the confirmation with the newer state, or the later read of the
// same state. It never mixes the two.
func newest(a, b Confirmation) Confirmation {
	if b.State.NewerThan(a.State) {
		return b
	}
	if b.State == a.State && b.ReadAt > a.ReadAt {
		return b
	}
	return a
}
