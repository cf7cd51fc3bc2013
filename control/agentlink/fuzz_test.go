package agentlink

import (
	"net/http"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"foxtaildock.example/dock/permit"
	"foxtaildock.example/dock/rpc/dockpb"
	"foxtaildock.example/dock/telemetry"
)

// Whatever an entry answers, the permit's version and epoch never go down, and the
// permit never lasts longer than one lease after its heartbeat.
func FuzzAnswer(f *testing.F) {
	data, err := proto.Marshal(&dockpb.HeartbeatResponse{
		Entry: "entry0", Echo: 5, Permit: &dockpb.Permit{Version: 3, Epoch: 2, InService: true, RemainingMs: 1 << 31},
		Peers:     []*dockpb.Peer{{Incarnation: "b", Address: "10.0.0.3:1", State: 1}, {Incarnation: "c", State: 9}},
		Placement: &dockpb.Placement{Epoch: 2, Members: []*dockpb.Member{{Incarnation: "b"}, {Incarnation: "b"}}},
		Settled:   &dockpb.SettledIntent{Id: "x", Version: 4}, Confirmation: &dockpb.Confirmation{Version: 1, AgeMs: 1 << 31},
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	cfg := DefaultConfig()
	cfg.Self, cfg.Cell, cfg.Seeds = "a", "north", []string{benchEntry}
	cfg.NewClient = func() *http.Client { return &http.Client{} }
	cfg.Log = telemetry.Discard()
	l, err := New(cfg, noopAgent{time.Now()})
	if err != nil {
		f.Fatal(err)
	}
	l.entries[benchEntry] = &entryState{stop: func() {}}
	f.Fuzz(func(t *testing.T, data []byte) {
		r := &dockpb.HeartbeatResponse{}
		if proto.Unmarshal(data, r) != nil {
			return
		}
		r.Entries = nil // these would start heartbeats
		before := l.holder.Permit()
		d := l.buildHeartbeat(benchEntry)
		l.handleAnswer(heartbeatAnswer{address: benchEntry, sentAt: d.at, response: r})
		after := l.holder.Permit()
		if after.Version < before.Version || after.Epoch < before.Epoch {
			t.Errorf("the permit went back from %+v to %+v", before, after)
		}
		if after.Until > max(before.Until, d.at+permit.Lease) {
			t.Errorf("the permit lasts until %v, more than one lease after the heartbeat at %v", after.Until, d.at)
		}
	})
}
