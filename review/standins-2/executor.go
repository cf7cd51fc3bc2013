package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of the platform, as in the settings file.
const (
	heartbeat = 1500 * time.Millisecond
	holdMax   = 1000 * time.Millisecond
	stopTakes = 20 * time.Millisecond // the bound is 50 ms
	cancelMs  = 3000 * time.Millisecond
	contact   = 3000 * time.Millisecond
	retry     = 1300 * time.Millisecond
)

// executor is a stand-in for an executor. It starts whatever it is told to, under one lease,
// and lists what runs and what has ended.
type executor struct {
	id, zone, rack  string
	address, agent  string // where it serves its agent, and where the agent takes its pings
	rec             *recorder
	capacity, memMb int
	born            time.Time
	sequence        int

	mu           sync.Mutex
	fence        int64
	lease        time.Duration // on its clock
	running      map[string]*runState
	finished     []endedRun
	ends         int64
	highest      map[string]int64 // highest run of a task that was stopped or has ended
	history      []*runState
	changed      chan struct{}
	listener     net.Listener
	conns        map[net.Conn]bool
	life         int // number of the lifetime
	down         bool
	silentBefore time.Duration // connections that were opened before have gone silent
	draining     bool
	delay        time.Duration // a quarter of the calls is carried out up to this much later
	drainAck     time.Duration // now() of the first acknowledged draining ping, 0 if none
	drains       []drainSpan
	// fault decides about an order before it is carried out.
	fault func(path, task string) orderFault
}

// orderFault is what happens to an order: it gets no answer, and is carried out late.
type orderFault struct {
	unanswered bool
	after      time.Duration
}

// openedKey is the key of the time at which a connection was opened, in the context of its calls.
type openedKey struct{}

// drainSpan is the time from the acknowledgement of a draining ping to the executor's end.
type drainSpan struct{ from, to time.Duration }

// listen serves the executor at its address.
func (x *executor) listen() error {
	l, err := net.Listen("tcp", x.address)
	if err != nil {
		return err
	}
	x.mu.Lock()
	x.listener, x.conns = l, map[net.Conn]bool{}
	x.mu.Unlock()
	server := &http.Server{Handler: x, ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, openedKey{}, now())
	}, ConnState: func(c net.Conn, s http.ConnState) {
		x.mu.Lock()
		defer x.mu.Unlock()
		if s == http.StateNew {
			x.conns[c] = true
		} else if s == http.StateClosed {
			delete(x.conns, c)
		}
	}}
	go func() { _ = server.Serve(l) }()
	return nil
}

// crash ends all runs and the process of the executor.
func (x *executor) crash() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.down = true
	x.life++
	for _, r := range x.running {
		r.end, r.how = now(), "crashed"
	}
	if x.drainAck > 0 {
		x.drains = append(x.drains, drainSpan{x.drainAck, now()})
	}
	x.running, x.finished, x.ends, x.highest, x.fence, x.lease = map[string]*runState{}, nil, 0, map[string]int64{}, 0, 0
	x.draining, x.drainAck = false, 0
	_ = x.listener.Close()
	for c := range x.conns {
		_ = c.Close()
	}
	x.rec.add("executor %s is down", x.id)
}

// restart starts a new lifetime, under the same id or another.
func (x *executor) restart(id string) error {
	x.mu.Lock()
	x.id, x.born, x.sequence, x.down = id, time.Now(), 0, false
	x.rec.add("executor %s is up", x.id)
	x.mu.Unlock()
	return x.listen()
}

// runState is one run of a task.
type runState struct {
	executor   string
	task       string
	run        int64
	began, end time.Duration // now(); end is 0 while it runs
	how        string
	length     time.Duration
	stopping   bool
}

type endedRun struct {
	number int64
	run    *runState
}

func newExecutor(id, zone, rack, address, agent string, rec *recorder) *executor {
	return &executor{id: id, zone: zone, rack: rack, address: address, agent: agent, rec: rec, capacity: 64000, memMb: 131072,
		born: time.Now(), running: map[string]*runState{}, highest: map[string]int64{}, changed: make(chan struct{})}
}

func (x *executor) clock() time.Duration { return time.Since(x.born) }

// advance ends what is over, by its length or by the lease. The caller holds the lock.
func (x *executor) advance() {
	lapsed := x.clock() >= x.lease
	for _, r := range x.running {
		switch {
		case now()-r.began >= r.length:
			x.finish(r, "done")
		case lapsed:
			x.finish(r, "lapsed")
		}
	}
}

