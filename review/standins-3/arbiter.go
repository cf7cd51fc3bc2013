package main

import (
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["arbiter"] = killedArbiter }

// lostShare is the share of the connections of the machine's clients that are lost, as the site's
// reset_conns has it at most.
const lostShare = 0.55

// killedArbiter: jobs of clients of one entry are at work when the path loses track of some of their
// connections and another entry is killed, which starts again. The clients that saw a reset send their
// jobs again, over new connections, to a third entry.
func killedArbiter(log *Record, trouble bool) (verdict, error) {
	const jobs = 100
	s, err := StartSite(SiteConfig{Entries: 6, Servers: 6, CPU: 16000, Work: milliseconds}, log)
	if err != nil {
		return unable, err
	}
	defer s.Close()
	path, err := NewProxy(s.Front(0))
	if err != nil {
		return unable, err
	}
	defer path.Close()
	var clients sync.WaitGroup
	for n := range jobs {
		job := Job{ID: fmt.Sprintf("00000000000aa%03x", n), Prefix: "/audit/", Spec: "audit 1480", Steps: []map[string]any{Tasks(1, 800, 1480*time.Millisecond)}, Wait: 1500 * time.Millisecond}
		clients.Go(func() {
			if NewClient(log, "client by edge-0", path.Address()).Submit(job).Status == 0 {
				time.Sleep(resend)
				NewClient(log, "client by edge-1", s.Front(1)).Submit(job)
			}
		})
	}
	for n := 0; log.Count() < jobs; n++ {
		if n > 50 {
			return unable, errors.New("the jobs don't start")
		}
		time.Sleep(5 * time.Millisecond)
	}
	if trouble {
		killed := s.Entries[5]
		killed.Signal(syscall.SIGKILL)
		log.Note("connections of clients with edge-0 are lost")
		path.LoseTrack(lostShare)
		<-killed.Ended()
		time.Sleep(790 * time.Millisecond)
		if err := killed.Start(); err != nil {
			return unable, err
		}
	}
	clients.Wait()
	if len(log.Twice()) > 0 {
		return broken, nil
	}
	return held, nil
}
