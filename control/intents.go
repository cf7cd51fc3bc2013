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

// maxIntents bounds the intents that an entry follows.
const maxIntents = 128

// resolvePause is the time between two looks at the same unsettled intent.
const resolvePause = time.Second

// intentBook remembers intents that agents report until they are settled, and
// the outcomes for a while after.
type intentBook struct {
	expiry time.Duration
	open   map[string]openIntent
	done   map[string]permit.State
	// order lists the keys of done, oldest first, to forget them in turn.
	order []string
}

type openIntent struct{ since, askedAt time.Duration }

func newIntentBook(expiry time.Duration) *intentBook {
	return &intentBook{expiry: expiry, open: make(map[string]openIntent), done: make(map[string]permit.State)}
}

// outcome returns how an intent ended, if that is known.
func (b *intentBook) outcome(id string) (permit.State, bool) {
	s, ok := b.done[id]
	return s, ok
}

// due notes that an agent reported an intent and says whether to look it up now.
func (b *intentBook) due(now time.Duration, id string) bool {
	o, ok := b.open[id]
	if !ok && len(b.open) >= maxIntents {
		return false
	}
	if !ok {
		o = openIntent{since: now}
	}
	if ok && now-o.askedAt < resolvePause {
		return false
	}
	o.askedAt = now
	b.open[id] = o
	return true
}

func (b *intentBook) settle(id string, after permit.State) {
	delete(b.open, id)
	if _, ok := b.done[id]; ok {
		return
	}
	if len(b.order) >= maxIntents {
		delete(b.done, b.order[0])
		b.order = b.order[1:]
	}
	b.done[id] = after
	b.order = append(b.order, id)
}

// resolveLoop finds out how intents ended whose outcome agents still wait for.
func (d *Duty) resolveLoop(ctx context.Context) {
	first := make(map[string]time.Duration)
	for {
		select {
		case <-ctx.Done():
			return
		case id := <-d.unsettled:
			d.resolveOne(ctx, id, first)
		}
	}
}

func (d *Duty) resolveOne(ctx context.Context, id string, first map[string]time.Duration) {
	now := d.now()
	if _, ok := first[id]; !ok {
		if len(first) >= maxIntents {
			clear(first)
		}
		first[id] = now
	}
	cancel := now-first[id] >= d.cfg.IntentExpiry
	row, ok, err := resolveIntent(ctx, d.cfg.Table, id, cancel, d.cfg.ReadTimeout)
	if err != nil {
		d.cfg.Log.Debug("an intent can't be resolved yet", telemetry.Err(err))
		return
	}
	if ok {
		delete(first, id)
		d.box.Put(settled{id: id, after: row.state()})
	}
}

// resolveIntent returns the certain outcome of an announced commit. With cancel
// it makes sure of one: a commit writes the intent's row as new, so once
// somebody else has written it the commit can't take effect any more, however
// long it is under way.
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

// getRow reads one row; found is false if it does not exist.
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
