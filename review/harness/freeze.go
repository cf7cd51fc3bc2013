package main

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// trafficAfter is how long after the machines the traffic starts.
	trafficAfter = 10 * time.Second
	// shortFreeze is too short for two missed readiness checks, so that the entry stays in
	// rotation.
	shortFreeze = 1500 * time.Millisecond
	// requestInterval is the pause between two requests of the clients of one zone: 45 a
	// second.
	requestInterval = 22 * time.Millisecond
	// clientDeadline is how long clients wait.
	clientDeadline = 1500 * time.Millisecond
)

// startUsual starts a site of three entries, and waits until the traffic starts.
func startUsual(ctx context.Context, dir string, rec *recorder, executors int) (*site, error) {
	kinds := make([]kind, executors)
	for i := range kinds {
		kinds[i] = smallKind
	}
	s, err := newSite(dir, rec, 3, kinds)
	if err != nil {
		return s, err
	}
	for i := range s.entries {
		for !s.ready(i) {
			if time.Since(rec.began) > trafficAfter {
				return s, fmt.Errorf("entry %d doesn't get ready", i)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	time.Sleep(trafficAfter - time.Since(rec.began))
	return s, ctx.Err()
}

// tally counts the answers of clients.
type tally struct {
	mu      sync.Mutex
	sent    int
	served  int
	answers map[int]int // by status; 0 stands for none
}

func (t *tally) add(a answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	t.answers[a.status]++
	if a.status == 200 && a.state == "completed" {
		t.served++
	}
}

// playFreeze freezes the machine of one entry for a moment as the traffic starts. Only the
// clients of its zone send requests; there are no others.
func playFreeze(ctx context.Context, dir string, rec *recorder, trouble bool) error {
	s, err := startUsual(ctx, dir, rec, 6)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return err
	}
	b := &balancer{}
	go b.watch(ctx, s, 0)
	time.Sleep(100 * time.Millisecond)
	if trouble {
		s.entries[0].signal(syscall.SIGSTOP)
		time.AfterFunc(shortFreeze, func() { s.entries[0].signal(syscall.SIGCONT) })
	}
	t := &tally{answers: map[int]int{}}
	var clients sync.WaitGroup
	ticker := time.NewTicker(requestInterval)
	defer ticker.Stop()
	began := time.Now()
	for n := 0; time.Since(began) < 50*time.Second; n++ {
		<-ticker.C
		entry := 0
		if !b.inRotation() {
			entry = 1 // of the next zone
		}
		j := mixedJob(n)
		clients.Go(func() { t.add(s.submit(ctx, entry, j, clientDeadline)) })
	}
	clients.Wait()
	report(rec, t)
	return nil
}

// report records what the clients got, and checks the rule Fault: a run in which no request
// is served.
func report(rec *recorder, t *tally) {
	text := fmt.Sprintf("%d requests, %d served; answers by status (0: none): %v", t.sent, t.served, t.answers)
	fmt.Println(text)
	rec.logf("%s", text)
	if t.served == 0 {
		rec.broken("Fault", "no request is served, of %d", t.sent)
	}
}

// mixedJob returns a job of the kinds of the site, in the proportions of its traffic:
// 34.4 block-open, 6.25 audit-check and 100 range-peek.
func mixedJob(n int) *jobSpec {
	ms := time.Millisecond
	id := fmt.Sprintf("%016x", 0xee000000+n)
	switch r := n * 37 % 141; {
	case r < 34:
		return &jobSpec{id: id, queue: "/q1/", spec: "block-open", steps: []step{{count: 8, cpu: 1600, estimate: 60 * ms, length: 60 * ms}}}
	case r < 40:
		return &jobSpec{id: id, queue: "/q3/", spec: "audit-check", steps: []step{{count: 4, cpu: 1600, estimate: 900 * ms, length: 900 * ms}}}
	}
	return &jobSpec{id: id, queue: "/q2/", spec: "range-peek", steps: []step{{count: 2, cpu: 1600, estimate: 200 * ms, length: 200 * ms}}}
}
