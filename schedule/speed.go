package schedule

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/run"
	"foxtaildock.example/dock/serverspeed"
)

// routeWeight is the weight of the newest sample in the average run time of a route. It
// averages over enough tasks to smooth out their variance.
const routeWeight = 0.03

// Bounds of a route's ratio, so that one outlier does not decide.
const (
	minSample = 0.25
	maxSample = 8
)

// speed is how much longer tasks take on one backend server than on one of normal speed:
// by the tasks that have ended there, and by the progress of those that run.
type speed struct {
	// reported is the agent's figure, from the runs of all entries, and reportedAt the
	// time of its last sample.
	reported   run.SpeedFigure
	reportedAt time.Duration
	// own is the average of this entry's runs.
	own  serverspeed.Average
	pace float64 // of the running tasks, as reported by the agent
	// ended is the speed by the tasks that have ended, relative to the fleet's, 0 if it
	// was not computed yet.
	ended float64
	fleet *fleetSpeeds
}

// slowPace is the ratio from which a backend server counts as slow. A reported pace
// below it is ignored: the few running tasks then say less than those that have ended.
const slowPace = 1.8

// paceMargin is how much a reported pace must exceed the speed by the tasks that have
// ended to count instead of it. The pace of a server that is known to be slow is high as
// well, but varies more.
const paceMargin = 1.3

// factor returns the ratio by which tasks are expected to take longer on the server.
func (s *speed) factor() float64 {
	ended := s.ended
	if ended == 0 {
		ended = 1
	}
	if s.pace >= slowPace && s.pace > paceMargin*ended {
		return s.pace
	}
	return ended
}

// speedTrialInterval is the time since its last sample after which an idle slow server
// gets one trial task, to find out whether it is still slow.
const speedTrialInterval = 400 * time.Millisecond

// trialDue reports whether a slow server should get a trial task. held is the number of
// runs that it has.
func (s *speed) trialDue(now time.Duration, held int) bool {
	return held == 0 && now-max(s.own.At(), s.reportedAt) >= speedTrialInterval
}

func (s *speed) setPace(pace float64) { s.pace = pace }

// report records the agent's figure. It is limited to the range of speeds that can be.
func (s *speed) report(now time.Duration, f run.SpeedFigure) {
	if f.Value > 0 {
		f.Value = min(max(f.Value, serverspeed.Min), serverspeed.Max)
	}
	s.reported, s.reportedAt = f, max(0, now-f.Age)
}

// maxSpeedAge is how long an agent's figure is used after its last sample.
const maxSpeedAge = 30 * time.Second

// speedSource says which figure a speed is.
type speedSource int

const (
	// speedUnknown: there is no figure of this server.
	speedUnknown speedSource = iota
	// speedOwn: the entry's own figure.
	speedOwn
	// speedReported: the agent's figure.
	speedReported
)

// figure returns the best figure of the server, not yet relative to the fleet's.
func (s *speed) figure(now time.Duration) (float64, speedSource) {
	switch {
	case s.reported.Value > 0 && s.reported.Samples >= run.MinSpeedSamples && now-s.reportedAt <= maxSpeedAge:
		return s.reported.Value, speedReported
	case s.own.Samples() > 0:
		return s.own.Value(), speedOwn
	}
	return 1, speedUnknown
}

// minCertainSamples is the number of samples from which servers are compared by their
// figures: with fewer, errors of the estimates make equal servers look apart.
const minCertainSamples = 32

// certain reports whether the figure rests on enough samples to compare servers by it.
func (s *speed) certain(source speedSource) bool {
	return source == speedReported && s.reported.Samples >= minCertainSamples ||
		source == speedOwn && s.own.Samples() >= minCertainSamples
}

