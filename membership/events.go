package membership

import (
	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/permit"
	"foxtaildock.example/dock/placement"
)

// Event is an input of Tracker.Step.
type Event interface{ trackerEvent() }

// Heartbeat reports a heartbeat that arrived here.
type Heartbeat struct{ Agent Announcement }

// Elsewhere reports that another entry hears the agents itself.
type Elsewhere struct{ Agents []Announcement }

// Installed reports a newer placement. Its members count as heard at that time,
// so that an entry that has just started gives everyone a chance.
type Installed struct{ Placement *placement.Placement }

// ViewChanged reports a newer document version.
type ViewChanged struct{ View permit.View }

// SilentAreOff reports that an operator vouches that all agents that are silent
// for GoneAfter are off for good, although they are most of the fleet.
type SilentAreOff struct{}

// Tick reports that time has passed. It is due a few times per SuspectAfter.
type Tick struct{}

func (Heartbeat) trackerEvent()    {}
func (Elsewhere) trackerEvent()    {}
func (Installed) trackerEvent()    {}
func (ViewChanged) trackerEvent()  {}
func (SilentAreOff) trackerEvent() {}
func (Tick) trackerEvent()         {}

// Action is an output of Tracker.Step.
type Action interface{ trackerAction() }

// Changed reports that an agent moved between states, or, with equal states, that
// it was taken out of service or returned. From is zero if it is new.
type Changed struct {
	Agent    Agent
	From, To State
}

// Rejected reports a heartbeat that found no room.
type Rejected struct{ Incarnation ident.Incarnation }

// Removed reports a heartbeat of an incarnation that an epoch has taken out. It
// has to start over under a new one.
type Removed struct{ Incarnation ident.Incarnation }

// FaultOwn reports that more than half of the fleet went silent at once, or
// that this is over. While it lasts nobody is suspected or declared gone, since
// the likely cause is this process or its network.
type FaultOwn struct{ Begins bool }

func (Changed) trackerAction()  {}
func (Rejected) trackerAction() {}
func (Removed) trackerAction()  {}
func (FaultOwn) trackerAction() {}
