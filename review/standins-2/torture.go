package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The random runs of the report: clients submit, resend and cancel jobs while processes are killed,
// frozen and stopped at random. It is no case; variables of the environment choose the faults:
//
//	LENGTH    seconds (60)         CLIENTS   number of clients (12)
//	TERM_ONLY processes are only stopped as planned
//	AGENTS    agents are disturbed, not only entries
//	SERVERS   executors crash, and drain and leave
//	SILENT    with SERVERS: connections to executors go silent
//	LATE      one order in sixteen gets no answer and is carried out 2 to 12 s later
//	HOLDS     with LATE: lease calls get no answer either
//	DELAY     a quarter of the orders is carried out up to so many ms later
//	OPERATOR  zones are evacuated and taken back, and manifests written
func init() { cases["torture"] = torture }

// torturer is the state of a random run.
type torturer struct {
	s         *site
	mu        sync.Mutex
	rotation  map[*process]bool // entries that the balancer uses
	busy      map[*process]bool // processes that are disturbed now
	jobs      map[string]*job
	acks      map[string]time.Duration // when the cancel of a job was acknowledged
	verdicts  map[string][]answer
	submitted map[string]int
	evacs     []span
}

// pick returns the entry that the balancer chooses.
func (t *torturer) pick() *process {
	t.mu.Lock()
	defer t.mu.Unlock()
	var in []*process
	for _, e := range t.s.entries {
		if t.rotation[e] {
			in = append(in, e)
		}
	}
	if len(in) == 0 {
		in = t.s.entries
	}
	return in[rand.IntN(len(in))]
}

// balance checks an entry each second as the balancer does.
func (t *torturer) balance(ctx context.Context, e *process) {
	misses := 0
	for ctx.Err() == nil {
		ok := t.s.ready(e)
		if ok {
			misses = 0
		} else {
			misses++
		}
		t.mu.Lock()
		t.rotation[e] = misses < 2
		t.mu.Unlock()
		time.Sleep(time.Second)
	}
}

// client submits one job after the other, sends it again after no answer, and cancels some.
func (t *torturer) client(ctx context.Context) {
	for ctx.Err() == nil {
		j := &job{id: newID(), tasks: []int{1 + rand.IntN(6)}, work: 60 * time.Millisecond, limit: 1500 * time.Millisecond}
		switch rand.IntN(5) {
		case 0:
			j.work = 900 * time.Millisecond
		case 1:
			j.work, j.limit = 2500*time.Millisecond, 12*time.Second
			j.tasks = []int{1 + rand.IntN(3), 2}
		}
		t.mu.Lock()
		t.jobs[j.id] = j
		t.mu.Unlock()
		cancelled := false
		cancel := rand.IntN(6) == 0
		var wait sync.WaitGroup
		if cancel {
			wait.Go(func() {
				time.Sleep(time.Duration(rand.Int64N(int64(j.work))))
				for {
					a := t.s.cancel(t.pick(), j.id)
					if a.status/100 == 2 || a.status == http.StatusGone {
						t.mu.Lock()
						t.acks[j.id] = a.at
						cancelled = true
						t.mu.Unlock()
						return
					}
					time.Sleep(300 * time.Millisecond)
				}
			})
		}
		for try := 0; try < 4; try++ {
			t.mu.Lock()
			t.submitted[j.id]++
			t.mu.Unlock()
			a := t.s.call(context.Background(), http.MethodPost, t.pick(), j.id, j.body(), j.limit)
			t.mu.Lock()
			t.verdicts[j.id] = append(t.verdicts[j.id], a)
			done := cancelled
			t.mu.Unlock()
			if done || a.status != 0 && a.status != 502 && a.status != 504 {
				break
			}
			time.Sleep(retry)
		}
		wait.Wait()
		time.Sleep(time.Duration(rand.IntN(100)) * time.Millisecond)
	}
}

// disturb kills, freezes and stops processes of a list.
func (t *torturer) disturb(ctx context.Context, list []*process) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(500+rand.IntN(2500)) * time.Millisecond)
		p := list[rand.IntN(len(list))]
		t.mu.Lock()
		if t.busy[p] {
			t.mu.Unlock()
			continue
		}
		t.busy[p] = true
		t.mu.Unlock()
		what := rand.IntN(3)
		if os.Getenv("TERM_ONLY") != "" {
			what = 2
		}
		switch what {
		case 0:
			p.kill()
			time.Sleep(time.Duration(100+rand.IntN(1500)) * time.Millisecond)
			_ = p.start()
		case 1:
			p.signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(100+rand.IntN(3900)) * time.Millisecond)
			p.signal(syscall.SIGCONT)
		case 2:
			p.terminate(grace)
			time.Sleep(100 * time.Millisecond)
			_ = p.start()
		}
		t.mu.Lock()
		t.busy[p] = false
		t.mu.Unlock()
	}
}

