package sitesim

import (
	"fmt"
	"time"

	"foxtaildock.example/bench/runserver"
	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/run"
	"foxtaildock.example/dock/work"
)

// vm is a VM with its agent and its backend server.
type vm struct {
	process
	index            int
	self             ident.Incarnation
	core             *run.Core
	sessions         map[ident.Incarnation]*agentSession
	server           *runserver.Server
	watcher          *runWatcher
	serverGeneration int64 // number of the server's incarnation, also used as its start time
	sequence         int64
	state            serverState
	drainReportedAt  time.Duration // when the agent learned that the server drains
	busyAt           time.Duration // when the server last had no room for a task of the first kind
	nextEnd          time.Duration // when the server is advanced next, in the past if it is not
	holds            []waitingHold
}

// serverState holds the faults and the draining state of a backend server.
type serverState struct {
	silent, stuck, failing, draining bool
	slow                             float64
	endsAt                           time.Duration // when a draining server ends, 0 if it doesn't tell
}

// waitingHold is a hold call that waits for the end of a run.
type waitingHold struct {
	call   run.CallHold
	until  time.Duration
	answer func()
}

// Times of a VM.
const (
	localDelay = 100 * time.Microsecond
	// reportEvery is the interval between a server's reports.
	reportEvery = 1500 * time.Millisecond
	// orderTimeout is the time that an agent waits for the answer to an order.
	orderTimeout = 25 * time.Millisecond
	agentTick    = 10 * time.Millisecond
	// clockDrift is just below lease.ClockDrift, the largest drift that leases allow.
	clockDrift = 0.019
)

func newVM(s *Site, index int) *vm {
	return &vm{process: process{site: s}, index: index}
}

func (v *vm) start() {
	v.startServer()
	v.startAgent()
	v.report()
}

func (v *vm) startServer() {
	v.serverGeneration++
	v.sequence = 0
	v.state = serverState{slow: 1}
	v.drainReportedAt = 0
	v.busyAt = v.site.now()
	v.nextEnd = 0
	v.watcher = &runWatcher{vm: v}
	v.server = runserver.New(v.site.now(), runserver.Config{
		StartUnixMs: v.serverGeneration,
		Capacity:    v.capacity(),
		LeaseMax:    v.site.cfg.LeaseMax, StopTime: v.site.cfg.StopTime, Drift: clockDrift,
		Plan: v.plan,
	}, v.watcher)
}

func (v *vm) capacity() work.Demand { return v.site.cfg.Capacity[v.index%len(v.site.cfg.Capacity)] }

// plan returns what a run will do on this server.
func (v *vm) plan(r work.Run, _ string) runserver.Plan {
	task := v.site.callers.task(r.Task)
	speed := v.site.cfg.Speed[v.index%len(v.site.cfg.Speed)]
	return runserver.Plan{
		Demand: task.demand,
		Length: time.Duration(float64(task.length) * speed * v.state.slow),
		Fails:  v.state.failing || v.site.random.Float64() < task.failShare,
		Stuck:  v.state.stuck,
	}
}

func (v *vm) startAgent() {
	v.generation++
	v.alive = true
	v.self = v.site.incarnation("agent", v.index)
	v.core = run.New(run.Config{Terms: v.site.terms, QueueLimit: 64, StallAfter: 400 * time.Millisecond, ReportInterval: reportEvery, BackfillAfter: 100 * time.Millisecond})
	v.sessions = map[ident.Incarnation]*agentSession{}
	v.tick()
}

func (v *vm) tick() {
	v.step(run.Tick{})
	v.flush()
	v.later(agentTick, v.tick)
}

// report sends the server's report to its agent at regular intervals.
func (v *vm) report() {
	v.reportOnce()
	v.site.after(reportEvery, v.report)
}

func (v *vm) reportOnce() {
	if v.server != nil {
		v.sequence++
		e := run.ServerReported{
			Server: work.Server{
				Incarnation: fmt.Sprintf("server-%d-%d", v.index, v.serverGeneration), Service: Service,
				Domain: v.site.domain(v.index), Capacity: v.capacity(), Draining: v.state.draining, Remaining: max(v.state.endsAt-v.site.now(), 0),
			},
			StartUnixMs: v.serverGeneration, Clock: v.server.Clock(v.site.now()), Sequence: v.sequence,
		}
		v.toAgent(func() {
			if e.Server.Draining && v.drainReportedAt == 0 {
				v.drainReportedAt = v.site.now()
			}
			v.step(e)
			v.flush()
		})
	}
}

// toAgent delivers a message or answer of the server to the agent, unless the server
// is silent.
func (v *vm) toAgent(f func()) {
	if v.state.silent {
		return
	}
	generation := v.generation
	v.site.after(localDelay, func() { v.deliver(generation, f) })
}

func (v *vm) step(e run.Event) {
	v.site.steps++
	for _, a := range v.core.Step(v.site.now(), e) {
		switch a := a.(type) {
		case run.CallStart:
			v.callStart(a)
		case run.CallStop:
			v.callStop(a)
		case run.CallHold:
			v.callHold(a)
		case run.Report:
			v.queueResult(a)
		case run.ReportStalled:
			v.queueStalled(a)
		}
	}
}

