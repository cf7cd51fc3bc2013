package proof

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"foxtaildock.example/bench/backend"
	"foxtaildock.example/bench/cluster"
)

func TestNamesAreUnique(t *testing.T) {
	seen := make(map[string]bool)
	for _, p := range All() {
		if p.Name == "" || seen[p.Name] || p.Guarantee == "" || p.Scenario == "" || p.Run == nil {
			t.Errorf("proof %+v lacks a field or has the name of another", p.Name)
		}
		seen[p.Name] = true
	}
	if got := Select(All(), "kill-entry"); len(got) != 1 {
		t.Errorf("Select by kill-entry returned %d proofs, want 1", len(got))
	}
}

func TestReportShowsErrors(t *testing.T) {
	r := Report{Proof: All()[0], Seed: 7, Verdict: Failed, Err: errors.Join(
		errors.New("one"), errors.New("two"), errors.New("three"), errors.New("four"), errors.New("five")), Dir: "d"}
	text := r.Text()
	for _, want := range []string{"FELL SHORT", "seed 7", "one", "and 1 more", "logs: d"} {
		if !strings.Contains(text, want) {
			t.Errorf("report does not contain %q:\n%s", want, text)
		}
	}
}

func TestCheckNoStartsFindsStartsInTheWindow(t *testing.T) {
	dir := t.TempDir()
	c, err := cluster.New(cluster.Spec{Dir: dir, Agents: 1})
	if err != nil {
		t.Fatal(err)
	}
	ledger, err := os.Create(filepath.Join(dir, "backend-1.ledger"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ledger.Close() }()
	start := backend.Start{AtUnixMS: 5000, Domain: "lulea"}
	if err := backend.NewLedger(ledger).Add(start); err != nil {
		t.Fatal(err)
	}
	b := &Testbed{Cluster: c}
	covers := window{from: time.UnixMilli(4000), to: time.UnixMilli(6000)}
	later := window{from: time.UnixMilli(5500), to: time.UnixMilli(6000)}
	if b.checkNoStarts(covers, inDomain("lulea")) == nil {
		t.Error("no error for a start in the window")
	}
	if err := errors.Join(b.checkNoStarts(later, inDomain("lulea")), b.checkNoStarts(covers, inDomain("umea"))); err != nil {
		t.Error(err)
	}
}
