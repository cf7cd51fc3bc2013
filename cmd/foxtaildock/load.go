package main

import (
	"context"
	cryptorand "crypto/rand"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"foxtaildock.example/dock/api"
	"foxtaildock.example/dock/job"
)

// loadCommand submits many jobs and reports their outcomes.
type loadCommand struct {
	Service  string        `arg:"--service,required" help:"the service that runs the tasks"`
	Jobs     int           `arg:"--jobs" default:"100" help:"number of jobs"`
	Tasks    taskRange     `arg:"--tasks" default:"1-10" help:"number of tasks in one job, or a range, such as 5 or 1-100"`
	Parallel int           `arg:"--parallel" default:"8" help:"largest number of jobs in flight"`
	Deadline time.Duration `arg:"--deadline" default:"30s" help:"deadline of each job"`
	Payload  string        `arg:"--payload" default:"{\"run_ms\":50}" help:"payload of each task"`
	Seed     uint64        `arg:"--seed" default:"1" help:"random seed for the numbers of tasks"`
}

func (*loadCommand) examples() string {
	return `
  200 jobs of 1 to 100 tasks, 20 at a time:
    foxtaildock load --service serials --jobs 200 \
      --tasks 1-100 --parallel 20
  The exit code is the highest of all jobs.`
}

// taskRange is the range of the number of tasks in one job, both ends included.
type taskRange struct{ least, largest int }

// UnmarshalText reads "5" or "1-100".
func (r *taskRange) UnmarshalText(text []byte) error {
	if n, err := fmt.Sscanf(string(text), "%d-%d", &r.least, &r.largest); n == 1 && err != nil {
		r.largest = r.least
	}
	if r.least < 1 || r.largest < r.least || r.largest > job.MaxTasks {
		return fmt.Errorf("%q is not a number of tasks; write 5 or 1-100, at most %d", text, job.MaxTasks)
	}
	return nil
}

func (l *loadCommand) run(ctx context.Context, o *shared, c *console) (exitCode, error) {
	client, err := o.client(c)
	if err != nil {
		return 0, err
	}
	if l.Jobs < 1 || l.Parallel < 1 {
		return 0, &usageError{"--jobs and --parallel are at least 1"}
	}
	summary := newLoadSummary()
	progress := c.progress("jobs", l.Jobs)
	began := time.Now()
	l.submitAll(l.requests(o.Team), func(r *api.JobRequest) {
		sent := time.Now()
		answer, err := client.Submit(ctx, *r)
		summary.add(r, answer, err, time.Since(sent))
		progress.Done(err == nil && answer.Outcome == api.OutcomeComplete)
	})
	progress.End()
	summary.Elapsed = time.Since(began)
	return summary.show(c)
}

// requests builds all jobs. The numbers of tasks are drawn from the seed; the
// keys are new in each run of the command.
func (l *loadCommand) requests(team string) []*api.JobRequest {
	rng := rand.New(rand.NewPCG(l.Seed, 0))
	prefix := strings.ToLower(cryptorand.Text()[:randomKeyLength])
	all := make([]*api.JobRequest, l.Jobs)
	for i := range all {
		r := &api.JobRequest{
			Team:         team,
			Key:          fmt.Sprintf("load-%s-%d", prefix, i),
			Service:      l.Service,
			DeadlineMS:   l.Deadline.Milliseconds(),
			FirstAttempt: true,
		}
		n := l.Tasks.least + rng.IntN(l.Tasks.largest-l.Tasks.least+1)
		for index := range n {
			r.Tasks = append(r.Tasks, api.TaskRequest{Index: index, Payload: []byte(l.Payload)})
		}
		all[i] = r
	}
	return all
}

// submitAll submits all jobs, at most l.Parallel at a time.
func (l *loadCommand) submitAll(all []*api.JobRequest, submit func(*api.JobRequest)) {
	queue := make(chan *api.JobRequest)
	var workers sync.WaitGroup
	for range min(l.Parallel, len(all)) {
		workers.Go(func() {
			for r := range queue {
				submit(r)
			}
		})
	}
	for _, r := range all {
		queue <- r
	}
	close(queue)
	workers.Wait()
}
