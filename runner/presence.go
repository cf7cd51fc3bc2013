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

// OperatorStore is where operators' rows are kept.
type OperatorStore interface {
	Operator(ctx context.Context) (operator.Rows, error)
}

// Presence keeps entries aware of the agent, and the agent aware of what
// operators want when no entry tells it.
type Presence struct {
	Runner  *Runner
	Self    directory.Member
	Seeds   []string
	Store   OperatorStore
	Members directory.Table
	Log     *telemetry.Logger
}

const (
	// presencePause is the pause between two looks.
	presencePause = 500 * time.Millisecond
	// missedFor is how long an entry may be missing before the agent announces
	// itself again: its row may have been lost, or the entry be a new one.
	missedFor = 1500 * time.Millisecond
	// reannounceEvery bounds how often the agent announces itself.
	reannounceEvery = 5 * time.Second
	// operatorTooOld is the age of the operators' rows from which the agent asks
	// the store itself. Entries confirm them about once a second, and a failure
	// domain has to be out of use within a few seconds.
	operatorTooOld = 2 * time.Second
	// operatorRetry is the pause between the agent's own questions.
	operatorRetry = 1 * time.Second
)

// Run announces the agent until the context ends.
func (p *Presence) Run(ctx context.Context) {
	again := make(chan struct{}, 1)
	registrar := directory.Registrar{Self: p.Self, Table: p.Members, Log: p.Log, Again: again}
	go registrar.Run(ctx)
	go p.followOperator(ctx)
	client := rpc.NewClient()
	most := 0
	fullAt := clock.Now()
	announced := clock.Now() - reannounceEvery
	for pause.For(ctx, presencePause) {
		now := clock.Now()
		if n := p.Runner.Attached(); n > 0 && n >= most {
			most, fullAt = n, now
			continue
		}
		if now-fullAt < missedFor || now-announced < p.announcePause() {
			continue
		}
		announced = now
		most = p.Runner.Attached()
		select {
		case again <- struct{}{}:
		default:
		}
		p.announce(ctx, client)
	}
}

// announcePause is short while no entry knows the agent.
func (p *Presence) announcePause() time.Duration {
	if p.Runner.Attached() == 0 {
		return missedFor
	}
	return reannounceEvery
}

func (p *Presence) announce(ctx context.Context, client *http.Client) {
	_, answered := link.Announce(ctx, client, p.Seeds, p.Self)
	p.Log.Info("announced to entries", telemetry.Count(answered))
}

// followOperator asks the store for operators' rows while no entry confirms them.
func (p *Presence) followOperator(ctx context.Context) {
	for pause.For(ctx, operatorRetry) {
		age := p.Runner.OperatorAge()
		if age < operatorTooOld {
			continue
		}
		asked := clock.Now()
		rows, err := p.Store.Operator(ctx)
		if err != nil {
			p.Log.Warn("operators' rows are old and the store can't be reached", telemetry.Age(age), telemetry.Err(err))
			continue
		}
		p.Runner.Learn(rows, asked)
	}
}
