package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// step is one step of a client's job.
type step struct {
	count    int
	cpu      int64
	estimate time.Duration
	length   time.Duration // what its tasks really take
	fails    bool
	after    []int
	requires string
}

// jobSpec is a client's job.
type jobSpec struct {
	id    string
	queue string // path prefix
	spec  string
	steps []step
}

type taskInfo struct {
	cpu    int64
	length time.Duration
	fails  bool
}

func taskName(job string, step, index int) string { return fmt.Sprintf("%s.0.%d.%d", job, step, index) }

// answer is what a client got; status 0 means no answer.
type answer struct {
	status int
	state  string
	err    error
	took   time.Duration
}

func (a answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no answer (%v) after %v", a.err, a.took.Round(time.Millisecond))
	}
	return fmt.Sprintf("%d %s after %v", a.status, a.state, a.took.Round(time.Millisecond))
}

// submit sends the job on a channel of its own and waits for the answer until the deadline.
func (s *site) submit(ctx context.Context, entry int, j *jobSpec, deadline time.Duration) answer {
	steps := []map[string]any{}
	for _, st := range j.steps {
		m := map[string]any{"count": st.count, "cpu": st.cpu, "memMb": 64, wire.Estimate: st.estimate.Milliseconds()}
		if len(st.after) > 0 {
			m["after"] = st.after
		}
		if st.requires != "" {
			m["requirements"] = st.requires
		}
		steps = append(steps, m)
	}
	s.register(j)
	text, _ := json.Marshal(map[string]any{"spec": j.spec, wire.AnsweredAtEnd: true, "steps": steps})
	s.rec.logf("client: POST %s%s to entry %d", j.queue, j.id, entry)
	a := s.call(ctx, http.MethodPost, entry, j.queue+j.id, text, deadline)
	s.rec.logf("client: POST %s%s at entry %d: %v", j.queue, j.id, entry, a)
	return a
}

// cancel sends a DELETE for the job.
func (s *site) cancel(ctx context.Context, entry int, j *jobSpec) answer {
	s.rec.logf("client: DELETE %s%s to entry %d", j.queue, j.id, entry)
	a := s.call(ctx, http.MethodDelete, entry, j.queue+j.id, nil, 4*time.Second)
	s.rec.logf("client: DELETE %s%s at entry %d: %v", j.queue, j.id, entry, a)
	return a
}

func (s *site) call(ctx context.Context, method string, entry int, path string, body []byte, deadline time.Duration) answer {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	transport := &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{}).DialContext}
	defer transport.CloseIdleConnections()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+s.entries[entry].callers+path, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	res, err := transport.RoundTrip(req)
	if err != nil {
		return answer{err: err, took: time.Since(began)}
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		return answer{err: err, took: time.Since(began)}
	}
	var state struct {
		State string `json:"state"`
	}
	if json.Unmarshal(text, &state) != nil {
		state.State = strings.TrimSpace(string(text))
	}
	return answer{status: res.StatusCode, state: state.State, took: time.Since(began)}
}

// ready makes the platform's readiness check of an entry.
func (s *site) ready(entry int) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Get("http://" + s.entries[entry].readiness + "/ready")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

func isRefused(err error) bool { return strings.Contains(err.Error(), "connection refused") }
