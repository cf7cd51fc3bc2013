// Package runserver is a stand-in for the users' backend servers: tasks run under
// a lease on the server's own steady clock, orders carry a fencing token and an
// expiry, and ends are listed until they are taken note of. The state machine has
// no clock and no I/O, so that the same one serves tests in simulated time and, by
// way of package usersite, processes.
//
// The server doesn't guard its capacity: it starts what it is told to start, and
// says so to its watcher.
package runserver

import (
	"cmp"
	"slices"
	"time"

	"foxtaildock.example/dock/run"
	"foxtaildock.example/dock/work"
)

// Config describes a server.
type Config struct {
	Born     int64
	Capacity work.Demand
	// LeaseMax is the longest lease that is granted.
	LeaseMax time.Duration
	// StopTime is how long it takes to end a run.
	StopTime time.Duration
	// Drift is by how much the server's clock is slow.
	Drift float64
	// Plan returns what a run will do.
	Plan func(work.Run, string) Plan
}

// Plan is what a run will do if nobody stops it.
type Plan struct {
	Demand work.Demand
	Length time.Duration
	Fails  bool
	// Stuck runs never end by themselves.
	Stuck bool
}

// Watcher is told what a test has to check.
type Watcher interface {
	Began(at time.Duration, run work.Run)
	Ended(at time.Duration, run work.Run, how run.End)
}

// Server is one incarnation of a backend server.
type Server struct {
	cfg     Config
	started time.Duration
	watcher Watcher
	runs    map[work.Run]*running
	// highest is the highest run of each task that was stopped or has ended.
	highest map[work.Task]work.RunID
	ends    []run.EndedRun
	number  int64
	fence   int64
	expiry  time.Duration // on the server's clock
}

type running struct {
	run      work.Run
	plan     Plan
	began    time.Duration
	stopping time.Duration // when the stop takes effect, 0 if not asked
}

// New returns an incarnation that starts now.
func New(now time.Duration, cfg Config, w Watcher) *Server {
	return &Server{
		cfg: cfg, started: now, watcher: w,
		runs: map[work.Run]*running{}, highest: map[work.Task]work.RunID{},
	}
}

// Clock returns the server's clock.
func (s *Server) Clock(now time.Duration) time.Duration {
	return time.Duration(float64(now-s.started) * (1 - s.cfg.Drift))
}

// realTime is when the server's clock shows the given time.
func (s *Server) realTime(clock time.Duration) time.Duration {
	return s.started + time.Duration(float64(clock)/(1-s.cfg.Drift))
}

// Stamp is the part of every answer that tells incarnation and clock.
func (s *Server) Stamp(now time.Duration) run.Stamp {
	return run.Stamp{StartUnixMs: s.cfg.Born, Clock: s.Clock(now).Truncate(time.Millisecond)}
}

// extend takes an expiry, which never shortens the lease.
func (s *Server) extend(now, expiry time.Duration) {
	s.expiry = max(s.expiry, min(expiry, s.Clock(now)+s.cfg.LeaseMax))
}

// Start carries out an order to start.
func (s *Server) Start(now time.Duration, call run.CallStart) run.StartReply {
	s.Advance(now)
	if call.Fence < s.fence {
		return run.RefusedFence
	}
	s.fence = call.Fence
	if s.Clock(now) > call.Expiry {
		return run.RefusedExpired
	}
	s.extend(now, call.Expiry)
	if _, there := s.runs[call.Run]; there {
		return run.Started
	}
	if call.Run.ID <= s.highest[call.Run.Task] {
		return run.RefusedStaleRun
	}
	r := &running{run: call.Run, plan: s.cfg.Plan(call.Run, call.Spec), began: now}
	s.runs[call.Run] = r
	s.watcher.Began(now, call.Run)
	return run.Started
}

// Stop carries out an order to stop. It returns false if the fence refuses it.
func (s *Server) Stop(now time.Duration, call run.CallStop) bool {
	s.Advance(now)
	if call.Fence < s.fence {
		return false
	}
	s.fence = call.Fence
	s.highest[call.Run.Task] = max(s.highest[call.Run.Task], call.Run.ID)
	if r := s.runs[call.Run]; r != nil && r.stopping == 0 {
		r.stopping = now + s.cfg.StopTime
	}
	return true
}

// Hold renews the lease and lists what runs and what has ended. It returns false
// if the fence refuses it.
func (s *Server) Hold(now time.Duration, call run.CallHold) (running []run.RunningRun, ended []run.EndedRun, ok bool) {
	s.Advance(now)
	if call.Fence < s.fence {
		return nil, nil, false
	}
	s.fence = call.Fence
	if call.Expiry > 0 {
		s.extend(now, call.Expiry)
	}
	s.ends = slices.DeleteFunc(s.ends, func(e run.EndedRun) bool { return e.Number <= call.LastSeen })
	for _, r := range s.sorted() {
		running = append(running, run.RunningRun{Run: r.run, Percent: r.percent(now)})
	}
	return running, slices.Clone(s.ends), true
}

// HasEnds reports whether an end is listed that the caller hasn't seen.
func (s *Server) HasEnds(lastSeen int64) bool {
	return len(s.ends) > 0 && s.ends[len(s.ends)-1].Number > lastSeen
}

func (r *running) percent(now time.Duration) int {
	if r.plan.Stuck || r.plan.Length <= 0 {
		return 0
	}
	return int(100 * (now - r.began) / r.plan.Length)
}

// Used is the demand of what runs.
func (s *Server) Used() work.Demand {
	var sum work.Demand
	for _, r := range s.runs {
		sum = sum.Plus(r.plan.Demand)
	}
	return sum
}

// Next is when something happens by itself: an end or the end of the lease.
func (s *Server) Next() (at time.Duration, any bool) {
	for _, r := range s.runs {
		if t, _ := s.endOf(r); !any || t < at {
			at, any = t, true
		}
	}
	return at, any
}

// endOf is when and how a run ends, as things stand.
func (s *Server) endOf(r *running) (at time.Duration, how run.End) {
	at, how = s.realTime(s.expiry), run.EndLapsed
	if !r.plan.Stuck && r.began+r.plan.Length < at {
		at, how = r.began+r.plan.Length, run.EndDone
		if r.plan.Fails {
			how = run.EndFailed
		}
	}
	if r.stopping != 0 && r.stopping < at {
		at, how = r.stopping, run.EndStopped
	}
	return at, how
}

// Advance lets everything end whose time has come, in order.
func (s *Server) Advance(now time.Duration) {
	for {
		at, any := s.Next()
		if !any || at > now {
			return
		}
		for _, r := range s.sorted() {
			if t, how := s.endOf(r); t <= at {
				s.end(t, r, how)
			}
		}
	}
}

func (s *Server) end(at time.Duration, r *running, how run.End) {
	delete(s.runs, r.run)
	s.highest[r.run.Task] = max(s.highest[r.run.Task], r.run.ID)
	s.number++
	s.ends = append(s.ends, run.EndedRun{Number: s.number, Run: r.run, How: how})
	s.watcher.Ended(at, r.run, how)
}

// Crash ends everything without a trace.
func (s *Server) Crash(now time.Duration) {
	s.Advance(now)
	for _, r := range s.sorted() {
		delete(s.runs, r.run)
		s.watcher.Ended(now, r.run, run.EndLapsed)
	}
}

func (s *Server) sorted() []*running {
	list := make([]*running, 0, len(s.runs))
	for _, r := range s.runs {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *running) int {
		return cmp.Or(a.run.Task.Compare(b.run.Task), cmp.Compare(a.run.ID, b.run.ID))
	})
	return list
}
