package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of the executors, as the settings files of the processes state them.
const (
	holdMax   = time.Second
	graceStop = 50 * time.Millisecond
	stopTakes = 10 * time.Millisecond
)

// kind is what an executor life reports about itself.
type kind struct {
	Service string
	Labels  []string
	CPU     int64
	MemMb   int64
}

// executor is a stand-in of one executor: one machine, with one life after the other.
type executor struct {
	site    *site
	index   int
	zone    string
	app     string // address of its calls
	control string // address of its agent's heartbeat listener
	beat    time.Duration

	mu       sync.Mutex
	id       string
	kind     kind
	born     int64
	bornAt   time.Time
	sequence int64
	draining bool
	down     bool
	mute     bool // it answers and reports nothing, and runs on
	fence    int64
	expiry   int64 // on the life's clock, in ms
	runs     map[string]*activeRun
	ended    map[string]int // highest run that was stopped or has ended, by task
	ends     [][]any
	endN     int64
	changed  chan struct{}
	drainAck time.Time
	beatNow  chan struct{}
	server   *http.Server // nil while the executor is down
	acked    int          // pings that were acknowledged
}

type activeRun struct {
	task      string
	run       int
	cpu       int64
	startedAt time.Time
	length    time.Duration
	fails     bool
	stopAt    time.Time
}

func newExecutor(s *site, index int, zone, app, control string, k kind) *executor {
	e := &executor{site: s, index: index, zone: zone, app: app, control: control, beat: 1500 * time.Millisecond, changed: make(chan struct{}), beatNow: make(chan struct{}, 1)}
	e.begin(fmt.Sprintf("i-%d", index), k, 0)
	return e
}

// begin starts a life. The time of day of its machine is off by skew. The caller holds the
// lock, or is the only one who knows the executor.
func (e *executor) begin(id string, k kind, skew time.Duration) {
	e.id, e.kind = id, k
	e.bornAt = time.Now()
	e.born = e.bornAt.Add(skew).UnixMilli()
	e.sequence, e.fence, e.expiry, e.endN = 0, 0, 0, 0
	e.draining, e.down, e.drainAck = false, false, time.Time{}
	e.runs, e.ended, e.ends = map[string]*activeRun{}, map[string]int{}, nil
	e.notify()
	e.beatSoon()
	e.site.rec.logf("executor %d begins a life: id %s, born %d, labels %v", e.index, id, e.born, k.Labels)
}

// listen serves the calls of the agent until the next crash.
func (e *executor) listen() error {
	l, err := net.Listen("tcp", e.app)
	if err != nil {
		return err
	}
	e.server = &http.Server{Handler: e, ReadHeaderTimeout: 5 * time.Second}
	go func(server *http.Server) { _ = server.Serve(l) }(e.server) // returns after Close
	return nil
}

// crash ends the life and everything that runs, closes all channels, and refuses new ones.
func (e *executor) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server != nil {
		_ = e.server.Close()
		e.server = nil
	}
	for _, r := range e.runs {
		e.site.rec.ended(e, r, "crashed")
	}
	e.runs = map[string]*activeRun{}
	e.down = true
	e.notify()
	e.site.rec.logf("executor %d crashes", e.index)
}

// restart begins another life.
func (e *executor) restart(id string, k kind, skew time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.begin(id, k, skew)
	if err := e.listen(); err != nil {
		e.site.rec.logf("executor %d can't listen: %v", e.index, err)
	}
}

func (e *executor) drain() {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	e.beatSoon()
	e.site.rec.logf("executor %d drains", e.index)
}

func (e *executor) setMute(mute bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.mute = mute
	e.site.rec.logf("executor %d mute: %v", e.index, mute)
}

// leave sends the DELETE of a planned end.
func (e *executor) leave() {
	e.mu.Lock()
	id := e.id
	e.mu.Unlock()
	req, err := http.NewRequest(http.MethodDelete, "http://"+e.control+"/instances/"+id, nil)
	if err != nil {
		return
	}
	if res, err := http.DefaultClient.Do(req); err == nil {
		_ = res.Body.Close()
	}
	e.site.rec.logf("executor %d: DELETE of %s sent", e.index, id)
}

func (e *executor) beatSoon() {
	select {
	case e.beatNow <- struct{}{}:
	default:
	}
}

func (e *executor) notify() {
	close(e.changed)
	e.changed = make(chan struct{})
}

func (e *executor) clock(now time.Time) int64 { return now.Sub(e.bornAt).Milliseconds() }

