package schedule

import (
	"time"
)

// Weights of the newest sample in moving averages.
const (
	// speedWeight detects a slow backend server within about ten tasks.
	speedWeight = 0.12
	// trialWeight returns a slow server to normal use after two good trials.
	trialWeight = 0.5
	// routeWeight averages over enough tasks to smooth out their variance.
	routeWeight = 0.03
)

// Bounds of one sample and of a route's ratio, so that one outlier does not decide.
const (
	minSample = 0.25
	maxSample = 8
)

// speed tracks how much longer tasks take on one backend server than expected: by the
// tasks that have ended there, and by the progress of those that run.
type speed struct {
	value float64
	known bool
	at    time.Duration // when the last task ended
	pace  float64       // of the running tasks, as reported by the agent
}

// slowPace is the ratio from which a backend server counts as slow. A reported pace
// below it is ignored: the few running tasks then say less than those that have ended.
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

// speedTrialInterval is the time since its last sample after which an idle slow server
// gets one trial task, to find out whether it is still slow.
const speedTrialInterval = 400 * time.Millisecond

// trialDue reports whether a slow server should get a trial task. held is the number of
// runs that it has.
func (s *speed) trialDue(now time.Duration, held int) bool {
	return held == 0 && now-s.at >= speedTrialInterval
}

func (s *speed) setPace(pace float64) { s.pace = pace }

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

// routeTimes is the measured run time of the tasks of a route.
type routeTimes struct {
	// ratio is the measured time divided by the caller's estimate, as a moving average.
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

// expectedTask returns the expected run time of a task of the step on a backend server
// of normal speed.
func (c *Core) expectedTask(route string, s *Step) time.Duration {
	if r := c.times[route]; r != nil && r.known {
		return time.Duration(float64(s.Estimate) * min(max(r.ratio, minSample), maxSample))
	}
	return s.Estimate
}

// expectedChain returns the expected run time of the longest chain of dependent steps.
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

// recordRunTime updates the speed of the backend server and the run times of the route
// with a task that is done.
func (c *Core) recordRunTime(a *agentState, j *jobState, e RunEnded) {
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
