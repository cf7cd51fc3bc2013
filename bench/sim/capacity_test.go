package sim

import (
	"fmt"
	"math"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"foxtaildock.example/dock/dispatch"
	"foxtaildock.example/dock/gate"
	"foxtaildock.example/dock/home"
	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/job"
	"foxtaildock.example/dock/permit"
	"foxtaildock.example/dock/placement"
	"foxtaildock.example/dock/rpc/dockpb"
)

// The benchmarks measure the costs per task, record and peer (slopes) on which
// docs/CAPACITY.md is based; `make measure` prints them.

const slopeTasks = 7 // tasks in a typical job

var slopePermit = permit.Permit{Epoch: firstEpoch, InService: true, Until: math.MaxInt64}

func slopeHome() *home.Home {
	self := incarnation(0)
	h := home.New(home.DefaultConfig(self), dispatch.NewShortestQueue(dispatch.Config{Own: self}))
	h.Step(0, home.SetPlacement{Placement: placement.New(firstEpoch, []placement.Member{{Incarnation: self, Joined: firstEpoch}})})
	h.Step(0, home.SetPermit{Permit: slopePermit})
	h.Step(0, home.SetExecutors{Executors: []dispatch.Executor{{
		Incarnation: self,
		Services:    []ident.Service{anyService},
		Slots:       64,
		Load:        dispatch.Load{Free: 64},
		Accepting:   true,
	}}})
	return h
}

// runJob runs one job through a home: submission, executions, answers and
// reply.
func runJob(h *home.Home, now time.Duration, n int) {
	key := ident.JobKey{Team: "team-001", Key: fmt.Sprintf("job-%024d", n)}
	spec := &job.Spec{Key: key, Service: anyService, Deadline: time.Minute}
	for i := range slopeTasks {
		spec.Tasks = append(spec.Tasks, job.Task{Index: i, Payload: make([]byte, 64)})
	}
	h.Step(now, home.Submit{Request: 1, Spec: spec, Fresh: true})
	for i := range slopeTasks {
		h.Step(now, home.Answered{
			Agent:   incarnation(0),
			Task:    ident.TaskID{Job: key, Index: i},
			Verdict: gate.Done,
			Body:    make([]byte, 64),
			Load:    dispatch.Load{Free: 64},
		})
	}
}

func BenchmarkSlopeHomeJob(b *testing.B) {
	h := slopeHome()
	for n := range b.N {
		now := time.Duration(n) * 100 * time.Millisecond
		runJob(h, now, n)
		h.Step(now, home.Tick{})
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*slopeTasks), "ns/task")
}

func BenchmarkSlopeHomeRecordMemory(b *testing.B) {
	const records = 20_000
	for b.Loop() {
		before := heapNow()
		h := slopeHome()
		for n := range records {
			runJob(h, 0, n)
		}
		b.ReportMetric(float64(heapNow()-before)/records, "B/record")
		runtime.KeepAlive(h)
	}
}

func slopeGate() *gate.Gate {
	g := gate.New(gate.DefaultConfig())
	g.Step(0, gate.SetBackend{Services: []ident.Service{anyService}, Slots: 8, Connections: 64})
	g.Step(0, gate.SetPermit{Permit: slopePermit})
	return g
}

// runTask runs one task through a gate.
func runTask(g *gate.Gate, now time.Duration, n int) {
	key := ident.JobKey{Team: "team-001", Key: fmt.Sprintf("job-%024d", n/slopeTasks)}
	task := ident.TaskID{Job: key, Index: n % slopeTasks}
	g.Step(now, gate.Execute{
		Request:  1,
		Home:     incarnation(0),
		Key:      key,
		Service:  anyService,
		Tasks:    []gate.Task{{Task: job.Task{Index: task.Index, Payload: make([]byte, 64)}}},
		Deadline: now + time.Minute,
	})
	g.Step(now, gate.Finished{Task: task, OK: true, Body: make([]byte, 64)})
}

func BenchmarkSlopeGateTask(b *testing.B) {
	g := slopeGate()
	for n := range b.N {
		now := time.Duration(n) * 15 * time.Millisecond
		runTask(g, now, n)
		g.Step(now, gate.Tick{})
	}
}

func BenchmarkSlopeGateRecordMemory(b *testing.B) {
	const records = 50_000
	for b.Loop() {
		before := heapNow()
		g := slopeGate()
		for n := range records {
			runTask(g, 0, n)
		}
		b.ReportMetric(float64(heapNow()-before)/records, "B/record")
		runtime.KeepAlive(g)
	}
}

// BenchmarkSlopePeerBytes measures the size of one peer in the reply to a
// heartbeat.
func BenchmarkSlopePeerBytes(b *testing.B) {
	p := &dockpb.Peer{
		Incarnation: "agent-0123456789-00001", Address: "10.1.1.1:7100", Domain: "lulea",
		Services: []string{"serial-issuing"}, Slots: 8, Free: 3, Queued: 2, State: 1, PaceMs: 300, Waiting: 4,
	}
	for b.Loop() {
		_, _ = proto.Marshal(p)
	}
	b.ReportMetric(float64(proto.Size(p)), "B/peer")
}

func BenchmarkSlopePlacement(b *testing.B) {
	for _, n := range []int{11, 200, 1000} {
		var members []placement.Member
		for i := range n {
			members = append(members, placement.Member{Incarnation: incarnation(i), Joined: firstEpoch})
		}
		p := placement.New(firstEpoch, members)
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			for i := range b.N {
				p.Home(ident.JobKey{Team: "t", Key: fmt.Sprint(i)})
			}
		})
	}
}

func heapNow() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
