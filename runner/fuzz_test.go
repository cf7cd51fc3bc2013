package runner

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"foxtaildock.example/dock/link"
	"foxtaildock.example/dock/rpc/linkpb"
	"foxtaildock.example/dock/run"
	"foxtaildock.example/dock/work"
)

// FuzzMessageOfAnEntry passes a message of an entry to an agent whose backend server is
// in use.
func FuzzMessageOfAnEntry(f *testing.F) {
	add := func(m *linkpb.ToAgent) {
		text, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	add(&linkpb.ToAgent{Sequence: 1, Heartbeat: &linkpb.Heartbeat{Number: 1, AgentClockMs: 5, Operator: &linkpb.OperatorRows{Version: 3, WithdrawnDomains: []string{"d"}}}})
	add(&linkpb.ToAgent{Heartbeat: &linkpb.Heartbeat{AgentClockMs: -1, OperatorAgeMs: -1 << 62, Operator: &linkpb.OperatorRows{Manifest: []byte("{")}, WantsOperator: true}})
	add(&linkpb.ToAgent{Offers: []*linkpb.Offer{{Job: "j", Service: "s", Tasks: []*linkpb.OfferedTask{
		{Run: 1, Demand: link.DemandMessage(work.Demand{CPUMilli: -1000})}, {Run: 1, Index: 1 << 31, ExpectedMs: -1 << 62}, {},
	}}, {}}, Stops: []*linkpb.TaskKey{{Job: "j", Run: 1}, {}}})
	f.Fuzz(func(t *testing.T, text []byte) {
		m := &linkpb.ToAgent{}
		if proto.Unmarshal(text, m) != nil {
			return
		}
		r, s := newIdleRunner(t)
		r.handle(run.ServerReported{
			Server:      work.Server{Incarnation: "server", Service: "s", Domain: "d", Capacity: work.Demand{CPUMilli: 4000, MemoryMB: 1000}},
			StartUnixMs: serverStartMs, Sequence: 1,
		})
		r.handle(run.HoldAnswered{Call: 1, Stamp: run.Stamp{StartUnixMs: serverStartMs}})
		r.handle(messageEvent{s, m})
		r.flush()
		if room := r.core.Room(); room.Used.CPUMilli < 0 || !room.Used.Fits(room.Server.Capacity) {
			t.Fatalf("the runs use %+v of %+v", room.Used, room.Server.Capacity)
		}
	})
}
