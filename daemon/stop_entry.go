package daemon

import (
	"context"
	"time"

	"foxtaildock.example/dock/clock"
	"foxtaildock.example/dock/dispatcher"
	"foxtaildock.example/dock/pause"
	"foxtaildock.example/dock/shutdown"
	"foxtaildock.example/dock/telemetry"
)

// callerListener is the listener of callers, with its connections.
type callerListener struct {
	listener    *listener
	connections *connections
}

// entryStop carries out the planned stop of an entry.
type entryStop struct {
	dispatcher *dispatcher.Dispatcher
	callers    *callerListener
	log        *telemetry.Logger
	began      time.Duration // by package clock
	// done are the decisions that were carried out.
	done shutdown.Decision
}

// stopEntry stops an entry as planned. It returns once all requests are answered and
// the callers' connections closed, or when the plan's limit is reached.
func stopEntry(d *dispatcher.Dispatcher, callers *callerListener, plan shutdown.Plan, log *telemetry.Logger) {
	s := &entryStop{dispatcher: d, callers: callers, log: log, began: clock.Now()}
	d.BeginShutdown()
	decide := shutdown.New(plan)
	for {
		decision := decide.Step(s.observe())
		s.carryOut(decision)
		if decision.End {
			return
		}
		pause.For(context.Background(), stopPollInterval)
	}
}

func (s *entryStop) observe() shutdown.Observation {
	return shutdown.Observation{
		Elapsed:      clock.Now() - s.began,
		SinceArrival: s.callers.connections.sinceArrival(),
		Connections:  s.callers.connections.counts().open,
		Working:      !s.dispatcher.Idle(),
	}
}

func (s *entryStop) carryOut(d shutdown.Decision) {
	if d.CloseIdle {
		if !s.done.CloseIdle {
			s.logState("closing idle connections of callers")
		}
		s.callers.connections.closeIdle(shutdown.Quiet)
	}
	if d.StopAccepting && !s.done.StopAccepting {
		s.logState("closing the callers' listener")
		if err := s.callers.listener.stopAccepting(); err != nil {
			s.log.Error("callers' listener can't be closed", telemetry.Err(err))
		}
	}
	if d.End {
		s.end()
	}
	s.done = d
}

// end logs the end of the stop. Requests that are still in progress are cut.
func (s *entryStop) end() {
	if s.callers.connections.counts().busy > 0 {
		s.logState("grace period over; cutting the requests in progress")
		s.dispatcher.BeginClose()
		return
	}
	s.logState("all requests answered")
}

// logState logs a step of the stop with the connections of callers.
func (s *entryStop) logState(text string) {
	n := s.callers.connections.counts()
	s.log.Info(text, telemetry.Elapsed(clock.Now()-s.began), telemetry.OpenConnections(n.open),
		telemetry.BusyConnections(n.busy), telemetry.Age(s.callers.connections.sinceArrival()))
}
