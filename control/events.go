package control

import (
	"time"

	"foxtaildock.example/dock/membership"
	"foxtaildock.example/dock/permit"
	"foxtaildock.example/dock/rpc/dockpb"
)

// event is what other goroutines tell the one that owns the duty's state.
type event interface{ controlEvent() }

// beat is a heartbeat of an agent.
type beat struct {
	request *dockpb.HeartbeatRequest
	reply   chan *dockpb.HeartbeatResponse
}

// exchange is a call of another entry.
type exchange struct {
	request *dockpb.ExchangeRequest
	reply   chan *dockpb.ExchangeResponse
}

// draftExchange asks for the next call to another entry.
type draftExchange struct {
	address string
	reply   chan *dockpb.ExchangeRequest
}

// exchanged is the answer of another entry.
type exchanged struct {
	address  string
	sentAt   time.Duration
	response *dockpb.ExchangeResponse
}

// confirmed is a read of the platform that found a state.
type confirmed struct{ confirmation permit.Confirmation }

// loaded is a snapshot that was read from the platform or committed there.
type loaded struct {
	snapshot *snapshot
	// done is closed once the snapshot is installed; it may be nil.
	done chan struct{}
}

// settled is the certain outcome of an announced change.
type settled struct {
	id    string
	after permit.State
}

// listed names the entries that the table lists.
type listed struct{ addresses []string }

// planned reports the end of an attempt to commit an epoch.
type planned struct{ err error }

// force lets the next epoch do without the members' word.
type force struct{}

// askStatus asks for the state of the cell.
type askStatus struct{ reply chan Status }

// askRank asks for the position of this entry among the live ones.
type askRank struct{ reply chan int }

func (beat) controlEvent()          {}
func (exchange) controlEvent()      {}
func (draftExchange) controlEvent() {}
func (exchanged) controlEvent()     {}
func (confirmed) controlEvent()     {}
func (loaded) controlEvent()        {}
func (settled) controlEvent()       {}
func (listed) controlEvent()        {}
func (planned) controlEvent()       {}
func (force) controlEvent()         {}
func (askStatus) controlEvent()     {}
func (askRank) controlEvent()       {}

func (d *Duty) step(e event) {
	switch e := e.(type) {
	case beat:
		e.reply <- d.beat(e.request)
	case exchange:
		e.reply <- d.exchange(e.request)
	case draftExchange:
		e.reply <- d.draftExchange()
	case exchanged:
		d.exchanged(e)
	case confirmed:
		d.granter.ConfirmRead(e.confirmation)
	case loaded:
		d.install(e.snapshot)
		if e.done != nil {
			close(e.done)
		}
	case settled:
		d.intents.settle(e.id, e.after)
		d.granter.RaiseKnown(e.after)
	case listed:
		for _, a := range e.addresses {
			d.meet(a)
		}
	case planned:
		d.planned(e.err)
	case force:
		d.forceNext = true
		d.apply(d.tracker.Step(d.now(), membership.SilentAreOff{}))
	case askStatus:
		e.reply <- d.status()
	case askRank:
		e.reply <- d.rank(d.now())
	}
}

// silentEntry is the time after which another entry no longer counts as live.
const silentEntry = 3 * time.Second

// rank counts the live entries whose incarnation sorts before this one.
func (d *Duty) rank(now time.Duration) int {
	n := 0
	for _, s := range d.entries {
		if s.heard && now-s.heardAt < silentEntry && s.incarnation < d.cfg.Self {
			n++
		}
	}
	return n
}
