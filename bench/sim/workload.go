package sim

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"foxtaildock.example/dock/ident"
)

// Bounds and distribution of generated run times: most are 50 ms to one second,
// a few are several seconds.
const (
	shortestRun = 50 * time.Millisecond
	longestRun  = 8 * time.Second
	medianRun   = 200 * time.Millisecond
	runSigma    = 0.8
	longShare   = 0.01
	longFrom    = 2 * time.Second
	// declaredSpread is the standard deviation of the logarithm of the ratio of
	// declared to actual run time. Declared times are very inaccurate.
	declaredSpread = 1.2
)

// Workload describes a trace to generate.
type Workload struct {
	Seed   uint64
	Length time.Duration
	// Load is the share of the site's slots that the tasks keep busy on
	// average.
	Load float64
	// BurstFactor multiplies the arrival rate in the middle fifth; zero means
	// no change.
	BurstFactor float64
	// Teams is the number of client accounts.
	Teams    int
	Deadline time.Duration
	// CancelShare is the share of the jobs arriving in the middle fifth that
	// are cancelled by their callers, all at its end.
	CancelShare float64
	Faults      []Fault
	// Flood is the load that one more client account adds in the middle fifth,
	// in jobs of one task. Like Load it is a share of the site's slots.
	Flood float64
}

// Generate generates a random trace, which depends only on the site and the
// workload.
func Generate(site Site, w Workload) Trace {
	g := generator{random: rand.New(rand.NewPCG(w.Seed, 1)), workload: w}
	g.rate = w.Load * float64(site.TotalSlots()) / (meanRun() * meanTasks())
	return g.trace(site)
}

type generator struct {
	random   *rand.Rand
	workload Workload
	// rate is the number of jobs that arrive per second outside of bursts.
	rate float64
}

func (g *generator) trace(site Site) Trace {
	t := Trace{Length: g.workload.Length, Faults: g.workload.Faults}
	at := time.Duration(0)
	for {
		rate := g.rate
		if g.inMiddleFifth(at) && g.workload.BurstFactor > 0 {
			rate *= g.workload.BurstFactor
		}
		at += seconds(g.random.ExpFloat64() / rate)
		if at >= t.Length {
			return g.flood(site, t)
		}
		t.Jobs = append(t.Jobs, g.job(at, len(t.Jobs)))
	}
}

// FloodTeam is the client account whose jobs Workload.Flood adds.
const FloodTeam ident.Team = "flood"

// flood adds the jobs of FloodTeam in the middle fifth.
func (g *generator) flood(site Site, t Trace) Trace {
	if g.workload.Flood == 0 {
		return t
	}
	rate := g.workload.Flood * float64(site.TotalSlots()) / meanRun()
	at := 2 * t.Length / 5
	for n := 0; ; n++ {
		at += seconds(g.random.ExpFloat64() / rate)
		if !g.inMiddleFifth(at) {
			break
		}
		j := Job{At: at, Key: ident.JobKey{Team: FloodTeam, Key: fmt.Sprintf("flood-%d", n)}, Deadline: g.workload.Deadline}
		j.Tasks = append(j.Tasks, g.task())
		t.Jobs = append(t.Jobs, j)
	}
	slices.SortStableFunc(t.Jobs, func(a, b Job) int { return cmp.Compare(a.At, b.At) })
	return t
}

// inMiddleFifth reports whether the time is in the middle fifth of the trace.
func (g *generator) inMiddleFifth(at time.Duration) bool {
	fifth := g.workload.Length / 5
	return at >= 2*fifth && at < 3*fifth
}

func (g *generator) job(at time.Duration, n int) Job {
	j := Job{
		At:       at,
		Key:      ident.JobKey{Team: g.team(), Key: fmt.Sprintf("job-%d", n)},
		Deadline: g.workload.Deadline,
	}
	for range g.tasks() {
		j.Tasks = append(j.Tasks, g.task())
	}
	if g.inMiddleFifth(at) && g.random.Float64() < g.workload.CancelShare {
		j.CancelAfter = 3*g.workload.Length/5 - at
	}
	return j
}

func (g *generator) team() ident.Team {
	return ident.Team(fmt.Sprintf("team-%03d", g.random.IntN(max(1, g.workload.Teams))))
}

// sizeClass is a range of numbers of tasks per job, drawn with equal
// probability. The class has the given share of the jobs.
type sizeClass struct {
	share      float64
	least, top int
}

var sizeClasses = []sizeClass{
	{0.60, 1, 1},
	{0.30, 2, 10},
	{0.09, 11, 50},
	{0.01, 51, 300},
}

func meanTasks() float64 {
	sum := 0.0
	for _, c := range sizeClasses {
		sum += c.share * float64(c.least+c.top) / 2
	}
	return sum
}

func (g *generator) tasks() int {
	u := g.random.Float64()
	for _, c := range sizeClasses {
		if u < c.share {
			return c.least + g.random.IntN(c.top-c.least+1)
		}
		u -= c.share
	}
	return 1
}

func (g *generator) task() Task {
	run := drawRun(g.random)
	declared := seconds(run.Seconds() * math.Exp(declaredSpread*g.random.NormFloat64()))
	return Task{Run: run, Declared: declared}
}

func drawRun(random *rand.Rand) time.Duration {
	if random.Float64() < longShare {
		return longFrom + time.Duration(random.Int64N(int64(longestRun-longFrom)))
	}
	run := seconds(medianRun.Seconds() * math.Exp(runSigma*random.NormFloat64()))
	return min(max(run, shortestRun), longestRun)
}

// meanRun returns the mean of drawRun in seconds, estimated from a sample with
// a fixed seed.
func meanRun() float64 {
	const samples = 200_000
	random := rand.New(rand.NewPCG(7, 7))
	sum := 0.0
	for range samples {
		sum += drawRun(random).Seconds()
	}
	return sum / samples
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
