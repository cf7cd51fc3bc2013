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

// TestSealsAreBounded checks that peers can't fill the memory of a home: beyond
// the bound it makes no promise, and says so.
func TestSealsAreBounded(t *testing.T) {
	const records = 10
	h := newTestHome(records)
	for i := range 100 * records {
		actions := h.Step(0, SealAsked{Request: 1, Key: key(i), From: "peer", Epoch: 1})
		a, ok := actions[0].(AnswerSeal)
		if !ok {
			t.Fatalf("answer %+v", actions[0])
		}
		_, kept := h.records[key(i)]
		if kept != (a.Verdict == Sealed) {
			t.Fatalf("question %d: verdict %v, record kept: %v", i, a.Verdict, kept)
		}
	}
	if n := h.Load().Records; n > 2*records {
		t.Fatalf("%d records, at most %d jobs are accepted", n, records)
	}
}

// TestLookupsTakeNoMemory checks that repeated look-ups of one record don't grow
// the order of expiry.
func TestLookupsTakeNoMemory(t *testing.T) {
	h := newTestHome(10)
	done := Record{Key: key(0), Outcome: job.Fail(job.ReasonCancelled, 0, "")}
	h.Step(0, HandedOver{From: "peer", Epoch: 1, Records: []Record{done}, Last: true})
	for i := range 10_000 {
		h.Step(time.Duration(i)*time.Millisecond, Lookup{Request: 1, Key: key(0)})
	}
	if n := len(h.order); n > 10 {
		t.Fatalf("%d entries for one record", n)
	}
}

// TestUsedRecordsStay checks that a record that is asked for outlives Retention.
func TestUsedRecordsStay(t *testing.T) {
	h := newTestHome(10)
	done := Record{Key: key(0), Outcome: job.Fail(job.ReasonCancelled, 0, "")}
	h.Step(0, HandedOver{From: "peer", Epoch: 1, Records: []Record{done}, Last: true})
	for now := time.Duration(0); now < 3*job.Retention; now += time.Minute {
		h.Step(now, Tick{})
		h.Step(now, Lookup{Request: 1, Key: key(0)})
	}
	if n := h.Load().Records; n != 1 {
		t.Fatalf("%d records", n)
	}
	h.Step(5*job.Retention, Tick{})
	if n := h.Load().Records; n != 0 {
		t.Fatalf("%d records after the retention time", n)
	}
}
