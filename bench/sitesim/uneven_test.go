package sitesim

import (
	"math"
	"slices"
	"testing"
	"time"

	"foxtaildock.example/dock/operator"
	"foxtaildock.example/dock/work"
)

// unevenSite is a third of a site of which a quarter of the servers has 0.55 of the usual
// speed and the others 1.2, with arrivals in waves and a peak.
func unevenSite(seed uint64) Config {
	cfg := StandardSite(seed, 8*time.Second)
	cfg.Entries, cfg.Agents = 5, 25
	cfg.Speed = []float64{1 / 1.2, 1 / 1.2, 1 / 0.55, 1 / 1.2}
	kind := func(at int, perSecond float64, task time.Duration) {
		cfg.Kinds[at].PerSecond, cfg.Kinds[at].Work = perSecond, task
		cfg.Kinds[at].Demand = work.Demand{CPUMilli: 1700, MemoryMB: 64}
	}
	kind(0, 60, 51*time.Millisecond)
	kind(1, 11, 760*time.Millisecond)
	kind(2, 176, 170*time.Millisecond)
	cfg.Rate = func(at time.Duration) float64 {
		rate := 1 + 0.55*math.Sin(2*math.Pi*at.Seconds()/15)
		if at > 3*time.Second && at < 7*time.Second {
			rate *= 1.3
		}
		return rate
	}
	return cfg
}

// inTime returns how many jobs ended within their objective on uneven sites, and how many
// there were. without is true for entries that get no speed figures from agents and don't
// place by slack.
func inTime(t *testing.T, without bool) (inTime, jobs int) {
	t.Helper()
	for seed := uint64(1); seed <= 2; seed++ {
		cfg := unevenSite(seed)
		cfg.NoSpeeds = without
		s, err := New(cfg)
		if err != nil {
			t.Fatal(err)
		}
		if without {
			manifest := operator.Manifest{Routes: slices.Clone(s.operator.Manifest.Routes)}
			for i := range manifest.Routes {
				manifest.Routes[i].Stretch = 0 // callers' jobs keep theirs
			}
			s.operator.Manifest = &manifest
		}
		r := s.Run()
		for _, v := range s.Violations() {
			t.Errorf("seed %d: violated guarantee: %s", seed, v)
		}
		for _, k := range r.Kinds {
			inTime, jobs = inTime+k.WithinObjective, jobs+k.Jobs
		}
	}
	return inTime, jobs
}

// Where a quarter of the servers is slow, the agents' figures and placement by slack must
// serve at least as many jobs in time as the same core without both.
func TestSpeedsServeMoreJobsInTime(t *testing.T) {
	t.Parallel()
	with, jobs := inTime(t, false)
	without, _ := inTime(t, true)
	t.Logf("in time: %d of %d jobs with speeds, %d without", with, jobs, without)
	if with < without {
		t.Errorf("%d of %d jobs in time with speeds, want at least the %d without", with, jobs, without)
	}
}
