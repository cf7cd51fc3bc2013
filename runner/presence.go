package runner

import (
	"context"
	"net/http"
	"time"

	"foxtaildock.example/dock/clock"
	"foxtaildock.example/dock/directory"
	"foxtaildock.example/dock/link"
	"foxtaildock.example/dock/operator"
	"foxtaildock.example/dock/pause"
	"foxtaildock.example/dock/rpc"
	"foxtaildock.example/dock/telemetry"
)

// OperatorStore reads the operators' rows from the store. An error means that the
// store gave no usable answer.
type OperatorStore interface {
	Operator(ctx context.Context) (operator.Rows, error)
}

// Presence announces the agent to entries, and reads the operators' rows from the
// store while no entry confirms them.
type Presence struct {
	Runner *Runner
	Self   directory.Member
	Seeds  []string
	Store  OperatorStore
	Table  directory.Table
	Log    *telemetry.Logger
}

const (
	// presenceInterval is the pause between two checks of how many entries have a
	// session with the agent.
	presenceInterval = 500 * time.Millisecond
	// missingEntryTimeout is how long an entry may be missing before the agent announces
	// itself again: the agent's row may have been lost, or the entry may be a new one.
	missingEntryTimeout = 1500 * time.Millisecond
	// reannounceInterval is the shortest pause between two announcements while some
	// entry has a session with the agent.
	reannounceInterval = 5 * time.Second
	// operatorMaxAge is the age of the operators' rows above which the agent reads
	// them from the store itself. Entries confirm them about once a second, and a
	// withdrawn failure domain has to be out of use within a few seconds.
	operatorMaxAge = 2 * time.Second
	// operatorRetryInterval is the pause between the agent's own reads of the store.
	operatorRetryInterval = 1 * time.Second
)

// Run writes the agent's row and announces the agent, again whenever entries are
// missing, until the context ends.
func (p *Presence) Run(ctx context.Context) {
	rewrite := make(chan struct{}, 1)
	registrar := directory.Registrar{Self: p.Self, Table: p.Table, Log: p.Log, Rewrite: rewrite}
	go registrar.Run(ctx)
	go p.followOperator(ctx)
	client := rpc.NewClient()
	maxAttached := 0
	completeAt := clock.Now()
	announced := clock.Now() - reannounceInterval
	for pause.For(ctx, presenceInterval) {
		now := clock.Now()
		if n := p.Runner.Attached(); n > 0 && n >= maxAttached {
			maxAttached, completeAt = n, now
			continue
		}
		if now-completeAt < missingEntryTimeout || now-announced < p.minAnnounceInterval() {
			continue
		}
		announced = now
		maxAttached = p.Runner.Attached()
		select {
		case rewrite <- struct{}{}:
		default:
		}
		p.announce(ctx, client)
	}
}

// minAnnounceInterval returns the shortest pause between two announcements. It is short
// while no entry has a session with the agent.
func (p *Presence) minAnnounceInterval() time.Duration {
	if p.Runner.Attached() == 0 {
		return missingEntryTimeout
	}
	return reannounceInterval
}

func (p *Presence) announce(ctx context.Context, client *http.Client) {
	_, answered := link.Announce(ctx, client, p.Seeds, p.Self)
	p.Log.Info("announced to entries", telemetry.Count(answered))
}

// followOperator reads the operators' rows from the store while no entry confirms them,
// and when an entry that can't reach the store asks for them.
func (p *Presence) followOperator(ctx context.Context) {
	for pause.For(ctx, operatorRetryInterval) {
		age := p.Runner.OperatorAge()
		if age < operatorMaxAge && !p.Runner.rowsAreWanted() {
			continue
		}
		requestedAt := clock.Now()
		rows, err := p.Store.Operator(ctx)
		if err != nil {
			p.Log.Warn("operators' rows are old and the store can't be reached", telemetry.Age(age), telemetry.Err(err))
			continue
		}
		p.Runner.SetOperatorRows(rows, requestedAt)
	}
}

// rowsAreWanted reports whether an entry has asked for the operators' rows since the
// last call.
func (r *Runner) rowsAreWanted() bool {
	select {
	case <-r.rowsWanted:
		return true
	default:
		return false
	}
}
