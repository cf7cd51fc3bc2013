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

// run steps one entry in steps of 10 ms. Its admitted jobs take a second each, on
// so many slots as their tasks or, without slots, at once; they start in the order
// of admission and handicap.
type run struct {
	core     *Admission
	now      time.Duration
	next     ident.RequestID
	teamOf   map[ident.RequestID]ident.Team
	tasksOf  map[ident.RequestID]int
	ends     map[time.Duration][]ident.RequestID
	admitted map[ident.Team]int
	refused  map[ident.Team]int
	finished map[ident.Team]int // tasks
	refusals []Refuse
	slots    int
	busy     int
	queue    []pending
}

// pending is an admitted job that waits for its slots.
type pending struct {
	id    ident.RequestID
	rank  time.Duration
	tasks int
}

func newRun(limits ...Limits) *run {
	r := &run{
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

func (r *run) step(e Event) {
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

func (r *run) submit(team ident.Team, tasks int, deadline time.Duration) {
	r.next++
	r.teamOf[r.next] = team
	r.tasksOf[r.next] = tasks
	r.step(Submit{ID: r.next, Team: team, Tasks: tasks, Deadline: deadline})
}

// pass lets time pass and calls each at every step.
func (r *run) pass(d time.Duration, each func()) {
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
		each()
	}
}

// start gives idle slots to the jobs that wait and tells the core of the load.
func (r *run) start() {
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
	r := newRun(Limits{Team: "a", StartsPerSecond: 50, Burst: 10})
	r.pass(20*time.Second, func() { r.submit("a", 1, 2*time.Second) })
	if n := r.admitted["a"]; n < 50*20-20 || n > 50*20+20 {
		t.Fatalf("%d starts in 20 s at 50 a second", n)
	}
}

func TestJobLargerThanTheBurstPassesAndCosts(t *testing.T) {
	r := newRun(Limits{Team: "a", StartsPerSecond: 10, Burst: 10})
	r.submit("a", 100, time.Minute)
	if r.admitted["a"] != 1 {
		t.Fatal("the job was not admitted though the bucket was full")
	}
	r.submit("a", 1, time.Second)
	if r.refused["a"] != 1 || r.refusals[0].Reason != job.ReasonQuota {
		t.Fatalf("refusals %+v", r.refusals)
	}
	if after := r.refusals[0].RetryAfter; after < 9*time.Second {
		t.Fatalf("the rate is used up for 9 s, but the caller may come back after %v", after)
	}
}

func TestRunningIsBounded(t *testing.T) {
	r := newRun(Limits{Team: "a", Running: 30})
	most := 0
	r.pass(5*time.Second, func() {
		r.submit("a", 1, 10*time.Second)
		most = max(most, r.core.Load().Running)
	})
	if most != 30 {
		t.Fatalf("up to %d ran", most)
	}
	r.submit("a", 31, time.Minute)
	if last := r.refusals[len(r.refusals)-1]; last.Reason != job.ReasonQuota || last.RetryAfter != 0 {
		t.Fatalf("a job that can never run was answered %+v", last)
	}
}

func TestSlotsAreSharedByWeight(t *testing.T) {
	r := newRun(Limits{Team: "light", Weight: 1}, Limits{Team: "heavy", Weight: 3})
	r.slots = 40
	r.pass(40*time.Second, func() {
		r.submit("light", 1, 5*time.Second)
		r.submit("light", 1, 5*time.Second)
		r.submit("heavy", 1, 5*time.Second)
		r.submit("heavy", 1, 5*time.Second)
	})
	light, heavy := r.finished["light"], r.finished["heavy"]
	if ratio := float64(heavy) / float64(light); ratio < 2.5 || ratio > 3.5 {
		t.Fatalf("tasks of heavy by light: %d by %d", heavy, light)
	}
}

func TestSmallTeamIsNotHeldUpByAFlood(t *testing.T) {
	r := newRun()
	r.slots = 40
	i := 0
	r.pass(20*time.Second, func() {
		for range 10 {
			r.submit("flood", 1, 5*time.Second)
		}
		if i++; i%10 == 0 {
			r.submit("small", 1, 5*time.Second)
		}
	})
	if r.refused["small"] > 0 || r.admitted["small"] < 190 {
		t.Fatalf("small: %d admitted, %d refused", r.admitted["small"], r.refused["small"])
	}
}

func TestRefusedCallersAreSpread(t *testing.T) {
	r := newRun(Limits{Team: "a", StartsPerSecond: 10, Burst: 10})
	r.submit("a", 10, time.Second)
	for range 200 {
		r.submit("a", 20, 100*time.Millisecond)
	}
	seen := make(map[time.Duration]int)
	for _, refusal := range r.refusals {
		seen[refusal.RetryAfter.Truncate(100*time.Millisecond)]++
	}
	if len(r.refusals) != 200 || len(seen) < 10 {
		t.Fatalf("%d refusals at %d different times", len(r.refusals), len(seen))
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
		t.Errorf("shares add up to %f", total)
	}
	if s := cores[0].teams["a"].share; s < 0.75 {
		t.Errorf("the entry with 90%% of the demand has a share of %f", s)
	}
}

func TestCallerThatHangsUpLeavesTheQueue(t *testing.T) {
	r := newRun(Limits{Team: "a", Running: 1})
	r.submit("a", 1, time.Minute)
	r.submit("a", 1, time.Minute)
	r.step(Gone{ID: r.next})
	if l := r.core.Load(); l.Queued != 0 || l.Running != 1 {
		t.Fatalf("%+v", l)
	}
	r.pass(2*time.Second, func() {})
	if l := r.core.Load(); l.Running != 0 || r.admitted["a"] != 1 {
		t.Fatalf("%+v, %d admitted", l, r.admitted["a"])
	}
}

func BenchmarkSubmit(b *testing.B) {
	for _, teams := range []int{10, 950} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) { benchmarkSubmit(b, teams) })
	}
}

// benchmarkSubmit measures a job that waits, is admitted and ends, with waiting
// jobs of every team.
func benchmarkSubmit(b *testing.B, teams int) {
	r := newRun()
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
