package main

import (
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["sources"] = unaskedSources }

// unaskedSources: jobs are cancelled and the cancels acknowledged; then four of six entries are killed
// at once and come back. Each request arrives once more, seconds after its answer, at one of them.
func unaskedSources(log *Record, trouble bool) (verdict, error) {
	const jobs, killed = 12, 4
	s, err := StartSite(SiteConfig{Entries: 6, Servers: 4, CPU: 16000, Work: milliseconds}, log)
	if err != nil {
		return unable, err
	}
	defer s.Close()
	list := make([]Job, jobs)
	replies := make([]Reply, jobs)
	var clients sync.WaitGroup
	for n := range list {
		list[n] = Job{ID: fmt.Sprintf("00000000000bb%03x", n), Prefix: "/audit/", Spec: "audit 1200", Steps: []map[string]any{Tasks(1, 1600, 1200*time.Millisecond)}, Wait: 1500 * time.Millisecond}
		clients.Go(func() {
			replies[n] = NewClient(log, fmt.Sprintf("client by edge-%d", n%killed), s.Front(n%killed)).Submit(list[n])
		})
	}
	for n := 0; log.Count() < jobs; n++ {
		if n > 100 {
			return unable, errors.New("the jobs don't start")
		}
		time.Sleep(5 * time.Millisecond)
	}
	acked := make([]time.Duration, jobs)
	for n, job := range list {
		r := NewClient(log, "client by edge-5", s.Front(5)).Cancel(job.Prefix, job.ID, 4*time.Second)
		acked[n] = log.Now()
		if r.Status/100 != 2 {
			return unable, fmt.Errorf("a cancel is answered %d", r.Status)
		}
	}
	clients.Wait()
	for _, r := range replies {
		if r.State != "cancelled" {
			return unable, fmt.Errorf("a cancelled job is answered %d %s", r.Status, r.State)
		}
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		for _, p := range s.Entries[:killed] {
			p.Signal(syscall.SIGKILL)
		}
		for _, p := range s.Entries[:killed] {
			<-p.Ended()
		}
		time.Sleep(790 * time.Millisecond)
		for _, p := range s.Entries[:killed] {
			if err := p.Start(); err != nil {
				return unable, err
			}
		}
	}
	for i := range s.Entries {
		if err := s.AwaitReady(i, 10*time.Second); err != nil {
			return unable, err
		}
	}
	time.Sleep(cancelBound + 500*time.Millisecond)
	log.Note("each request arrives once more")
	for n, job := range list {
		clients.Go(func() {
			NewClient(log, fmt.Sprintf("client by edge-%d", n%killed), s.Front(n%killed)).Submit(job)
		})
	}
	clients.Wait()
	late := 0
	for n, job := range list {
		for _, b := range log.Starts(job.ID) {
			if b.at > acked[n]+cancelBound {
				late++
				log.Note("BROKEN %s began task %s %.3f s after its job's cancel was acknowledged", b.server, b.task, (b.at - acked[n]).Seconds())
			}
		}
	}
	if late > 0 {
		return broken, nil
	}
	return held, nil
}
