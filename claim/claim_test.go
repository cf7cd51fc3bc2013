package claim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/work"
)

// entries are entries in simulated time. Each message between two of them takes a random time.
type entries struct {
	t      *testing.T
	random *rand.Rand
	mu     sync.Mutex
	list   []*simEntry
	runs   map[work.JobID]int // runs at this moment
	most   map[work.JobID]int // at most
	total  map[work.JobID]int
}

type simEntry struct {
	all      *entries
	address  string
	claims   *Claims
	register *Register
	// silent makes the entry answer no claim as an arbiter.
	silent bool
	mu     sync.Mutex
	core   map[work.JobID]chan struct{} // closed when the job has ended
}

const maxDelay = 40 * time.Millisecond

func newEntries(t *testing.T, n int, seed uint64) *entries {
	e := &entries{t: t, random: rand.New(rand.NewPCG(seed, 1)), runs: map[work.JobID]int{}, most: map[work.JobID]int{}, total: map[work.JobID]int{}}
	for i := range n {
		address := fmt.Sprint("entry-", i)
		e.list = append(e.list, &simEntry{
			all: e, address: address, claims: NewClaims(ident.Incarnation(address), address),
			register: NewRegister(1000), core: map[work.JobID]chan struct{}{},
		})
	}
	return e
}

func (e *entries) at(address string) *simEntry {
	return e.list[slices.IndexFunc(e.list, func(s *simEntry) bool { return s.address == address })]
}

func (e *entries) anyEntry() *simEntry {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.list[e.random.IntN(len(e.list))]
}

func (e *entries) sleep(longest time.Duration) {
	e.mu.Lock()
	d := time.Duration(e.random.Int64N(int64(longest)))
	e.mu.Unlock()
	time.Sleep(d)
}

func (e *entries) count(id work.JobID, change int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs[id] += change
	e.total[id] += max(0, change)
	e.most[id] = max(e.most[id], e.runs[id])
}

type simCalls struct {
	entry *simEntry
	job   work.JobID
}

func (c simCalls) Claim(ctx context.Context, mine Holder, absent []Holder) ([]Holder, error) {
	all := c.entry.all
	var candidates []Candidate
	for _, s := range all.list {
		candidates = append(candidates, Candidate{Address: s.address, Silent: s.silent})
	}
	var mu sync.Mutex
	var named []Holder
	var wait sync.WaitGroup
	for _, a := range Arbiters(c.job, c.entry.address, candidates, 1) {
		if a.Silent {
			continue
		}
		wait.Go(func() {
			all.sleep(maxDelay)
			other := all.at(a.Address).register.Claim(0, Request{Job: c.job, By: mine, Absent: absent, Until: time.Hour}).Other
			all.sleep(maxDelay)
			mu.Lock()
			defer mu.Unlock()
			if other != (Holder{}) && !slices.Contains(named, other) {
				named = append(named, other)
			}
		})
	}
	wait.Wait()
	return named, ctx.Err()
}

func (c simCalls) Locate(ctx context.Context, mine, holder Holder) (Location, Holder, error) {
	all := c.entry.all
	all.sleep(maxDelay)
	defer all.sleep(maxDelay)
	h := all.at(holder.Address)
	stand, followed := h.claims.Asked(c.job, mine)
	switch {
	case stand == GoesFirst, (stand == NoClaim || stand == Yields) && h.ended(c.job) != nil:
		return Here, Holder{}, ctx.Err()
	case stand == Follows:
		return Elsewhere, followed, ctx.Err()
	}
	return Nowhere, Holder{}, ctx.Err()
}

// ended returns the channel that is closed at the end of a job, nil if the core doesn't have it.
func (s *simEntry) ended(id work.JobID) chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core[id]
}

