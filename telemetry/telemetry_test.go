package telemetry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/job"
)

func TestLinesCarryTypedFields(t *testing.T) {
	var out bytes.Buffer
	l, err := NewLogger(RoleEntry, "info", &out)
	if err != nil {
		t.Fatal(err)
	}
	l = l.With(Incarnation("e-1"), Domain("lulea"))
	key := ident.JobKey{Team: "tills", Key: "k-7"}
	l.Debug("not written", Job(key))
	l.Warn("answered", Task(ident.TaskID{Job: key, Index: 3}), Outcome(job.Refuse(job.ReasonQuota, 0, "too many")),
		Elapsed(1500*time.Microsecond), Err(errors.New("lost")))

	var line struct {
		Level, Message string
		Fields         struct {
			Role, Incarnation, Job, Team, Outcome, Reason, Detail, Error string
			FailureDomain                                                string  `json:"failure_domain"`
			ElapsedMS                                                    float64 `json:"elapsed_ms"`
			Index                                                        int
		}
	}
	if err := json.Unmarshal(out.Bytes(), &line); err != nil {
		t.Fatalf("want one JSON line: %v\n%s", err, &out)
	}
	f := line.Fields
	if line.Level != "warn" || line.Message != "answered" || f.Role != "entry" || f.Incarnation != "e-1" ||
		f.FailureDomain != "lulea" || f.Job != "tills/k-7" || f.Team != "tills" || f.Index != 3 ||
		f.Outcome != "refused" || f.Reason != "quota" || f.Detail != "too many" || f.ElapsedMS != 1.5 || f.Error != "lost" {
		t.Errorf("fields are wrong: %s", &out)
	}
}

func TestUnknownLogLevelIsAnError(t *testing.T) {
	if _, err := NewLogger(RoleAgent, "loud", &bytes.Buffer{}); err == nil {
		t.Error("an unknown log level was accepted")
	}
}

func TestLivenessIsIndependentOfReadiness(t *testing.T) {
	m, err := NewMetrics(RoleAgent, "lulea", "a-1")
	if err != nil {
		t.Fatal(err)
	}
	defer m.Shutdown(context.Background())
	var reason error
	h := NewHandler(m, func() error { return reason })
	expect(t, h, PathReady, http.StatusOK, "ready")
	reason = errors.New("no permit yet")
	expect(t, h, PathReady, http.StatusServiceUnavailable, "not ready: no permit yet")
	expect(t, h, PathLive, http.StatusOK, "live")
}

func TestMetricsAreScraped(t *testing.T) {
	m, err := NewMetrics(RoleEntry, "lulea", "e-1")
	if err != nil {
		t.Fatal(err)
	}
	defer m.Shutdown(context.Background())
	jobs, err := NewJobMetrics(m.Meter())
	if err != nil {
		t.Fatal(err)
	}
	o := job.Refuse(job.ReasonQuota, 0, "")
	jobs.Record(context.Background(), "tills", &o, 20*time.Millisecond)
	jobs.Record(context.Background(), "tills", &o, 30*time.Millisecond)
	o = job.Refuse(job.ReasonUnauthorized, 0, "")
	jobs.Record(context.Background(), "", &o, time.Millisecond)
	h := NewHandler(m, func() error { return nil })
	expect(t, h, PathMetrics, http.StatusOK, `foxtaildock_jobs_total{outcome="refused",reason="unauthorized",team=""} 1`)
	expect(t, h, PathMetrics, http.StatusOK, `foxtaildock_jobs_total{outcome="refused",reason="quota",team="tills"} 2`)
	expect(t, h, PathMetrics, http.StatusOK, `foxtaildock_job_duration_seconds_count{outcome="refused",reason="quota",team="tills"} 2`)
	expect(t, h, PathMetrics, http.StatusOK, `service_instance_id="e-1"`)
}

func expect(t *testing.T, h http.Handler, path string, status int, part string) {
	t.Helper()
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
	if w.Code != status || !strings.Contains(w.Body.String(), part) {
		t.Errorf("%s: %d, want %d with %q:\n%s", path, w.Code, status, part, w.Body)
	}
}

// stalledWriter blocks its first write until it is released, so that lines queue up.
type stalledWriter struct {
	released chan struct{}
	bytes.Buffer
}

func (w *stalledWriter) Write(p []byte) (int, error) {
	<-w.released
	return w.Buffer.Write(p)
}

// The last lines of a process tell why it ended, so Close writes all that are queued.
func TestCloseWritesAllQueuedLines(t *testing.T) {
	w := &stalledWriter{released: make(chan struct{})}
	b := NewBoundedWriter(w)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	const lines = 4 * maxChunk / 1024
	for range lines {
		_, _ = b.Write(line)
	}
	close(w.released)
	b.Close()
	if got := strings.Count(w.String(), "\n"); got != lines {
		t.Errorf("%d of %d lines were written", got, lines)
	}
}
