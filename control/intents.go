package control

import (
	"context"
	"errors"
	"fmt"
	"time"

	"foxtaildock.example/dock/permit"
	"foxtaildock.example/dock/store"
	"foxtaildock.example/dock/telemetry"
)

// maxIntents bounds the unsettled intents that an entry tracks, and the outcomes
// that it keeps.
const maxIntents = 128

// intentLookupInterval is the time between two look-ups of the same unsettled
// intent.
const intentLookupInterval = time.Second

// intentTracker keeps the intents that agents report until they are settled, and
// the outcomes of the last maxIntents settled ones.
type intentTracker struct {
	expiry time.Duration
	open   map[string]openIntent
	done   map[string]permit.State
	// doneOrder lists the keys of done, oldest first, for eviction.
	doneOrder []string
}

type openIntent struct{ since, lookedUpAt time.Duration }

func newIntentTracker(expiry time.Duration) *intentTracker {
	return &intentTracker{expiry: expiry, open: make(map[string]openIntent), done: make(map[string]permit.State)}
}

// outcome returns the state after a settled intent, zero if it was cancelled. The
// second result is false if the outcome is not known.
func (t *intentTracker) outcome(id string) (permit.State, bool) {
	s, ok := t.done[id]
	return s, ok
}

// lookupDue records that an agent reported an unsettled intent, and reports
// whether to look it up now.
func (t *intentTracker) lookupDue(now time.Duration, id string) bool {
	o, ok := t.open[id]
	if !ok && len(t.open) >= maxIntents {
		return false
	}
	if !ok {
		o = openIntent{since: now}
	}
	if ok && now-o.lookedUpAt < intentLookupInterval {
		return false
	}
	o.lookedUpAt = now
	t.open[id] = o
	return true
}

func (t *intentTracker) settle(id string, after permit.State) {
	delete(t.open, id)
	if _, ok := t.done[id]; ok {
		return
	}
	if len(t.doneOrder) >= maxIntents {
		delete(t.done, t.doneOrder[0])
		t.doneOrder = t.doneOrder[1:]
	}
	t.done[id] = after
	t.doneOrder = append(t.doneOrder, id)
}

// resolveLoop looks up the outcomes of intents that agents still wait for.
func (c *Controller) resolveLoop(ctx context.Context) {
	firstSeen := make(map[string]time.Duration)
	for {
		select {
		case <-ctx.Done():
			return
		case id := <-c.unsettled:
			c.resolveOne(ctx, id, firstSeen)
		}
	}
}

func (c *Controller) resolveOne(ctx context.Context, id string, firstSeen map[string]time.Duration) {
	now := c.now()
	if _, ok := firstSeen[id]; !ok {
		if len(firstSeen) >= maxIntents {
			clear(firstSeen)
		}
		firstSeen[id] = now
	}
	cancel := now-firstSeen[id] >= c.cfg.IntentExpiry
	row, ok, err := resolveIntent(ctx, c.cfg.Table, id, cancel, c.cfg.ReadTimeout)
	if err != nil {
		c.cfg.Log.Debug("an intent can't be resolved yet", telemetry.Err(err))
		return
	}
	if ok {
		delete(firstSeen, id)
		c.inbox.Put(settled{id: id, after: row.state()})
	}
}

// resolveIntent returns the final outcome of an announced commit; the bool is
// false if there is none yet. With cancel it cancels a commit without an outcome
// by writing the intent's row itself: the commit requires that this row does not
// exist, so it can no longer take effect, however long it is delayed.
func resolveIntent(ctx context.Context, t store.Table, id string, cancel bool, timeout time.Duration) (intentRow, bool, error) {
	ctx, stop := context.WithTimeout(ctx, timeout)
	defer stop()
	key := intentKey(id)
	row, found, err := getRow[intentRow](ctx, t, key)
	if err != nil || found || !cancel {
		return row, found, err
	}
	cancelled := intentRow{Cancelled: true}
	err = t.Commit(ctx, store.Write{Key: key, Expect: 0, Value: encodeRow(cancelled)})
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		return getRow[intentRow](ctx, t, key)
	}
	if err != nil {
		return intentRow{}, false, fmt.Errorf("cancel intent: %w", err)
	}
	return cancelled, true, nil
}

// getRow reads and decodes one row; found is false if it does not exist.
func getRow[T any](ctx context.Context, t store.Table, key string) (row T, found bool, err error) {
	rows, err := t.Get(ctx, key)
	if err != nil {
		return row, false, fmt.Errorf("read %s: %w", key, err)
	}
	if len(rows) != 1 || rows[0].Version == 0 {
		return row, false, nil
	}
	row, err = decodeRow[T](key, rows[0].Value)
	return row, err == nil, err
}