// fleetSpeeds summarizes the speeds of the backend servers of one service.
type fleetSpeeds struct {
	service ident.Service
	// normal is the figure of a server of normal speed: the median of the fleet. Run times
	// are compared with times learnt from the same servers, so that speeds and the ratios
	// of routes are known only up to a common factor. Dividing by normal fixes that factor.
	// It isn't smoothed: a normal that lags behind the ratios makes both oscillate.
	normal float64
	// apart is true while tasks are placed by slack: the speeds of the slowest and the
	// fastest tenth differ by a factor above the smallest Stretch of the service's routes.
	apart bool
	// fastLimit is the speed up to which a server counts as fast, halfway between both
	// tenths.
	fastLimit float64
	// stretch is the smallest Stretch of the service's routes, 0 if none has one.
	stretch float64
	// known, certain and kinds are buffers of the summary.
	known, certain, own []float64
	servers             int
	kinds               map[string][]float64
}

const (
	// speedsInterval is how often the fleet's speeds are summarized. It bounds the cost,
	// which grows with the number of agents.
	speedsInterval = 50 * time.Millisecond
	// kindSpread is how far the speeds of servers with the same labels may be from their
	// median for it to be used for servers without a figure.
	kindSpread = 0.15
	// minKind is the smallest number of servers whose median is used for others.
	minKind = 3
)

// refreshSpeeds summarizes the speeds of the fleet, unless that was done recently.
func (c *Core) refreshSpeeds() {
	if c.now < c.speedsDue {
		return
	}
	c.speedsDue = c.now + speedsInterval
	for _, f := range c.speeds {
		f.reset()
	}
	c.collectStretches()
	unknown := false
	for _, a := range c.order {
		if !a.attached || a.server.Incarnation == "" {
			continue
		}
		f := c.speedsOf(a.server.Service)
		a.speed.fleet = f
		unknown = f.collect(&a.speed, c.now) || unknown
	}
	for _, f := range c.speeds {
		if changed := f.summarize(); changed {
			c.logApart(f)
		}
	}
	if unknown {
		c.collectKinds()
	}
	for _, a := range c.order {
		c.resolveSpeed(a)
	}
}

func (c *Core) logApart(f *fleetSpeeds) {
	text := "speeds of backend servers no longer apart; placement by expected end"
	if f.apart {
		text = "speeds of backend servers apart; placement by slack"
	}
	slowest, fastest := tenths(f.certain)
	c.emit(LogMessage{Text: text, Reason: fmt.Sprintf("service %s: slowest tenth %.2f, fastest tenth %.2f", f.service, slowest, fastest), Speed: f.normal})
}

// speedsOf returns the speeds of the backend servers of a service, which are created if
// needed.
func (c *Core) speedsOf(service ident.Service) *fleetSpeeds {
	for _, f := range c.speeds {
		if f.service == service {
			return f
		}
	}
	f := &fleetSpeeds{service: service, normal: 1, kinds: map[string][]float64{}}
	c.speeds = append(c.speeds, f)
	return f
}

func (f *fleetSpeeds) reset() {
	f.known, f.certain, f.own, f.servers, f.stretch = f.known[:0], f.certain[:0], f.own[:0], 0, 0
	clear(f.kinds)
}

// collectStretches finds the smallest Stretch of each service's routes.
func (c *Core) collectStretches() {
	if c.operator.Manifest == nil {
		return
	}
	for i := range c.operator.Manifest.Routes {
		r := &c.operator.Manifest.Routes[i]
		if f := c.speedsOf(r.Service); r.Stretch > 0 && (f.stretch == 0 || r.Stretch < f.stretch) {
			f.stretch = r.Stretch
		}
	}
}

// collect adds a server. It reports whether its speed is unknown.
func (f *fleetSpeeds) collect(s *speed, now time.Duration) (unknown bool) {
	f.servers++
	value, source := s.figure(now)
	if source == speedUnknown {
		return true
	}
	f.known = append(f.known, value)
	switch {
	case !s.certain(source):
	case source == speedReported:
		f.certain = append(f.certain, value)
	default:
		f.own = append(f.own, value)
	}
	return false
}

