package admission

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/job"
)

// harness simulates one entry in steps of 10 ms. Each admitted job runs for a second
// on as many slots as it has tasks. Jobs start in the order of their time of
// admission plus handicap, or at once if slots is zero.
type harness struct {
	core     *Admission
	now      time.Duration
	next     ident.RequestID
	teamOf   map[ident.RequestID]ident.Team
	tasksOf  map[ident.RequestID]int
	ends     map[time.Duration][]ident.RequestID // by the time at which they end
	admitted map[ident.Team]int
	refused  map[ident.Team]int
	finished map[ident.Team]int // tasks
	refusals []Refuse
	slots    int
	busy     int // slots
	queue    []pending
}

// pending is an admitted job that waits for its slots.
type pending struct {
	id    ident.RequestID
	rank  time.Duration
	tasks int
}

func newHarness(limits ...Limits) *harness {
	r := &harness{
		core:     New(Config{Random: rand.New(rand.NewPCG(1, 1))}),
		teamOf:   make(map[ident.RequestID]ident.Team),
		tasksOf:  make(map[ident.RequestID]int),
		ends:     make(map[time.Duration][]ident.RequestID),
		admitted: make(map[ident.Team]int),
		refused:  make(map[ident.Team]int),
		finished: make(map[ident.Team]int),
	}
	r.step(SetLimits{Limits: limits})
	return r
}

func (r *harness) step(e Event) {
	for _, action := range r.core.Step(r.now, e) {
		switch action := action.(type) {
		case Admit:
			r.admitted[r.teamOf[action.ID]]++
			r.queue = append(r.queue, pending{id: action.ID, rank: r.now + action.Handicap, tasks: r.tasksOf[action.ID]})
		case Refuse:
			r.refused[r.teamOf[action.ID]]++
			r.refusals = append(r.refusals, action)
		}
	}
}

func (r *harness) submit(team ident.Team, tasks int, deadline time.Duration) {
	r.next++
	r.teamOf[r.next] = team
	r.tasksOf[r.next] = tasks
	r.step(Submit{ID: r.next, Team: team, Tasks: tasks, Deadline: deadline})
}

// advance advances the time by d and calls onStep at every step.
func (r *harness) advance(d time.Duration, onStep func()) {
	const step = 10 * time.Millisecond
	for end := r.now + d; r.now < end; {
		r.now += step
		for _, id := range r.ends[r.now] {
			r.busy -= r.tasksOf[id]
			r.finished[r.teamOf[id]] += r.tasksOf[id]
			r.step(Done{ID: id})
		}
		r.start()
		r.step(Tick{})
		onStep()
	}
}

// start starts waiting jobs on idle slots and reports the load to the core.
func (r *harness) start() {
	slices.SortStableFunc(r.queue, func(a, b pending) int { return cmp.Compare(a.rank, b.rank) })
	end := r.now + time.Second
	for len(r.queue) > 0 && (r.slots == 0 || r.busy < r.slots) {
		p := r.queue[0]
		r.queue = r.queue[1:]
		r.busy += p.tasks
		r.ends[end] = append(r.ends[end], p.id)
	}
	if r.slots == 0 {
		return
	}
	waiting := 0
	for _, p := range r.queue {
		waiting += p.tasks
	}
	r.step(SetCapacity{Entries: 1, Slots: r.slots, Free: max(0, r.slots-r.busy), Waiting: waiting, Pace: time.Second})
}

func TestRateHoldsOverALongTime(t *testing.T) {
	r := newHarness(Limits{Team: "a", StartsPerSecond: 50, Burst: 10})
	r.advance(20*time.Second, func() { r.submit("a", 1, 2*time.Second) })
	if n := r.admitted["a"]; n < 50*20-20 || n > 50*20+20 {
		t.Fatalf("%d starts in 20 s, want 980 to 1020: the rate is 50 a second", n)
	}
}

func TestJobLargerThanTheBurstPassesAndCosts(t *testing.T) {
	r := newHarness(Limits{Team: "a", StartsPerSecond: 10, Burst: 10})
	r.submit("a", 100, time.Minute)
	if r.admitted["a"] != 1 {
		t.Fatal("a job larger than the burst was not admitted, though the bucket was full")
	}
	r.submit("a", 1, time.Second)
	if r.refused["a"] != 1 || r.refusals[0].Reason != job.ReasonQuota {
		t.Fatalf("after a job of 100 tasks at burst 10: refusals %+v, want one with reason quota", r.refusals)
	}
	if after := r.refusals[0].RetryAfter; after < 9*time.Second {
		t.Fatalf("retry after %v, want at least the 9 s for which the rate is used up", after)
	}
}

func TestRunningIsBounded(t *testing.T) {
	r := newHarness(Limits{Team: "a", Running: 30})
	peak := 0
	r.advance(5*time.Second, func() {
		r.submit("a", 1, 10*time.Second)
		peak = max(peak, r.core.Load().Running)
	})
	if peak != 30 {
		t.Fatalf("up to %d tasks ran at a time, want 30", peak)
	}
	r.submit("a", 31, time.Minute)
	if last := r.refusals[len(r.refusals)-1]; last.Reason != job.ReasonQuota || last.RetryAfter != 0 {
		t.Fatalf("a job with more tasks than may run: %+v, want reason quota and no retry", last)
	}
}

