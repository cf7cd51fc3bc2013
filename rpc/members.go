package rpc

import (
	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/membership"
	"foxtaildock.example/dock/permit"
	"foxtaildock.example/dock/rpc/dockpb"
)

// PeerToProto converts the state of an agent, as an entry knows it, to its
// message.
func PeerToProto(a *membership.Agent) *dockpb.Peer {
	p := AnnouncementToProto(&a.Announcement)
	p.State = uint32(a.State)
	p.OutOfService = a.OutOfService
	return p
}

// LoadToProto converts only the load and state of an agent, for a receiver that
// has the rest already. The receiver recognizes such a message by its missing
// address.
func LoadToProto(a *membership.Agent) *dockpb.Peer {
	return &dockpb.Peer{
		Incarnation:  string(a.Incarnation),
		Free:         uint32(max(a.Free, 0)),
		Queued:       uint32(max(a.Queued, 0)),
		PaceMs:       Millis(a.Pace),
		State:        uint32(a.State),
		OutOfService: a.OutOfService,
	}
}

// AnnouncementToProto converts an agent's announcement of itself to its message.
func AnnouncementToProto(n *membership.Announcement) *dockpb.Peer {
	p := &dockpb.Peer{
		Incarnation: string(n.Incarnation),
		Address:     n.Address,
		Domain:      string(n.Domain),
		Slots:       uint32(max(n.Slots, 0)),
		Free:        uint32(max(n.Free, 0)),
		Queued:      uint32(max(n.Queued, 0)),
		Waiting:     uint32(max(n.Waiting, 0)),
		PaceMs:      Millis(n.Pace),
		State:       uint32(membership.Up),
	}
	if n.Leaving {
		p.State = uint32(membership.Leaving)
	}
	for _, s := range n.Services {
		p.Services = append(p.Services, string(s))
	}
	return p
}

// AnnouncementFromProto converts an agent's announcement of itself from its
// message.
func AnnouncementFromProto(p *dockpb.Peer) membership.Announcement {
	n := membership.Announcement{
		Incarnation: ident.Incarnation(p.GetIncarnation()),
		Address:     p.GetAddress(),
		Domain:      ident.FailureDomain(p.GetDomain()),
		Slots:       int(p.GetSlots()),
		Free:        int(p.GetFree()),
		Queued:      int(p.GetQueued()),
		Waiting:     int(p.GetWaiting()),
		Pace:        Duration(p.GetPaceMs()),
		Leaving:     membership.State(p.GetState()) == membership.Leaving,
	}
	for _, s := range p.GetServices() {
		n.Services = append(n.Services, ident.Service(s))
	}
	return n
}

// PeerFromProto converts the state of an agent, as an entry knows it, from its
// message.
func PeerFromProto(p *dockpb.Peer) membership.Agent {
	return membership.Agent{
		Announcement: AnnouncementFromProto(p),
		State:        membership.State(p.GetState()),
		OutOfService: p.GetOutOfService(),
	}
}

// StateFromProto returns the state with the given document version and
// placement epoch.
func StateFromProto(version, epoch uint64) permit.State {
	return permit.State{Version: ident.DocVersion(version), Epoch: ident.Epoch(epoch)}
}
