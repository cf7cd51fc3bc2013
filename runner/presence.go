package runner

import (
	"context"
	"net/http"
	"time"

	"foxtaildock.example/dock/clock"
	"foxtaildock.example/dock/directory"
	"foxtaildock.example/dock/ident"
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
	// missingEntryTimeout is how long an agent may be used by too few entries before it
	// announces itself.
	missingEntryTimeout = 1500 * time.Millisecond
	// reannounceInterval is the shortest pause between two announcements while some
	// entry has a session with the agent.
	reannounceInterval = 5 * time.Second
	// coverageMaxAge is how long the number of entries in the answers to an announcement
	// counts as known.
	coverageMaxAge = time.Minute
	// operatorMaxAge is the age of the operators' rows above which the agent reads
	// them from the store itself. Entries confirm them about once a second, and a
	// withdrawn failure domain has to be out of use within a few seconds.
	operatorMaxAge = 2 * time.Second
	// operatorRetryInterval is the pause between the agent's own reads of the store.
	operatorRetryInterval = 1 * time.Second
)

// Run writes the agent's row and announces the agent whenever too few entries use it,
// until the context ends.
func (p *Presence) Run(ctx context.Context) {
	rewrite := make(chan struct{}, 1)
	registrar := directory.Registrar{Self: p.Self, Table: p.Table, Log: p.Log, Rewrite: rewrite}
	go registrar.Run(ctx)
	go p.followOperator(ctx)
	client := rpc.NewClient()
	wanted := wantedAtMost
	completeAt := clock.Now()
	announced := clock.Now() - reannounceInterval
	for pause.For(ctx, presenceInterval) {
		now := clock.Now()
		have := coverage{p.Runner.Attached(), p.Runner.AttachedDomains()}
		if now-announced >= coverageMaxAge {
			wanted = wantedAtMost // entries may have come since
		}
		if have.atLeast(wanted) {
			completeAt = now
			continue
		}
		if now-completeAt < missingEntryTimeout || now-announced < have.minAnnounceInterval() {
			continue
		}
		announced = now
		if have.entries == 0 {
			select {
			case rewrite <- struct{}{}:
			default: // being written already
			}
		}
		wanted = p.announce(ctx, client)
	}
}

// coverage is a number of entries and of their failure domains.
type coverage struct{ entries, domains int }

// wantedAtMost is the coverage at which the loss of an entry or of its failure domain
// leaves the agent in use.
var wantedAtMost = coverage{entries: 2, domains: 2}

func (c coverage) atLeast(o coverage) bool { return c.entries >= o.entries && c.domains >= o.domains }

// minAnnounceInterval returns the shortest pause between two announcements. It is short
// while no entry has a session with the agent.
func (c coverage) minAnnounceInterval() time.Duration {
	if c.entries == 0 {
		return missingEntryTimeout
	}
	return reannounceInterval
}

// announce asks the entries at the seeds to use the agent. It returns the coverage to
// aim at: wantedAtMost, or less if there are fewer entries.
func (p *Presence) announce(ctx context.Context, client *http.Client) coverage {
	members, answered := link.Announce(ctx, client, p.Seeds, p.Self)
	p.Log.Info("announced to entries", telemetry.Count(answered))
	if answered == 0 {
		return wantedAtMost
	}
	return coverageOf(members)
}

// coverageOf returns the coverage that all entries among the members give, at most
// wantedAtMost.
func coverageOf(members []directory.Member) coverage {
	entries := map[string]bool{}
	domains := map[ident.FailureDomain]bool{}
	for _, m := range members {
		if m.Role == directory.RoleEntry {
			entries[m.Address] = true
			domains[m.Domain] = true
		}
	}
	return coverage{min(len(entries), wantedAtMost.entries), min(len(domains), wantedAtMost.domains)}
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
