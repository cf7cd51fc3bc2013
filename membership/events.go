package membership

import (
	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/permit"
	"foxtaildock.example/dock/placement"
)

// Event is an input of Tracker.Step.
type Event interface{ trackerEvent() }

// Heartbeat reports a heartbeat that this entry received.
type Heartbeat struct{ Agent Announcement }

// HeardElsewhere reports agents whose heartbeats another entry receives.
type HeardElsewhere struct{ Agents []Announcement }

// Installed reports a newer placement. Members that are not tracked yet count as
// heard at that time, so that an entry that has just started does not declare them
// gone before their heartbeats arrive.
type Installed struct{ Placement *placement.Placement }

// ViewChanged reports a newer version of the operators' document.
type ViewChanged struct{ View permit.View }

// SilentAgentsOff reports that an operator confirms that all agents that have been
// silent for GoneAfter are off for good, although they are most of the agents.
type SilentAgentsOff struct{}

// Tick makes the tracker check timeouts. It must be sent several times per
// SuspectAfter.
type Tick struct{}

func (Heartbeat) trackerEvent()       {}
func (HeardElsewhere) trackerEvent()  {}
func (Installed) trackerEvent()       {}
func (ViewChanged) trackerEvent()     {}
func (SilentAgentsOff) trackerEvent() {}
func (Tick) trackerEvent()            {}

// Action is an output of Tracker.Step.
type Action interface{ trackerAction() }

// Changed reports that an agent changed its state or, if From and To are equal,
// that it was taken out of service or put back. From is zero for a new agent.
type Changed struct {
	Agent    Agent
	From, To State
}

// Rejected reports a heartbeat of a new agent that was refused because MaxAgents
// are tracked already.
type Rejected struct{ Incarnation ident.Incarnation }

// Removed reports a heartbeat of an incarnation that an epoch has removed. The
// agent has to continue under a new incarnation.
type Removed struct{ Incarnation ident.Incarnation }

// LocalFaultChanged reports the start (Active) or the end of a local fault: more than
// half of the agents are silent at once, so the likely cause is this process or its
// network. While it lasts, no agent is suspected or declared gone because of silence.
type LocalFaultChanged struct{ Active bool }

func (Changed) trackerAction()           {}
func (Rejected) trackerAction()          {}
func (Removed) trackerAction()           {}
func (LocalFaultChanged) trackerAction() {}
