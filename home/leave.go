package home

import (
	"slices"
	"time"

	"foxtaildock.example/dock/ident"
)

// handOver sends the records to their new homes, once, when this home has left the
// placement and no job is active here. Every member of the newest epoch gets a
// handover, even an empty one, so that it can vouch for this home.
func (h *Home) handOver() {
	if h.handedOver || !h.leftPlacement || len(h.active) > 0 {
		return
	}
	h.handedOver = true
	shares := h.recordsByHome()
	for _, m := range h.placement.Current() {
		records := shares[m.Incarnation]
		sortRecords(records)
		h.emit(Handover{To: m, Epoch: h.placement.Epoch, Records: records, Vouches: slices.Clone(h.vouches)})
	}
}

// recordsByHome groups the finished records by their new home.
func (h *Home) recordsByHome() map[ident.Incarnation][]Record {
	out := make(map[ident.Incarnation][]Record)
	for key, r := range h.records {
		if r.phase != phaseDone {
			continue
		}
		if m, ok := h.placement.Home(key); ok {
			out[m.Incarnation] = append(out[m.Incarnation], Record{Key: key, Digest: r.digest, Outcome: r.outcome})
		}
	}
	return out
}

// receive stores records from a leaving home.
func (h *Home) receive(now time.Duration, e HandedOver) {
	for i := range e.Records {
		h.receiveRecord(now, &e.Records[i])
	}
	if e.Last {
		h.addVouch(Vouch{Peer: e.From, Heir: h.cfg.Self, Epoch: e.Epoch})
		for _, v := range e.Vouches {
			h.addVouch(v)
		}
		h.recheckSealRequests(now)
	}
}

func (h *Home) addVouch(v Vouch) {
	if !slices.Contains(h.vouches, v) {
		h.vouches = append(h.vouches, v)
	}
}

// forgetVouches drops the vouches for incarnations that the placement no longer
// knows, since no home asks those for seals.
func (h *Home) forgetVouches() {
	h.vouches = slices.DeleteFunc(h.vouches, func(v Vouch) bool {
		_, named := h.placement.Member(v.Peer)
		return !named
	})
}

// inherits reports whether heir holds any record that peer had of the key, by one
// handover or by a chain of them.
func (h *Home) inherits(vouches []Vouch, heir, peer ident.Incarnation, key ident.JobKey) bool {
	for i, v := range vouches {
		if v.Peer != peer || v.Epoch > h.placement.Epoch {
			continue
		}
		m, ok := h.placement.HomeAt(v.Epoch, key)
		if !ok || m.Incarnation != v.Heir {
			continue
		}
		// Each handover is used at most once, so the recursion ends.
		rest := slices.Delete(slices.Clone(vouches), i, i+1)
		if v.Heir == heir || h.inherits(rest, heir, v.Heir, key) {
			return true
		}
	}
	return false
}

func (h *Home) receiveRecord(now time.Duration, in *Record) {
	r := h.records[in.Key]
	if r == nil || r.phase == phaseSealed {
		r = &record{key: in.Key, digest: in.Digest}
		h.records[in.Key] = r
	} else if r.phase != phaseResolving {
		return
	}
	if r.digest != in.Digest {
		h.answerWaiters(r, h.keyReused())
		r.digest = in.Digest
	}
	h.conclude(now, r, in.Outcome)
	r.outcome.Home = in.Outcome.Home
}

// recheckSealRequests applies newly received vouches to the open seal requests of
// resolving jobs, and calls advanceResolve for each.
func (h *Home) recheckSealRequests(now time.Duration) {
	for _, r := range append([]*record(nil), h.active...) {
		if r.phase != phaseResolving {
			continue
		}
		for i := range r.sealRequests {
			a := &r.sealRequests[i]
			if h.inherits(h.vouches, h.cfg.Self, a.peer.Incarnation, r.key) {
				a.state = sealGranted
			}
		}
		h.advanceResolve(now, r)
	}
}

func sortRecords(records []Record) {
	slices.SortFunc(records, func(a, b Record) int { return a.Key.Compare(b.Key) })
}
