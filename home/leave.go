package home

import (
	"slices"
	"time"

	"foxtaildock.example/dock/ident"
)

// handOver passes the records on, once, when this home has left the placement
// and no job is active here any more. Every member of the epoch in which it
// left gets its share, even an empty one, so that it can vouch for this home.
func (h *Home) handOver() {
	if h.handedOver || !h.left || len(h.active) > 0 {
		return
	}
	self, _ := h.placement.Member(h.cfg.Self)
	h.handedOver = true
	shares := h.shares(self.Left)
	for _, m := range h.placement.Current() {
		records := shares[m.Incarnation]
		sortRecords(records)
		h.emit(Handover{To: m, Records: records})
	}
}

// shares sorts the finished records by the home they go to.
func (h *Home) shares(epoch ident.Epoch) map[ident.Incarnation][]Record {
	out := make(map[ident.Incarnation][]Record)
	for key, r := range h.records {
		if r.phase != phaseDone {
			continue
		}
		if m, ok := h.placement.HomeAt(epoch, key); ok {
			out[m.Incarnation] = append(out[m.Incarnation], Record{Key: key, Digest: r.digest, Outcome: r.outcome})
		}
	}
	return out
}

// receive takes records from a leaving home.
func (h *Home) receive(now time.Duration, e HandedOver) {
	for i := range e.Records {
		h.receiveRecord(now, &e.Records[i])
	}
	if e.Last {
		h.vouched[e.From] = true
		h.recheckAsks(now)
	}
}

func (h *Home) receiveRecord(now time.Duration, in *Record) {
	r := h.records[in.Key]
	if r == nil || r.phase == phaseSealed {
		r = &record{key: in.Key, digest: in.Digest}
		h.records[in.Key] = r
	} else if r.phase != phaseResolving {
		return
	}
	outcome := in.Outcome
	h.conclude(now, r, outcome)
	r.outcome.Home = in.Outcome.Home
}

// recheckAsks settles jobs that waited for a home which has now handed over.
func (h *Home) recheckAsks(now time.Duration) {
	for _, r := range append([]*record(nil), h.active...) {
		if r.phase != phaseResolving {
			continue
		}
		for i := range r.asks {
			a := &r.asks[i]
			if h.vouched[a.peer.Incarnation] && h.inherits(h.cfg.Self, a.peer, r.key) {
				a.state = askSealed
			}
		}
		h.settle(now, r)
	}
}

func sortRecords(records []Record) {
	slices.SortFunc(records, func(a, b Record) int { return a.Key.Compare(b.Key) })
}