// advance ends what is due. The caller holds the lock.
func (e *executor) advance(now time.Time) {
	changed := false
	for key, r := range e.runs {
		how := ""
		switch {
		case e.clock(now) > e.expiry:
			how = "lapsed"
		case !r.stopAt.IsZero() && !now.Before(r.stopAt):
			how = "stopped"
		case now.Sub(r.startedAt) >= r.length:
			how = "done"
			if r.fails {
				how = "failed"
			}
		default:
			continue
		}
		delete(e.runs, key)
		e.ended[r.task] = max(e.ended[r.task], r.run)
		e.endN++
		e.ends = append(e.ends, []any{e.endN, r.task, r.run, how, ""})
		e.site.rec.ended(e, r, how)
		changed = true
	}
	if changed {
		e.notify()
	}
}

// run advances the executor and sends its pings until the context ends.
func (e *executor) run(ctx context.Context) {
	go e.pings(ctx)
	ticker := time.NewTicker(2 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			e.mu.Lock()
			e.advance(now)
			e.mu.Unlock()
		}
	}
}

func (e *executor) pings(ctx context.Context) {
	for ctx.Err() == nil {
		wait := e.beat
		if !e.ping(ctx) {
			wait = 300 * time.Millisecond
		}
		select {
		case <-ctx.Done():
		case <-e.beatNow:
		case <-time.After(wait):
		}
	}
}

// acknowledged returns how many pings of the executor were acknowledged.
func (e *executor) acknowledged() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.acked
}

func (e *executor) body(now time.Time) map[string]any {
	state := "ready"
	if e.draining {
		state = "draining"
	}
	return map[string]any{
		"service": e.kind.Service, "address": e.app, "zone": e.zone, "version": "v1", "slots": 8, "state": state,
		"coldLeftMs": 0, "capacity": map[string]int64{"cpu": e.kind.CPU, "memMb": e.kind.MemMb, "gpu": 0},
		"labels": e.kind.Labels, "clockMs": e.clock(now), "sequence": e.sequence, "born": e.born,
	}
}

// ping sends one report and returns whether it was acknowledged.
func (e *executor) ping(ctx context.Context) bool {
	e.mu.Lock()
	if e.down || e.mute {
		e.mu.Unlock()
		return false
	}
	e.sequence++
	id, draining, body := e.id, e.draining, e.body(time.Now())
	e.mu.Unlock()
	ok := sendPing(ctx, e.control, id, body)
	if ok {
		e.mu.Lock()
		e.acked++
		if draining && e.draining && e.drainAck.IsZero() {
			e.drainAck = time.Now()
			e.site.rec.logf("executor %d: draining acknowledged", e.index)
		}
		e.mu.Unlock()
	}
	return ok
}

func sendPing(ctx context.Context, control, id string, body any) bool {
	text, _ := json.Marshal(body)
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+control+"/instances/"+id, bytes.NewReader(text))
	if err != nil {
		return false
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode/100 == 2
}

type order struct {
	Task     string `json:"task"`
	RunID    int    `json:"runId"`
	Spec     string `json:"spec"`
	LastSeen int64  `json:"lastSeen"`
	WaitMs   int64  `json:"waitMs"`
	expiry   int64
	fence    int64
}

// decodeOrder reads the body of a call.
func decodeOrder(body io.Reader) (o order, err error) {
	text, err := io.ReadAll(body)
	if err != nil {
		return o, err
	}
	var fields map[string]json.RawMessage
	if err := errors.Join(json.Unmarshal(text, &o), json.Unmarshal(text, &fields)); err != nil {
		return o, err
	}
	for name, value := range map[string]*int64{wire.Expiry: &o.expiry, wire.Fence: &o.fence} {
		if field, found := fields[name]; found {
			if err := json.Unmarshal(field, value); err != nil {
				return o, err
			}
		}
	}
	return o, nil
}

