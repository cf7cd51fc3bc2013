package sitesim

import (
	"testing"
	"time"

	"foxtaildock.example/dock/work"
)

// Of three jobs that can't all start in time, the one with the most work must be put off.
// Putting off each job that would start too late would put off the two others.
func TestBoundPutsOffTheLargestJob(t *testing.T) {
	job := func(left float64, latest time.Duration) *boundJob {
		return &boundJob{left: left, inTimeStart: latest}
	}
	a, b, c := job(5, time.Second), job(1, 4*time.Second), job(1, 4500*time.Millisecond)
	kept, putOff := mooreHodgson([]*boundJob{c, b, a}, 0, 0, 1, func(j *boundJob) time.Duration { return j.inTimeStart })
	if len(kept) != 2 || kept[0] != b || kept[1] != c || len(putOff) != 1 || putOff[0] != a {
		t.Errorf("kept %v and put off %v, want only the largest job put off", kept, putOff)
	}
}

// The bound must lose nothing when capacity is ample, and only less urgent jobs when there
// is too little. Otherwise it says nothing about what a load leaves to gain.
func TestBoundServesWhatFits(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		cores        int64
		least, most  float64 // share of the least urgent jobs in time
		urgentInTime float64
	}{
		"ample":  {cores: 64, least: 1, most: 1, urgentInTime: 1},
		"scarce": {cores: 8, least: 0, most: 0.5, urgentInTime: 0.99},
	} {
		cfg := StandardSite(1, 5*time.Second)
		cfg.Capacity = []work.Demand{{CPUMilli: 1000 * tc.cores, MemoryMB: 65536}}
		s, err := New(cfg)
		if err != nil {
			t.Fatal(err)
		}
		s.Run()
		kinds := TallyBy(s.Bound(), func(o *Outcome) string { return o.Kind })
		if got := kinds["wide"].Share(InTime); got < tc.urgentInTime {
			t.Errorf("%s: %.3f of the urgent jobs are in time, want %.2f", name, got, tc.urgentInTime)
		}
		if got := kinds["long"].Share(InTime); got < tc.least || got > tc.most {
			t.Errorf("%s: %.3f of the least urgent jobs are in time, want from %.2f to %.2f", name, got, tc.least, tc.most)
		}
	}
}
