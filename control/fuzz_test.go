package control

import (
	"net/http"
	"testing"

	"google.golang.org/protobuf/proto"

	"foxtaildock.example/dock/document"
	"foxtaildock.example/dock/permit"
	"foxtaildock.example/dock/placement"
	"foxtaildock.example/dock/rpc/dockpb"
	"foxtaildock.example/dock/store/memory"
	"foxtaildock.example/dock/telemetry"
)

// newFuzzController returns a Controller without background loops that has the
// empty state installed.
func newFuzzController(f *testing.F) *Controller {
	cfg := DefaultConfig()
	cfg.Self, cfg.Cell, cfg.Address = "entry0", "north", "10.0.0.1:1"
	cfg.Table = memory.New().Table()
	cfg.Client = &http.Client{}
	cfg.Log = telemetry.Discard()
	c, err := New(cfg, noopListener{})
	if err != nil {
		f.Fatal(err)
	}
	doc := document.New(0, nil)
	view, err := document.NewView(doc)
	if err != nil {
		f.Fatal(err)
	}
	c.install(&snapshot{document: doc, view: view, placement: placement.New(0, nil), fromTable: true})
	return c
}

func seed(f *testing.F, m proto.Message) {
	data, err := proto.Marshal(m)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
}

// Any heartbeat request is answered, and none of them makes the entry grant a
// permit without a confirmation.
func FuzzHeartbeat(f *testing.F) {
	seed(f, &dockpb.HeartbeatRequest{
		Self: &dockpb.Peer{Incarnation: "a", Address: "10.0.0.2:1", Slots: 8}, Entry: "entry0", Echo: 1 << 40, Joined: 3,
		Confirmation: &dockpb.Confirmation{Version: 1, Epoch: 1}, Intent: "x",
	})
	c := newFuzzController(f)
	f.Fuzz(func(t *testing.T, data []byte) {
		r := &dockpb.HeartbeatRequest{}
		if proto.Unmarshal(data, r) != nil {
			return
		}
		resp := c.answerHeartbeat(r)
		if resp.GetPermit().GetRemainingMs() > 0 || c.granter.Mode(c.now()) != permit.Isolated {
			t.Error("a permit was granted without a confirmation")
		}
	})
}

// No request of another entry changes the state, and no answer of another entry
// lowers the document version or the epoch.
func FuzzExchange(f *testing.F) {
	seed(f, &dockpb.ExchangeRequest{
		Self:  &dockpb.EntryPeer{Incarnation: "b", Version: 7, Epoch: 9},
		Peers: []*dockpb.Peer{{Incarnation: "a", Address: "10.0.0.2:1"}}, Demand: []*dockpb.TeamDemand{{Team: "t", Running: 3}},
	})
	seed(f, &dockpb.ExchangeResponse{
		Self: &dockpb.EntryPeer{Incarnation: "b"}, Confirmation: &dockpb.Confirmation{Version: 1, Epoch: 1, AgeMs: 20},
		Document:  &dockpb.Document{Version: 1, Sections: []*dockpb.Section{{Name: "domain/a", Text: "x"}}},
		Placement: &dockpb.Placement{Epoch: 1, Members: []*dockpb.Member{{Incarnation: "a", Joined: 1}}},
	})
	c := newFuzzController(f)
	c.entries["10.0.0.9:1"] = &entryState{stop: func() {}}
	f.Fuzz(func(t *testing.T, data []byte) {
		before := c.current.Load().state()
		request := &dockpb.ExchangeRequest{}
		if proto.Unmarshal(data, request) == nil {
			request.Self = &dockpb.EntryPeer{Version: request.GetSelf().GetVersion(), Epoch: request.GetSelf().GetEpoch()}
			c.answerExchange(request)
		}
		if after := c.current.Load().state(); after != before {
			t.Errorf("a request changed the state from %v to %v", before, after)
		}
		response := &dockpb.ExchangeResponse{}
		if proto.Unmarshal(data, response) == nil {
			c.handleExchangeAnswer(exchangeAnswer{address: "10.0.0.9:1", sentAt: c.now(), response: response})
		}
		if after := c.current.Load().state(); !after.Covers(before) {
			t.Errorf("an answer moved the state back from %v to %v", before, after)
		}
	})
}
