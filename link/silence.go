package link

import (
	"sync"
	"time"
)

// silence decides when a session has been silent for too long. Its times are those of
// the process's monotonic clock. It is safe for concurrent use.
type silence struct {
	times Times
	mu    sync.Mutex
	// dueAt is when the silence timeout is over, counted from the last message.
	dueAt time.Time
}

// received records a message of the agent.
func (s *silence) received(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dueAt = now.Add(s.times.SilenceTimeout)
}

// check is called when the timeout is over. It returns zero if the session has to end,
// otherwise the time until the next check.
//
// A check that comes late shows that this process did not run meanwhile. Messages of the
// agent may then wait to be read, so the agent gets one more heartbeat interval.
func (s *silence) check(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	late := now.Sub(s.dueAt)
	if late < 0 {
		return -late
	}
	if late <= s.times.HeartbeatInterval/2 {
		return 0
	}
	s.dueAt = now.Add(s.times.HeartbeatInterval)
	return s.times.HeartbeatInterval
}

// watch calls end once the session has been silent for too long. The returned function
// ends the watch.
func (s *silence) watch(end func()) (stop func()) {
	s.received(time.Now())
	var mu sync.Mutex
	var timer *time.Timer
	stopped := false
	check := func() {
		mu.Lock()
		defer mu.Unlock()
		if stopped {
			return
		}
		next := s.check(time.Now())
		if next == 0 {
			end()
			return
		}
		timer.Reset(next)
	}
	mu.Lock()
	defer mu.Unlock()
	timer = time.AfterFunc(s.times.SilenceTimeout, check)
	return func() {
		mu.Lock()
		defer mu.Unlock()
		stopped = true
		timer.Stop()
	}
}