// submit submits a job as the entry process does, and returns when it has ended.
func (s *simEntry) submit(id work.JobID, runTime time.Duration) {
	for {
		mine, followed, err := s.claims.Begin(context.Background(), id)
		if err != nil {
			s.all.t.Error(err)
			return
		}
		if followed == (Holder{}) {
			s.claim(id, mine, runTime)
			return
		}
		if s.await(id, followed) {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

func (s *simEntry) claim(id work.JobID, mine Holder, runTime time.Duration) {
	ended := s.ended(id)
	s.all.sleep(maxDelay) // as the core answers
	if ended != nil {
		s.claims.End(id)
		<-ended
		return
	}
	for {
		holder, err := s.claims.Acquire(context.Background(), simCalls{s, id}, id, mine)
		if err != nil {
			s.all.t.Error(err)
			return
		}
		if holder == (Holder{}) {
			s.run(id, runTime)
			return
		}
		if s.await(id, holder) {
			s.claims.End(id)
			return
		}
		mine = s.claims.Resume(id)
	}
}

// run passes the job to the core and waits for its end.
func (s *simEntry) run(id work.JobID, runTime time.Duration) {
	ended := make(chan struct{})
	s.mu.Lock()
	s.core[id] = ended
	s.all.count(id, 1)
	s.mu.Unlock()
	s.claims.End(id)
	time.Sleep(runTime)
	s.mu.Lock()
	delete(s.core, id)
	s.all.count(id, -1)
	s.mu.Unlock()
	close(ended)
}

// await waits for the end of a job at another entry. It returns false if that one doesn't have it.
func (s *simEntry) await(id work.JobID, holder Holder) bool {
	s.all.sleep(maxDelay)
	h := s.all.at(holder.Address)
	if !h.claims.Settled(context.Background(), id) {
		return false
	}
	ended := h.ended(id)
	if ended == nil {
		return false
	}
	<-ended
	return true
}

// However requests of one job are spread over entries and time, no two entries run it at once, and
// requests that overlap share one run.
func TestNoTwoEntriesRunAJobAtOnce(t *testing.T) {
	const seeds, jobs, copies = 200, 8, 5
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			e := newEntries(t, 4, seed)
			if seed%3 == 0 {
				e.list[0].silent = true
			}
			var wait sync.WaitGroup
			for j := range jobs * copies {
				id := work.JobID(fmt.Sprint("job-", j%jobs))
				wait.Go(func() {
					e.sleep(200 * time.Millisecond)
					e.anyEntry().submit(id, 2*time.Second)
				})
			}
			wait.Wait()
			for id, most := range e.most {
				if most > 1 || e.total[id] > 1 {
					t.Errorf("seed %d: %s had %d runs, %d of them at once; want one", seed, id, e.total[id], most)
				}
			}
		})
	}
}

// A record that names an entry without the job is replaced once, by the claim that has asked that
// entry, and not if it has claimed the job again since.
func TestARecordIsReplacedOnlyForTheClaimThatWasAbsent(t *testing.T) {
	r := NewRegister(10)
	a, b := Holder{"a", "a:1", 1}, Holder{"b", "b:1", 1}
	again := Holder{"a", "a:1", 2}
	for i, step := range []struct {
		by     Holder
		absent []Holder
		want   Holder
	}{
		{by: a},
		{by: b, want: a},
		{by: again},
		{by: b, absent: []Holder{a}, want: again},
		{by: b, absent: []Holder{again}},
		{by: again, absent: []Holder{a}, want: b},
	} {
		if got := r.Claim(0, Request{Job: "j", By: step.by, Absent: step.absent, Until: 10}).Other; got != step.want {
			t.Errorf("step %d: %+v holds the job, want %+v", i, got, step.want)
		}
	}
	if got := r.Claim(11, Request{Job: "j", By: a, Until: 20}); got != (Reply{}) {
		t.Errorf("a record is kept longer than the caller waits: %+v", got)
	}
	r.Cancel(12, "j", 30)
	if got := r.Claim(13, Request{Job: "j", By: a, Until: 20}); !got.Cancelled {
		t.Errorf("a cancelled job is claimed: %+v", got)
	}
}

func TestARegisterIsBounded(t *testing.T) {
	r := NewRegister(3)
	for i := range 10 {
		r.Claim(0, Request{Job: work.JobID(fmt.Sprint(i)), By: Holder{Incarnation: "a"}, Until: 10})
	}
	if len(r.records) > 3 || len(r.order) != len(r.records) {
		t.Errorf("%d records in an order of %d, want at most 3", len(r.records), len(r.order))
	}
}

// Entries that agree share the first arbiter. Two entries of failure domains that have lost each other
// share one if both ask two.
func TestEntriesShareAnArbiter(t *testing.T) {
	var all []Candidate
	for i := range 7 {
		all = append(all, Candidate{Address: fmt.Sprint("entry-", i), Domain: []ident.FailureDomain{"north", "middle", "south"}[i%3]})
	}
	silent := func(domain ident.FailureDomain) []Candidate {
		list := slices.Clone(all)
		for i := range list {
			list[i].Silent = list[i].Domain == domain
		}
		return list
	}
	type view struct {
		self   string
		list   []Candidate
		others int
	}
	views := map[string][2]view{
		"two domains that lost each other": {{"entry-0", silent("south"), 2}, {"entry-2", silent("north"), 2}},
		"agreed":                           {{"entry-0", all, 1}, {"entry-2", all, 1}},
	}
	for name, v := range views {
		for j := range 200 {
			id := work.JobID(fmt.Sprint("job-", j))
			first := Arbiters(id, v[0].self, v[0].list, v[0].others)
			shared := slices.ContainsFunc(Arbiters(id, v[1].self, v[1].list, v[1].others), func(a Candidate) bool { return !a.Silent && slices.Contains(first, a) })
			if !shared {
				t.Errorf("%s: %s has no arbiter that both entries ask", name, id)
			}
		}
	}
	for _, n := range []int{1, 2, 3} {
		if got := Arbiters("job", "entry-0", all[:n], 2); len(got) > 3 || !slices.ContainsFunc(got, func(c Candidate) bool { return n == 1 || c.Address != "entry-0" }) {
			t.Errorf("%d entries: arbiters %+v", n, got)
		}
	}
}
