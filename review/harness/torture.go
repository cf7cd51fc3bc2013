package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// playTorture sends random jobs and injects random faults.
func playTorture(ctx context.Context, dir string, rec *recorder, _ bool) error {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	rate := 25 * time.Millisecond
	if os.Getenv("SLOW") != "" {
		rate = 400 * time.Millisecond
	}
	random := rand.New(rand.NewPCG(seed, 1))
	label := []string{"a", "b"}
	newKind := func() kind {
		return kind{Service: service, Labels: []string{label[random.IntN(2)], "r1-" + strconv.Itoa(random.IntN(2))}, CPU: int64(4000 + 4000*random.IntN(3)), MemMb: 65536}
	}
	kinds := make([]kind, 5)
	for i := range kinds {
		kinds[i] = newKind()
	}
	s, err := newSite(dir, rec, 3, kinds)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	run, end := context.WithTimeout(ctx, 80*time.Second)
	defer end()
	var wait sync.WaitGroup
	wait.Go(func() {
		for n := 0; run.Err() == nil; n++ {
			cr := rand.New(rand.NewPCG(seed, uint64(1000+n)))
			wait.Go(func() { tortureClient(ctx, s, cr, fmt.Sprintf("%08x%08x", seed, n)) })
			time.Sleep(time.Duration(cr.ExpFloat64() * float64(rate)))
		}
	})
	busy := map[any]bool{}
	var mu sync.Mutex
	claim := func(x any) bool {
		mu.Lock()
		defer mu.Unlock()
		if busy[x] {
			return false
		}
		busy[x] = true
		return true
	}
	free := func(x any) {
		mu.Lock()
		defer mu.Unlock()
		delete(busy, x)
	}
	for run.Err() == nil {
		time.Sleep(time.Duration(random.ExpFloat64() * float64(700*time.Millisecond)))
		d := 200*time.Millisecond + time.Duration(random.Int64N(int64(3*time.Second)))
		p := s.entries[random.IntN(3)]
		if random.IntN(2) == 0 {
			p = s.agents[random.IntN(len(s.agents))]
		}
		e := s.executors[random.IntN(len(s.executors))]
		k, what, id := newKind(), random.IntN(12), fmt.Sprintf("n-%d", random.IntN(1<<30))
		sameID := random.IntN(2) == 0
		switch what {
		case 0, 1, 2:
			if claim(p) {
				go func() {
					p.signal(syscall.SIGSTOP)
					time.Sleep(d)
					p.signal(syscall.SIGCONT)
					free(p)
				}()
			}
		case 3, 4:
			if claim(p) {
				go func() {
					p.signal(syscall.SIGKILL)
					p.wait(time.Second)
					time.Sleep(d / 3)
					_ = p.start()
					time.Sleep(300 * time.Millisecond)
					free(p)
				}()
			}
		case 5:
			if claim(p) {
				go func() {
					p.signal(syscall.SIGTERM)
					if !p.wait(6 * time.Second) {
						p.signal(syscall.SIGKILL)
						p.wait(time.Second)
					}
					_ = p.start()
					time.Sleep(300 * time.Millisecond)
					free(p)
				}()
			}
		case 6, 7:
			if claim(e) {
				go func() {
					if sameID {
						id = e.id
					}
					e.crash()
					time.Sleep(d / 10)
					e.restart(id, k, 0)
					free(e)
				}()
			}
		case 8:
			if claim(e) {
				go func() {
					e.setMute(true)
					time.Sleep(d)
					e.setMute(false)
					free(e)
				}()
			}
		case 10:
			zone := zones[random.IntN(3)]
			if claim(zone) {
				go func() {
					s.evacuate(zone, true)
					time.Sleep(4*time.Second + 4*d)
					s.evacuate(zone, false)
					free(zone)
				}()
			}
		case 11:
			if claim(e) {
				go func() {
					e.drain()
					time.Sleep(2500*time.Millisecond + 2*d)
					e.leave()
					e.crash()
					e.restart(id, k, 0)
					free(e)
				}()
			}
		case 9:
			if claim(p.store) {
				go func() {
					s.store.setFault(p.store, 1+random.IntN(2))
					time.Sleep(d)
					s.store.setFault(p.store, storeHealthy)
					free(p.store)
				}()
			}
		}
	}
	wait.Wait()
	fmt.Println("starts", len(rec.starts))
	return nil
}

func tortureClient(ctx context.Context, s *site, random *rand.Rand, id string) {
	ms := time.Millisecond
	j := &jobSpec{id: id, queue: []string{"/q1/", "/q2/", "/q3/"}[random.IntN(3)], spec: "spec-" + id}
	for i := range 1 + random.IntN(3) {
		l := time.Duration(20+random.IntN(300)) * ms
		st := step{count: 1 + random.IntN(6), cpu: int64(500 + random.IntN(1500)), estimate: l, length: l, fails: false}
		if i > 0 {
			st.after = []int{random.IntN(i)}
		}
		if random.IntN(3) == 0 {
			st.requires = []string{"a", "b"}[random.IntN(2)]
		}
		j.steps = append(j.steps, st)
	}
	deadline := []time.Duration{1500 * ms, 4000 * ms, 8000 * ms}[random.IntN(3)]
	rejected := true
	for try := range 3 {
		if try > 0 {
			time.Sleep(1300 * ms)
		}
		attempt, cancel := context.WithCancel(ctx)
		if random.IntN(10) == 0 {
			time.AfterFunc(time.Duration(random.IntN(600))*ms, cancel) // the channel breaks
		}
		a := s.submit(attempt, random.IntN(3), j, deadline)
		cancel()
		switch {
		case a.status == 429 || a.status == 503:
			if rejected {
				time.Sleep(300 * ms)
				if n := len(s.rec.startsAfter(id, s.rec.began)); n > 0 {
					s.rec.broken("REFUSED", "job %s: every attempt was rejected, and %d tasks have started", id, n)
				}
			}
			return
		case a.status == 200:
			if a.state == "completed" {
				s.rec.mu.Lock()
				for st := range j.steps {
					for i := range j.steps[st].count {
						if !s.rec.done[taskName(id, st, i)] {
							s.rec.breach("MIXED", "job %s is completed, and %s has not ended done", id, taskName(id, st, i))
						}
					}
				}
				s.rec.mu.Unlock()
			}
			return
		case a.status == 0 && a.err != nil && isRefused(a.err):
			try--
			continue
		}
		rejected = false
	}
}
