package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// restartPause is how long an executor is down when it crashes and is started again.
const restartPause = 20 * time.Millisecond

// restartInterval is the time between two restarts.
const restartInterval = 500 * time.Millisecond

// playRestart lets one executor after the other crash and start again under its id, as one
// of the other kind. The tasks of all jobs require a kind.
func playRestart(ctx context.Context, dir string, rec *recorder, trouble bool) error {
	kinds := make([]kind, 11)
	for i := range kinds {
		kinds[i] = smallKind
		kinds[i].Labels = labelsOf(i%2 == 0)
	}
	s, err := newSite(dir, rec, 3, kinds)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return err
	}
	time.Sleep(10 * time.Second)
	t := &tally{answers: map[int]int{}}
	load, end := context.WithTimeout(ctx, 60*time.Second)
	defer end()
	var all sync.WaitGroup
	all.Go(func() {
		ticker := time.NewTicker(requestInterval / 3)
		defer ticker.Stop()
		for n := 0; load.Err() == nil; n++ {
			<-ticker.C
			j := mixedJob(n)
			j.steps[0].requires = labelsOf(n%2 == 0)[0]
			all.Go(func() { t.add(s.submit(ctx, n%3, j, clientDeadline)) })
		}
	})
	for n := 0; trouble && load.Err() == nil; n++ {
		time.Sleep(restartInterval)
		e := s.executors[n%len(s.executors)]
		k := e.kind
		k.Labels = labelsOf(k.Labels[0] != "a")
		e.crash()
		time.Sleep(restartPause)
		e.restart(e.id, k, 0)
	}
	all.Wait()
	fmt.Println(t.sent, "requests,", t.served, "served", t.answers)
	return nil
}

// labelsOf returns the labels of an executor of kind a or b.
func labelsOf(a bool) []string {
	if a {
		return []string{"a", "r1-1"}
	}
	return []string{"b", "r1-1"}
}
