package main

import (
	"context"
	"fmt"
	"os"
	"syscall"
	"time"
)

// playLiveness applies each fault to a site with one job at work, and then checks that
// each entry serves jobs.
func playLiveness(ctx context.Context, dir string, rec *recorder, _ bool) error {
	ctx = context.Background()
	entries := 2
	if os.Getenv("SINGLE") != "" {
		entries = 1
	}
	k := kind{Service: service, Labels: []string{"a", "r1-1"}, CPU: 16000, MemMb: 65536}
	type fault struct {
		name string
		do   func(s *site)
	}
	freeze := func(p *process, d time.Duration) {
		p.signal(syscall.SIGSTOP)
		time.Sleep(d)
		p.signal(syscall.SIGCONT)
	}
	restart := func(p *process, sig syscall.Signal) {
		p.signal(sig)
		p.wait(7 * time.Second)
		time.Sleep(500 * time.Millisecond)
		_ = p.start()
	}
	all := []fault{
		{"freeze entry 0.6s", func(s *site) { freeze(s.entries[0], 600*time.Millisecond) }},
		{"freeze entry 2s", func(s *site) { freeze(s.entries[0], 2*time.Second) }},
		{"freeze agent 0.6s", func(s *site) { freeze(s.agents[0], 600*time.Millisecond) }},
		{"freeze agent 2s", func(s *site) { freeze(s.agents[0], 2*time.Second) }},
		{"freeze all agents 2s", func(s *site) {
			for _, a := range s.agents {
				a.signal(syscall.SIGSTOP)
			}
			time.Sleep(2 * time.Second)
			for _, a := range s.agents {
				a.signal(syscall.SIGCONT)
			}
		}},
		{"kill agent", func(s *site) { restart(s.agents[0], syscall.SIGKILL) }},
		{"kill all agents", func(s *site) {
			for _, a := range s.agents {
				a.signal(syscall.SIGKILL)
			}
			time.Sleep(time.Second)
			for _, a := range s.agents {
				_ = a.start()
			}
		}},
		{"term agent", func(s *site) { restart(s.agents[0], syscall.SIGTERM) }},
		{"kill other entry", func(s *site) { restart(s.entries[len(s.entries)-1], syscall.SIGKILL) }},
		{"term other entry", func(s *site) { restart(s.entries[len(s.entries)-1], syscall.SIGTERM) }},
		{"crash executors", func(s *site) {
			for i, e := range s.executors {
				e.crash()
				time.Sleep(200 * time.Millisecond)
				e.restart(fmt.Sprintf("n-%d", i), k, 0)
			}
		}},
		{"crash executors same id", func(s *site) {
			for i, e := range s.executors {
				e.crash()
				time.Sleep(200 * time.Millisecond)
				e.restart(fmt.Sprintf("i-%d", i), k, 0)
			}
		}},
		{"store silent 6s", func(s *site) {
			for _, p := range append(append([]*process{}, s.entries...), s.agents...) {
				s.store.setFault(p.store, storeSilent)
			}
			time.Sleep(6 * time.Second)
			for _, p := range append(append([]*process{}, s.entries...), s.agents...) {
				s.store.setFault(p.store, storeHealthy)
			}
		}},
		{"evacuate and back", func(s *site) {
			s.store.put("op", wire.Evacuation+"lulea", map[string]any{})
			time.Sleep(2 * time.Second)
			s.store.put("op", wire.Evacuation+"lulea", nil)
		}},
		{"evacuate all and back", func(s *site) {
			for _, z := range zones {
				s.store.put("op", wire.Evacuation+z, map[string]any{})
			}
			time.Sleep(2 * time.Second)
			for _, z := range zones {
				s.store.put("op", wire.Evacuation+z, nil)
			}
		}},
	}
	both := func(s *site) []*process { return append(append([]*process{}, s.entries...), s.agents...) }
	all = append(all, []fault{
		{"freeze everything 2s", func(s *site) {
			for _, p := range both(s) {
				p.signal(syscall.SIGSTOP)
			}
			time.Sleep(2 * time.Second)
			for _, p := range both(s) {
				p.signal(syscall.SIGCONT)
			}
		}},
		{"kill everything", func(s *site) {
			for _, p := range both(s) {
				p.signal(syscall.SIGKILL)
			}
			time.Sleep(time.Second)
			for _, p := range both(s) {
				_ = p.start()
			}
		}},
		{"kill everything, store silent 3s", func(s *site) {
			for _, p := range both(s) {
				p.signal(syscall.SIGKILL)
				s.store.setFault(p.store, storeSilent)
			}
			time.Sleep(time.Second)
			for _, p := range both(s) {
				_ = p.start()
			}
			time.Sleep(3 * time.Second)
			for _, p := range both(s) {
				s.store.setFault(p.store, storeHealthy)
			}
		}},
		{"kill entry", func(s *site) { restart(s.entries[0], syscall.SIGKILL) }},
		{"term entry", func(s *site) { restart(s.entries[0], syscall.SIGTERM) }},
		{"executors dark 3s", func(s *site) {
			for _, e := range s.executors {
				e.setMute(true)
			}
			time.Sleep(3 * time.Second)
			for _, e := range s.executors {
				e.setMute(false)
			}
		}},
		{"executors leave, new ones", func(s *site) {
			for _, e := range s.executors {
				e.drain()
			}
			time.Sleep(2500 * time.Millisecond)
			for i, e := range s.executors {
				e.leave()
				e.crash()
				e.restart(fmt.Sprintf("n-%d", i), k, 0)
			}
		}},
		{"late DELETE, same id", func(s *site) {
			for i, e := range s.executors {
				e.crash()
				e.restart(fmt.Sprintf("i-%d", i), k, 0)
				time.Sleep(100 * time.Millisecond)
				e.leave()
			}
		}},
		{"other writer's ping", func(s *site) {
			for _, e := range s.executors {
				now := time.Now()
				sendPing(context.Background(), e.control, "x-1", map[string]any{"service": "service-z", "address": "127.0.0.9:1", "zone": "lulea", "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0, "capacity": map[string]int64{"cpu": 4000, "memMb": 1000}, "labels": []string{"q"}, "clockMs": 5, "sequence": 1, "born": now.UnixMilli()})
			}
		}},
		{"other writer's ping, no born", func(s *site) {
			for _, e := range s.executors {
				sendPing(context.Background(), e.control, "x-1", map[string]any{"service": "service-z", "state": "ready", "capacity": map[string]int64{"cpu": 4000, "memMb": 1000}, "sequence": 1})
			}
		}},
		{"born back 2s", func(s *site) {
			for i, e := range s.executors {
				e.crash()
				time.Sleep(200 * time.Millisecond)
				e.restart(fmt.Sprintf("n-%d", i), k, -30*time.Second)
			}
		}},
	}...)
	for n, f := range all {
		if only := os.Getenv("ONLY"); only != "" && only != f.name {
			continue
		}
		sub := fmt.Sprintf("%s/%d", dir, n)
		_ = os.Mkdir(sub, 0o700)
		func() {
			s, err := newSite(sub, rec, entries, []kind{k, k, k})
			defer s.close()
			if err != nil {
				fmt.Println(err)
				return
			}
			rec.logf("==== %s", f.name)
			if os.Getenv("FRESH") == "" {
				if err := s.awaitReady(ctx); err != nil {
					fmt.Println(f.name, err)
					return
				}
			} else {
				time.Sleep(3 * time.Second)
			}
			j := &jobSpec{id: fmt.Sprintf("%016x", 0xbb00+n), queue: queue, spec: "x", steps: []step{{count: 8, cpu: 1600, estimate: time.Second, length: time.Second}}}
			got := make(chan answer, 1)
			go func() { got <- s.submit(ctx, 0, j, 20*time.Second) }()
			time.Sleep(300 * time.Millisecond)
			f.do(s)
			time.Sleep(4 * time.Second)
			result := ""
			for round := range 3 {
				for i := range s.entries {
					p := &jobSpec{id: fmt.Sprintf("%016x", 0xcc000+n*100+round*10+i), queue: queue, spec: "x", steps: []step{{count: 8, cpu: 1600, estimate: 60 * time.Millisecond, length: 60 * time.Millisecond}}}
					a := s.submit(ctx, i, p, 1500*time.Millisecond)
					if a.status != 200 || a.state != "completed" {
						result += fmt.Sprintf(" entry%d:%v", i, a)
					}
				}
				time.Sleep(500 * time.Millisecond)
			}
			select {
			case a := <-got:
				fmt.Printf("%-26s job: %v; probes:%s\n", f.name, a, result)
			default:
				fmt.Printf("%-26s job: still waiting; probes:%s\n", f.name, result)
			}
		}()
	}
	return nil
}
