package usersite

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"foxtaildock.example/bench/runserver"
	"foxtaildock.example/dock/run"
	"foxtaildock.example/dock/work"
)

// Backend is a backend server on a VM. It serves the state machine of package
// runserver over HTTP.
type Backend struct {
	cfg     BackendConfig
	watcher runserver.Watcher

	mu           sync.Mutex
	server       *runserver.Server
	changed      chan struct{}
	startUnixMs  int64
	incarnations int
	sequence     int64
	started      time.Time
	silent       bool
	reportsHeld  bool
	draining     bool
	leavesAt     time.Time // when a server that leaves ends
	capacity     work.Demand
	accepted     work.Demand // capacity of the newest report that the agent has accepted
	former       work.Demand // accepted before that, if it was larger
	acceptedAt   time.Time   // when accepted became smaller
	reportNow    chan struct{}
}

// BackendConfig describes a backend server.
type BackendConfig struct {
	ID       string
	Service  string
	Zone     string
	Address  string // where it serves orders
	Reports  string // where its agent accepts reports
	Capacity work.Demand
	Every    time.Duration // interval between reports
	Plan     func(work.Run, string) runserver.Plan
}

// Time limits of the users' backend servers: the longest lease, and the time that it
// takes to stop a run.
const (
	leaseMax = time.Second
	stopTime = 50 * time.Millisecond
)

// NewBackend returns a backend server in its first incarnation.
func NewBackend(cfg BackendConfig, w runserver.Watcher) *Backend {
	b := &Backend{cfg: cfg, watcher: w, changed: make(chan struct{}), started: time.Now(), capacity: cfg.Capacity, accepted: cfg.Capacity, reportNow: make(chan struct{}, 1)}
	b.restart()
	return b
}

func (b *Backend) now() time.Duration { return time.Since(b.started) }

// restart starts a new incarnation under the same id. The caller holds the lock, or is
// the only one who knows the server.
func (b *Backend) restart() {
	b.incarnations++
	b.startUnixMs = time.Now().UnixMilli() + int64(b.incarnations)
	b.sequence = 0
	b.draining = false
	b.leavesAt = time.Time{}
	b.server = runserver.New(b.now(), runserver.Config{
		StartUnixMs: b.startUnixMs, Capacity: b.cfg.Capacity, LeaseMax: leaseMax, StopTime: stopTime,
		Plan: b.cfg.Plan,
	}, b.watcher)
	b.notifyChanged()
}

func (b *Backend) notifyChanged() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// Crash ends all runs and starts a new incarnation immediately.
func (b *Backend) Crash() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.server.Crash(b.now())
	b.restart()
}

// SetSilent makes the server stop or resume answering and reporting. Its runs go on.
func (b *Backend) SetSilent(silent bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.silent = silent
}

// HoldReports makes the server send no reports, or send them again. It answers meanwhile.
func (b *Backend) HoldReports(hold bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reportsHeld = hold
	b.requestReport()
}

// SetDraining makes the server report that it is draining, or that it is ready.
func (b *Backend) SetDraining(draining bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.draining = draining
}

// Leave makes the server report at once that it drains, with the time that is left. It ends
// after the notice, and a new incarnation starts immediately.
func (b *Backend) Leave(notice time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	leaving := b.server
	b.draining, b.leavesAt = true, time.Now().Add(notice)
	b.requestReport()
	time.AfterFunc(notice, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.server == leaving {
			b.server.Crash(b.now())
			b.restart()
		}
	})
}

// SetCapacity changes the capacity, also to less than the active runs use. The server
// reports it at once.
func (b *Backend) SetCapacity(d work.Demand) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.capacity = d
	b.requestReport()
}

func (b *Backend) requestReport() {
	select {
	case b.reportNow <- struct{}{}:
	default: // one is requested already
	}
}

// orderTime is the longest time between an order and its execution. Orders that an agent
// sent before it accepted a smaller capacity may exceed that one.
const orderTime = 100 * time.Millisecond

