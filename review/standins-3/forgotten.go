package main

import (
	"errors"
	"fmt"
	"syscall"
	"time"
)

func init() { cases["forgotten"] = forgottenCancel }

// forgottenCancel: a job is cancelled and the cancel acknowledged; then the entries are killed all at
// once and come back. The job's request arrives once more, seconds after its answer.
func forgottenCancel(log *Record, trouble bool) (verdict, error) {
	s, err := StartSite(SiteConfig{Entries: 3, Servers: 4, CPU: 16000, Work: milliseconds}, log)
	if err != nil {
		return unable, err
	}
	defer s.Close()
	job := Job{ID: "00000000000000aa", Prefix: "/audit/", Spec: "audit 1200", Steps: []map[string]any{Tasks(4, 1600, 1200*time.Millisecond)}, Wait: 1500 * time.Millisecond}
	answered := make(chan Reply, 1)
	go func() { answered <- NewClient(log, "client by edge-0", s.Front(0)).Submit(job) }()
	for n := 0; len(log.Starts(job.ID)) < 4; n++ {
		if n > 100 {
			return unable, errors.New("the job doesn't start")
		}
		time.Sleep(10 * time.Millisecond)
	}
	r := NewClient(log, "client by edge-1", s.Front(1)).Cancel(job.Prefix, job.ID, 4*time.Second)
	acked := log.Now()
	if r.Status/100 != 2 {
		return unable, fmt.Errorf("the cancel is answered %d", r.Status)
	}
	if r := <-answered; r.State != "cancelled" {
		return unable, fmt.Errorf("the cancelled job is answered %d %s", r.Status, r.State)
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		for _, p := range s.Entries {
			p.Signal(syscall.SIGKILL)
		}
		for _, p := range s.Entries {
			<-p.Ended()
		}
		time.Sleep(790 * time.Millisecond)
		for _, p := range s.Entries {
			if err := p.Start(); err != nil {
				return unable, err
			}
		}
	}
	time.Sleep(cancelBound + 500*time.Millisecond)
	for i := range s.Entries {
		if err := s.AwaitReady(i, 10*time.Second); err != nil {
			return unable, err
		}
	}
	log.Note("the request arrives once more, at edge-2")
	NewClient(log, "client by edge-2", s.Front(2)).Submit(job)
	late := 0
	for _, b := range log.Starts(job.ID) {
		if b.at > acked+cancelBound {
			late++
			log.Note("BROKEN %s began task %s %.3f s after its job's cancel was acknowledged", b.server, b.task, (b.at - acked).Seconds())
		}
	}
	if late > 0 {
		return broken, nil
	}
	return held, nil
}
