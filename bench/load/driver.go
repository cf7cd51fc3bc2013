package load

import (
	"context"
	"sync"
	"time"

	"foxtaildock.example/dock/pause"
)

// Driver runs a workload with a number of callers side by side.
type Driver struct {
	Caller   *Caller
	Workload Workload
	// Concurrency is the number of jobs under way at a time.
	Concurrency int
	// Interval is the least time between two first sendings; zero means none.
	Interval time.Duration
	// OnResult is called for each result as it comes; it may be nil.
	OnResult func(Result)
}

// Run submits all jobs of the workload, or those that start before the context
// ends, and returns their results. Jobs under way are waited for.
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
