package main

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

// start is one start of a task on an executor.
type start struct {
	at    time.Time
	task  string
	run   int
	on    int // executor
	ended time.Time
	how   string
}

// recorder writes record.txt and keeps what the checks need.
type recorder struct {
	mu       sync.Mutex
	file     *os.File
	began    time.Time
	starts   []*start
	live     map[string]*start // by executor, task and run
	done     map[string]bool   // tasks that have ended done
	breaches []string
	// evacuated holds since when each zone is evacuated, by the store's confirmation.
	evacuated map[string]time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: f, began: time.Now(), live: map[string]*start{}, done: map[string]bool{}, evacuated: map[string]time.Time{}}, nil
}

func (r *recorder) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(format, args...)
}

func (r *recorder) line(format string, args ...any) {
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// broken records that a rule was broken.
func (r *recorder) broken(rule, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.breach(rule, format, args...)
}

func (r *recorder) breach(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	r.breaches = append(r.breaches, text)
	r.line("RULE BROKEN %s", text)
}

func (r *recorder) started(e *executor, a *activeRun, spec string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := &start{at: time.Now(), task: a.task, run: a.run, on: e.index}
	r.line("executor %d starts %s run %d", e.index, a.task, a.run)
	for _, o := range r.live {
		if o.task == a.task {
			r.breach("TWICE", "%s run %d on executor %d starts beside run %d on executor %d", a.task, a.run, e.index, o.run, o.on)
		}
	}
	r.starts = append(r.starts, s)
	r.live[key(e, a)] = s
	r.checkStart(e, a, spec)
}

// checkStart checks the rules that a start can break by itself. The caller holds the lock.
func (r *recorder) checkStart(e *executor, a *activeRun, spec string) {
	j, step := e.site.jobOf(a.task)
	if j == nil {
		r.breach("UNASKED", "executor %d starts %s, which no client sent", e.index, a.task)
		return
	}
	if spec != j.spec {
		r.breach("UNASKED", "executor %d starts %s with another spec", e.index, a.task)
	}
	st := j.steps[step]
	if st.requires != "" && !slices.Contains(e.kind.Labels, st.requires) {
		r.breach("ROUTE", "executor %d with labels %v starts %s, which requires %s", e.index, e.kind.Labels, a.task, st.requires)
	}
	if since, out := r.evacuated[e.zone]; out && time.Since(since) > evacuateMs {
		r.breach("EVAC", "%s starts on executor %d, %v after the evacuation of %s", a.task, e.index, time.Since(since).Round(time.Millisecond), e.zone)
	}
	if !e.drainAck.IsZero() && time.Since(e.drainAck) > drainMs {
		r.breach("DRAIN", "%s starts on executor %d, %v after its draining was acknowledged", a.task, e.index, time.Since(e.drainAck).Round(time.Millisecond))
	}
	for _, before := range st.after {
		for i := range j.steps[before].count {
			if t := taskName(j.id, before, i); !r.done[t] {
				r.breach("ORDER", "%s starts before %s has ended done", a.task, t)
			}
		}
	}
}

func (r *recorder) ended(e *executor, a *activeRun, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := key(e, a)
	if s := r.live[k]; s != nil {
		s.ended, s.how = time.Now(), how
		delete(r.live, k)
	}
	if how == "done" {
		r.done[a.task] = true
	}
	r.line("executor %d: %s run %d ends %s", e.index, a.task, a.run, how)
}

func key(e *executor, a *activeRun) string { return fmt.Sprintf("%d/%s/%d", e.index, a.task, a.run) }

// startsAfter returns the starts of a job's tasks after a time.
func (r *recorder) startsAfter(job string, t time.Time) (list []*start) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.starts {
		if strings.HasPrefix(s.task, job+".") && s.at.After(t) {
			list = append(list, s)
		}
	}
	return list
}

// running returns the runs of a job's tasks that are at work.
func (r *recorder) running(job string) (list []*start) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.live {
		if strings.HasPrefix(s.task, job+".") {
			list = append(list, s)
		}
	}
	return list
}

// Bounds of the rules EVAC and DRAIN.
const (
	evacuateMs = 5 * time.Second
	drainMs    = 2 * time.Second
)

// evacuate evacuates a zone, or takes it back.
func (s *site) evacuate(zone string, out bool) {
	if out {
		s.store.put("op", wire.Evacuation+zone, map[string]any{})
	} else {
		s.store.put("op", wire.Evacuation+zone, nil)
	}
	s.rec.mu.Lock()
	defer s.rec.mu.Unlock()
	s.rec.line("zone %s evacuated: %v", zone, out)
	if out {
		s.rec.evacuated[zone] = time.Now()
	} else {
		delete(s.rec.evacuated, zone)
	}
}