// span is the time for which a zone was evacuated.
type span struct {
	zone     string
	from, to time.Duration
}

// servers makes executors crash, or drain and leave.
func (t *torturer) servers(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(500+rand.IntN(3000)) * time.Millisecond)
		x := t.s.executors[rand.IntN(len(t.s.executors))]
		what := rand.IntN(4)
		if os.Getenv("SILENT") == "" && what == 3 {
			what = 0
		}
		switch what {
		case 3:
			for _, x := range t.s.executors {
				x.mu.Lock()
				x.silentBefore = now()
				x.mu.Unlock()
			}
			t.s.rec.add("all connections to executors go silent")
		case 0, 1:
			x.crash()
			if rand.IntN(2) == 0 {
				time.Sleep(time.Duration(rand.IntN(2500)) * time.Millisecond)
			}
			id := x.id
			if rand.IntN(2) == 0 {
				id = fmt.Sprintf("i-%08x", rand.Uint32())
			}
			_ = x.restart(id)
		case 2:
			x.mu.Lock()
			x.draining = true
			x.mu.Unlock()
			time.Sleep(time.Duration(4000+rand.IntN(4000)) * time.Millisecond)
			x.crash()
			_ = x.restart(fmt.Sprintf("i-%08x", rand.Uint32()))
		}
	}
}

// operator evacuates zones, takes them back and writes manifests.
func (t *torturer) operator(ctx context.Context) {
	version := 2
	for ctx.Err() == nil {
		time.Sleep(time.Duration(1000+rand.IntN(3000)) * time.Millisecond)
		zone := zones[rand.IntN(3)]
		t.s.store.put("op", names["withdrawn"]+zone, map[string]any{})
		from := now()
		t.s.rec.add("operator: %s is evacuated", zone)
		time.Sleep(time.Duration(6000+rand.IntN(4000)) * time.Millisecond)
		t.mu.Lock()
		t.evacs = append(t.evacs, span{zone, from, now()})
		t.mu.Unlock()
		t.s.store.put("op", names["withdrawn"]+zone, nil)
		version++
		t.s.store.put("op", "config", manifest(version))
	}
}

func torture(rec *recorder) ([]string, error) {
	s, err := prepare(rec, spread(6))
	defer func() { s.close(os.Getenv("KEEP") != "") }()
	if err != nil {
		return nil, err
	}
	length := 60
	if v, e := strconv.Atoi(os.Getenv("LENGTH")); e == nil {
		length = v
	}
	t := &torturer{s: s, rotation: map[*process]bool{}, busy: map[*process]bool{}, jobs: map[string]*job{}, acks: map[string]time.Duration{}, verdicts: map[string][]answer{}, submitted: map[string]int{}}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(length)*time.Second)
	defer cancel()
	for _, e := range s.entries {
		t.rotation[e] = true
		go t.balance(ctx, e)
	}
	late := os.Getenv("LATE") != ""
	for _, x := range s.executors {
		if v, e := strconv.Atoi(os.Getenv("DELAY")); e == nil {
			x.delay = time.Duration(v) * time.Millisecond
		}
		if late {
			x.fault = func(path, task string) orderFault {
				if path == names["hold"] && os.Getenv("HOLDS") == "" {
					return orderFault{}
				}
				if rand.IntN(100) < 6 {
					return orderFault{true, time.Duration(2000+rand.IntN(10000)) * time.Millisecond}
				}
				return orderFault{}
			}
		}
	}
	var wait sync.WaitGroup
	clients := 12
	if v, e := strconv.Atoi(os.Getenv("CLIENTS")); e == nil {
		clients = v
	}
	for range clients {
		wait.Go(func() { t.client(ctx) })
	}
	if os.Getenv("SERVERS") != "" {
		wait.Go(func() { t.servers(ctx) })
	}
	if os.Getenv("OPERATOR") != "" {
		wait.Go(func() { t.operator(ctx) })
	}
	if trouble {
		wait.Go(func() { t.disturb(ctx, s.entries) })
		if os.Getenv("AGENTS") != "" {
			wait.Go(func() { t.disturb(ctx, s.agents) })
		}
	}
	wait.Wait()
	time.Sleep(3 * time.Second)
	return t.check(), nil
}

