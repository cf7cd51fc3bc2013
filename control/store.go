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

// errBusy means that the control duty is too busy to look at a request.
var errBusy = errors.New("the entry is too busy; try again")

// Bounds of the store.
const (
	// applyTries bounds how often a change starts over since other sections
	// changed meanwhile.
	applyTries = 8
	// maxHistory is the number of earlier texts that are kept of a section.
	maxHistory = 50
)

// Store keeps the operators' document in the platform. A change is one
// transaction: head, section, earlier text, change row, audit row and the row
// that settles its announcement. It is safe for use by several goroutines.
type Store struct {
	duty *Duty
	cfg  *Config
}

// Store returns the document store of this entry.
func (d *Duty) Store() *Store { return &Store{duty: d, cfg: &d.cfg} }

// Applied says what an accepted change did.
type Applied struct {
	ChangeID string
	Section  document.Name
	// Version is the document version that the change made.
	Version ident.DocVersion
	// Repeated is true if the change had been accepted before.
	Repeated bool
}

// Apply carries out a change, or says why not: document.ErrForbidden, a
// *document.ConflictError, a *document.CheckError, ErrUnannounced, or an error
// that wraps store.ErrUnavailable (nothing was changed) or
// store.ErrUnknown (ask again with the same change id). Accepted and refused
// changes leave an audit row. With forced the change does without the
// announcement.
func (s *Store) Apply(ctx context.Context, c document.Change, forced bool) (Applied, error) {
	applied, err := s.apply(ctx, c, forced)
	if err != nil {
		s.auditRefusal(c, forced, err)
		return Applied{}, err
	}
	s.duty.kickReader()
	s.trimHistory(c.Section)
	return applied, nil
}

func (s *Store) apply(ctx context.Context, c document.Change, forced bool) (Applied, error) {
	if err := checkChangeID(c.ID, time.Now()); err != nil {
		return Applied{}, err
	}
	for range applyTries {
		if done, found, err := s.earlier(ctx, c); found || err != nil {
			return done, err
		}
		snap, err := load(ctx, s.cfg.Table, s.cfg.Cell, s.fromTable())
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

// install puts an accepted change in force at this entry before it is answered.
// The platform may go away now; other processes then learn the content here.
func (s *Store) install(ctx context.Context, next *snapshot) {
	e := loaded{snapshot: next, done: make(chan struct{})}
	if !s.duty.box.Put(e) {
		return
	}
	select {
	case <-e.done:
	case <-ctx.Done():
	}
}

// errChangeID means that a change id can't be used.
var errChangeID = errors.New("a change id is the wall clock in milliseconds in 13 digits, a dash, and random letters")

// checkChangeID makes sure that the row of the change will be kept for as long as
// the id is accepted.
func checkChangeID(id string, wall time.Time) error {
	ms, rest, _ := strings.Cut(id, "-")
	at, err := strconv.ParseInt(ms, 10, 64)
	if err != nil || len(ms) != len(idAt(wall)) || rest == "" || len(id) > document.MaxNameLength {
		return errChangeID
	}
	if age := wall.Sub(time.UnixMilli(at)); age > changeAge/2 || age < -changeAge/2 {
		return fmt.Errorf("%w: the time is more than %v away", errChangeID, changeAge/2)
	}
	return nil
}

// errIDReused means that the change id already names another change.
var errIDReused = errors.New("the change id was used for another change")

// earlier finds out whether the change was accepted before, which is how a lost
// answer is resolved.
func (s *Store) earlier(ctx context.Context, c document.Change) (Applied, bool, error) {
	row, found, err := getRow[changeRow](ctx, s.cfg.Table, changeKey(c.ID))
	if err != nil || !found {
		return Applied{}, false, err
	}
	if row.Section != c.Section || row.By != c.By.String() {
		return Applied{}, false, errIDReused
	}
	return Applied{ChangeID: c.ID, Section: row.Section, Version: row.Version, Repeated: true}, true, nil
}

// fromTable returns the newest snapshot if its document was read from the table,
// with owners and dates.
func (s *Store) fromTable() *snapshot {
	snap := s.duty.current.Load()
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
			s.cfg.Log.Warn("the text that a change was made from can't be read", telemetry.Err(err))
		}
		base = old.Text
	}
	view, doc, next, err := document.Decide(snap.document, c, base, time.Now())
	if err != nil {
		return nil, document.Section{}, err
	}
	return snap.withDocument(doc, view), next, nil
}

// commit writes one accepted change.
func (s *Store) commit(ctx context.Context, snap *snapshot, next document.Section, c document.Change, forced bool) error {
	row := s.row(c, forced)
	row.Outcome = audit.Accepted
	row.Version = next.Version
	writes := []store.Write{
		{Key: headKey, Expect: snap.headRow, Value: encodeRow(headRow{Version: next.Version})},
		{Key: placementKeyOf(s.cfg), Expect: snap.placementRow, CheckOnly: true},
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
		table: s.cfg.Table, tell: s.duty.announcer(), id: s.cfg.NewID(), base: snap, forced: forced,
		after:   permit.State{Version: next.Version, Epoch: snap.placement.Epoch},
		timeout: s.cfg.ReadTimeout, writes: writes, settlements: s.duty.settlements,
	}
	return change.run(ctx)
}

// row starts the audit row of a change.
func (s *Store) row(c document.Change, forced bool) audit.Row {
	action := audit.Apply
	if c.Delete {
		action = audit.Delete
	}
	return audit.Row{
		ID: c.ID, UnixMS: time.Now().UnixMilli(), Entry: s.cfg.Self, By: c.By.String(), Action: action,
		Section: string(c.Section), Expect: c.Expect, Reason: c.Reason, Forced: forced,
	}
}

// Current returns the newest document, read from the platform now.
func (s *Store) Current(ctx context.Context) (*document.Document, error) {
	snap, err := load(ctx, s.cfg.Table, s.cfg.Cell, s.fromTable())
	if err != nil {
		return nil, err
	}
	return snap.document, nil
}

// History returns the newest states of a section, newest first.
func (s *Store) History(ctx context.Context, n document.Name, limit int) ([]document.Section, error) {
	doc, err := s.Current(ctx)
	if err != nil {
		return nil, err
	}
	var all []document.Section
	err = scanAll(ctx, s.cfg.Table, historyDir(n), func(r store.Row) error {
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

// newestFirst returns the last rows in reverse order.
func newestFirst[T any](rows []T, limit int) []T {
	var out []T
	for i := len(rows) - 1; i >= 0 && len(out) < limit; i-- {
		out = append(out, rows[i])
	}
	return out
}