// summarize computes the fleet's figures. It reports whether apart has changed.
func (f *fleetSpeeds) summarize() (changed bool) {
	slices.Sort(f.known)
	if len(f.certain) == 0 {
		// Own figures are compared only with each other, since their scale may differ.
		f.certain, f.own = f.own, f.certain
	}
	slices.Sort(f.certain)
	if n := len(f.known); n >= 2 && 2*n > f.servers {
		// Of an even number the faster one is taken, so that one slow server of two
		// isn't normal.
		f.normal = f.known[(n-1)/2]
	}
	before := f.apart
	f.apart = false
	if len(f.certain) >= 2 && f.stretch > 0 {
		slowest, fastest := tenths(f.certain)
		f.apart = slowest > f.stretch*fastest
		f.fastLimit = math.Sqrt(slowest*fastest) / f.normal
	}
	return f.apart != before
}

// tenths returns the speeds of the slowest and of the fastest tenth of a sorted list.
func tenths(sorted []float64) (slowest, fastest float64) {
	n := len(sorted)
	if n == 0 {
		return 1, 1
	}
	return sorted[n-1-n/10], sorted[n/10]
}

// maxRacks bounds the labels that are remembered as racks.
const maxRacks = 1024

// noteRack remembers a label that a job names as the rack of its data.
func (c *Core) noteRack(near string) {
	if near != "" && len(c.racks) < maxRacks {
		c.racks[near] = true
	}
}

// kind returns the labels of a server without its rack, as one string.
func (c *Core) kind(labels []string) string {
	var kept []string
	for _, l := range labels {
		if !c.racks[l] {
			kept = append(kept, l)
		}
	}
	slices.Sort(kept)
	return strings.Join(kept, "\x00")
}

// collectKinds groups the known speeds of servers by kind.
func (c *Core) collectKinds() {
	for _, a := range c.order {
		if f := a.speed.fleet; f != nil && a.attached {
			if value, source := a.speed.figure(c.now); a.speed.certain(source) {
				k := c.kind(a.server.Labels)
				f.kinds[k] = append(f.kinds[k], value)
			}
		}
	}
	for _, f := range c.speeds {
		for _, values := range f.kinds {
			slices.Sort(values)
		}
	}
}

// kindSpeed returns the median speed of the servers of a kind if they are enough and
// alike, otherwise that of a server of normal speed.
func (f *fleetSpeeds) kindSpeed(kind string) float64 {
	values := f.kinds[kind]
	if len(values) < minKind {
		return f.normal
	}
	median := values[(len(values)-1)/2]
	slowest, fastest := tenths(values)
	if slowest > median*(1+kindSpread) || fastest < median*(1-kindSpread) {
		return f.normal
	}
	return median
}

// resolveSpeed computes the speed of a server relative to the fleet's.
func (c *Core) resolveSpeed(a *agentState) {
	f := a.speed.fleet
	if f == nil {
		return
	}
	value, source := a.speed.figure(c.now)
	if source == speedUnknown {
		value = f.normal
		if len(f.kinds) > 0 {
			value = f.kindSpeed(c.kind(a.server.Labels))
		}
	}
	a.speed.ended = value / f.normal
}

// class returns the speed as a power of speedClass.
func (s *speed) class() int {
	return int(math.Round(math.Log(s.factor()) / math.Log(speedClass)))
}

// speedReported records the figures of an agent's report.
func (c *Core) speedReported(a *agentState, e AgentRoomReported) {
	a.speed.setPace(e.Pace)
	a.speed.report(c.now, e.Speed)
	if a.speed.fleet == nil && e.Server.Incarnation != "" {
		a.speed.fleet = c.speedsOf(e.Server.Service)
		c.speedsDue = c.now // a server that is new to this entry
	}
	c.resolveSpeed(a)
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
		a.speed.own.Add(c.now, float64(e.Ran)/float64(expected))
		c.resolveSpeed(a)
	}
	r := c.times[j.Route.Name]
	if r == nil {
		r = new(routeTimes)
		c.times[j.Route.Name] = r
	}
	r.sample(float64(e.Ran) / float64(s.Estimate) / a.speed.factor())
}
