package run

import (
	"math"
	"time"

	"foxtaildock.example/dock/serverspeed"
	"foxtaildock.example/dock/work"
)

// SpeedFigure is the speed of a backend server as its agent reports it to entries. The
// zero value means that the speed is unknown.
type SpeedFigure struct {
	// Value is the ratio of run time to the expected time on a server of normal speed, 2
	// if the server is twice as slow.
	Value   float64
	Samples uint32
	Age     time.Duration // time since the last sample
}

// MinSpeedSamples is the number of samples from which a speed figure is reported and used.
const MinSpeedSamples = 8

// speedStep is the smallest relative change of the speed that is reported.
const speedStep = 0.05

// serverSpeed is the speed of the backend server, from the runs of all entries.
type serverSpeed struct {
	average serverspeed.Average
	// reported is the value that entries are told, 0 while there are too few samples.
	reported float64
}

func (s *serverSpeed) sample(now time.Duration, ratio float64) {
	s.average.Add(now, ratio)
	if s.average.Samples() < MinSpeedSamples {
		return
	}
	if value := s.average.Value(); s.reported == 0 || math.Abs(value/s.reported-1) >= speedStep {
		s.reported = value
	}
}

func (s *serverSpeed) figure(now time.Duration) SpeedFigure {
	if s.reported == 0 {
		return SpeedFigure{}
	}
	return SpeedFigure{Value: s.reported, Samples: s.average.Samples(), Age: now - s.average.At()}
}

// recordRunTime updates the speed of the backend server with a run that has ended. Only
// runs that were done count, and only those that the incarnation in use was asked to start.
func (c *Core) recordRunTime(t *task, outcome work.Outcome, ran time.Duration) {
	if outcome != work.Done || t.phase == phaseOrphaned || t.server != c.server.report.incarnation() {
		return
	}
	if t.expected > 0 && ran > 0 {
		c.speed.sample(c.now, float64(ran)/float64(t.expected))
	}
}
