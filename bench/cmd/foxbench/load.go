package main

import (
	"context"
	"fmt"
	"time"

	"foxtaildock.example/bench/load"
)

type loadCommand struct {
	Entries     []string      `arg:"--entries,required" help:"callers' addresses of the entries"`
	Team        string        `arg:"--team" default:"norrbrand" help:"team that submits"`
	Token       string        `arg:"--token,env:FOXTAILDOCK_TOKEN" help:"token of the team"`
	Service     string        `arg:"--service" default:"serial" help:"service that the tasks need"`
	Jobs        int           `arg:"--jobs" default:"200" help:"number of jobs"`
	MinTasks    int           `arg:"--min-tasks" default:"1" help:"fewest tasks of a job"`
	MaxTasks    int           `arg:"--max-tasks" default:"100" help:"most tasks of a job"`
	MinRun      time.Duration `arg:"--min-run" default:"50ms" help:"shortest run time of a task"`
	MaxRun      time.Duration `arg:"--max-run" default:"1s" help:"longest run time of a task"`
	HeavyTail   bool          `arg:"--heavy-tail" help:"draw run times from a heavy-tailed distribution"`
	Deadline    time.Duration `arg:"--deadline" default:"30s" help:"time that each job allows for its answer"`
	Concurrency int           `arg:"--concurrency" default:"16" help:"largest number of jobs in flight"`
	Interval    time.Duration `arg:"--interval" help:"shortest time between the submissions of two jobs"`
	Patience    time.Duration `arg:"--patience" default:"10s" help:"how long to wait for one answer before resubmitting"`
	Slots       int           `arg:"--slots" default:"24" help:"slots in the system, for the ratio to the ideal response time"`
	Seed        uint64        `arg:"--seed" default:"1" help:"seed of the workload"`
}

func (c *loadCommand) run(ctx context.Context) error {
	driver := load.Driver{
		Caller: &load.Caller{
			Entries:        c.Entries,
			Token:          c.Token,
			AttemptTimeout: c.Patience,
			GiveUpAfter:    c.Patience,
		},
		Workload: load.Workload{
			Seed:      c.Seed,
			Prefix:    fmt.Sprintf("load-%d", time.Now().UnixMilli()),
			Team:      c.Team,
			Service:   c.Service,
			Jobs:      c.Jobs,
			MinTasks:  c.MinTasks,
			MaxTasks:  c.MaxTasks,
			MinRun:    c.MinRun,
			MaxRun:    c.MaxRun,
			HeavyTail: c.HeavyTail,
			Deadline:  c.Deadline,
		},
		Concurrency: c.Concurrency,
		Interval:    c.Interval,
	}
	results := driver.Run(ctx)
	fmt.Print(load.Summarize(results, c.Slots).Text())
	for _, r := range results {
		if r.Defect != "" || r.Outcome == load.Unanswered {
			return errViolated
		}
	}
	return nil
}
