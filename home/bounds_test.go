package home

import (
	"fmt"
	"testing"
	"time"

	"foxtaildock.example/dock/dispatch"
	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/job"
)

const self = ident.Incarnation("self")

func newTestHome(maxRecords int) *Home {
	cfg := DefaultConfig(self)
	cfg.MaxRecords = maxRecords
	return New(cfg, dispatch.NewShortestQueue(dispatch.Config{Own: self}))
}

func key(i int) ident.JobKey { return ident.JobKey{Team: "tills", Key: fmt.Sprint(i)} }

// TestSealsAreBounded checks that seal requests can't exhaust the memory of a home:
// beyond the limit it seals no further keys and does not answer Sealed.
func TestSealsAreBounded(t *testing.T) {
	const records = 10
	h := newTestHome(records)
	for i := range 100 * records {
		actions := h.Step(0, SealRequested{Request: 1, Key: key(i), From: "peer", Epoch: 1})
		a, ok := actions[0].(AnswerSeal)
		if !ok {
			t.Fatalf("got action %+v, want AnswerSeal", actions[0])
		}
		_, kept := h.records[key(i)]
		if kept != (a.Verdict == Sealed) {
			t.Fatalf("seal request %d: verdict %v, but record kept: %v", i, a.Verdict, kept)
		}
	}
	if n := h.Load().Records; n > 2*records {
		t.Fatalf("%d records are kept, want at most twice the limit of %d", n, records)
	}
}

// TestLookupsTakeNoMemory checks that repeated look-ups of one record don't grow
// the expiry order without limit.
func TestLookupsTakeNoMemory(t *testing.T) {
	h := newTestHome(10)
	done := Record{Key: key(0), Outcome: job.Fail(job.ReasonCancelled, 0, "")}
	h.Step(0, HandedOver{From: "peer", Epoch: 1, Records: []Record{done}, Last: true})
	for i := range 10_000 {
		h.Step(time.Duration(i)*time.Millisecond, Lookup{Request: 1, Key: key(0)})
	}
	if n := len(h.expiryOrder); n > 10 {
		t.Fatalf("expiry order has %d entries for one record, want at most 10", n)
	}
}

// TestUsedRecordsStay checks that a record that is looked up regularly is kept
// beyond Retention, and expires once the look-ups end.
func TestUsedRecordsStay(t *testing.T) {
	h := newTestHome(10)
	done := Record{Key: key(0), Outcome: job.Fail(job.ReasonCancelled, 0, "")}
	h.Step(0, HandedOver{From: "peer", Epoch: 1, Records: []Record{done}, Last: true})
	for now := time.Duration(0); now < 3*job.Retention; now += time.Minute {
		h.Step(now, Tick{})
		h.Step(now, Lookup{Request: 1, Key: key(0)})
	}
	if n := h.Load().Records; n != 1 {
		t.Fatalf("%d records while one is in use, want 1", n)
	}
	h.Step(5*job.Retention, Tick{})
	if n := h.Load().Records; n != 0 {
		t.Fatalf("%d records after the retention time, want 0", n)
	}
}
