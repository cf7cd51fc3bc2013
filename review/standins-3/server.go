package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

// Server is the stand-in of one backend server: a life of an executor with its runs, leases and
// lists.
type Server struct {
	id, address, reports, zone string
	cpu, mem                   int64
	born                       int64
	origin                     time.Time
	log                        *Record
	work                       func(spec string) time.Duration // how long a task of a job takes

	mu       sync.Mutex
	runs     map[string]*activeRun // by task and run
	highest  map[string]int        // highest run that was stopped or has ended, by task
	ends     []endedRun
	lastEnd  int64
	fence    int64
	expiry   time.Duration // of the lease, on the server's clock
	changed  chan struct{}
	sequence int64
	draining bool
}

type activeRun struct {
	task, spec string
	run        int
	began      time.Duration
	length     time.Duration
	stopAt     time.Duration // 0 if it isn't being stopped
}

type endedRun struct {
	n    int64
	task string
	run  int
	how  string
}

const (
	holdMax  = time.Second
	stopTime = 50 * time.Millisecond
)

// NewServer returns a server that runs nothing yet.
func NewServer(id, address, reports, zone string, cpu int64, log *Record, work func(string) time.Duration) *Server {
	return &Server{
		id: id, address: address, reports: reports, zone: zone, cpu: cpu, mem: 65536, born: time.Now().UnixMilli(), origin: time.Now(),
		log: log, work: work, runs: map[string]*activeRun{}, highest: map[string]int{}, changed: make(chan struct{}),
	}
}

func (s *Server) clock() time.Duration { return time.Since(s.origin) }

// Run advances the runs and reports the server until the context ends.
func (s *Server) Run(ctx context.Context) {
	go s.reportAlways(ctx)
	for ctx.Err() == nil {
		time.Sleep(time.Millisecond)
		s.mu.Lock()
		s.advance()
		s.mu.Unlock()
	}
}

