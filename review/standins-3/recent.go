package main

import (
	"errors"
	"fmt"
	"time"
)

func init() { cases["recent"] = recentCopy }

// recentCopy: something on the path loses track of a client's connection while an entry runs the
// client's job: the client sees a reset, the entry nothing. The client sends the job again after
// retryMs, to another entry, over a connection that it uses all the time.
func recentCopy(log *Record, trouble bool) (verdict, error) {
	s, err := StartSite(SiteConfig{Entries: 3, Servers: 4, CPU: 16000, Work: milliseconds}, log)
	if err != nil {
		return unable, err
	}
	defer s.Close()
	path, err := NewProxy(s.Front(0))
	if err != nil {
		return unable, err
	}
	defer path.Close()
	first, second := NewClient(log, "client by edge-0", path.Address()), NewClient(log, "client by edge-1", s.Front(1))
	small := func(c *Client, n int) Reply {
		return c.Submit(Job{ID: fmt.Sprintf("%016x", n), Prefix: "/open/", Spec: "book 60", Steps: []map[string]any{Tasks(2, 1600, 60*time.Millisecond)}, Wait: 1500 * time.Millisecond})
	}
	for n := range 4 {
		if r := small(first, 0x100+n); r.State != "completed" {
			return unable, errors.New("a job isn't completed before the disruption")
		}
		if r := small(second, 0x200+n); r.State != "completed" {
			return unable, errors.New("a job isn't completed before the disruption")
		}
	}
	job := Job{ID: "00000000000000aa", Prefix: "/audit/", Spec: "audit 1480", Steps: []map[string]any{Tasks(2, 1600, 1480*time.Millisecond)}, Wait: 1500 * time.Millisecond}
	small(first, 0x110)
	answered := make(chan Reply, 1)
	go func() { answered <- first.Submit(job) }()
	for n := 0; len(log.Starts(job.ID)) < 2; n++ {
		if n > 200 {
			return unable, errors.New("the job doesn't start")
		}
		time.Sleep(10 * time.Millisecond)
	}
	if trouble {
		log.Note("the connection of the client with edge-0 is lost")
		path.LoseTrack(1) // the client has only this one
	}
	r := <-answered
	if r.Status == 0 {
		again := time.Now().Add(resend)
		for n := 0; time.Until(again) > 200*time.Millisecond; n++ {
			small(second, 0x300+n)
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(time.Until(again))
		r = second.Submit(job)
	}
	log.Note("the job is answered %d %s", r.Status, r.State)
	if len(log.Twice()) > 0 {
		return broken, nil
	}
	return held, nil
}
