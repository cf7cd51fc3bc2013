package main

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"
)

// Bounds of the users' pages.
const (
	contact  = 3 * time.Second // contactMs
	cancelMs = 3 * time.Second // cancel_ms
	// freezeLength is for_s of node_freeze of the site; its share is one machine of nine.
	freezeLength = 3500 * time.Millisecond
)

// smallKind is an executor of the small site.
var smallKind = kind{Service: service, Labels: []string{"a", "r1-1"}, CPU: 16000, MemMb: 65536}

// playCancel cancels jobs while the machine of the entry that has them is frozen.
func playCancel(ctx context.Context, dir string, rec *recorder, trouble bool) error {
	kinds := make([]kind, 6)
	for i := range kinds {
		kinds[i] = smallKind
	}
	s, err := newSite(dir, rec, 3, kinds)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return err
	}
	if err := s.awaitReady(ctx); err != nil {
		return err
	}
	b := &balancer{}
	go b.watch(ctx, s, 0)
	load, endLoad := context.WithCancel(ctx)
	defer endLoad()
	go otherClients(load, s)
	time.Sleep(contact + time.Second)

	jobs := make([]*jobSpec, cancelledJobs)
	var posts sync.WaitGroup
	for i := range jobs {
		jobs[i] = chainJob(i)
		posts.Go(func() { s.submit(ctx, 0, jobs[i], 25*time.Second) })
	}
	time.Sleep(500 * time.Millisecond)
	for last := b.lastCheck(); last.Equal(b.lastCheck()); {
		time.Sleep(5 * time.Millisecond) // until a check has passed
	}
	time.Sleep(checkInterval - 100*time.Millisecond) // the next check is near

	frozenAt := time.Now()
	if trouble {
		s.entries[0].signal(syscall.SIGSTOP)
		time.AfterFunc(freezeLength, func() { s.entries[0].signal(syscall.SIGCONT) })
		for b.inRotation() {
			if time.Since(frozenAt) > freezeLength {
				return errors.New("the frozen entry has stayed in rotation")
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	// The platform forwards the clients' new channels to the entries of the other zones.
	answers := make([]answer, len(jobs))
	var cancels sync.WaitGroup
	for i, j := range jobs {
		cancels.Go(func() { answers[i] = s.cancel(ctx, 1+i%2, j) })
	}
	cancels.Wait()
	ackAt := time.Now()
	if trouble && time.Since(frozenAt) > freezeLength {
		return fmt.Errorf("the cancels were answered after the freeze, %v after its begin", time.Since(frozenAt))
	}
	// From then on all machines are in touch, and cancel_ms is over.
	from := ackAt.Add(cancelMs + graceStop)
	if calm := frozenAt.Add(freezeLength + contact); trouble && calm.After(from) {
		from = calm
	}
	rec.logf("no machine in touch may start a task of a job whose cancelling was acknowledged after %.3f", from.Sub(rec.began).Seconds())
	posts.Wait()
	time.Sleep(time.Until(from.Add(time.Second)))
	for i, j := range jobs {
		if a := answers[i]; a.status != 410 && a.status/100 != 2 {
			continue // not acknowledged
		}
		for _, st := range rec.startsAfter(j.id, from) {
			rec.broken("UNASKED", "%s run %d starts on executor %d, %v after the cancelling was acknowledged with %d", st.task, st.run, st.on, st.at.Sub(ackAt).Round(time.Millisecond), answers[i].status)
		}
	}
	return nil
}

// cancelledJobs is the number of jobs that are cancelled.
const cancelledJobs = 6

// chainJob returns a job of three steps, one after the other.
func chainJob(n int) *jobSpec {
	const length = 3500 * time.Millisecond
	j := &jobSpec{id: fmt.Sprintf("5c0e7a21d94b36%02x", n), queue: queue, spec: "ledger"}
	for i := range 3 {
		st := step{count: 2, cpu: 1600, estimate: length, length: length}
		if i > 0 {
			st.after = []int{i - 1}
		}
		j.steps = append(j.steps, st)
	}
	return j
}

// otherClients sends small jobs to the entries of the other zones.
func otherClients(ctx context.Context, s *site) {
	for n := 0; ctx.Err() == nil; n++ {
		j := &jobSpec{id: fmt.Sprintf("%016x", 0xdd0000+n), queue: "/q2/", spec: "peek", steps: []step{
			{count: 2, cpu: 1600, estimate: 200 * time.Millisecond, length: 200 * time.Millisecond},
		}}
		go s.submit(ctx, 1+n%2, j, 1500*time.Millisecond)
		time.Sleep(100 * time.Millisecond)
	}
}