// checkCapacity returns an error if the runs need more than the capacity that the agent
// knows. The caller holds the lock.
func (b *Backend) checkCapacity() error {
	limits := []work.Demand{b.capacity, b.accepted}
	if time.Since(b.acceptedAt) < orderTime {
		limits = append(limits, b.former)
	}
	used := b.server.Used()
	if slices.ContainsFunc(limits, used.Fits) {
		return nil
	}
	return fmt.Errorf("its runs need %d thousandths of a core and %d MB, the agent knows a capacity of %d and %d",
		used.CPUMilli, used.MemoryMB, b.accepted.CPUMilli, b.accepted.MemoryMB)
}

// reportAccepted records the capacity of a report that the agent has accepted.
func (b *Backend) reportAccepted(d work.Demand) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.accepted.Fits(d) {
		b.former, b.acceptedAt = b.accepted, time.Now()
	}
	b.accepted = d
}

// Run advances the server's runs and sends its reports until the context ends.
func (b *Backend) Run(ctx context.Context) {
	go b.report(ctx)
	ticker := time.NewTicker(2 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			b.mu.Lock()
			b.server.Advance(b.now())
			b.notifyChanged()
			b.mu.Unlock()
		}
	}
}

// reportRetry is the pause after a report that was not accepted.
const reportRetry = 100 * time.Millisecond

func (b *Backend) report(ctx context.Context) {
	for ctx.Err() == nil {
		wait := b.cfg.Every
		if !b.reportOnce(ctx) {
			wait = reportRetry
		}
		select {
		case <-ctx.Done():
		case <-b.reportNow:
		case <-time.After(wait):
		}
	}
}

func (b *Backend) reportOnce(ctx context.Context) bool {
	report, capacity, held := b.nextReport()
	if held || b.sendReport(ctx, b.cfg.ID, report) != http.StatusOK {
		return false
	}
	b.reportAccepted(capacity)
	return true
}

// sendReport sends a report to the agent and returns the status of its answer, 0 if there was
// none.
func (b *Backend) sendReport(ctx context.Context, id string, report map[string]any) int {
	text, err := json.Marshal(report)
	if err != nil {
		return 0
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+b.cfg.Reports+"/instances/"+id, bytes.NewReader(text))
	if err != nil {
		return 0
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0 // the agent may be down
	}
	_ = res.Body.Close()
	return res.StatusCode
}

// SendOddReport sends the agent a report of another writer: that of the server with a
// change, under an ID. It returns the status of the answer, 0 if there was none.
func (b *Backend) SendOddReport(ctx context.Context, id string, change func(report map[string]any)) int {
	report, _, _ := b.nextReport()
	change(report)
	return b.sendReport(ctx, id, report)
}

func (b *Backend) nextReport() (report map[string]any, capacity work.Demand, held bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequence++
	state := "ready"
	if b.draining {
		state = "draining"
	}
	stamp := b.server.Stamp(b.now())
	report = map[string]any{
		"service": b.cfg.Service, "address": b.cfg.Address, "zone": b.cfg.Zone, "version": "v1", "slots": 8,
		"state": state, "coldLeftMs": 0, "labels": []string{"a"}, "sequence": b.sequence,
		"capacity": map[string]int64{"cpu": b.capacity.CPUMilli, "memMb": b.capacity.MemoryMB},
		"clockMs":  stamp.Clock.Milliseconds(), "born": stamp.StartUnixMs,
	}
	if !b.leavesAt.IsZero() {
		report["remainingMs"] = max(0, time.Until(b.leavesAt)).Milliseconds()
	}
	return report, b.capacity, b.silent || b.reportsHeld
}

// order is the body of an order, which is an agent's call to start, stop or hold runs.
type order struct {
	Task       string `json:"task"`
	RunID      int    `json:"runId"`
	Spec       string `json:"spec"`
	ExpiryMs   int64  `json:"expiryMs"`
	FenceToken int64  `json:"fenceToken"`
	LastSeen   int64  `json:"lastSeen"`
	WaitMs     int64  `json:"waitMs"`
}

