package dispatcher

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"foxtaildock.example/dock/directory"
	"foxtaildock.example/dock/link"
	"foxtaildock.example/dock/rpc/linkpb"
	"foxtaildock.example/dock/work"
)

// FuzzMessageOfAnAgent passes a message of an agent to an entry that has a session with
// it.
func FuzzMessageOfAnAgent(f *testing.F) {
	add := func(m *linkpb.FromAgent) {
		text, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	demand := link.DemandMessage(work.Demand{CPUMilli: 4000, MemoryMB: 100})
	add(&linkpb.FromAgent{Taken: 1, Heartbeat: 1, ClockMs: 5, Room: &linkpb.Room{Incarnation: "i", Service: "s", Capacity: demand, Used: demand, Queued: []*linkpb.Queued{{Priority: 1, Demand: demand}}, Pace: 1}})
	add(&linkpb.FromAgent{Taken: 1 << 63, Heartbeat: 1 << 63, ClockMs: -1 << 63, Results: []*linkpb.Result{{Sequence: 1 << 63, Outcome: 99}, {}}, Stalled: []*linkpb.TaskKey{{}}})
	add(&linkpb.FromAgent{Welcome: &linkpb.Welcome{Agent: "b", Held: []*linkpb.TaskKey{{Job: "j", Run: 1}}}, OperatorVersion: 9, Operator: &linkpb.OperatorRows{Version: 9, Manifest: []byte("[")}})
	f.Fuzz(func(t *testing.T, text []byte) {
		m := &linkpb.FromAgent{}
		if proto.Unmarshal(text, m) != nil {
			return
		}
		d := newOfflineEntry(t)
		d.links.addMember(directory.Member{Role: directory.RoleAgent, Address: "a", Incarnation: "i"})
		d.chooseSubset()
		s := &link.Session{Out: make(chan *linkpb.ToAgent, 64)}
		a := d.links.agents["a"]
		d.handleAgentMessage(agentMessage{link: a, session: s, message: &linkpb.FromAgent{Welcome: &linkpb.Welcome{Agent: "i"}}})
		d.handleAgentMessage(agentMessage{link: a, session: s, message: m})
		d.chooseSubset()
	})
}
