package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is what was sent, answered and run, as clients and servers see it.
type Record struct {
	mu     sync.Mutex
	began  time.Time
	file   *os.File
	starts []start
	live   map[string]int // runs at work, by task
	twice  []string       // what broke the rule that a task runs once at a time
}

type start struct {
	at     time.Duration
	server string
	task   string
	run    int
	spec   string
	end    time.Duration // 0 while it is at work
	how    string
}

// NewRecord returns a record that is written to a file.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{began: time.Now(), file: f, live: map[string]int{}}, nil
}

// Now returns the time since the record began.
func (r *Record) Now() time.Duration { return time.Since(r.began) }

// Note writes a line.
func (r *Record) Note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.note(format, args...)
}

func (r *Record) note(format string, args ...any) {
	_, _ = fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{r.Now().Seconds()}, args...)...)
}

// Started records that a server has begun a task.
func (r *Record) Started(server, task string, run int, spec string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts = append(r.starts, start{at: r.Now(), server: server, task: task, run: run, spec: spec})
	r.live[task]++
	r.note("run    %s starts run %d of %s", server, run, task)
	if r.live[task] > 1 {
		text := fmt.Sprintf("task %s has %d runs at the same time; the newest is run %d on %s", task, r.live[task], run, server)
		r.twice = append(r.twice, text)
		r.note("BROKEN %s", text)
	}
}

// Ended records the end of a run.
func (r *Record) Ended(server, task string, run int, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.live[task]--
	for i := range r.starts {
		s := &r.starts[i]
		if s.server == server && s.task == task && s.run == run && s.end == 0 {
			s.end, s.how = r.Now(), how
		}
	}
	r.note("run    %s ends run %d of %s: %s", server, run, task, how)
}

// Starts returns the starts of the tasks of a job so far.
func (r *Record) Starts(job string) []start {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []start
	for _, s := range r.starts {
		if jobOf(s.task) == job {
			list = append(list, s)
		}
	}
	return list
}

// Twice returns the breaches of the rule that a task runs once at a time.
func (r *Record) Twice() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.twice...)
}

// Count returns the number of starts so far.
func (r *Record) Count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.starts)
}