// finish ends a run. The caller holds the lock.
func (x *executor) finish(r *runState, how string) {
	if x.running[r.task] != r {
		return
	}
	delete(x.running, r.task)
	r.end, r.how = now(), how
	x.highest[r.task] = max(x.highest[r.task], r.run)
	x.ends++
	x.finished = append(x.finished, endedRun{x.ends, r})
	x.rec.add("executor %s: end of %s run %d: %s", x.id, r.task, r.run, how)
	close(x.changed)
	x.changed = make(chan struct{})
}

func (x *executor) run(ctx context.Context) {
	go x.ping(ctx)
	for ctx.Err() == nil {
		x.mu.Lock()
		x.advance()
		x.mu.Unlock()
		time.Sleep(time.Millisecond)
	}
}

// ping reports the executor to its agent; a ping that fails is sent again soon.
func (x *executor) ping(ctx context.Context) {
	for ctx.Err() == nil {
		wait := heartbeat
		if !x.pingOnce(ctx) {
			wait = 100 * time.Millisecond
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

func (x *executor) pingOnce(ctx context.Context) bool {
	x.mu.Lock()
	if x.down {
		x.mu.Unlock()
		return false
	}
	x.sequence++
	state := "ready"
	if x.draining {
		state = "draining"
	}
	id, born := x.id, x.born
	body, _ := json.Marshal(map[string]any{
		"service": service, "address": x.address, "zone": x.zone, "version": "v1", "slots": 8, "state": state, "coldLeftMs": 0,
		"capacity": map[string]int{"cpu": x.capacity, "memMb": x.memMb, "gpu": 0}, "labels": []string{"a", x.rack},
		"clockMs": x.clock().Milliseconds(), "sequence": x.sequence, "born": x.born.UnixMilli(),
	})
	x.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+x.agent+names["instances"]+id, bytes.NewReader(body))
	if err != nil {
		return false
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	ok := res.StatusCode/100 == 2
	x.mu.Lock()
	defer x.mu.Unlock()
	if ok && state == "draining" && x.draining && x.drainAck == 0 && x.born == born {
		x.drainAck = now()
		x.rec.add("executor %s: draining is acknowledged", x.id)
	}
	return ok
}

// ServeHTTP serves the calls of the agent.
func (x *executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x.mu.Lock()
	id, silent, life := x.id, x.silentBefore, x.life
	x.mu.Unlock()
	if opened, ok := r.Context().Value(openedKey{}).(time.Duration); ok && opened < silent {
		<-r.Context().Done() // the connection has gone silent
		return
	}
	if want := r.Header.Get(names["expect"]); want != "" && want != id {
		http.Error(w, "another lifetime", http.StatusMisdirectedRequest)
		return
	}
	var o map[string]any
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		http.Error(w, "unreadable", http.StatusBadRequest)
		return
	}
	if x.delay > 0 && rand.IntN(4) == 0 {
		time.Sleep(time.Duration(rand.Int64N(int64(x.delay))))
		x.mu.Lock()
		gone := x.life != life
		x.mu.Unlock()
		if gone {
			return // the lifetime that had the call has ended
		}
	}
	var do func(map[string]any) (int, string)
	switch r.URL.Path {
	case names["start"]:
		do = x.start
	case names["stop"]:
		do = x.stop
	case names["hold"]:
		if x.fault != nil && x.fault(r.URL.Path, "").unanswered {
			<-r.Context().Done()
			return
		}
		x.hold(w, r, o)
		return
	default:
		http.NotFound(w, r)
		return
	}
	if x.fault != nil {
		if f := x.fault(r.URL.Path, text(o["task"])); f.unanswered {
			x.rec.add("executor %s: %s of %s run %d gets no answer and is carried out %v later", x.id, r.URL.Path, text(o["task"]), number(o["runId"]), f.after)
			time.AfterFunc(f.after, func() {
				x.mu.Lock()
				defer x.mu.Unlock()
				if x.life != life {
					return // the lifetime that had the call has ended
				}
				status, reason := do(o)
				x.rec.add("executor %s: late %s of %s run %d: %d %s", x.id, r.URL.Path, text(o["task"]), number(o["runId"]), status, reason)
			})
			<-r.Context().Done()
			return
		}
	}
	x.mu.Lock()
	if x.life != life {
		x.mu.Unlock()
		return
	}
	status, reason := do(o)
	clock := x.clock().Milliseconds()
	x.mu.Unlock()
	body := map[string]any{"clockMs": clock}
	if reason != "" {
		body["reason"] = reason
	}
	writeJSON(w, status, body)
}

func number(v any) int64 { f, _ := v.(float64); return int64(f) }

// admitFence checks and notes the fencing token. The caller holds the lock.
func (x *executor) admitFence(o map[string]any) bool {
	f := number(o[names["fence"]])
	if f < x.fence {
		return false
	}
	x.fence = f
	return true
}

// extend prolongs the lease. The caller holds the lock.
func (x *executor) extend(o map[string]any) {
	e := time.Duration(number(o[names["expiry"]])) * time.Millisecond
	x.lease = max(x.lease, min(e, x.clock()+holdMax))
}

func (x *executor) start(o map[string]any) (int, string) {
	x.advance()
	task, run := text(o["task"]), number(o["runId"])
	if !x.admitFence(o) {
		return http.StatusConflict, "fence"
	}
	if time.Duration(number(o[names["expiry"]]))*time.Millisecond <= x.clock() {
		return http.StatusConflict, "late"
	}
	x.extend(o)
	if r := x.running[task]; r != nil && r.run == run {
		return http.StatusOK, ""
	} else if r != nil && r.run > run {
		return http.StatusConflict, "old"
	} else if r != nil {
		// A second run of a task that runs here already: the rules judge it.
		x.rec.add("executor %s: start of %s run %d beside run %d", x.id, task, run, r.run)
	}
	if run <= x.highest[task] {
		return http.StatusConflict, "old"
	}
	r := &runState{executor: x.id, task: task, run: run, began: now(), length: lengthOf(text(o["spec"]))}
	x.running[task] = r
	x.history = append(x.history, r)
	x.rec.add("executor %s: start of %s run %d", x.id, task, run)
	return http.StatusOK, ""
}

// lengthOf reads the work of a task, in milliseconds, from its job's spec.
func lengthOf(spec string) time.Duration {
	ms, err := strconv.Atoi(strings.TrimPrefix(spec, "work "))
	if err != nil {
		ms = 100
	}
	return time.Duration(ms) * time.Millisecond
}

func (x *executor) stop(o map[string]any) (int, string) {
	x.advance()
	task, run := text(o["task"]), number(o["runId"])
	if !x.admitFence(o) {
		return http.StatusConflict, "fence"
	}
	x.highest[task] = max(x.highest[task], run)
	if r := x.running[task]; r != nil && r.run <= run && !r.stopping {
		r.stopping = true
		time.AfterFunc(stopTakes, func() {
			x.mu.Lock()
			defer x.mu.Unlock()
			x.finish(r, "stopped")
		})
	}
	return http.StatusOK, ""
}

func (x *executor) hold(w http.ResponseWriter, r *http.Request, o map[string]any) {
	timeout := time.After(time.Duration(number(o["waitMs"])) * time.Millisecond)
	x.mu.Lock()
	life := x.life
	x.advance()
	if !x.admitFence(o) {
		clock := x.clock().Milliseconds()
		x.mu.Unlock()
		writeJSON(w, http.StatusConflict, map[string]any{"clockMs": clock, "born": x.born.UnixMilli(), "reason": "fence"})
		return
	}
	if number(o[names["expiry"]]) > 0 {
		x.extend(o)
	}
	seen := number(o["lastSeen"])
	for len(x.finished) > 0 && x.finished[0].number <= seen {
		x.finished = x.finished[1:]
	}
	for len(x.finished) == 0 && number(o["waitMs"]) > 0 {
		changed := x.changed
		x.mu.Unlock()
		waiting := true
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
		x.mu.Lock()
		if x.life != life {
			x.mu.Unlock()
			return
		}
		x.advance()
		if !waiting {
			break
		}
	}
	defer x.mu.Unlock()
	running, finished := [][]any{}, [][]any{}
	for _, r := range x.running {
		percent := int(100 * (now() - r.began) / max(r.length, 1))
		running = append(running, []any{r.task, r.run, "", min(percent, 99)})
	}
	for _, e := range x.finished[:min(500, len(x.finished))] {
		finished = append(finished, []any{e.number, e.run.task, e.run.run, e.run.how, ""})
	}
	writeJSON(w, http.StatusOK, map[string]any{"clockMs": x.clock().Milliseconds(), "born": x.born.UnixMilli(), "running": running, "finished": finished})
}

// runs returns a copy of all runs of the executor so far.
func (x *executor) runs() []runState {
	x.mu.Lock()
	defer x.mu.Unlock()
	var list []runState
	for _, r := range x.history {
		list = append(list, *r)
	}
	return list
}

func (r *runState) String() string {
	return fmt.Sprintf("%s run %d on %s from %.3f to %.3f (%s)", r.task, r.run, r.executor, r.began.Seconds(), r.end.Seconds(), r.how)
}
