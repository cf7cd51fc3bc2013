package control

import (
	"context"

	"connectrpc.com/connect"

	"foxtaildock.example/dock/document"
	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/membership"
	"foxtaildock.example/dock/pause"
	"foxtaildock.example/dock/permit"
	"foxtaildock.example/dock/rpc"
	"foxtaildock.example/dock/rpc/dockpb"
	"foxtaildock.example/dock/rpc/dockpb/dockpbconnect"
	"foxtaildock.example/dock/telemetry"
)

// exchangeLoop sends an exchange to another entry every ExchangeInterval until the
// context ends.
func (c *Controller) exchangeLoop(ctx context.Context, address string) {
	client := dockpbconnect.NewEntryServiceClient(c.cfg.Client, "http://"+address, rpc.ClientOptions())
	for pause.For(ctx, c.cfg.ExchangeInterval) {
		e := prepareExchange{address: address, reply: make(chan *dockpb.ExchangeRequest, 1)}
		if !c.inbox.Put(e) {
			return
		}
		var request *dockpb.ExchangeRequest
		select {
		case request = <-e.reply:
		case <-ctx.Done():
			return
		}
		c.callEntry(ctx, client, address, request)
	}
}

func (c *Controller) callEntry(ctx context.Context, client dockpbconnect.EntryServiceClient, address string, r *dockpb.ExchangeRequest) {
	ctx, stop := context.WithTimeout(ctx, c.cfg.CallTimeout)
	defer stop()
	sentAt := c.now()
	resp, err := client.Exchange(ctx, connect.NewRequest(r))
	if err != nil {
		c.cfg.Log.Debug("exchange with another entry failed", telemetry.Err(err))
		return
	}
	c.inbox.Put(exchangeAnswer{address: address, sentAt: sentAt, response: resp.Msg})
}

// buildExchangeRequest returns the request of the next exchange.
func (c *Controller) buildExchangeRequest() *dockpb.ExchangeRequest {
	now := c.now()
	r := &dockpb.ExchangeRequest{Self: c.selfPeer(), Confirmation: c.confirmationAt(now)}
	for _, n := range c.tracker.HeardLocally(now, maxExchangePeers) {
		r.Peers = append(r.Peers, &dockpb.Peer{Incarnation: string(n.Incarnation), Address: n.Address, Domain: string(n.Domain)})
	}
	for _, t := range c.listener.Demand() {
		r.Demand = append(r.Demand, &dockpb.TeamDemand{
			Team: string(t.Team), StartsPerSecond: uint32(max(t.StartsPerSecond, 0)), Running: uint32(max(t.Running, 0)),
		})
	}
	return r
}

// answerExchange answers the exchange call of another entry. States in the request
// show only that newer ones exist; they confirm nothing, since the request may be
// old.
func (c *Controller) answerExchange(r *dockpb.ExchangeRequest) *dockpb.ExchangeResponse {
	now := c.now()
	self := r.GetSelf()
	c.addEntry(self.GetAddress())
	theirs := rpc.StateFromProto(self.GetVersion(), self.GetEpoch())
	c.learnState(theirs)
	c.learnState(rpc.StateFromProto(r.GetConfirmation().GetVersion(), r.GetConfirmation().GetEpoch()))
	c.apply(c.tracker.Step(now, membership.HeardElsewhere{Agents: peerAnnouncementsOf(r)}))
	c.listener.SetDemand(ident.Incarnation(self.GetIncarnation()), demandOf(r))
	resp := &dockpb.ExchangeResponse{Self: c.selfPeer(), Confirmation: c.confirmationAt(now)}
	s := c.current.Load()
	if s == nil || s.state() != c.granter.Base().State {
		return resp
	}
	if theirs.Version < s.document.Version {
		resp.Document = documentToProto(s.document)
	}
	if theirs.Epoch < s.placement.Epoch {
		resp.Placement = rpc.PlacementToProto(s.placement)
	}
	return resp
}

// learnState passes a state to the granter and triggers a read of the platform if
// the state is newer than any known one.
func (c *Controller) learnState(s permit.State) {
	if s.NewerThan(c.granter.Known()) {
		c.triggerRead()
	}
	c.granter.RaiseKnown(s)
}

// handleExchangeAnswer handles the answer of another entry: its confirmation of a
// state, and the content of a newer state.
func (c *Controller) handleExchangeAnswer(e exchangeAnswer) {
	now := c.now()
	s, ok := c.entries[e.address]
	if !ok {
		return
	}
	self := e.response.GetSelf()
	s.incarnation = ident.Incarnation(self.GetIncarnation())
	s.domain = ident.FailureDomain(self.GetDomain())
	s.applied = rpc.StateFromProto(self.GetVersion(), self.GetEpoch())
	if !s.heard {
		c.entriesChangedAt = now
	}
	s.heard = true
	s.heardAt = now
	confirmation := e.response.GetConfirmation()
	if confirmation == nil {
		return
	}
	state := rpc.StateFromProto(confirmation.GetVersion(), confirmation.GetEpoch())
	c.learnState(state)
	if next := c.snapshotOf(e.response, state); next != nil {
		c.install(next)
	}
	c.granter.Confirm(permit.ConfirmationFromAnswer(e.sentAt, state, rpc.Duration(confirmation.GetAgeMs())))
}

// snapshotOf builds the snapshot of a newer state from the answer of another
// entry and, for a part that the answer leaves out, the current snapshot. It
// returns nil unless both parts are those of the given committed state.
func (c *Controller) snapshotOf(r *dockpb.ExchangeResponse, state permit.State) *snapshot {
	s := &snapshot{}
	if old := c.current.Load(); old != nil {
		s.document, s.view, s.placement = old.document, old.view, old.placement
	}
	if r.GetDocument() != nil {
		doc := documentFromProto(r.GetDocument())
		view, err := document.NewView(doc)
		if err != nil {
			c.cfg.Log.Error("another entry sent an invalid document", telemetry.Err(err))
			return nil
		}
		s.document, s.view = doc, view
	}
	if r.GetPlacement() != nil {
		s.placement = rpc.PlacementFromProto(r.GetPlacement())
	}
	if s.document == nil || s.placement == nil || s.state() != state {
		return nil
	}
	return s
}

func peerAnnouncementsOf(r *dockpb.ExchangeRequest) []membership.Announcement {
	var ns []membership.Announcement
	for _, p := range r.GetPeers() {
		ns = append(ns, rpc.AnnouncementFromProto(p))
	}
	return ns
}

func demandOf(r *dockpb.ExchangeRequest) []Demand {
	ds := []Demand{}
	for _, t := range r.GetDemand() {
		ds = append(ds, Demand{
			Team: ident.Team(t.GetTeam()), StartsPerSecond: int(t.GetStartsPerSecond()), Running: int(t.GetRunning()),
		})
	}
	return ds
}

func documentToProto(d *document.Document) *dockpb.Document {
	p := &dockpb.Document{Version: uint64(d.Version)}
	for _, s := range d.Sections() {
		p.Sections = append(p.Sections, &dockpb.Section{Name: string(s.Name), Version: uint64(s.Version), Text: s.Text})
	}
	return p
}

func documentFromProto(p *dockpb.Document) *document.Document {
	sections := make([]document.Section, 0, len(p.GetSections()))
	for _, s := range p.GetSections() {
		sections = append(sections, document.Section{
			Name: document.Name(s.GetName()), Version: ident.DocVersion(s.GetVersion()), Text: s.GetText(),
		})
	}
	return document.New(ident.DocVersion(p.GetVersion()), sections)
}
