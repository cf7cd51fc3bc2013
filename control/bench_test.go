package control

import (
	"fmt"
	"net/http"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"foxtaildock.example/dock/document"
	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/membership"
	"foxtaildock.example/dock/permit"
	"foxtaildock.example/dock/placement"
	"foxtaildock.example/dock/rpc"
	"foxtaildock.example/dock/rpc/dockpb"
	"foxtaildock.example/dock/store/memory"
	"foxtaildock.example/dock/telemetry"
)

// newBenchController returns the Controller of an entry that tracks n agents,
// without background loops and network, and one heartbeat request per agent.
func newBenchController(b *testing.B, n int) (*Controller, []*dockpb.HeartbeatRequest) {
	cfg := DefaultConfig()
	cfg.Self, cfg.Cell, cfg.Address = "entry-0123456789", "north", "10.0.0.1:7100"
	cfg.Table = memory.New().Table()
	cfg.Client = &http.Client{}
	cfg.Log = telemetry.Discard()
	c, err := New(cfg, noopListener{})
	if err != nil {
		b.Fatal(err)
	}
	var members []placement.Member
	requests := make([]*dockpb.HeartbeatRequest, n)
	for i := range n {
		a := membership.Announcement{
			Incarnation: ident.Incarnation(fmt.Sprintf("agent-0123456789-%05d", i)),
			Address:     fmt.Sprintf("10.1.%d.%d:7100", i/250, i%250), Domain: domainOf(i),
			Services: []ident.Service{"serial-issuing"}, Slots: 8, Free: 3, Queued: 2,
		}
		members = append(members, placement.Member{Incarnation: a.Incarnation, Address: a.Address, Domain: a.Domain, Joined: 1})
		requests[i] = &dockpb.HeartbeatRequest{
			Self: rpc.AnnouncementToProto(&a), Entry: string(cfg.Self), Version: 1, Epoch: 1,
			Confirmation: &dockpb.Confirmation{Version: 1, Epoch: 1}, Running: 5, Jobs: 40,
		}
	}
	doc := document.New(0, nil)
	view, err := document.NewView(doc)
	if err != nil {
		b.Fatal(err)
	}
	s := &snapshot{document: doc, view: view, placement: placement.New(1, members), fromTable: true}
	c.install(s)
	// Two rounds of heartbeats, so that the benchmark does not measure the
	// replies that report the joins.
	for range 2 {
		for _, r := range requests {
			r.Version = 0
			r.Confirmation.Version = 0
			r.Echo = c.answerHeartbeat(r).Echo
		}
	}
	return c, requests
}

// heartbeatsPerSecond is how often an agent calls each entry.
const heartbeatsPerSecond = 2

// BenchmarkEntryHeartbeat measures what one heartbeat costs an entry: decoding,
// handling and encoding. The entry's total cost is that times the agents of its
// cell and two heartbeats per second; core-% reports it as a share of one core.
func BenchmarkEntryHeartbeat(b *testing.B) {
	for _, outage := range []bool{false, true} {
		for _, n := range []int{10, 100, 1000} {
			b.Run(fmt.Sprintf("outage=%v/agents=%d", outage, n), func(b *testing.B) {
				c, requests := newBenchController(b, n)
				benchHeartbeats(b, c, requests, outage)
			})
		}
	}
}

func benchHeartbeats(b *testing.B, c *Controller, requests []*dockpb.HeartbeatRequest, outage bool) {
	requestBytes, replyBytes := 0, 0
	state := permit.State{Epoch: 1}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		if !outage {
			c.granter.ConfirmRead(permit.Confirmation{State: state, ReadAt: c.now()})
		}
		r := requests[i%len(requests)]
		i++
		in, err := proto.Marshal(r)
		if err != nil {
			b.Fatal(err)
		}
		decoded := &dockpb.HeartbeatRequest{}
		if err := proto.Unmarshal(in, decoded); err != nil {
			b.Fatal(err)
		}
		reply := c.answerHeartbeat(decoded)
		out, err := proto.Marshal(reply)
		if err != nil {
			b.Fatal(err)
		}
		r.Echo = reply.Echo
		requestBytes += len(in)
		replyBytes += len(out)
	}
	b.ReportMetric(float64(requestBytes)/float64(i), "request-B")
	b.ReportMetric(float64(replyBytes)/float64(i), "reply-B")
	perSecond := float64(len(requests)) * heartbeatsPerSecond
	b.ReportMetric(float64(b.Elapsed())/float64(i)*perSecond/float64(time.Second)*100, "core-%")
}

// BenchmarkEntryMemory measures the heap that an entry uses per tracked agent.
func BenchmarkEntryMemory(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("agents=%d", n), func(b *testing.B) {
			var keep *Controller
			before := heapBytes()
			for b.Loop() {
				keep, _ = newBenchController(b, n)
			}
			b.ReportMetric(float64(heapBytes()-before)/float64(n), "B/agent")
			runtime.KeepAlive(keep)
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