// check returns the violations of TWICE, UNASKED, LIMIT, ORDER, REFUSED, MIXED, EVAC and DRAIN.
func (t *torturer) check() []string {
	var out []string
	byTask := map[string][]runState{}
	jobRuns := map[string]int{}
	for _, x := range t.s.executors {
		runs := x.runs()
		type edge struct {
			at time.Duration
			d  int
		}
		var edges []edge
		for _, r := range runs {
			end := r.end
			if end == 0 {
				end = now()
			}
			edges = append(edges, edge{r.began, 6200}, edge{end, -6200})
			byTask[r.task] = append(byTask[r.task], r)
			jobRuns[r.task[:16]]++
		}
		slices.SortFunc(edges, func(a, b edge) int {
			if a.at != b.at {
				return int(a.at - b.at)
			}
			return a.d - b.d
		})
		used := 0
		for _, e := range edges {
			used += e.d
			if used > x.capacity {
				out = append(out, fmt.Sprintf("LIMIT: %s at %.3f uses %d", x.id, e.at.Seconds(), used))
			}
		}
	}
	for task, runs := range byTask {
		slices.SortFunc(runs, func(a, b runState) int { return int(a.began - b.began) })
		for i := 1; i < len(runs); i++ {
			for k := range i {
				if runs[k].end == 0 || runs[i].began < runs[k].end {
					out = append(out, fmt.Sprintf("TWICE: %s | %s", runs[k].String(), runs[i].String()))
				}
			}
		}
		id := task[:16]
		if acked, ok := t.acks[id]; ok {
			for _, r := range runs {
				if r.began > acked+cancelMs {
					out = append(out, fmt.Sprintf("UNASKED: %s, acked at %.3f", r.String(), acked.Seconds()))
				}
				if r.end > acked+cancelMs+50*time.Millisecond && r.began <= acked+cancelMs {
					out = append(out, fmt.Sprintf("UNASKED (runs on): %s, acked at %.3f", r.String(), acked.Seconds()))
				}
			}
		}
	}
	for id, list := range t.verdicts {
		rejected, completed := len(list) == t.submitted[id], false
		for _, a := range list {
			rejected = rejected && (a.status == 429 || a.status == 503 || a.status == 404)
			completed = completed || strings.Contains(a.body, "completed")
		}
		if rejected && jobRuns[id] > 0 {
			out = append(out, "REFUSED: "+id)
		}
		if completed {
			j := t.jobs[id]
			for step, n := range j.tasks {
				for i := range n {
					ok := false
					for _, r := range byTask[fmt.Sprintf("%s.0.%d.%d", id, step, i)] {
						ok = ok || r.how == "done"
					}
					if !ok {
						out = append(out, fmt.Sprintf("MIXED: %s step %d index %d", id, step, i))
					}
				}
			}
		}
		j := t.jobs[id]
		for step := 1; step < len(j.tasks); step++ {
			for i := range j.tasks[step] {
				for _, r := range byTask[fmt.Sprintf("%s.0.%d.%d", id, step, i)] {
					for k := range j.tasks[step-1] {
						ok := false
						for _, b := range byTask[fmt.Sprintf("%s.0.%d.%d", id, step-1, k)] {
							ok = ok || b.how == "done" && b.end <= r.began
						}
						if !ok {
							out = append(out, fmt.Sprintf("ORDER: %s", r.String()))
						}
					}
				}
			}
		}
	}
	for _, x := range t.s.executors {
		for _, r := range x.runs() {
			for _, e := range t.evacs {
				if e.zone == x.zone && r.began > e.from+5*time.Second && r.began < e.to {
					out = append(out, fmt.Sprintf("EVAC: %s, evacuated %.3f to %.3f", r.String(), e.from.Seconds(), e.to.Seconds()))
				}
			}
			for _, d := range x.drains {
				if r.began > d.from+2*time.Second && r.began < d.to {
					out = append(out, fmt.Sprintf("DRAIN: %s, acked %.3f", r.String(), d.from.Seconds()))
				}
			}
		}
	}
	n := map[int]int{}
	for _, l := range t.verdicts {
		for _, a := range l {
			n[a.status]++
		}
	}
	fmt.Println("answers by status:", n, "cancels acked:", len(t.acks), "runs:", len(t.s.allRuns()))
	return out
}
