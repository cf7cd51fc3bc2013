package main

import (
	"errors"
	"fmt"
	"syscall"
	"time"
)

func init() { cases["stale"] = staleSources }

// staleSources: three machines of entries have been replaced by others at new addresses. A job is
// cancelled and the cancel acknowledged; then one entry is stopped as planned and started again. The
// job's request arrives there once more, seconds after its answer, over a connection in use.
func staleSources(log *Record, trouble bool) (verdict, error) {
	const removed = 3
	s, err := StartSite(SiteConfig{Entries: 6, Servers: 4, CPU: 16000, Work: milliseconds}, log)
	if err != nil {
		return unable, err
	}
	defer s.Close()
	for _, p := range s.Entries[:removed] {
		p.Signal(syscall.SIGTERM)
	}
	for _, p := range s.Entries[:removed] {
		<-p.Ended()
	}
	time.Sleep(4 * time.Second)
	small := func(c *Client, n int) Reply {
		return c.Submit(Job{ID: fmt.Sprintf("%016x", n), Prefix: "/open/", Spec: "book 60", Steps: []map[string]any{Tasks(2, 1600, 60*time.Millisecond)}, Wait: 1500 * time.Millisecond})
	}
	job := Job{ID: "00000000000000aa", Prefix: "/audit/", Spec: "audit 1200", Steps: []map[string]any{Tasks(4, 1600, 1200*time.Millisecond)}, Wait: 1500 * time.Millisecond}
	answered := make(chan Reply, 1)
	go func() { answered <- NewClient(log, "client by edge-3", s.Front(3)).Submit(job) }()
	for n := 0; len(log.Starts(job.ID)) < 4; n++ {
		if n > 100 {
			return unable, errors.New("the job doesn't start")
		}
		time.Sleep(10 * time.Millisecond)
	}
	r := NewClient(log, "client by edge-4", s.Front(4)).Cancel(job.Prefix, job.ID, 4*time.Second)
	acked := log.Now()
	if r.Status/100 != 2 {
		return unable, fmt.Errorf("the cancel is answered %d", r.Status)
	}
	if r := <-answered; r.State != "cancelled" {
		return unable, fmt.Errorf("the cancelled job is answered %d %s", r.Status, r.State)
	}
	if trouble {
		p := s.Entries[5]
		p.Signal(syscall.SIGTERM)
		<-p.Ended()
		if err := p.Start(); err != nil {
			return unable, err
		}
	}
	if err := s.AwaitReady(5, 10*time.Second); err != nil {
		return unable, err
	}
	time.Sleep(cancelBound + 500*time.Millisecond)
	c := NewClient(log, "client by edge-5", s.Front(5))
	for n := range 3 {
		if r := small(c, 0x100+n); r.State != "completed" {
			return unable, fmt.Errorf("a job after the restart is answered %d %s", r.Status, r.State)
		}
	}
	log.Note("the request arrives once more")
	c.Submit(job)
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
