package usersite

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"foxtaildock.example/bench/runserver"
	"foxtaildock.example/dock/work"
)

// load describes the callers of one entry. Each caller sends one job after the other.
type load struct {
	name    string
	callers int
	pause   time.Duration // mean pause of a caller between two jobs
}

// loads contains a load under which the entry always has jobs in progress, and loads
// under which it has none from time to time.
var loads = []load{
	{"busy", 24, 0},
	{"sparse", 24, 1200 * time.Millisecond},
	{"sparse", 24, 1200 * time.Millisecond},
	{"sparse", 24, 1200 * time.Millisecond},
	{"few", 8, 400 * time.Millisecond},
	{"few", 8, 400 * time.Millisecond},
	{"few", 8, 400 * time.Millisecond},
}

// freshEvery is the number of callers of which one opens a new connection for each job.
const freshEvery = 4

// rejectedPause is the pause of a caller whose job was rejected or refused.
const rejectedPause = 20 * time.Millisecond

// record collects the exchanges of all callers of a site.
type record struct {
	mu        sync.Mutex
	exchanges []Exchange
}

func (r *record) add(x Exchange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.exchanges = append(r.exchanges, x)
}

// counts returns the number of exchanges by their outcome.
func (r *record) counts() map[string]int {
	counts := map[string]int{}
	for _, x := range r.exchanges {
		counts[x.Outcome.String()]++
	}
	return counts
}

// completed returns the number of exchanges whose job was completed.
func (r *record) completed() int {
	n := 0
	for _, x := range r.exchanges {
		if x.Reply.State == "completed" {
			n++
		}
	}
	return n
}

// runLoad sends jobs to an entry until its process has ended.
func runLoad(s *Site, r *record, seed uint64, entry int, l load) {
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	for i := range l.callers {
		wait.Go(func() { runCaller(ctx, s, r, seed, entry, i, l.pause) })
	}
	_ = s.Entries[entry].Wait(time.Minute) // with any exit code
	cancel()
	wait.Wait()
}

// runCaller sends one job after the other to an entry until the context ends.
func runCaller(ctx context.Context, s *Site, r *record, seed uint64, entry, number int, pause time.Duration) {
	random := rand.New(rand.NewPCG(seed, uint64(entry<<16|number)))
	c := NewConnection(s.CallerAddress(entry))
	defer c.Close()
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%04x%02x%02x%08x", seed, entry, number, n)
		x := c.Submit(id, 1, 150*time.Millisecond, callerTimeout(random))
		x.Entry = entry
		r.add(x)
		if number%freshEvery == 0 {
			c.Close()
		}
		if x.Reply.Status != http.StatusOK {
			pauseFor(ctx, rejectedPause)
		}
		pauseFor(ctx, time.Duration(random.ExpFloat64()*float64(pause)))
	}
}

