package schedule

import (
	"time"
)

// Weights of the newest sample in moving averages.
const (
	// speedWeight follows a slow backend server within about ten tasks.
	speedWeight = 0.12
	// trialWeight lets two good trials take a server back into use.
	trialWeight = 0.5
	// routeWeight averages over enough tasks that their spread evens out.
	routeWeight = 0.03
)

// Bounds of one sample of a speed, so that one odd task can't decide.
const (
	minSample = 0.25
	maxSample = 8
)

// speed is how much longer tasks take at one backend server than elsewhere: by the
// tasks that have ended there, and by the progress of those that run.
type speed struct {
	value float64
	known bool
	at    time.Duration // of the last task that ended
	pace  float64
}

// slowPace is the pace from which a backend server counts as slow at once. Below,
// the pace of the few tasks that run says less than those that have ended.
const slowPace = 1.8

func (s *speed) factor() float64 {
	ended := 1.0
	if s.known {
		ended = s.value
	}
	if s.pace >= slowPace {
		return max(ended, s.pace)
	}
	return ended
}

// speedTrial is the pause after which a slow server that has nothing to do gets one
// task, to show whether it is still slow.
const speedTrial = 400 * time.Millisecond

// trialDue reports whether a slow server should get one task.
func (s *speed) trialDue(now time.Duration, held int) bool {
	return held == 0 && now-s.at >= speedTrial
}

func (s *speed) tell(pace float64) { s.pace = pace }

func (s *speed) sample(now time.Duration, ratio float64) {
	ratio = min(max(ratio, minSample), maxSample)
	if !s.known {
		s.value, s.known = 1, true
	}
	weight := speedWeight
	if s.value >= slowPace {
		weight = trialWeight
	}
	s.at = now
	s.value += weight * (ratio - s.value)
}

// routeTimes is what is learnt of the tasks of a route.
type routeTimes struct {
	// ratio is measured time over the caller's estimate.
	ratio float64
	known bool
}

func (r *routeTimes) sample(ratio float64) {
	if !r.known {
		r.ratio, r.known = ratio, true
		return
	}
	r.ratio += routeWeight * (ratio - r.ratio)
}

// expectedTask is how long a task of the step is expected to take on a backend
// server of usual speed.
func (c *Core) expectedTask(route string, s *Step) time.Duration {
	if r := c.times[route]; r != nil && r.known {
		return time.Duration(float64(s.Estimate) * min(max(r.ratio, minSample), maxSample))
	}
	return s.Estimate
}

// expectedChain is the longest chain of steps that wait for each other.
func (c *Core) expectedChain(j *Job) time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for i := range j.Steps {
		var begin time.Duration
		for _, before := range j.Steps[i].After {
			begin = max(begin, ends[before])
		}
		ends[i] = begin + c.expectedTask(j.Route.Name, &j.Steps[i])
		longest = max(longest, ends[i])
	}
	return longest
}

// learn takes the time of a task that is done.
func (c *Core) learn(a *agentState, j *jobState, e RunEnded) {
	if a == nil {
		return
	}
	a.health.done()
	s := &j.Steps[e.Run.Task.Step]
	if s.Estimate <= 0 || e.Ran <= 0 {
		return
	}
	if expected := c.expectedTask(j.Route.Name, s); expected > 0 {
		a.speed.sample(c.now, float64(e.Ran)/float64(expected))
	}
	r := c.times[j.Route.Name]
	if r == nil {
		r = new(routeTimes)
		c.times[j.Route.Name] = r
	}
	r.sample(float64(e.Ran) / float64(s.Estimate) / a.speed.factor())
}
