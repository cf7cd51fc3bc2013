package control

import (
	"context"
	"errors"
	"fmt"
	"time"

	"foxtaildock.example/dock/membership"
	"foxtaildock.example/dock/pause"
	"foxtaildock.example/dock/permit"
	"foxtaildock.example/dock/store"
	"foxtaildock.example/dock/telemetry"
)

// epochRetry is the pause after a failed attempt to commit an epoch.
const epochRetry = 2 * time.Second

// plan starts the commit of a new epoch if one is due. It needs a snapshot from
// the table: a placement from another entry lacks the dates of leaves.
func (c *Controller) plan(now time.Duration) {
	s := c.current.Load()
	if c.epochCommitRunning || s == nil || !s.fromTable || c.granter.Mode(now) != permit.Confirmed {
		return
	}
	prop, ok := c.planner.Plan(now, time.Now(), c.tracker, s.placement, c.rank(now))
	if !ok {
		return
	}
	c.epochCommitRunning = true
	forced := c.forceNextEpoch
	c.work.Add(1)
	go func() {
		defer c.work.Done()
		err := c.commitEpoch(c.ctx, prop, s, forced)
		c.inbox.Put(epochCommitDone{err})
	}()
}

// finishEpochCommit handles the end of an attempt to commit an epoch.
func (c *Controller) finishEpochCommit(err error) {
	c.epochCommitRunning = false
	if err == nil {
		c.forceNextEpoch = false
		c.triggerRead()
		return
	}
	c.cfg.Log.Warn("a placement epoch was not committed", telemetry.Err(err))
	c.planner.Defer(c.now() + epochRetry)
	c.triggerRead()
}

// commitEpoch announces and commits a placement. The transaction also checks the
// document's head row, so that the change replaces exactly the state of s.
func (c *Controller) commitEpoch(ctx context.Context, prop membership.Proposal, s *snapshot, forced bool) error {
	value, err := membership.EncodePlacement(prop.Next)
	if err != nil {
		return fmt.Errorf("encode placement: %w", err)
	}
	after := permit.State{Version: s.document.Version, Epoch: prop.Next.Epoch}
	change := commit{
		table: c.cfg.Table, announcer: c.announcer(), id: c.cfg.NewID(), base: s, after: after, forced: forced,
		timeout: c.cfg.ReadTimeout, settlements: c.settlements,
		writes: []store.Write{
			{Key: membership.PlacementKey(c.cfg.Cell), Expect: s.placementRowVersion, Value: value},
			{Key: headKey, Expect: s.headRowVersion, CheckOnly: true},
		},
	}
	if err := change.run(ctx); err != nil {
		return err
	}
	c.inbox.Put(loaded{snapshot: s.withPlacement(prop.Next)})
	c.cfg.Log.Info("placement committed", telemetry.Epoch(prop.Next.Epoch), telemetry.Count(len(prop.Next.Current())))
	return nil
}

func (c *Controller) announcer() *announcer {
	return &announcer{client: c.cfg.Client, timeout: c.cfg.CallTimeout}
}

// ForceEpoch declares the agents gone that are silent at all entries, and lets the
// next epoch that this entry proposes be committed without acknowledgements of
// the members. It is for an operator who knows that the silent agents are off for
// good. It returns false if the Controller is too busy or has stopped.
func (c *Controller) ForceEpoch() bool { return c.inbox.Offer(forceEpoch{}) }

// commit is one change of the state: it is announced, committed and settled.
type commit struct {
	table     store.Table
	announcer *announcer
	id        string
	base      *snapshot
	after     permit.State
	writes    []store.Write
	forced    bool
	timeout   time.Duration
	// settlements receives the outcome, of which the members are notified.
	settlements chan<- settlement
}

// errCancelled means that the commit was cancelled after its answer was lost or
// by an entry that stopped waiting for it. It can no longer take effect.
var errCancelled = errors.New("the change took too long and was cancelled")

// run executes the change. If the change has no effect and never will have, the
// error wraps ErrUnannounced, errCancelled, a *store.ConflictError or
// store.ErrUnavailable. If its outcome is not known, it wraps store.ErrUnknown.
func (c *commit) run(ctx context.Context) error {
	members := c.base.placement.Current()
	if !c.forced {
		if err := c.announcer.announce(ctx, c.id, members); err != nil {
			c.settleLater(permit.State{})
			return err
		}
	}
	row := intentRow{Version: c.after.Version, Epoch: c.after.Epoch}
	writes := append([]store.Write{{Key: intentKey(c.id), Expect: 0, Value: encodeRow(row)}}, c.writes...)
	err := c.commitOnce(ctx, writes)
	if errors.Is(err, store.ErrUnknown) || isConflict(err, intentKey(c.id)) {
		err = c.resolve(ctx, err)
	}
	switch {
	case err == nil:
		c.settleLater(c.after)
	case !errors.Is(err, store.ErrUnknown):
		c.settleLater(permit.State{})
	}
	return err
}

func (c *commit) commitOnce(ctx context.Context, writes []store.Write) error {
	ctx, stop := context.WithTimeout(ctx, c.timeout)
	defer stop()
	return c.table.Commit(ctx, writes...)
}

// isConflict reports whether a commit failed because of a conflict on the given
// row.
func isConflict(err error, key string) bool {
	var conflict *store.ConflictError
	return errors.As(err, &conflict) && conflict.Key == key
}

// resolveTries and resolveInterval bound the attempts to find the outcome of a
// commit whose answer was lost.
const (
	resolveTries    = 4
	resolveInterval = 300 * time.Millisecond
)

// resolve looks up the outcome of a commit whose answer was lost, and cancels the
// commit if it has not taken effect yet. It returns lost if no look-up succeeds.
func (c *commit) resolve(ctx context.Context, lost error) error {
	for range resolveTries {
		row, ok, err := resolveIntent(ctx, c.table, c.id, true, c.timeout)
		switch {
		case err == nil && ok && row.Cancelled:
			return errCancelled
		case err == nil && ok:
			return nil
		}
		if !pause.For(ctx, resolveInterval) {
			break
		}
	}
	return lost
}

// settleLater leaves the notification of the members to settleLoop, so that the
// request that made the change need not wait for it. If the queue is full, the
// members ask for the outcome in their heartbeats.
func (c *commit) settleLater(after permit.State) {
	if c.forced {
		return
	}
	select {
	case c.settlements <- settlement{id: c.id, after: after, members: c.base.placement.Current()}:
	default:
	}
}
