package dispatcher

import (
	"errors"
	"time"

	"foxtaildock.example/dock/clock"
	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/link"
	"foxtaildock.example/dock/operator"
	"foxtaildock.example/dock/rpc/linkpb"
	"foxtaildock.example/dock/telemetry"
)

// Agents learn the version of the operators' rows from other entries or from the store,
// so an entry that is cut off from the store finds out through them that its rows are
// old. Since a manifest can be long, it asks one agent at a time for it.
const (
	// rowsBehindDelay is how long the entry may be behind an agent before it asks.
	// Usually its own read of the store is only a moment later.
	rowsBehindDelay = 250 * time.Millisecond
	// rowsRequestInterval is the shortest pause between two requests. The next one may
	// go to another agent.
	rowsRequestInterval = 300 * time.Millisecond
)

// rowsRequests decides when an agent is asked for newer operators' rows. The core
// goroutine owns it.
type rowsRequests struct {
	// behindSince is when an agent first named a newer version than the entry has, 0 if
	// none has.
	behindSince time.Duration
	requestedAt time.Duration
}

// due reports whether the agent that named a version is to be asked for its rows.
func (r *rowsRequests) due(agentVersion, ownVersion uint64, now time.Duration) bool {
	if agentVersion <= ownVersion {
		return false
	}
	if r.behindSince == 0 {
		r.behindSince = now
	}
	if now-r.behindSince < rowsBehindDelay || now-r.requestedAt < rowsRequestInterval {
		return false
	}
	r.requestedAt = now
	return true
}

// updated records that the entry has newer rows than before.
func (r *rowsRequests) updated() { r.behindSince = 0 }

// requestNewerRows asks the agent for the operators' rows if it has had a newer version
// than this entry for a while.
func (d *Dispatcher) requestNewerRows(a *agentLink, agentVersion uint64) {
	rows, age, _ := d.view.current()
	if !d.rowsRequests.due(agentVersion, rows.Version, clock.Now()) {
		return
	}
	d.cfg.Log.Info("operators' rows are older than those of an agent; asking it",
		telemetry.Peer(a.incarnation()), telemetry.RowsVersion(rows.Version), telemetry.Age(age))
	a.mu.Lock()
	defer a.mu.Unlock()
	a.wantsRows = true
}

// errRowsWithoutManifest is the error for rows of an agent that lack the manifest.
var errRowsWithoutManifest = errors.New("operators' rows without a manifest; the view would take their version for that of its own manifest")

// rowsOfAgent converts the operators' rows that an agent has read from the store. It
// returns an error for rows that must not replace those of the view.
func rowsOfAgent(o *linkpb.OperatorRows) (operator.Rows, error) {
	rows, err := link.OperatorOf(o)
	if err == nil && rows.Manifest == nil {
		err = errRowsWithoutManifest
	}
	return rows, err
}

// setOperatorRowsFromAgent updates the view with operators' rows from an agent, which
// may reach the store while this entry can't.
func (d *Dispatcher) setOperatorRowsFromAgent(agent ident.Incarnation, o *linkpb.OperatorRows) {
	rows, err := rowsOfAgent(o)
	if err != nil {
		d.cfg.Log.Warn("invalid operators' rows from an agent", telemetry.Peer(agent), telemetry.Err(err))
		return
	}
	// The message does not say when the store confirmed the rows, so they count as old.
	go d.setOperatorRows(rows, 0, "agent")
}