// pauseFor returns after the time, or when the context ends.
func pauseFor(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// callerTimeout returns a timeout between 500 ms and the timeout of the route.
func callerTimeout(random *rand.Rand) time.Duration {
	return time.Duration(500+random.IntN(1000)) * time.Millisecond
}

// startVariedSite starts a site whose tasks run for 50 to 300 ms, which depends on the job
// alone.
func startVariedSite(t *testing.T, entries, agents int) *Site {
	t.Helper()
	return startPlannedSite(t, entries, agents, func(r work.Run, _ string) runserver.Plan {
		hash := fnv.New32a()
		_, _ = hash.Write([]byte(r.Task.Job)) // never fails
		return runserver.Plan{Demand: Demand, Length: time.Duration(50+hash.Sum32()%251) * time.Millisecond}
	})
}

// reportUnanswered fails the test for each request that an entry has read and not
// answered.
func reportUnanswered(t *testing.T, s *Site, r *record) {
	t.Helper()
	unanswered, err := s.Unanswered(r.exchanges)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d requests, %d of them completed: %v", len(r.exchanges), r.completed(), r.counts())
	if r.completed() == 0 {
		t.Error("no job was completed")
	}
	for _, x := range r.exchanges {
		if x.Outcome == Answered && x.Reply.State == "cancelled" {
			t.Errorf("job %s is answered as cancelled by entry %d, though nobody has cancelled it", x.Job, x.Entry)
		}
	}
	for _, x := range unanswered {
		t.Errorf("entry %d has read job %s, which was %s after %v; sent at %s",
			x.Entry, x.Job, x.Outcome, x.Ended.Sub(x.Sent).Round(time.Millisecond), x.Sent.Format("15:04:05.000"))
	}
}

// Callers keep their connections open until the process is gone, and send job after job
// on them. Issue 26: an entry cut requests that it had read up to 3 s after SIGTERM.
func TestAnEntryThatStopsAnswersEveryRequestItRead(t *testing.T) {
	t.Parallel()
	const seed = 1
	s := startVariedSite(t, len(loads), 8)
	for entry := range loads {
		awaitReady(t, s, entry)
	}
	var r record
	var wait sync.WaitGroup
	for entry, l := range loads {
		wait.Go(func() { runLoad(s, &r, seed, entry, l) })
	}
	time.Sleep(time.Second) // the load is steady
	for entry, l := range loads {
		wait.Go(func() { stopEntry(t, s, entry, l.name) })
	}
	wait.Wait()
	reportUnanswered(t, s, &r)
}

func stopEntry(t *testing.T, s *Site, entry int, name string) {
	began := time.Now()
	killed, err := StopAsPlanned(s.Entries[entry])
	if err != nil {
		t.Error(err)
	}
	t.Logf("entry %d (%s): SIGTERM at %s, ended %v later, killed: %v",
		entry, name, began.Format("15:04:05.000"), time.Since(began).Round(time.Millisecond), killed)
}

// A job that was accepted before SIGTERM may outlast the grace period. Its caller gets an
// answer that allows it to send the job again.
func TestAJobThatOutlastsTheGracePeriodIsAnswered(t *testing.T) {
	t.Parallel()
	const jobs = 6
	s := startSite(t, 1, 2, GracePeriod+3*time.Second)
	c := make([]*Connection, jobs)
	replies := make([]Exchange, jobs)
	var wait sync.WaitGroup
	for i := range jobs {
		c[i] = NewConnection(s.CallerAddress(0))
		wait.Go(func() {
			replies[i] = submitReady(t, c[i], fmt.Sprintf("%016x", i), GracePeriod+3*time.Second)
		})
	}
	awaitStarts(t, s, jobs)
	stopEntry(t, s, 0, "long jobs")
	wait.Wait()
	for _, x := range replies {
		if x.Reply.Status != http.StatusBadGateway && x.Reply.Status != http.StatusGatewayTimeout {
			t.Errorf("job %s was %s with %+v after %v, want status 502 or 504",
				x.Job, x.Outcome, x.Reply, x.Ended.Sub(x.Sent).Round(time.Millisecond))
		}
	}
}

// submitReady sends a job, again while the entry rejects it because it has just started.
func submitReady(t *testing.T, c *Connection, id string, estimate time.Duration) Exchange {
	for {
		x := c.Submit(id, 1, estimate, 3*GracePeriod)
		rejected := x.Reply.Status == http.StatusTooManyRequests || x.Reply.Status == http.StatusServiceUnavailable
		if !rejected && x.Outcome != Refused || t.Context().Err() != nil {
			return x
		}
		time.Sleep(rejectedPause)
	}
}

// Callers go to the next entry when one doesn't answer. They lose no job while all entries
// are stopped and started again in turn. Issue 26: entries cut requests that they had read.
func TestEntriesThatStopInTurnLoseNothing(t *testing.T) {
	t.Parallel()
	const seed, entries, callers = 1, 3, 24
	s := startVariedSite(t, entries, 4)
	for entry := range entries {
		awaitReady(t, s, entry)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var r record
	var wait sync.WaitGroup
	for i := range callers {
		wait.Go(func() { newFailover(s, &r, seed, i).run(ctx, t) })
	}
	for entry := range entries {
		stopEntry(t, s, entry, "in turn")
		if err := s.Entries[entry].Start(); err != nil {
			t.Fatal(err)
		}
		awaitReady(t, s, entry)
	}
	cancel()
	wait.Wait()
	reportUnanswered(t, s, &r)
}

// awaitReady waits until the platform may send callers to the entry.
func awaitReady(t *testing.T, s *Site, entry int) {
	t.Helper()
	for !s.Ready(entry) {
		if t.Context().Err() != nil {
			t.Fatalf("entry %d is not ready", entry)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// failover is a caller that sends one job after the other, each to one entry after the
// other until it is answered.
type failover struct {
	site   *Site
	record *record
	prefix string // of its job ids
	random *rand.Rand
	conns  []*Connection
	entry  int // of the next request
}

func newFailover(s *Site, r *record, seed uint64, number int) *failover {
	f := &failover{
		site: s, record: r, prefix: fmt.Sprintf("%04x%04x", seed, number),
		random: rand.New(rand.NewPCG(seed, uint64(number))), entry: number % len(s.Entries),
	}
	for entry := range s.Entries {
		f.conns = append(f.conns, NewConnection(s.CallerAddress(entry)))
	}
	return f
}

// run sends jobs until the context ends, with pauses of 300 ms in the mean.
func (f *failover) run(ctx context.Context, t *testing.T) {
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%s%08x", f.prefix, n)
		if !f.submit(id) {
			t.Errorf("job %s had no answer within %v", id, patience)
		}
		pauseFor(ctx, time.Duration(f.random.ExpFloat64()*float64(300*time.Millisecond)))
	}
	for _, c := range f.conns {
		c.Close()
	}
}

// Times of callers that go to the next entry.
const (
	// patience is how long they try to get an answer to a job.
	patience = 8 * time.Second
	// resend is their pause after a request that may have been read.
	resend = 1300 * time.Millisecond
)

// submit sends a job until it is answered. It returns false if it isn't.
func (f *failover) submit(id string) bool {
	began := time.Now()
	mayHaveRun := false
	for time.Since(began) < patience {
		x := f.conns[f.entry].Submit(id, 1, 150*time.Millisecond, callerTimeout(f.random))
		x.Entry = f.entry
		f.record.add(x)
		switch {
		case x.Reply.Status == http.StatusOK:
			return true
		case x.Reply.Status == http.StatusTooManyRequests, x.Reply.Status == http.StatusServiceUnavailable:
			if !mayHaveRun && f.site.Checks.Began(work.JobID(id)) {
				f.site.Checks.Fail("job %s is rejected although its task has started", id)
			}
			return true
		case x.Outcome == Refused:
			time.Sleep(rejectedPause)
		default:
			mayHaveRun = true
			time.Sleep(resend)
		}
		f.entry = (f.entry + 1) % len(f.conns)
	}
	return false
}