// sendOrder delivers an order to the server and the answer back to the agent. A late
// order is executed by the incarnation of the server that runs when it arrives.
func (v *vm) sendOrder(execute func() (answer func()), unanswered func()) {
	orders := v.site.orders
	answered := false
	v.later(orderTimeout, func() {
		if !answered {
			answered = true
			unanswered()
			v.flush()
		}
	})
	late := v.site.random.Float64() < orders.late
	lost := v.site.random.Float64() < orders.lost
	delay := localDelay
	if late {
		delay = 2*time.Second + time.Duration(v.site.random.Int64N(int64(10*time.Second)))
	}
	silent := v.state.silent
	v.site.after(delay, func() {
		if v.server == nil || silent && !late || v.state.silent {
			return
		}
		answer := execute()
		v.advance()
		if late || lost {
			return
		}
		v.toAgent(func() {
			if !answered {
				answered = true
				answer()
				v.flush()
			}
		})
	})
}

func (v *vm) callStart(a run.CallStart) {
	v.sendOrder(func() func() {
		reply := v.server.Start(v.site.now(), a)
		stamp := run.Stamp{Clock: v.server.Stamp(v.site.now()).Clock} // only answers to hold calls contain the incarnation
		return func() { v.step(run.StartAnswered{Run: a.Run, Reply: reply, Stamp: stamp}) }
	}, func() { v.step(run.StartAnswered{Run: a.Run, Reply: run.NoAnswer}) })
}

func (v *vm) callStop(a run.CallStop) {
	v.sendOrder(func() func() {
		done := v.server.Stop(v.site.now(), a)
		stamp := run.Stamp{Clock: v.server.Stamp(v.site.now()).Clock}
		return func() { v.step(run.StopAnswered{Run: a.Run, Answered: done, Stamp: stamp}) }
	}, func() { v.step(run.StopAnswered{Run: a.Run}) })
}

// callHold delivers a hold call, which waits for the end of a run. Like any order it
// may stay unanswered. Late execution is not simulated, since it would change nothing:
// the expiry of the call is absolute.
func (v *vm) callHold(a run.CallHold) {
	ignored := v.site.random.Float64() < v.site.orders.late+v.site.orders.lost
	answered := false
	generation := v.generation
	answer := func() {
		if answered || v.server == nil {
			return
		}
		answered = true
		running, ended, ok := v.server.Hold(v.site.now(), run.CallHold{Fence: a.Fence, LastSeen: a.LastSeen})
		stamp := v.server.Stamp(v.site.now())
		v.toAgent(func() {
			if !ok {
				v.step(run.HoldFailed{Call: a.Call, Refused: true, Stamp: stamp})
			} else {
				v.step(run.HoldAnswered{Call: a.Call, Stamp: stamp, Running: running, Ended: ended})
			}
			v.flush()
		})
	}
	v.site.after(localDelay, func() {
		if v.server == nil || v.state.silent || ignored {
			return
		}
		v.server.Hold(v.site.now(), a)
		v.advance()
		if a.Wait <= 0 || v.server.HasEnds(a.LastSeen) {
			answer()
			return
		}
		v.holds = append(v.holds, waitingHold{call: a, until: v.site.now() + a.Wait, answer: answer})
		v.site.after(a.Wait, answer)
	})
	v.site.after(run.HoldTimeout(a.Wait), func() {
		v.deliver(generation, func() {
			v.step(run.HoldFailed{Call: a.Call}) // ignored by the core if the call was answered
			v.flush()
		})
	})
}

// advance advances the server to the present, and answers the hold calls that have
// the end of a run to report.
func (v *vm) advance() {
	if v.server == nil {
		return
	}
	now := v.site.now()
	v.server.Advance(now)
	left := v.holds[:0]
	for _, h := range v.holds {
		switch {
		case now >= h.until:
		case v.server.HasEnds(h.call.LastSeen):
			h.answer()
		default:
			left = append(left, h)
		}
	}
	v.holds = left
	if at, ok := v.server.Next(); ok && (v.nextEnd <= now || at < v.nextEnd) {
		server := v.server
		v.nextEnd = at
		v.site.at(at, func() {
			if v.server == server {
				v.advance()
			}
		})
	}
}

// leave makes the server report that it drains, and ends it after the notice. A new
// incarnation starts after the given time without a server.
func (v *vm) leave(notice, away time.Duration) {
	v.state.draining, v.state.endsAt = true, v.site.now()+notice
	leaving := v.server
	v.reportOnce()
	v.site.at(v.state.endsAt, func() {
		if v.server == leaving {
			v.crash(away)
		}
	})
}

// crash ends the server; a new incarnation starts after the given time.
func (v *vm) crash(after time.Duration) {
	if v.server == nil {
		return
	}
	v.server.Crash(v.site.now())
	v.server = nil
	v.holds = nil
	v.site.after(after, func() {
		v.startServer() // the next periodic report is its first
	})
}

// kill ends the agent; a new incarnation starts after the given time.
func (v *vm) kill(after time.Duration) {
	v.alive = false
	v.site.closeSessions(v.sessions)
	v.site.after(after, func() {
		if !v.alive {
			v.startAgent()
		}
	})
}
