package main

import (
	"context"
	"sync"
	"time"
)

// playPing sends each agent one ping of another writer before the traffic starts. The ping
// is like one of an executor, but names a service that the manifest doesn't have.
func playPing(ctx context.Context, dir string, rec *recorder, trouble bool) error {
	s, err := startUsual(ctx, dir, rec, 11)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return err
	}
	if trouble {
		for i, e := range s.executors {
			ok := sendPing(ctx, e.control, "w-1", map[string]any{
				"service": "backup", "address": e.app, "zone": e.zone, "version": "v1", "slots": 8, "state": "ready",
				"coldLeftMs": 0, "capacity": map[string]int64{"cpu": 4000, "memMb": 8192, "gpu": 0}, "labels": []string{"a"},
				"clockMs": 10, "sequence": 1, "born": time.Now().UnixMilli(),
			})
			rec.logf("another writer's ping to agent %d, acknowledged: %v", i, ok)
		}
	}
	before := make([]int, len(s.executors))
	for i, e := range s.executors {
		before[i] = e.acknowledged()
	}
	time.Sleep(2 * time.Second) // more than an interval of the executors' own pings
	t := &tally{answers: map[int]int{}}
	var clients sync.WaitGroup
	ticker := time.NewTicker(requestInterval)
	defer ticker.Stop()
	began := time.Now()
	for n := 0; time.Since(began) < 30*time.Second; n++ {
		<-ticker.C
		clients.Go(func() { t.add(s.submit(ctx, n%3, mixedJob(n), clientDeadline)) })
	}
	clients.Wait()
	for i, e := range s.executors {
		rec.logf("executor %d: %d of its own pings were acknowledged meanwhile", i, e.acknowledged()-before[i])
	}
	report(rec, t)
	return nil
}
