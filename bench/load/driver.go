package load

import (
	"context"
	"sync"
	"time"

	"foxtaildock.example/dock/pause"
)

// Driver submits the jobs of a workload concurrently.
type Driver struct {
	Caller   *Caller
	Workload Workload
	// Concurrency is the largest number of jobs in flight.
	Concurrency int
	// Interval is the shortest time between the first submissions of two jobs;
	// zero means no limit.
	Interval time.Duration
	// OnResult is called for each result as it arrives, one at a time; it may be
	// nil.
	OnResult func(Result)
}

// Run submits the jobs of the workload until all are submitted or the context ends. It
// waits for the jobs in flight and returns all results.
func (d *Driver) Run(ctx context.Context) []Result {
	d.Caller.Open()
	defer d.Caller.Close()
	var (
		mu      sync.Mutex
		results []Result
		wg      sync.WaitGroup
	)
	jobCtx := context.WithoutCancel(ctx)
	slots := make(chan struct{}, d.Concurrency)
	for i := 0; i < d.Workload.Jobs && ctx.Err() == nil; i++ {
		slots <- struct{}{}
		if d.Interval > 0 {
			pause.For(ctx, d.Interval)
		}
		wg.Go(func() {
			defer func() { <-slots }()
			result := d.Caller.Run(jobCtx, d.Workload.Job(i), i)
			mu.Lock()
			defer mu.Unlock()
			results = append(results, result)
			if d.OnResult != nil {
				d.OnResult(result)
			}
		})
	}
	wg.Wait()
	return results
}
