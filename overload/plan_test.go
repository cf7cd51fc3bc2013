package overload

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Each case is a queue at a rate of one unit of work per millisecond. Served in order of
// arrival, nearly all jobs of a long queue were a little late.
func TestPlanPutsOffTheWorkThatMakesOthersLate(t *testing.T) {
	const ms = time.Millisecond
	job := func(start, useful time.Duration, work float64) Job {
		return Job{LatestStart: start * ms, LatestUseful: useful * ms, Work: work * float64(ms)}
	}
	with := func(j Job, f func(*Job)) Job { f(&j); return j }
	started := func(j *Job) { j.Started = true }
	protected := func(j *Job) { j.Protected = true }
	large, medium := job(10, 100, 60), job(20, 100, 30)
	small := []Job{job(30, 200, 10), job(40, 200, 10), job(50, 200, 10)}
	for name, c := range map[string]struct {
		jobs []Job
		want []Prospect
	}{
		"enough room":                  {[]Job{job(10, 100, 5), job(10, 100, 5), job(10, 100, 5)}, []Prospect{InTime, InTime, InTime}},
		"large job before small ones":  {append([]Job{large}, small...), []Prospect{Late, InTime, InTime, InTime}},
		"large job behind small ones":  {append(slices.Clone(small), job(25, 200, 60)), []Prospect{InTime, InTime, InTime, Late}},
		"largest protected":            {append([]Job{with(large, protected), medium}, small[2]), []Prospect{InTime, Late, Late}},
		"only protected ones":          {append([]Job{with(large, protected)}, with(small[0], protected)), []Prospect{Late, InTime}},
		"started work is completed":    {append([]Job{with(large, started)}, small...), []Prospect{InTime, Late, Late, Late}},
		"latest start passed":          {[]Job{large, job(-1, 100, 1)}, []Prospect{InTime, Late}},
		"no use any more":              {[]Job{large, job(-100, -1, 1)}, []Prospect{InTime, Hopeless}},
		"largest of the jobs put off":  {[]Job{job(-1, 30, 40), job(-1, 35, 10), job(-1, 36, 5)}, []Prospect{Hopeless, Late, Late}},
		"of equal ones the least time": {[]Job{job(-1, 8, 10), job(-1, 9, 10)}, []Prospect{Hopeless, Late}},
		"work in time goes first":      {[]Job{job(10, 100, 60), job(-1, 50, 1)}, []Prospect{InTime, Hopeless}},
	} {
		t.Run(name, func(t *testing.T) {
			var p Planner
			if got := p.Plan(0, 1, c.jobs); !slices.Equal(got, c.want) {
				t.Errorf("prospects %v, want %v", got, c.want)
			}
		})
	}
}

// A job was called in time although the work planned before it took longer than its slack.
func TestPlannedJobsStartInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		jobs := make([]Job, rapid.IntRange(0, 30).Draw(t, "jobs"))
		for i := range jobs {
			start := time.Duration(rapid.IntRange(-20, 200).Draw(t, "start"))
			jobs[i] = Job{
				LatestStart: start, LatestUseful: start + time.Duration(rapid.IntRange(0, 300).Draw(t, "useful")),
				Work:    float64(rapid.IntRange(0, 50).Draw(t, "work")),
				Started: rapid.Bool().Draw(t, "started"), Protected: rapid.Bool().Draw(t, "protected"), Order: uint64(i),
			}
		}
		var p Planner
		prospects := p.Plan(0, 1, jobs)
		order := make([]int, len(jobs))
		for i := range order {
			order[i] = i
		}
		ahead := 0.0
		slices.SortFunc(order, func(a, b int) int {
			return cmp.Or(cmp.Compare(prospects[a], prospects[b]), cmp.Compare(jobs[a].LatestStart, jobs[b].LatestStart), cmp.Compare(jobs[a].Order, jobs[b].Order))
		})
		for i := range jobs {
			if jobs[i].Started {
				ahead += jobs[i].Work
			}
		}
		for _, i := range order {
			switch {
			case jobs[i].Started && prospects[i] != InTime:
				t.Fatalf("started job %d is put off", i)
			case !jobs[i].Started && prospects[i] == InTime:
				if ahead > float64(jobs[i].LatestStart) {
					t.Fatalf("job %d, in time, starts at %v, its latest start is %v", i, ahead, jobs[i].LatestStart)
				}
				ahead += jobs[i].Work
			}
		}
	})
}

// The largest jobs were always the ones that were put off.
func TestASizeClassThatFaresWorseIsProtected(t *testing.T) {
	for name, c := range map[string]struct {
		largeJobs, largeInTime int
		later                  time.Duration
		want                   bool
	}{
		"far worse":           {20, 10, 0, true},
		"a little worse":      {20, 18, 0, false},
		"too few jobs":        {8, 0, 0, false},
		"long since":          {20, 10, 10 * time.Second, false},
		"worse, a second ago": {20, 10, time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			var s Sizes
			for i := range 100 {
				s.Ended(0, Rest, i%20 > 0)
			}
			for i := range c.largeJobs {
				s.Ended(0, LargestTenth, i < c.largeInTime)
			}
			if got := s.Protected(c.later, LargestTenth); got != c.want {
				t.Errorf("protected %v, want %v", got, c.want)
			}
		})
	}
	var s Sizes
	for i := range int64(1000) {
		s.Classify(i%100 + 1)
	}
	for work, want := range map[int64]Class{95: LargestTenth, 80: NextFifth, 50: Rest} {
		if got := s.Classify(work); got != want {
			t.Errorf("a job of work %d of 100 is of class %d, want %d", work, got, want)
		}
	}
}
