package sim

import (
	"bytes"
	"os"
	"reflect"
	"testing"
	"time"
)

const (
	testLength = 60 * time.Second
	testSeeds  = 2
	// A 99th percentile needs many jobs: with 4 seeds of 3 minutes it varies
	// more between seeds than because of the fault.
	manySeeds  = 8
	longLength = 400 * time.Second
)

func mustFind(t *testing.T, name string) Scenario {
	t.Helper()
	s, ok := FindScenario(name)
	if !ok {
		t.Fatalf("no scenario %q", name)
	}
	return s
}

func checkAtMost(t *testing.T, what string, got, limit float64) {
	t.Helper()
	if got > limit {
		t.Errorf("%s is %.3f, want at most %.3f", what, got, limit)
	}
}

func TestResponseAgainstTheIdeal(t *testing.T) {
	limits := map[string]struct{ mean, p99 float64 }{
		"load-50": {1.05, 1.2},
		"load-80": {1.15, 1.2},
		"load-95": {1.3, 1.3},
	}
	for name, limit := range limits {
		for _, site := range []Site{Norrbrand(), UFCS()} {
			for _, r := range mustFind(t, name).RunSeeds(site, PolicyShortestQueue, testSeeds, testLength) {
				checkAtMost(t, name+" mean ratio", r.MeanRatio(), limit.mean)
				checkAtMost(t, name+" p99 ratio", r.P99Ratio(), limit.p99)
				checkAtMost(t, name+" share of wasted messages", r.Messages.Wasted(), 0.05)
				if r.Failed+r.Refused > 0 {
					t.Errorf("%s: %d jobs failed and %d were refused, want none", name, r.Failed, r.Refused)
				}
			}
		}
	}
}

func TestFailingVMGetsFewTasksAndRecovers(t *testing.T) {
	for _, r := range mustFind(t, "failing").RunSeeds(Norrbrand(), PolicyShortestQueue, testSeeds, 3*testLength) {
		checkAtMost(t, "share of tasks on the failing VM", float64(r.FaultTasks)/float64(r.FaultAll), 0.01)
		if r.RecoveredAfter == 0 {
			t.Error("the VM did not regain half of its fair share of tasks after the fault")
		}
	}
}

func TestStragglerHardlyHurtsSmallJobs(t *testing.T) {
	baseline := mustFind(t, "straggler")
	baseline.change = nil
	without := baseline.RunSeeds(Norrbrand(), PolicyShortestQueue, manySeeds, longLength)
	with := mustFind(t, "straggler").RunSeeds(Norrbrand(), PolicyShortestQueue, manySeeds, longLength)
	p99 := func(r *Report) float64 { return r.Small.P99.Seconds() }
	checkAtMost(t, "p99 of small jobs relative to that without the straggler", SpreadOf(with, p99).Mean/SpreadOf(without, p99).Mean, 1.1)
}

func TestServiceStaysAvailableWhenAllVMsFail(t *testing.T) {
	for _, r := range mustFind(t, "all-failing").RunSeeds(Norrbrand(), PolicyShortestQueue, testSeeds, testLength) {
		minComplete := int(float64(r.Complete+r.Failed) * 0.45)
		if r.Refused > 0 || r.Complete < minComplete {
			t.Errorf("%d complete, %d failed, %d refused; want none refused and at least 45 percent complete", r.Complete, r.Failed, r.Refused)
		}
	}
}

func TestDomainOutAndBackLosesNothing(t *testing.T) {
	for _, r := range mustFind(t, "domain-out").RunSeeds(UFCS(), PolicyShortestQueue, testSeeds, testLength) {
		if r.Failed+r.Refused > 0 || r.FaultTasks > 0 {
			t.Errorf("%d jobs failed, %d were refused, %d tasks started in the withdrawn domain; want none", r.Failed, r.Refused, r.FaultTasks)
		}
		if r.RecoveredAfter == 0 {
			t.Error("the domain did not regain half of its fair share of tasks after it was restored")
		}
	}
}

func TestSameSeedSameRun(t *testing.T) {
	s := mustFind(t, "straggler")
	a := s.Run(Norrbrand(), PolicyShortestQueue, 7, testLength/4)
	b := s.Run(Norrbrand(), PolicyShortestQueue, 7, testLength/4)
	if !reflect.DeepEqual(a, b) {
		t.Errorf("%+v\ndiffers from the result of the second run with the same seed\n%+v", a, b)
	}
}

func TestTraceSurvivesRecording(t *testing.T) {
	want := mustFind(t, "failing").Trace(UFCS(), 1, time.Second)
	var b bytes.Buffer
	if err := want.Write(&b); err != nil {
		t.Fatal(err)
	}
	got, err := ReadTrace(&b)
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Fatalf("the trace read back differs: %+v, error %v", got, err)
	}
}

// TestRecordedTraces replays recorded traces and compares the numbers of
// outcomes.
func TestRecordedTraces(t *testing.T) {
	outcomes := []struct {
		file                      string
		complete, failed, refused int
	}{
		{"one-large-among-small.jsonl", 21, 0, 0},
		{"domain-out-under-load.jsonl", 40, 0, 0},
		{"cancel-wave.jsonl", 10, 20, 0},
	}
	for _, want := range outcomes {
		f, err := os.Open("testdata/" + want.file)
		if err != nil {
			t.Fatal(err)
		}
		trace, err := ReadTrace(f)
		_ = f.Close()
		if err != nil {
			t.Fatal(err)
		}
		r := Run(Config{Site: Norrbrand(), Policy: PolicyShortestQueue, Seed: 1, Trace: trace})
		if r.Complete != want.complete || r.Failed != want.failed || r.Refused != want.refused {
			t.Errorf("%s: unexpected outcomes: %d complete, %d failed, %d refused", want.file, r.Complete, r.Failed, r.Refused)
		}
		if r.Small.Jobs > 0 {
			checkAtMost(t, want.file+" small p99 ratio", r.SmallP99Ratio(), 1.2)
		}
	}
}

// TestOverload offers three times the capacity for a fifth of the time, with a
// deadline of 10 s, to entries that admit jobs.
func TestOverload(t *testing.T) {
	s := mustFind(t, "overload")
	reports := s.RunSeeds(Norrbrand(), PolicyShortestQueue, 4, 200*time.Second)
	goodput := SpreadOf(reports, func(r *Report) float64 { return r.Goodput })
	if goodput.Mean < 0.95 {
		t.Errorf("goodput is %+v, want a mean of at least 0.95", goodput)
	}
	for _, r := range reports {
		checkAtMost(t, "p99 in seconds", r.All.P99.Seconds(), 10)
		checkAtMost(t, "p99 of single tasks in seconds", r.Small.P99.Seconds(), 5)
	}
}

// TestFloodOfOneTeamSparesOthers checks that the jobs of other client accounts
// are hardly delayed while one account offers three times the capacity.
func TestFloodOfOneTeamSparesOthers(t *testing.T) {
	baseline := mustFind(t, "flood")
	baseline.change = nil
	small := func(r *Report) float64 { return r.Small.P99.Seconds() }
	without := SpreadOf(baseline.RunSeeds(Norrbrand(), PolicyShortestQueue, 4, testLength), small)
	with := SpreadOf(mustFind(t, "flood").RunSeeds(Norrbrand(), PolicyShortestQueue, 4, testLength), small)
	checkAtMost(t, "p99 of single tasks of the other teams relative to that without the flood", with.Mean/without.Mean, 1.2)
}
