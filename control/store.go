package control

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"foxtaildock.example/dock/audit"
	"foxtaildock.example/dock/document"
	"foxtaildock.example/dock/ident"
	"foxtaildock.example/dock/permit"
	"foxtaildock.example/dock/store"
	"foxtaildock.example/dock/telemetry"
)

// errBusy means that the Controller's queue of events is full or the Controller has
// stopped.
var errBusy = errors.New("the entry is too busy; try again")

// Bounds of the store.
const (
	// applyTries is the maximum number of attempts to commit one change. An
	// attempt is repeated if another change was committed meanwhile.
	applyTries = 8
	// maxHistory is the number of earlier texts that are kept of a section.
	maxHistory = 50
)

// Store reads and changes the operators' document in the platform. A change is one
// transaction that writes head, section, earlier text, change row, audit row and
// the intent row that settles its announcement. Store is safe for concurrent use.
type Store struct {
	controller *Controller
	cfg        *Config
}

// Store returns the document store of this entry.
func (c *Controller) Store() *Store { return &Store{controller: c, cfg: &c.cfg} }

// Applied is the result of an accepted change.
type Applied struct {
	ChangeID string
	Section  document.Name
	// Version is the document version that the change created.
	Version ident.DocVersion
	// Repeated is true if the change was already accepted by an earlier call.
	Repeated bool
}

// Apply commits a change. Its error is document.ErrForbidden, a
// *document.ConflictError, a *document.CheckError, ErrUnannounced, an error that
// the change id is malformed or names another change, or an error that wraps
// store.ErrUnavailable (nothing was changed) or store.ErrUnknown (repeat the call
// with the same change id). Accepted and refused changes leave an audit row. With
// forced the change is not announced.
func (s *Store) Apply(ctx context.Context, c document.Change, forced bool) (Applied, error) {
	applied, err := s.apply(ctx, c, forced)
	if err != nil {
		s.auditRefusal(c, forced, err)
		return Applied{}, err
	}
	s.controller.triggerRead()
	s.trimHistory(c.Section)
	return applied, nil
}

func (s *Store) apply(ctx context.Context, c document.Change, forced bool) (Applied, error) {
	if err := checkChangeID(c.ID, time.Now()); err != nil {
		return Applied{}, err
	}
	for range applyTries {
		if done, found, err := s.findApplied(ctx, c); found || err != nil {
			return done, err
		}
		snap, err := load(ctx, s.cfg.Table, s.cfg.Cell, s.tableSnapshot())
		if err != nil {
			return Applied{}, err
		}
		next, section, err := s.decide(ctx, snap, c)
		if err != nil {
			return Applied{}, err
		}
		err = s.commit(ctx, snap, section, c, forced)
		if err == nil {
			s.install(ctx, next)
			return Applied{ChangeID: c.ID, Section: c.Section, Version: section.Version}, nil
		}
		var conflict *store.ConflictError
		if !errors.As(err, &conflict) {
			return Applied{}, err
		}
	}
	return Applied{}, fmt.Errorf("%w: other changes came first %d times", store.ErrUnavailable, applyTries)
}

// install makes an accepted change effective at this entry before it is answered.
// If the platform becomes unavailable then, other processes still learn the
// content from this entry.
func (s *Store) install(ctx context.Context, next *snapshot) {
	e := loaded{snapshot: next, done: make(chan struct{})}
	if !s.controller.inbox.Put(e) {
		return
	}
	select {
	case <-e.done:
	case <-ctx.Done():
	}
}

// errChangeID means that a change id is malformed or its time is out of range.
var errChangeID = errors.New("a change id is the wall clock in milliseconds in 13 digits, a dash, and random letters")

// checkChangeID checks the form of a change id and that its time is near enough to
// the wall clock, so that the change's row is kept for as long as the id is
// accepted.
func checkChangeID(id string, wall time.Time) error {
	ms, rest, _ := strings.Cut(id, "-")
	at, err := strconv.ParseInt(ms, 10, 64)
	if err != nil || len(ms) != len(idPrefixAt(wall)) || rest == "" || len(id) > document.MaxNameLength {
		return errChangeID
	}
	if age := wall.Sub(time.UnixMilli(at)); age > changeRetention/2 || age < -changeRetention/2 {
		return fmt.Errorf("%w: the time is more than %v away", errChangeID, changeRetention/2)
	}
	return nil
}

// errIDReused means that the change id already names another change.
var errIDReused = errors.New("the change id was used for another change")

