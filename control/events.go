package control

import (
	"time"

	"foxtaildock.example/dock/membership"
	"foxtaildock.example/dock/permit"
	"foxtaildock.example/dock/rpc/dockpb"
)

// event is a message to the goroutine that owns the Controller's state.
type event interface{ controlEvent() }

// heartbeat is a heartbeat call of an agent.
type heartbeat struct {
	request *dockpb.HeartbeatRequest
	reply   chan *dockpb.HeartbeatResponse
}

// exchange is an exchange call of another entry.
type exchange struct {
	request *dockpb.ExchangeRequest
	reply   chan *dockpb.ExchangeResponse
}

// prepareExchange asks for the request of the next exchange with another entry.
type prepareExchange struct {
	address string
	reply   chan *dockpb.ExchangeRequest
}

// exchangeAnswer is the answer of another entry to an exchange that was sent at
// sentAt.
type exchangeAnswer struct {
	address  string
	sentAt   time.Duration
	response *dockpb.ExchangeResponse
}

// confirmed reports a read of the platform that confirmed a state.
type confirmed struct{ confirmation permit.Confirmation }

// loaded reports a snapshot that was read from the platform or committed there.
type loaded struct {
	snapshot *snapshot
	// done is closed once the snapshot is installed; it may be nil.
	done chan struct{}
}

// settled reports the final outcome of an announced change. after is the zero
// state if it was cancelled.
type settled struct {
	id    string
	after permit.State
}

// entriesListed reports the addresses of the entries that the table lists.
type entriesListed struct{ addresses []string }

// epochCommitDone reports the end of an attempt to commit an epoch.
type epochCommitDone struct{ err error }

// forceEpoch is the request of Controller.ForceEpoch.
type forceEpoch struct{}

// askStatus asks for the state of the cell.
type askStatus struct{ reply chan Status }

// askRank asks for the rank of this entry; see Controller.rank.
type askRank struct{ reply chan int }

func (heartbeat) controlEvent()       {}
func (exchange) controlEvent()        {}
func (prepareExchange) controlEvent() {}
func (exchangeAnswer) controlEvent()  {}
func (confirmed) controlEvent()       {}
func (loaded) controlEvent()          {}
func (settled) controlEvent()         {}
func (entriesListed) controlEvent()   {}
func (epochCommitDone) controlEvent() {}
func (forceEpoch) controlEvent()      {}
func (askStatus) controlEvent()       {}
func (askRank) controlEvent()         {}

func (c *Controller) step(e event) {
	switch e := e.(type) {
	case heartbeat:
		e.reply <- c.answerHeartbeat(e.request)
	case exchange:
		e.reply <- c.answerExchange(e.request)
	case prepareExchange:
		e.reply <- c.buildExchangeRequest()
	case exchangeAnswer:
		c.handleExchangeAnswer(e)
	case confirmed:
		c.granter.ConfirmRead(e.confirmation)
	case loaded:
		c.install(e.snapshot)
		if e.done != nil {
			close(e.done)
		}
	case settled:
		c.intents.settle(e.id, e.after)
		c.granter.RaiseKnown(e.after)
	case entriesListed:
		for _, a := range e.addresses {
			c.addEntry(a)
		}
	case epochCommitDone:
		c.finishEpochCommit(e.err)
	case forceEpoch:
		c.forceNextEpoch = true
		c.apply(c.tracker.Step(c.now(), membership.SilentAgentsOff{}))
	case askStatus:
		e.reply <- c.status()
	case askRank:
		e.reply <- c.rank(c.now())
	}
}

// entrySilentAfter is the time without an answer after which another entry no
// longer counts as live.
const entrySilentAfter = 3 * time.Second

// rank returns the number of live entries whose incarnation sorts before that of
// this entry.
func (c *Controller) rank(now time.Duration) int {
	n := 0
	for _, s := range c.entries {
		if s.heard && now-s.heardAt < entrySilentAfter && s.incarnation < c.cfg.Self {
			n++
		}
	}
	return n
}
