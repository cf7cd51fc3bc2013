package agentlink

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/membership"
	"foxtaildock.example/dock/permit"
	"foxtaildock.example/dock/placement"
	"foxtaildock.example/dock/rpc"
	"foxtaildock.example/dock/rpc/dockpb"
	"foxtaildock.example/dock/telemetry"
)

// noopAgent is an Agent that returns the time and a fixed announcement, and
// ignores everything else.
type noopAgent struct{ origin time.Time }

func (s noopAgent) Now() time.Duration                  { return time.Since(s.origin) }
func (noopAgent) Announcement() membership.Announcement { return peer(0).Announcement }
func (noopAgent) SetPermit(permit.Permit)               {}
func (noopAgent) SetPlacement(*placement.Placement)     {}
func (noopAgent) SetPeers([]membership.Agent)           {}
func (noopAgent) Removed()                              {}

func peer(i int) membership.Agent {
	return membership.Agent{State: membership.Up, Announcement: membership.Announcement{
		Incarnation: ident.Incarnation(fmt.Sprintf("agent-0123456789-%05d", i)),
		Address:     fmt.Sprintf("10.1.%d.%d:7100", i/250, i%250), Domain: "lulea",
		Services: []ident.Service{"serial-issuing"}, Slots: 8, Free: 3, Queued: 2,
	}}
}

// BenchmarkAgentHeartbeat measures what one heartbeat costs an agent: building and
// encoding it, and decoding and handling the reply. The agent's total cost is that
// times the entries and two heartbeats per second. The load sample bounds the
// number of peers in a reply.
func BenchmarkAgentHeartbeat(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("peers=%d", n), func(b *testing.B) { benchAgent(b, n) })
	}
}

const benchEntry = "10.0.0.1:7100"

func benchAgent(b *testing.B, n int) {
	cfg := DefaultConfig()
	cfg.Self, cfg.Cell, cfg.Seeds = peer(0).Incarnation, "north", []string{benchEntry}
	cfg.NewClient = func() *http.Client { return &http.Client{} }
	cfg.Log = telemetry.Discard()
	l, err := New(cfg, noopAgent{time.Now()})
	if err != nil {
		b.Fatal(err)
	}
	l.entries[benchEntry] = &entryState{stop: func() {}}
	sample := membership.DefaultConfig().LoadSample
	roundTrip := func(count int) {
		d := l.buildHeartbeat(benchEntry)
		if _, err := proto.Marshal(d.request); err != nil {
			b.Fatal(err)
		}
		reply := &dockpb.HeartbeatResponse{
			Entry: "entry-0123456789", Echo: uint64(d.at / time.Microsecond),
			Permit: &dockpb.Permit{Version: 1, Epoch: 1, InService: true, RemainingMs: 1700},
		}
		for i := range count {
			a := peer(1 + i)
			reply.Peers = append(reply.Peers, rpc.PeerToProto(&a))
		}
		data, err := proto.Marshal(reply)
		if err != nil {
			b.Fatal(err)
		}
		decoded := &dockpb.HeartbeatResponse{}
		if err := proto.Unmarshal(data, decoded); err != nil {
			b.Fatal(err)
		}
		l.handleAnswer(heartbeatAnswer{address: benchEntry, sentAt: d.at, response: decoded})
	}
	roundTrip(n)
	b.ReportAllocs()
	for b.Loop() {
		roundTrip(min(n, sample))
	}
}
