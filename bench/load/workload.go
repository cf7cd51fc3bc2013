package load

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"foxtaildock.example/bench/backend"
	"foxtaildock.example/dock/api"
)

// Workload describes generated jobs. Equal fields give equal jobs.
type Workload struct {
	Seed uint64
	// Prefix is the first part of each job key. It keeps the keys of several runs
	// against one system apart.
	Prefix  string
	Team    string
	Service string
	// Jobs is the number of jobs.
	Jobs int
	// MinTasks and MaxTasks bound the number of tasks of one job.
	MinTasks int
	MaxTasks int
	// MinRun and MaxRun bound the run time of one task.
	MinRun time.Duration
	MaxRun time.Duration
	// HeavyTail draws run times from a Pareto distribution between the bounds
	// instead of a uniform one.
	HeavyTail bool
	// Deadline is the time that each job allows for its answer.
	Deadline time.Duration
}

const (
	// paretoShape is the shape parameter of the heavy tail. Without an upper bound
	// the mean would be three times the shortest run time.
	paretoShape = 1.5
	// keyStream is the multiplier that gives each job its own random stream.
	keyStream = 0x9e3779b97f4a7c15
)

// Task is one task of a generated job. Its answer must return Echo.
type Task struct {
	Run  time.Duration
	Echo string
}

// Job is one generated job.
type Job struct {
	Team     string
	Key      string
	Service  string
	Deadline time.Duration
	Tasks    []Task
}

// Job returns the i-th job of the workload.
func (w Workload) Job(i int) Job {
	rng := rand.New(rand.NewPCG(w.Seed, uint64(i)*keyStream+1))
	job := Job{
		Team:     w.Team,
		Key:      fmt.Sprintf("%s-%d-%05d", w.Prefix, w.Seed, i),
		Service:  w.Service,
		Deadline: w.Deadline,
	}
	count := w.MinTasks + rng.IntN(w.MaxTasks-w.MinTasks+1)
	for range count {
		job.Tasks = append(job.Tasks, Task{
			Run:  w.runTime(rng),
			Echo: fmt.Sprintf("%016x", rng.Uint64()),
		})
	}
	return job
}

func (w Workload) runTime(rng *rand.Rand) time.Duration {
	if w.MaxRun <= w.MinRun {
		return w.MinRun
	}
	if w.HeavyTail {
		run := float64(w.MinRun) / math.Pow(1-rng.Float64(), 1/paretoShape)
		return min(time.Duration(run), w.MaxRun)
	}
	return w.MinRun + time.Duration(rng.Int64N(int64(w.MaxRun-w.MinRun)))
}

// Ideal returns a lower bound of the response time of the job on an otherwise idle
// system with this number of slots: the longest task, or the sum of the run times
// divided by the slots.
func (j Job) Ideal(slots int) time.Duration {
	var longest, sum time.Duration
	for _, t := range j.Tasks {
		longest = max(longest, t.Run)
		sum += t.Run
	}
	return max(longest, sum/time.Duration(max(slots, 1)))
}

// Request returns the submission of the job without deadline and attempt fields.
func (j Job) Request() (api.JobRequest, error) {
	req := api.JobRequest{Team: j.Team, Key: j.Key, Service: j.Service}
	for i, t := range j.Tasks {
		payload, err := json.Marshal(backend.Payload{
			RunMS: float64(t.Run) / float64(time.Millisecond),
			Echo:  t.Echo,
		})
		if err != nil {
			return req, err
		}
		req.Tasks = append(req.Tasks, api.TaskRequest{
			Index:         i,
			Payload:       payload,
			DeclaredRunMS: max(t.Run.Milliseconds(), 1),
		})
	}
	return req, nil
}

// CheckAnswer returns an error unless the results are the complete answer to this
// job: each index once, with the echo of its task.
func (j Job) CheckAnswer(results []api.TaskResult) error {
	if len(results) != len(j.Tasks) {
		return fmt.Errorf("the answer has %d results for %d tasks", len(results), len(j.Tasks))
	}
	seen := make([]bool, len(j.Tasks))
	for _, r := range results {
		if r.Index < 0 || r.Index >= len(j.Tasks) || seen[r.Index] {
			return fmt.Errorf("index %d is out of range or repeated", r.Index)
		}
		seen[r.Index] = true
		if err := j.checkResult(r); err != nil {
			return err
		}
	}
	return nil
}

func (j Job) checkResult(r api.TaskResult) error {
	var got backend.Answer
	if err := json.Unmarshal(r.Body, &got); err != nil {
		return fmt.Errorf("result %d: %w", r.Index, err)
	}
	want := backend.Answer{
		Team:   j.Team,
		Job:    j.Key,
		Index:  r.Index,
		Echo:   j.Tasks[r.Index].Echo,
		Server: got.Server,
	}
	if got != want {
		return fmt.Errorf("result %d is the answer to task %s/%s#%d with echo %q", r.Index, got.Team, got.Job, got.Index, got.Echo)
	}
	return nil
}
