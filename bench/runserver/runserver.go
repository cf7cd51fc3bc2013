// Package runserver is a stand-in for the users' backend servers: runs are covered by
// a lease on the server's own monotonic clock, orders carry a fencing token and an
// expiry, and ended runs are listed until the agent acknowledges them. It is a state
// machine without a clock and without I/O, so that it serves both simulated time
// (package sitesim) and real processes (package usersite, which puts it behind HTTP).
// Package backend is the stand-in for the older path of the system.
//
// The server doesn't enforce its capacity: it starts every run that it is told to
// start, and reports it to its watcher, which can check the capacity.
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
	// StartUnixMs identifies the incarnation; it grows with each one.
	StartUnixMs int64
	Capacity    work.Demand
	// LeaseMax is the longest lease that is granted.
	LeaseMax time.Duration
	// StopTime is the time that it takes to stop a run.
	StopTime time.Duration
	// Drift is the fraction by which the server's clock is slow.
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

// Watcher is notified when runs start and end, for the checks of a test.
type Watcher interface {
	Began(at time.Duration, run work.Run)
	Ended(at time.Duration, run work.Run, how run.End)
}

// Server is one incarnation of a backend server.
type Server struct {
	cfg     Config
	started time.Duration
	watcher Watcher
	runs    map[work.Run]*activeRun
	// highestEnded is the highest run ID of each task that was stopped or has ended.
	highestEnded  map[work.Task]work.RunID
	ends          []run.EndedRun
	lastEndNumber int64
	fence         int64
	expiry        time.Duration // on the server's clock
}

type activeRun struct {
	run       work.Run
	plan      Plan
	startedAt time.Duration
	stopAt    time.Duration // when the stop takes effect, 0 if none was ordered
}

// New returns a server whose incarnation starts now.
func New(now time.Duration, cfg Config, w Watcher) *Server {
	return &Server{
		cfg: cfg, started: now, watcher: w,
		runs: map[work.Run]*activeRun{}, highestEnded: map[work.Task]work.RunID{},
	}
}

// Clock returns the time on the server's clock, which starts at 0.
func (s *Server) Clock(now time.Duration) time.Duration {
	return time.Duration(float64(now-s.started) * (1 - s.cfg.Drift))
}

// realTime returns the time at which the server's clock shows the given value.
func (s *Server) realTime(clock time.Duration) time.Duration {
	return s.started + time.Duration(float64(clock)/(1-s.cfg.Drift))
}

// Stamp returns the part of every answer that identifies the incarnation and states
// the time on its clock.
func (s *Server) Stamp(now time.Duration) run.Stamp {
	return run.Stamp{StartUnixMs: s.cfg.StartUnixMs, Clock: s.Clock(now).Truncate(time.Millisecond)}
}

// extend extends the lease to the expiry, up to LeaseMax from now. It never shortens it.
func (s *Server) extend(now, expiry time.Duration) {
	s.expiry = max(s.expiry, min(expiry, s.Clock(now)+s.cfg.LeaseMax))
}

// Start executes an order to start a run. It refuses an order whose fencing token is
// outdated or whose expiry has passed, and a run that has ended or was stopped already.
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
	if _, exists := s.runs[call.Run]; exists {
		return run.Started
	}
	if call.Run.ID <= s.highestEnded[call.Run.Task] {
		return run.RefusedStaleRun
	}
	r := &activeRun{run: call.Run, plan: s.cfg.Plan(call.Run, call.Spec), startedAt: now}
	s.runs[call.Run] = r
	s.watcher.Began(now, call.Run)
	return run.Started
}

// Stop executes an order to stop a run. It returns false if the fencing token is
// outdated.
func (s *Server) Stop(now time.Duration, call run.CallStop) bool {
	s.Advance(now)
	if call.Fence < s.fence {
		return false
	}
	s.fence = call.Fence
	s.highestEnded[call.Run.Task] = max(s.highestEnded[call.Run.Task], call.Run.ID)
	if r := s.runs[call.Run]; r != nil && r.stopAt == 0 {
		r.stopAt = now + s.cfg.StopTime
	}
	return true
}

// Hold renews the lease, drops the ends up to LastSeen, and lists the active and the
// ended runs. It returns false if the fencing token is outdated.
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

// HasEnds reports whether an end after lastSeen is listed.
func (s *Server) HasEnds(lastSeen int64) bool {
	return len(s.ends) > 0 && s.ends[len(s.ends)-1].Number > lastSeen
}

func (r *activeRun) percent(now time.Duration) int {
	if r.plan.Stuck || r.plan.Length <= 0 {
		return 0
	}
	return int(100 * (now - r.startedAt) / r.plan.Length)
}

// Used returns the total demand of the active runs.
func (s *Server) Used() work.Demand {
	var sum work.Demand
	for _, r := range s.runs {
		sum = sum.Plus(r.plan.Demand)
	}
	return sum
}

// Next returns when the next run ends if no further order arrives: by itself, by its
// stop, or by the end of the lease. It returns false if no run is active.
func (s *Server) Next() (at time.Duration, ok bool) {
	for _, r := range s.runs {
		if t, _ := s.endOf(r); !ok || t < at {
			at, ok = t, true
		}
	}
	return at, ok
}

// endOf returns when and how a run ends if no further order arrives.
func (s *Server) endOf(r *activeRun) (at time.Duration, how run.End) {
	at, how = s.realTime(s.expiry), run.EndLapsed
	if !r.plan.Stuck && r.startedAt+r.plan.Length < at {
		at, how = r.startedAt+r.plan.Length, run.EndDone
		if r.plan.Fails {
			how = run.EndFailed
		}
	}
	if r.stopAt != 0 && r.stopAt < at {
		at, how = r.stopAt, run.EndStopped
	}
	return at, how
}

// Advance ends all runs that are due by now, in order of time.
func (s *Server) Advance(now time.Duration) {
	for {
		at, ok := s.Next()
		if !ok || at > now {
			return
		}
		for _, r := range s.sorted() {
			if t, how := s.endOf(r); t <= at {
				s.end(t, r, how)
			}
		}
	}
}

func (s *Server) end(at time.Duration, r *activeRun, how run.End) {
	delete(s.runs, r.run)
	s.highestEnded[r.run.Task] = max(s.highestEnded[r.run.Task], r.run.ID)
	s.lastEndNumber++
	s.ends = append(s.ends, run.EndedRun{Number: s.lastEndNumber, Run: r.run, How: how})
	s.watcher.Ended(at, r.run, how)
}

// Crash ends all runs without listing their ends.
func (s *Server) Crash(now time.Duration) {
	s.Advance(now)
	for _, r := range s.sorted() {
		delete(s.runs, r.run)
		s.watcher.Ended(now, r.run, run.EndLapsed)
	}
}

func (s *Server) sorted() []*activeRun {
	list := make([]*activeRun, 0, len(s.runs))
	for _, r := range s.runs {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *activeRun) int {
		return cmp.Or(a.run.Task.Compare(b.run.Task), cmp.Compare(a.run.ID, b.run.ID))
	})
	return list
}