// advance ends the runs that are over.
func (s *Server) advance() {
	now := s.clock()
	var due []*activeRun
	for _, r := range s.runs {
		if r.over(now, s.expiry) != "" {
			due = append(due, r)
		}
	}
	sort.Slice(due, func(a, b int) bool { return due[a].key() < due[b].key() })
	for _, r := range due {
		how := r.over(now, s.expiry)
		delete(s.runs, r.key())
		s.highest[r.task] = max(s.highest[r.task], r.run)
		s.lastEnd++
		s.ends = append(s.ends, endedRun{s.lastEnd, r.task, r.run, how})
		s.log.Ended(s.id, r.task, r.run, how)
	}
	if len(due) > 0 {
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

// over returns how the run has ended by now, "" if it goes on.
func (r *activeRun) over(now, expiry time.Duration) string {
	switch {
	case now >= r.began+r.length:
		return "done"
	case r.stopAt > 0 && now >= r.stopAt:
		return "stopped"
	case now > expiry:
		return "lapsed"
	}
	return ""
}

func (s *Server) reportAlways(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		wait := 1500 * time.Millisecond
		if !s.report(ctx, client) {
			wait = 200 * time.Millisecond
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

func (s *Server) report(ctx context.Context, client *http.Client) bool {
	s.mu.Lock()
	s.sequence++
	state := "ready"
	if s.draining {
		state = "draining"
	}
	body, err := json.Marshal(map[string]any{
		"service": "books", "address": s.address, "zone": s.zone, "version": "v1", "slots": 8, "state": state, "coldLeftMs": 0,
		"capacity": map[string]int64{"cpu": s.cpu, "memMb": s.mem, "gpu": 0}, "labels": []string{"a", "r1-1"},
		"clockMs": s.clock().Milliseconds(), "sequence": s.sequence, "born": s.born,
	})
	s.mu.Unlock()
	if err != nil {
		panic(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+s.reports+"/instances/"+s.id, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := client.Do(req)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode/100 == 2
}

// ServeHTTP serves the orders of the agent.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		answer(w, http.StatusOK, map[string]any{})
		return
	}
	if want := r.Header.Get(names["expectInstance"]); want != "" && want != s.id {
		http.Error(w, "another instance", http.StatusMisdirectedRequest)
		return
	}
	var body map[string]any
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	number := func(name string) int64 { n, _ := body[name].(float64); return int64(n) }
	s.mu.Lock()
	s.advance()
	if fence := number(names["fence"]); fence < s.fence {
		s.refuse(w, "fence")
		s.mu.Unlock()
		return
	} else if fence > s.fence {
		s.fence = fence
	}
	task, _ := body["task"].(string)
	run := int(number("runId"))
	expiry := time.Duration(number(names["expiry"])) * time.Millisecond
	switch r.URL.Path {
	case names["runStart"]:
		spec, _ := body["spec"].(string)
		s.start(w, task, spec, run, expiry)
	case names["runStop"]:
		s.highest[task] = max(s.highest[task], run)
		if a := s.runs[runKey(task, run)]; a != nil && a.stopAt == 0 {
			a.stopAt = s.clock() + stopTime/2
		}
		s.reply(w, http.StatusOK, nil)
	case names["hold"]:
		s.hold(w, r, number("lastSeen"), time.Duration(number("waitMs"))*time.Millisecond, expiry) // unlocks meanwhile
	default:
		http.NotFound(w, r)
	}
	s.mu.Unlock()
}

func (s *Server) extend(expiry time.Duration) {
	s.expiry = max(s.expiry, min(expiry, s.clock()+holdMax))
}

func (s *Server) start(w http.ResponseWriter, task, spec string, run int, expiry time.Duration) {
	switch {
	case expiry <= s.clock():
		s.refuse(w, "late")
		return
	case s.runs[runKey(task, run)] != nil:
		s.extend(expiry)
		s.reply(w, http.StatusOK, nil)
		return
	case run <= s.highest[task]:
		s.extend(expiry)
		s.refuse(w, "old")
		return
	}
	s.extend(expiry)
	s.runs[runKey(task, run)] = &activeRun{task: task, spec: spec, run: run, began: s.clock(), length: s.work(spec)}
	s.log.Started(s.id, task, run, spec)
	s.reply(w, http.StatusOK, nil)
}

func (s *Server) hold(w http.ResponseWriter, r *http.Request, lastSeen int64, wait, expiry time.Duration) {
	if expiry > 0 {
		s.extend(expiry)
	}
	var kept []endedRun
	for _, e := range s.ends {
		if e.n > lastSeen {
			kept = append(kept, e)
		}
	}
	s.ends = kept
	over := time.After(wait)
	for len(s.ends) == 0 && wait > 0 {
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-over:
			wait = 0
		case <-r.Context().Done():
			wait = 0
		}
		s.mu.Lock()
		s.advance()
	}
	running, finished := [][]any{}, [][]any{}
	for _, a := range s.runs {
		percent := min(100, 100*(s.clock()-a.began)/a.length)
		running = append(running, []any{a.task, a.run, "", int(percent), 0})
	}
	for _, e := range s.ends {
		finished = append(finished, []any{e.n, e.task, e.run, e.how, ""})
	}
	s.reply(w, http.StatusOK, map[string]any{"running": running, "finished": finished})
}

func (s *Server) reply(w http.ResponseWriter, status int, more map[string]any) {
	body := map[string]any{"clockMs": s.clock().Milliseconds(), "born": s.born}
	for k, v := range more {
		body[k] = v
	}
	answer(w, status, body)
}

func (s *Server) refuse(w http.ResponseWriter, reason string) {
	s.reply(w, http.StatusConflict, map[string]any{"reason": reason})
}

func runKey(task string, run int) string { return fmt.Sprintf("%s#%d", task, run) }

func (r *activeRun) key() string { return runKey(r.task, r.run) }

// jobOf returns the ID of the job of a task.
func jobOf(task string) string { return strings.SplitN(task, ".", 2)[0] }