func (o *order) run() (work.Run, error) {
	parts := strings.Split(o.Task, ".")
	if len(parts) != 4 {
		return work.Run{}, fmt.Errorf("task %q: want four parts separated by dots", o.Task)
	}
	step, errStep := strconv.Atoi(parts[2])
	index, errIndex := strconv.Atoi(parts[3])
	if errStep != nil || errIndex != nil {
		return work.Run{}, fmt.Errorf("task %q: want numbers as step and index", o.Task)
	}
	return work.Run{Task: work.Task{Job: work.JobID(parts[0]), Step: step, Index: index}, ID: work.RunID(o.RunID)}, nil
}

func taskName(t work.Task) string { return fmt.Sprintf("%s.0.%d.%d", t.Job, t.Step, t.Index) }

// ServeHTTP serves the orders of the agent.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	b.mu.Lock()
	silent := b.silent
	b.mu.Unlock()
	if silent {
		<-r.Context().Done()
		return
	}
	if want := r.Header.Get("Expect-Instance"); want != "" && want != b.cfg.ID {
		http.Error(w, "the call is for another instance", http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/run-start":
		b.serveStart(w, o)
	case "/run-stop":
		b.serveStop(w, o)
	case "/hold":
		b.serveHold(w, r, o)
	default:
		http.NotFound(w, r)
	}
}

func (b *Backend) serveStart(w http.ResponseWriter, o order) {
	id, err := o.run()
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	reply := b.server.Start(b.now(), run.CallStart{
		Run: id, Spec: o.Spec, Expiry: time.Duration(o.ExpiryMs) * time.Millisecond, Fence: o.FenceToken,
	})
	status, reason := http.StatusConflict, reply.String()
	if reply == run.Started {
		status, reason = http.StatusOK, ""
	}
	writeJSON(w, status, map[string]any{"clockMs": b.server.Stamp(b.now()).Clock.Milliseconds(), "reason": reason})
}

func (b *Backend) serveStop(w http.ResponseWriter, o order) {
	id, err := o.run()
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	status := http.StatusOK
	if !b.server.Stop(b.now(), run.CallStop{Run: id, Fence: o.FenceToken}) {
		status = http.StatusConflict
	}
	writeJSON(w, status, map[string]any{"clockMs": b.server.Stamp(b.now()).Clock.Milliseconds()})
}

func (b *Backend) serveHold(w http.ResponseWriter, r *http.Request, o order) {
	call := run.CallHold{
		Fence: o.FenceToken, LastSeen: o.LastSeen, Expiry: time.Duration(o.ExpiryMs) * time.Millisecond,
	}
	timeout := time.After(time.Duration(o.WaitMs) * time.Millisecond)
	for {
		b.mu.Lock()
		server, changed := b.server, b.changed
		_, _, ok := server.Hold(b.now(), call)
		ready := !ok || o.WaitMs == 0 || server.HasEnds(o.LastSeen)
		b.mu.Unlock()
		if ready {
			break
		}
		select {
		case <-changed:
			continue
		case <-timeout:
		case <-r.Context().Done():
			return
		}
		break
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.writeLists(w, call)
}

func (b *Backend) writeLists(w http.ResponseWriter, call run.CallHold) {
	call.Expiry = 0
	running, ended, ok := b.server.Hold(b.now(), call)
	stamp := b.server.Stamp(b.now())
	if !ok {
		writeJSON(w, http.StatusConflict, map[string]any{"clockMs": stamp.Clock.Milliseconds(), "reason": "fence"})
		return
	}
	lists := struct {
		ClockMs  int64   `json:"clockMs"`
		Born     int64   `json:"born"`
		Running  [][]any `json:"running"`
		Finished [][]any `json:"finished"`
	}{ClockMs: stamp.Clock.Milliseconds(), Born: stamp.StartUnixMs}
	for _, r := range running {
		lists.Running = append(lists.Running, []any{taskName(r.Run.Task), r.Run.ID, "", r.Percent})
	}
	for _, e := range ended {
		how := [...]string{"", "done", "failed", "stopped", "lapsed", "broken", "alone"}[e.How]
		lists.Finished = append(lists.Finished, []any{e.Number, taskName(e.Run.Task), e.Run.ID, how, ""})
	}
	writeJSON(w, http.StatusOK, lists)
}
