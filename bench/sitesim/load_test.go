package sitesim

import (
	"testing"
)

// net is the benefit, less half of the worth that was held for long and then
// rejected, for each seed.
func net(t *testing.T, scenario string, simple bool) float64 {
	t.Helper()
	const seeds = 1
	sum := 0.0
	for seed := uint64(1); seed <= seeds; seed++ {
		cfg := scenarioConfig(t, scenario, seed)
		cfg.Baseline = simple
		s, err := New(cfg)
		if err != nil {
			t.Fatal(err)
		}
		r := s.Run()
		if !simple {
			for _, b := range s.Broken() {
				t.Errorf("%s, seed %d: broken promise: %s", scenario, seed, b)
			}
		}
		sum += r.Benefit - r.HeldInVain/2
	}
	return sum / seeds
}

func scenarioConfig(t *testing.T, name string, seed uint64) Config {
	t.Helper()
	for _, sc := range Scenarios() {
		if sc.Name == name {
			return sc.Build(seed)
		}
	}
	t.Fatalf("no scenario %q", name)
	return Config{}
}

// Each load has an outcome that the system has to reach and the simple policy
// doesn't. The bounds are shares of what the callers' worth allows: where the site can
// do all the work, nearly all of it; in overload, what fits, from the arithmetic of
// capacity and arrivals (0.92 and 0.78), less a tenth.
func TestLoadsAreBorne(t *testing.T) {
	for scenario, bound := range map[string]float64{
		"slow":     0.93,
		"late":     0.90,
		"overload": 0.83,
		"flood":    0.70,
		"domain":   0.88,
		"failing":  0.95,
	} {
		t.Run(scenario, func(t *testing.T) {
			t.Parallel()
			if got := net(t, scenario, false); got < bound {
				t.Errorf("net benefit %.3f, want %.2f", got, bound)
			}
			if got := net(t, scenario, true); got >= bound {
				t.Errorf("the simple policy reaches %.3f too; the load provokes nothing", got)
			}
		})
	}
}

// An entry that stood still has nobody wait in vain: its agents only look silent when
// it wakes, so the jobs that came meanwhile are not turned away for want of them.
func TestAnEntryThatStoodStillTurnsNobodyAwayLate(t *testing.T) {
	s, err := New(scenarioConfig(t, "frozen", 1))
	if err != nil {
		t.Fatal(err)
	}
	if r := s.Run(); r.HeldInVain > 0 {
		t.Errorf("%.4f of the worth was held for long and then turned away, want none", r.HeldInVain)
	}
}