// findApplied looks up whether the change was accepted before. A caller that lost
// the answer repeats the change and gets the first result.
func (s *Store) findApplied(ctx context.Context, c document.Change) (Applied, bool, error) {
	row, found, err := getRow[changeRow](ctx, s.cfg.Table, changeKey(c.ID))
	if err != nil || !found {
		return Applied{}, false, err
	}
	if row.Section != c.Section || row.By != c.By.String() {
		return Applied{}, false, errIDReused
	}
	return Applied{ChangeID: c.ID, Section: row.Section, Version: row.Version, Repeated: true}, true, nil
}

// tableSnapshot returns the newest snapshot if its document was read from the
// table, and so has owners and dates, and nil otherwise.
func (s *Store) tableSnapshot() *snapshot {
	snap := s.controller.current.Load()
	if snap == nil || !snap.fromTable {
		return nil
	}
	return snap
}

func (s *Store) decide(ctx context.Context, snap *snapshot, c document.Change) (*snapshot, document.Section, error) {
	base := ""
	if last, ok := snap.document.Last(c.Section); ok && last.Version != c.Expect && c.Expect != 0 {
		old, _, err := getRow[document.Section](ctx, s.cfg.Table, historyKey(c.Section, c.Expect))
		if err != nil {
			s.cfg.Log.Warn("the section text that a change is based on can't be read", telemetry.Err(err))
		}
		base = old.Text
	}
	view, doc, next, err := document.Decide(snap.document, c, base, time.Now())
	if err != nil {
		return nil, document.Section{}, err
	}
	return snap.withDocument(doc, view), next, nil
}

// commit announces and commits one change.
func (s *Store) commit(ctx context.Context, snap *snapshot, next document.Section, c document.Change, forced bool) error {
	row := s.auditRow(c, forced)
	row.Outcome = audit.Accepted
	row.Version = next.Version
	writes := []store.Write{
		{Key: headKey, Expect: snap.headRowVersion, Value: encodeRow(headRow{Version: next.Version})},
		{Key: placementKeyOf(s.cfg), Expect: snap.placementRowVersion, CheckOnly: true},
		{Key: sectionKey(next.Name), Expect: store.AnyVersion, Value: encodeRow(next)},
		{Key: changeKey(c.ID), Expect: 0, Value: encodeRow(changeRow{Section: next.Name, Version: next.Version, By: c.By.String()})},
		{Key: row.Key(), Expect: 0, Value: encodeRow(row)},
	}
	if last, ok := snap.document.Last(next.Name); ok {
		writes = append(writes, store.Write{
			Key: historyKey(last.Name, last.Version), Expect: store.AnyVersion, Value: encodeRow(last),
		})
	}
	change := commit{
		table: s.cfg.Table, announcer: s.controller.announcer(), id: s.cfg.NewID(), base: snap, forced: forced,
		after:   permit.State{Version: next.Version, Epoch: snap.placement.Epoch},
		timeout: s.cfg.ReadTimeout, writes: writes, settlements: s.controller.settlements,
	}
	return change.run(ctx)
}

// auditRow returns the audit row of a change without its outcome.
func (s *Store) auditRow(c document.Change, forced bool) audit.Row {
	action := audit.Apply
	if c.Delete {
		action = audit.Delete
	}
	return audit.Row{
		ID: c.ID, UnixMS: time.Now().UnixMilli(), Entry: s.cfg.Self, By: c.By.String(), Action: action,
		Section: string(c.Section), Expect: c.Expect, Reason: c.Reason, Forced: forced,
	}
}

// Current returns the newest document. It reads the platform.
func (s *Store) Current(ctx context.Context) (*document.Document, error) {
	snap, err := load(ctx, s.cfg.Table, s.cfg.Cell, s.tableSnapshot())
	if err != nil {
		return nil, err
	}
	return snap.document, nil
}

// History returns up to limit of the newest versions of a section, newest first,
// the current one included.
func (s *Store) History(ctx context.Context, n document.Name, limit int) ([]document.Section, error) {
	doc, err := s.Current(ctx)
	if err != nil {
		return nil, err
	}
	var all []document.Section
	err = scanAll(ctx, s.cfg.Table, historyKeyPrefix(n), func(r store.Row) error {
		old, err := decodeRow[document.Section](r.Key, r.Value)
		all = append(all, old)
		return err
	})
	if err != nil {
		return nil, err
	}
	if last, ok := doc.Last(n); ok {
		all = append(all, last)
	}
	return newestFirst(all, limit), nil
}

// newestFirst returns up to limit of the last rows in reverse order.
func newestFirst[T any](rows []T, limit int) []T {
	var out []T
	for i := len(rows) - 1; i >= 0 && len(out) < limit; i-- {
		out = append(out, rows[i])
	}
	return out
}
