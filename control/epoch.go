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

// epochRetry is the pause after a proposal that could not be committed.
const epochRetry = 2 * time.Second

// plan starts the commit of a new epoch if one is due. It is based on a snapshot
// from the table only: what other entries pass on lacks the dates of leaves.
func (d *Duty) plan(now time.Duration) {
	s := d.current.Load()
	if d.planning || s == nil || !s.fromTable || d.granter.Mode(now) != permit.Confirmed {
		return
	}
	prop, ok := d.planner.Plan(now, time.Now(), d.tracker, s.placement, d.rank(now))
	if !ok {
		return
	}
	d.planning = true
	forced := d.forceNext
	d.work.Add(1)
	go func() {
		defer d.work.Done()
		err := d.commitEpoch(d.ctx, prop, s, forced)
		d.box.Put(planned{err})
	}()
}

// planned takes the end of an attempt.
func (d *Duty) planned(err error) {
	d.planning = false
	if err == nil {
		d.forceNext = false
		d.kickReader()
		return
	}
	d.cfg.Log.Warn("a placement epoch was not committed", telemetry.Err(err))
	d.planner.Defer(d.now() + epochRetry)
	d.kickReader()
}

// commitEpoch announces and commits a placement. The row of the document is
// checked along, so that the state that the change replaces is exactly s.
func (d *Duty) commitEpoch(ctx context.Context, prop membership.Proposal, s *snapshot, forced bool) error {
	value, err := membership.EncodePlacement(prop.Next)
	if err != nil {
		return fmt.Errorf("encode placement: %w", err)
	}
	after := permit.State{Version: s.document.Version, Epoch: prop.Next.Epoch}
	c := commit{
		table: d.cfg.Table, tell: d.announcer(), id: d.cfg.NewID(), base: s, after: after, forced: forced,
		timeout: d.cfg.ReadTimeout, settlements: d.settlements,
		writes: []store.Write{
			{Key: membership.PlacementKey(d.cfg.Cell), Expect: s.placementRow, Value: value},
			{Key: headKey, Expect: s.headRow, CheckOnly: true},
		},
	}
	if err := c.run(ctx); err != nil {
		return err
	}
	d.box.Put(loaded{snapshot: s.withPlacement(prop.Next)})
	d.cfg.Log.Info("placement committed", telemetry.Epoch(prop.Next.Epoch), telemetry.Count(len(prop.Next.Current())))
	return nil
}

func (d *Duty) announcer() *announcer {
	return &announcer{client: d.cfg.Client, timeout: d.cfg.CallTimeout}
}

// ForceEpoch declares the agents gone that are silent at all entries, and lets the
// next epoch that this entry proposes do without the word of the members. An
// operator asks for it who knows that the silent ones are off for good.
func (d *Duty) ForceEpoch() bool { return d.box.Offer(force{}) }

// commit is one announced change of the state: announce, commit, settle.
type commit struct {
	table   store.Table
	tell    *announcer
	id      string
	base    *snapshot
	after   permit.State
	writes  []store.Write
	forced  bool
	timeout time.Duration
	// settlements takes the outcome for the members.
	settlements chan<- settlement
}

// errCancelled means that another entry gave up waiting for the commit and made
// sure that it never takes effect.
var errCancelled = errors.New("the change took too long and was cancelled")

// run carries the change out. Its error wraps ErrUnannounced, errCancelled, a
// *store.ConflictError or store.ErrUnavailable if the change has no effect
// and never will have, and store.ErrUnknown if that is open.
func (c *commit) run(ctx context.Context) error {
	members := c.base.placement.Current()
	if !c.forced {
		if err := c.tell.announce(ctx, c.id, members); err != nil {
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

// isConflict reports whether a commit failed on the given row.
func isConflict(err error, key string) bool {
	var conflict *store.ConflictError
	return errors.As(err, &conflict) && conflict.Key == key
}

// resolveTries and resolveEvery bound how long a lost answer is looked for.
const (
	resolveTries = 4
	resolveEvery = 300 * time.Millisecond
)

// resolve finds out what became of a commit whose answer was lost, and cancels
// it if it has not taken effect yet.
func (c *commit) resolve(ctx context.Context, lost error) error {
	for range resolveTries {
		row, ok, err := resolveIntent(ctx, c.table, c.id, true, c.timeout)
		switch {
		case err == nil && ok && row.Cancelled:
			return errCancelled
		case err == nil && ok:
			return nil
		}
		if !pause.For(ctx, resolveEvery) {
			break
		}
	}
	return lost
}

// settleLater has the members told by the settler, so that the request that made
// the change need not wait. If the settler is busy, the members ask for the
// outcome in their heartbeats.
func (c *commit) settleLater(after permit.State) {
	if c.forced {
		return
	}
	select {
	case c.settlements <- settlement{id: c.id, after: after, members: c.base.placement.Current()}:
	default:
	}
}
