package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// job is a job of a client.
type job struct {
	id    string
	tasks []int // number of tasks of each step; each step waits for the one before
	work  time.Duration
	limit time.Duration // how long the client waits
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

func (j *job) body() string {
	var steps []any
	for i, n := range j.tasks {
		step := map[string]any{"count": n, "cpu": 6200, "memMb": 64, names["estimate"]: j.work.Milliseconds()}
		if i > 0 {
			step["after"] = []int{i - 1}
		}
		steps = append(steps, step)
	}
	text, _ := json.Marshal(map[string]any{"spec": fmt.Sprintf("work %d", j.work.Milliseconds()), "steps": steps, names["lossy"]: true})
	return string(text)
}

// answer is what a client got.
type answer struct {
	at     time.Duration
	status int // 0 for none
	body   string
	err    error
}

// call sends one request on a connection of its own.
func (s *site) call(ctx context.Context, method string, entry *process, id, body string, limit time.Duration) answer {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+s.at(entry.ip, "callers")+prefix+id, strings.NewReader(body))
	if err != nil {
		return answer{at: now(), err: err}
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	s.rec.add("client: %s of %s to %s", method, id, entry.name)
	res, err := freshClient().Do(req)
	a := answer{at: now(), err: err}
	if err == nil {
		text, readErr := io.ReadAll(res.Body)
		_ = res.Body.Close()
		a.at, a.status, a.body, a.err = now(), res.StatusCode, strings.TrimSpace(string(text)), readErr
	}
	s.rec.addAt(a.at, "client: %s of %s at %s answered: status %d %s%s", method, id, entry.name, a.status, a.body, errText(a.err))
	return a
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return " error: " + err.Error()
}

// submit hands a job in and waits for the answer.
func (s *site) submit(entry *process, j *job) chan answer {
	done := make(chan answer, 1)
	go func() { done <- s.call(context.Background(), http.MethodPost, entry, j.id, j.body(), j.limit) }()
	return done
}

func (s *site) cancel(entry *process, id string) answer {
	return s.call(context.Background(), http.MethodDelete, entry, id, "", 4*time.Second)
}
