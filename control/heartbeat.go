package control

import (
	"time"

	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/membership"
	"foxtaildock.example/dock/permit"
	"foxtaildock.example/dock/rpc"
	"foxtaildock.example/dock/rpc/dockpb"
)

// answerHeartbeat answers one heartbeat.
func (c *Controller) answerHeartbeat(r *dockpb.HeartbeatRequest) *dockpb.HeartbeatResponse {
	now := c.now()
	n := announcementOf(r)
	echo := c.echoOf(r)
	resp := &dockpb.HeartbeatResponse{Entry: string(c.cfg.Self), Echo: echoAt(now)}
	acts := c.tracker.Step(now, membership.Heartbeat{Agent: n})
	c.apply(acts)
	resp.Removed = isRemoved(acts)
	c.learnFromHeartbeat(now, r, n, echo)
	resp.Settled = c.settledFor(now, r.GetIntent())
	resp.Permit = c.permitFor(now, &n)
	resp.Confirmation = c.confirmationAt(now)
	if echo == 0 || echo <= c.entriesChangedAt {
		resp.Entries = c.entryPeers(now)
	}
	if s := c.current.Load(); s != nil && ident.Epoch(r.GetEpoch()) < s.placement.Epoch {
		resp.Placement = rpc.PlacementToProto(s.placement)
	}
	resp.Peers = c.peersFor(now, echo, n.Incarnation)
	return resp
}

func announcementOf(r *dockpb.HeartbeatRequest) membership.Announcement {
	n := rpc.AnnouncementFromProto(r.GetSelf())
	n.Running = int(r.GetRunning())
	n.Jobs = int(r.GetJobs())
	n.Joined = ident.Epoch(r.GetJoined())
	n.AppliedState = rpc.StateFromProto(r.GetVersion(), r.GetEpoch())
	return n
}

// peersFor returns the updates of its peers that a heartbeat reply sends to an
// agent.
func (c *Controller) peersFor(now, echo time.Duration, to ident.Incarnation) []*dockpb.Peer {
	var peers []*dockpb.Peer
	for _, p := range c.tracker.PeersSince(now, echo, to) {
		if p.LoadOnly {
			peers = append(peers, rpc.LoadToProto(&p.Agent))
			continue
		}
		peers = append(peers, rpc.PeerToProto(&p.Agent))
	}
	return peers
}

// echoAt returns a time of the Controller's clock as it is sent in the echo field,
// in microseconds.
func echoAt(now time.Duration) uint64 { return uint64(now / time.Microsecond) }

// echoOf returns the time of the newest reply of this entry's incarnation that the
// agent had received when it built the heartbeat, or zero if there is none.
func (c *Controller) echoOf(r *dockpb.HeartbeatRequest) time.Duration {
	if r.GetEntry() != string(c.cfg.Self) {
		return 0
	}
	return time.Duration(r.GetEcho()) * time.Microsecond
}

// learnFromHeartbeat passes what the heartbeat says about states and intents to
// the granter. The confirmation in a request shows only that a state exists; it
// does not prove that the state is still the newest, since the request may be old.
func (c *Controller) learnFromHeartbeat(now time.Duration, r *dockpb.HeartbeatRequest, n membership.Announcement, echo time.Duration) {
	confirmation := r.GetConfirmation()
	known := rpc.StateFromProto(confirmation.GetVersion(), confirmation.GetEpoch())
	if known.NewerThan(c.granter.Known()) {
		c.triggerRead()
	}
	c.granter.RaiseKnown(known)
	if echo > 0 && echo <= now {
		c.granter.ObserveHeartbeat(n.Incarnation, permit.MemberReport{Echo: echo, Known: known, Pending: r.GetIntent() != ""})
	}
}

func isRemoved(acts []membership.Action) bool {
	for _, a := range acts {
		if _, ok := a.(membership.Removed); ok {
			return true
		}
	}
	return false
}

// settledFor returns the outcome of an intent that an agent still waits for. If
// the outcome is not known here, it returns nil and has it looked up.
func (c *Controller) settledFor(now time.Duration, id string) *dockpb.SettledIntent {
	if id == "" {
		return nil
	}
	if after, ok := c.intents.outcome(id); ok {
		return &dockpb.SettledIntent{Id: id, Version: uint64(after.Version), Epoch: uint64(after.Epoch)}
	}
	if c.intents.lookupDue(now, id) {
		select {
		case c.unsettled <- id:
		default:
		}
	}
	return nil
}

func (c *Controller) permitFor(now time.Duration, n *membership.Announcement) *dockpb.Permit {
	f, ok := c.granter.Grant(now, n.Domain, n.Incarnation, n.Address)
	if !ok && f.State == (permit.State{}) {
		return nil
	}
	return &dockpb.Permit{
		Version:   uint64(f.State.Version),
		Epoch:     uint64(f.State.Epoch),
		InService: f.InService,
		RampMs:    rpc.Millis(f.Ramp),
		// Rounded down, so that the agent never gets a longer permit than was
		// granted.
		RemainingMs: uint32(f.Remaining / time.Millisecond),
	}
}

// confirmationAt returns the granter's base state with the age of its confirmation,
// rounded up, or nil if no state has been learned.
func (c *Controller) confirmationAt(now time.Duration) *dockpb.Confirmation {
	base := c.granter.Base()
	if !c.Ready() {
		return nil
	}
	return &dockpb.Confirmation{
		Version: uint64(base.State.Version),
		Epoch:   uint64(base.State.Epoch),
		AgeMs:   rpc.Millis(base.Age(now)),
	}
}

// entryPeers lists this entry and the live other entries.
func (c *Controller) entryPeers(now time.Duration) []*dockpb.EntryPeer {
	peers := []*dockpb.EntryPeer{c.selfPeer()}
	for _, address := range c.entryAddresses() {
		s := c.entries[address]
		if s.heard && now-s.heardAt < entrySilentAfter {
			peers = append(peers, entryToProto(address, s))
		}
	}
	return peers
}

func (c *Controller) selfPeer() *dockpb.EntryPeer {
	base := c.granter.Base().State
	return &dockpb.EntryPeer{
		Incarnation: string(c.cfg.Self),
		Address:     c.cfg.Address,
		Domain:      string(c.cfg.Domain),
		Version:     uint64(base.Version),
		Epoch:       uint64(base.Epoch),
	}
}

func entryToProto(address string, s *entryState) *dockpb.EntryPeer {
	return &dockpb.EntryPeer{
		Incarnation: string(s.incarnation),
		Address:     address,
		Domain:      string(s.domain),
		Version:     uint64(s.applied.Version),
		Epoch:       uint64(s.applied.Epoch),
	}
}