func TestSlotsAreSharedByWeight(t *testing.T) {
	r := newHarness(Limits{Team: "light", Weight: 1}, Limits{Team: "heavy", Weight: 3})
	r.slots = 40
	r.advance(40*time.Second, func() {
		r.submit("light", 1, 5*time.Second)
		r.submit("light", 1, 5*time.Second)
		r.submit("heavy", 1, 5*time.Second)
		r.submit("heavy", 1, 5*time.Second)
	})
	light, heavy := r.finished["light"], r.finished["heavy"]
	if ratio := float64(heavy) / float64(light); ratio < 2.5 || ratio > 3.5 {
		t.Fatalf("finished tasks of heavy and light: %d and %d, want a ratio of 2.5 to 3.5 for weights 3 and 1", heavy, light)
	}
}

func TestSmallTeamIsNotHeldUpByAFlood(t *testing.T) {
	r := newHarness()
	r.slots = 40
	i := 0
	r.advance(20*time.Second, func() {
		for range 10 {
			r.submit("flood", 1, 5*time.Second)
		}
		if i++; i%10 == 0 {
			r.submit("small", 1, 5*time.Second)
		}
	})
	if r.refused["small"] > 0 || r.admitted["small"] < 190 {
		t.Fatalf("team small: %d admitted, %d refused; want at least 190 and none", r.admitted["small"], r.refused["small"])
	}
}

func TestRefusedCallersAreSpread(t *testing.T) {
	r := newHarness(Limits{Team: "a", StartsPerSecond: 10, Burst: 10})
	r.submit("a", 10, time.Second)
	for range 200 {
		r.submit("a", 20, 100*time.Millisecond)
	}
	seen := make(map[time.Duration]int)
	for _, refusal := range r.refusals {
		seen[refusal.RetryAfter.Truncate(100*time.Millisecond)]++
	}
	if len(r.refusals) != 200 || len(seen) < 10 {
		t.Fatalf("%d refusals at %d different retry times, want 200 at 10 or more", len(r.refusals), len(seen))
	}
}

func TestSharesFollowDemandAndAddUp(t *testing.T) {
	limits := SetLimits{Limits: []Limits{{Team: "a", StartsPerSecond: 100}}}
	entries := []ident.Incarnation{"e1", "e2", "e3"}
	var cores []*Admission
	for range entries {
		c := New(Config{})
		c.Step(0, SetCapacity{Slots: 1000, Entries: len(entries)})
		c.Step(0, limits)
		cores = append(cores, c)
	}
	now := time.Second
	for i := range 90 {
		cores[0].Step(now, Submit{ID: ident.RequestID(i), Team: "a", Tasks: 1, Deadline: time.Minute})
	}
	cores[1].Step(now, Submit{ID: 1, Team: "a", Tasks: 10, Deadline: time.Minute})
	for i, from := range cores {
		for j, to := range cores {
			if i != j {
				to.Step(now, PeerDemand{Entry: entries[i], Demand: from.Demand(now)})
			}
		}
	}
	total := 0.0
	for _, c := range cores {
		total += c.teams["a"].share
	}
	if total < 0.999 || total > 1.001 {
		t.Errorf("shares add up to %f, want 1", total)
	}
	if s := cores[0].teams["a"].share; s < 0.75 {
		t.Errorf("the entry with 90%% of the demand has a share of %f, want at least 0.75", s)
	}
}

func TestCallerThatHangsUpLeavesTheQueue(t *testing.T) {
	r := newHarness(Limits{Team: "a", Running: 1})
	r.submit("a", 1, time.Minute)
	r.submit("a", 1, time.Minute)
	r.step(CallerGone{ID: r.next})
	if l := r.core.Load(); l.Queued != 0 || l.Running != 1 {
		t.Fatalf("load after the caller of the waiting job hung up: %+v, want 1 running and none queued", l)
	}
	r.advance(2*time.Second, func() {})
	if l := r.core.Load(); l.Running != 0 || r.admitted["a"] != 1 {
		t.Fatalf("load at the end: %+v, %d jobs admitted; want none running and 1 admitted", l, r.admitted["a"])
	}
}

func BenchmarkSubmit(b *testing.B) {
	for _, teams := range []int{10, 950} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) { benchmarkSubmit(b, teams) })
	}
}

// benchmarkSubmit measures the steps of one job, from submission through waiting and
// admission to its end, while every team has waiting jobs.
func benchmarkSubmit(b *testing.B, teams int) {
	r := newHarness()
	r.step(SetCapacity{Slots: 100, Entries: 3, Pace: 300 * time.Millisecond})
	names := make([]ident.Team, teams)
	for i := range names {
		names[i] = ident.Team(fmt.Sprint(i))
	}
	var admitted []ident.RequestID
	id := ident.RequestID(0)
	step := func(e Event) {
		for _, action := range r.core.Step(r.now, e) {
			if a, ok := action.(Admit); ok {
				admitted = append(admitted, a.ID)
			}
		}
	}
	submit := func() {
		id++
		step(Submit{ID: id, Team: names[int(id)%teams], Tasks: 1, Deadline: time.Hour})
	}
	for range 10 * teams {
		submit()
	}
	b.ResetTimer()
	for range b.N {
		r.now += 100 * time.Microsecond
		submit()
		if len(admitted) > 0 {
			done := admitted[0]
			admitted = admitted[1:]
			step(Done{ID: done})
		}
	}
}