// ServeHTTP serves the calls of the agent.
func (e *executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	o, err := decodeOrder(r.Body)
	if err != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	e.mu.Lock()
	if e.down {
		e.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if e.mute {
		e.mu.Unlock()
		<-r.Context().Done()
		return
	}
	if want := r.Header.Get(wire.Instance); want != "" && want != e.id {
		now := time.Now()
		answer := map[string]any{"clockMs": e.clock(now)}
		e.mu.Unlock()
		reply(w, http.StatusMisdirectedRequest, answer)
		return
	}
	if r.URL.Path == "/hold" {
		e.mu.Unlock()
		e.hold(w, r, o)
		return
	}
	defer e.mu.Unlock()
	switch r.URL.Path {
	case wire.Start:
		e.start(w, o)
	case wire.Stop:
		e.stop(w, o)
	default:
		http.NotFound(w, r)
	}
}

func (e *executor) refuse(w http.ResponseWriter, now time.Time, reason string) {
	reply(w, http.StatusConflict, map[string]any{"clockMs": e.clock(now), "reason": reason})
}

func (e *executor) extend(now time.Time, expiry int64) {
	e.expiry = max(e.expiry, min(expiry, e.clock(now)+holdMax.Milliseconds()))
}

func (e *executor) start(w http.ResponseWriter, o order) {
	now := time.Now()
	e.advance(now)
	if o.fence < e.fence {
		e.refuse(w, now, "fence")
		return
	}
	e.fence = o.fence
	if e.clock(now) > o.expiry {
		e.refuse(w, now, "late")
		return
	}
	e.extend(now, o.expiry)
	key := o.Task + "#" + strconv.Itoa(o.RunID)
	if e.runs[key] != nil {
		reply(w, http.StatusOK, map[string]any{"clockMs": e.clock(now)})
		return
	}
	if o.RunID <= e.ended[o.Task] {
		e.refuse(w, now, "old")
		return
	}
	t := e.site.taskOf(o.Task)
	run := &activeRun{task: o.Task, run: o.RunID, cpu: t.cpu, startedAt: now, length: t.length, fails: t.fails}
	e.runs[key] = run
	e.site.rec.started(e, run, o.Spec)
	var sum int64
	for _, r := range e.runs {
		sum += r.cpu
	}
	if sum > e.kind.CPU {
		e.site.rec.broken("LIMIT", "executor %d runs %d of %d thousandths of a core after the start of %s", e.index, sum, e.kind.CPU, key)
	}
	reply(w, http.StatusOK, map[string]any{"clockMs": e.clock(now)})
}

func (e *executor) stop(w http.ResponseWriter, o order) {
	now := time.Now()
	e.advance(now)
	if o.fence < e.fence {
		e.refuse(w, now, "fence")
		return
	}
	e.fence = o.fence
	e.ended[o.Task] = max(e.ended[o.Task], o.RunID)
	if r := e.runs[o.Task+"#"+strconv.Itoa(o.RunID)]; r != nil && r.stopAt.IsZero() {
		r.stopAt = now.Add(stopTakes)
	}
	reply(w, http.StatusOK, map[string]any{"clockMs": e.clock(now)})
}

func (e *executor) hold(w http.ResponseWriter, r *http.Request, o order) {
	deadline := time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond)
	e.mu.Lock()
	born := e.born
	for first := true; ; first = false {
		now := time.Now()
		if e.down || e.born != born {
			e.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		e.advance(now)
		if first {
			if o.fence < e.fence {
				e.refuse(w, now, "fence")
				e.mu.Unlock()
				return
			}
			e.fence = o.fence
			if o.expiry > 0 {
				e.extend(now, o.expiry)
			}
			for len(e.ends) > 0 && e.ends[0][0].(int64) <= o.LastSeen {
				e.ends = e.ends[1:]
			}
		}
		hasEnds := len(e.ends) > 0 && e.ends[len(e.ends)-1][0].(int64) > o.LastSeen
		if o.WaitMs == 0 || hasEnds {
			break
		}
		changed := e.changed
		e.mu.Unlock()
		expired := false
		select {
		case <-changed:
		case <-deadline:
			expired = true
		case <-r.Context().Done():
			return
		}
		e.mu.Lock()
		if expired {
			break
		}
	}
	defer e.mu.Unlock()
	if e.down || e.born != born {
		panic(http.ErrAbortHandler)
	}
	now := time.Now()
	e.advance(now)
	running := [][]any{}
	for _, a := range e.runs {
		percent := min(100, int(100*now.Sub(a.startedAt)/max(a.length, 1)))
		running = append(running, []any{a.task, a.run, "", percent, float64(a.cpu)})
	}
	sort.Slice(running, func(i, j int) bool { return strings.Compare(running[i][0].(string), running[j][0].(string)) < 0 })
	finished := e.ends[:min(len(e.ends), 500)]
	if finished == nil {
		finished = [][]any{}
	}
	reply(w, http.StatusOK, map[string]any{"clockMs": e.clock(now), "born": e.born, "running": running, "finished": finished})
}
