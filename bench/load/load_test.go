package load

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"reflect"
	"sync"
	"testing"
	"time"

	"foxtaildock.example/bench/backend"
	"foxtaildock.example/dock/api"
)

func testWorkload() Workload {
	return Workload{
		Seed: 7, Prefix: "t", Team: "north", Service: "serial", Jobs: 20,
		MinTasks: 1, MaxTasks: 9, MinRun: time.Millisecond, MaxRun: time.Second,
		HeavyTail: true, Deadline: 10 * time.Second,
	}
}

func TestSameSeedSameJobs(t *testing.T) {
	w := testWorkload()
	if !reflect.DeepEqual(w.Job(3), w.Job(3)) || reflect.DeepEqual(w.Job(3).Tasks, w.Job(4).Tasks) {
		t.Fatal("jobs must depend only on the seed and the index, and differ from each other")
	}
}

func answerFor(job Job) []api.TaskResult {
	var out []api.TaskResult
	for i, task := range job.Tasks {
		body, _ := json.Marshal(backend.Answer{Team: job.Team, Job: job.Key, Index: i, Echo: task.Echo, Server: "b"})
		out = append(out, api.TaskResult{Index: i, Body: body})
	}
	return out
}

func TestCheckAnswerFindsEveryDefect(t *testing.T) {
	w := testWorkload()
	w.MinTasks = 3
	job := w.Job(1)
	if err := job.CheckAnswer(answerFor(job)); err != nil {
		t.Fatal(err)
	}
	partial := answerFor(job)[1:]
	repeated := answerFor(job)
	repeated[0] = repeated[1]
	swapped := answerFor(job)
	swapped[0].Body, swapped[1].Body = swapped[1].Body, swapped[0].Body
	for name, results := range map[string][]api.TaskResult{"partial": partial, "repeated": repeated, "swapped": swapped} {
		if job.CheckAnswer(results) == nil {
			t.Errorf("no error for a %s answer", name)
		}
	}
}

// flakyEntry drops the connection of the first submission of each key and answers the
// resubmission.
type flakyEntry struct {
	mu   sync.Mutex
	seen map[string]api.JobRequest
	jobs map[string]Job
	t    *testing.T
}

func (e *flakyEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var req api.JobRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		e.t.Error(err)
	}
	e.mu.Lock()
	first, resubmitted := e.seen[req.Key]
	e.seen[req.Key] = req
	e.mu.Unlock()
	if !resubmitted {
		panic(http.ErrAbortHandler)
	}
	if req.FirstAttempt || !first.FirstAttempt || !first.FirstAttemptAt.Equal(req.FirstAttemptAt) {
		e.t.Errorf("resubmission of %s: first_attempt was %v, then %v, want true, then false, with the same first_attempt_at", req.Key, first.FirstAttempt, req.FirstAttempt)
	}
	_ = json.NewEncoder(w).Encode(api.JobAnswer{
		Team: req.Team, Key: req.Key, Outcome: api.OutcomeComplete, Results: answerFor(e.jobs[req.Key]),
	})
}

func TestCallerResubmitsUnderTheSameKey(t *testing.T) {
	w := testWorkload()
	entry := &flakyEntry{seen: map[string]api.JobRequest{}, jobs: map[string]Job{}, t: t}
	for i := range w.Jobs {
		entry.jobs[w.Job(i).Key] = w.Job(i)
	}
	web := httptest.NewServer(entry)
	defer web.Close()
	driver := Driver{
		Caller:      &Caller{Entries: []string{web.Listener.Addr().String()}, AttemptTimeout: 5 * time.Second, GiveUpAfter: time.Second},
		Workload:    w,
		Concurrency: 4,
	}
	results := driver.Run(context.Background())
	var starts []backend.Start
	for _, r := range results {
		if r.Outcome != Complete || r.Defect != "" || r.Attempts != 2 {
			t.Fatalf("result = %+v, want complete after 2 attempts", r)
		}
		for i := range r.Job.Tasks {
			starts = append(starts, backend.Start{TaskID: backend.TaskID{Team: r.Job.Team, Job: r.Job.Key, Index: i}})
		}
	}
	if len(results) != w.Jobs {
		t.Fatalf("%d results, want one for each job", len(results))
	}
	if v := Verify(results, starts); len(v) != 0 {
		t.Fatalf("violations: %v, want none", v)
	}
	if s := Summarize(results, 8); s.Counts[Complete] != w.Jobs || s.Ratio(50) <= 0 {
		t.Fatalf("summary: %s", s.Text())
	}
}

func TestVerifyFindsEachViolation(t *testing.T) {
	job := Job{Team: "north", Key: "k", Tasks: []Task{{}, {}}}
	start := func(index int, at int64) backend.Start {
		return backend.Start{TaskID: backend.TaskID{Team: "north", Job: "k", Index: index}, AtUnixMS: at}
	}
	cases := []struct {
		name      string
		result    Result
		starts    []backend.Start
		guarantee string
	}{
		{"double", Result{Job: job, Outcome: Failed}, []backend.Start{start(0, 1), start(0, 2)}, GuaranteeOnce},
		{"refused but started", Result{Job: job, Outcome: Refused}, []backend.Start{start(0, 1)}, GuaranteeRefused},
		{"refused after start", Result{Job: job, Outcome: Failed, Refusals: []time.Time{time.UnixMilli(5)}}, []backend.Start{start(0, 1)}, GuaranteeRefused},
		{"complete in part", Result{Job: job, Outcome: Complete}, []backend.Start{start(0, 1)}, GuaranteeComplete},
		{"unanswered", Result{Job: job, Outcome: Unanswered}, nil, GuaranteeAnswered},
	}
	for _, tc := range cases {
		v := Verify([]Result{tc.result}, tc.starts)
		if len(v) != 1 || v[0].Guarantee != tc.guarantee {
			t.Errorf("%s: violations are %v, want just the one of the case", tc.name, v)
		}
	}
}
