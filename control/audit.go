package control

import (
	"context"
	"errors"
	"fmt"
	"time"

	"foxtaildock.example/dock/audit"
	"foxtaildock.example/dock/document"
	"foxtaildock.example/dock/membership"
	"foxtaildock.example/dock/pause"
	"foxtaildock.example/dock/store"
	"foxtaildock.example/dock/telemetry"
)

func placementKeyOf(c *Config) string { return membership.PlacementKey(c.Cell) }

// auditRefusal writes the audit row of a refused change. It does not use the
// caller's context, so that the row is also written if the caller disconnects.
func (s *Store) auditRefusal(c document.Change, forced bool, cause error) {
	row := s.auditRow(c, forced)
	row.Outcome = OutcomeOf(cause)
	row.Detail = cause.Error()
	var conflict *document.ConflictError
	if errors.As(cause, &conflict) {
		row.Version = conflict.Winner.Version
	}
	row.ID = s.cfg.NewID()
	s.RecordAudit(row)
}

// RecordAudit writes an audit row that belongs to no transaction. If the platform
// is unavailable, the row goes to the log only.
func (s *Store) RecordAudit(row audit.Row) {
	ctx, stop := context.WithTimeout(context.Background(), s.cfg.ReadTimeout)
	defer stop()
	err := s.cfg.Table.Commit(ctx, store.Write{Key: row.Key(), Expect: store.AnyVersion, Value: encodeRow(row)})
	if err != nil {
		s.cfg.Log.Error("an audit row was not written: "+string(encodeRow(row)), telemetry.Err(err))
	}
}

// OutcomeOf returns the audit outcome of a change that was refused with err.
func OutcomeOf(err error) audit.Outcome {
	var conflict *document.ConflictError
	var faults *document.CheckError
	switch {
	case errors.As(err, &conflict):
		return audit.Conflict
	case errors.As(err, &faults), errors.Is(err, errIDReused), errors.Is(err, errChangeID):
		return audit.Invalid
	case errors.Is(err, document.ErrForbidden):
		return audit.Forbidden
	case errors.Is(err, ErrUnannounced):
		return audit.Unannounced
	case errors.Is(err, store.ErrUnknown):
		return audit.Unknown
	}
	return audit.Unavailable
}

// Audit returns the newest audit rows that match the query, newest first.
func (s *Store) Audit(ctx context.Context, q audit.Query) ([]audit.Row, error) {
	q = q.Bounded()
	after := audit.Prefix
	if !q.Since.IsZero() {
		after = audit.KeyAt(q.Since)
	}
	var rows []audit.Row
	for {
		page, err := s.cfg.Table.Scan(ctx, audit.Prefix, after, scanPage)
		if err != nil {
			return nil, fmt.Errorf("read the audit trail: %w", err)
		}
		for i := range page {
			row, err := audit.Decode(page[i].Value)
			if err != nil {
				return nil, err
			}
			if q.Matches(&row) {
				rows = append(rows, row)
			}
		}
		// Only the newest rows are returned, so older ones need not be kept.
		if extra := len(rows) - q.Limit; extra > 0 {
			rows = rows[extra:]
		}
		if len(page) < scanPage {
			return newestFirst(rows, q.Limit), nil
		}
		after = page[len(page)-1].Key
	}
}

// trimHistory moves the texts of a section beyond maxHistory to the object
// store. After a failure, the next change of the section tries again.
func (s *Store) trimHistory(n document.Name) {
	ctx, stop := context.WithTimeout(context.Background(), s.cfg.ReadTimeout)
	defer stop()
	rows, err := s.cfg.Table.Scan(ctx, historyKeyPrefix(n), "", scanPage)
	for i := 0; err == nil && i < len(rows)-maxHistory; i++ {
		err = s.archive(ctx, rows[i])
	}
	if err != nil {
		s.cfg.Log.Warn("earlier texts of a section were not archived", telemetry.Err(err))
	}
}

// archive copies a row to the object store, if there is one, and then deletes it
// from the table.
func (s *Store) archive(ctx context.Context, r store.Row) error {
	if s.cfg.Objects != nil {
		if err := s.cfg.Objects.Put(ctx, "archive/"+r.Key, r.Value); err != nil {
			return fmt.Errorf("archive %s: %w", r.Key, err)
		}
	}
	if err := s.cfg.Table.Commit(ctx, store.Write{Key: r.Key, Expect: r.Version, Delete: true}); err != nil {
		return fmt.Errorf("delete archived %s: %w", r.Key, err)
	}
	return nil
}

// Retention of rows that are only needed to resolve commits and changes whose
// answer was lost.
const (
	intentRetention = 24 * time.Hour
	changeRetention = 7 * 24 * time.Hour
	// cleanupBatch bounds the rows of each kind that one round deletes.
	cleanupBatch = 200
)

// cleanupLoop deletes or archives old rows. Only the live entry of rank 0 does
// it.
func (c *Controller) cleanupLoop(ctx context.Context) {
	for pause.For(ctx, c.cfg.CleanupInterval) {
		rank, err := c.Rank(ctx)
		if err != nil || rank != 0 {
			continue
		}
		if err := c.Store().deleteOldRows(ctx, time.Now()); err != nil {
			c.cfg.Log.Warn("old rows were not deleted", telemetry.Err(err))
		}
	}
}

func (s *Store) deleteOldRows(ctx context.Context, wall time.Time) error {
	ctx, stop := context.WithTimeout(ctx, s.cfg.CleanupInterval)
	defer stop()
	audits := s.expire(ctx, audit.Prefix, audit.KeyAt(wall.Add(-s.cfg.AuditRetention)), true)
	intents := s.expire(ctx, intentPrefix, intentKey(idPrefixAt(wall.Add(-intentRetention))), false)
	changes := s.expire(ctx, changePrefix, changeKey(idPrefixAt(wall.Add(-changeRetention))), false)
	return errors.Join(audits, intents, changes)
}

// idPrefixAt returns the prefix of the ids that NewID returns at t.
func idPrefixAt(t time.Time) string { return fmt.Sprintf("%013d", t.UnixMilli()) }

// expire deletes up to cleanupBatch rows with the prefix that sort before a key.
// With toArchive they are archived first.
func (s *Store) expire(ctx context.Context, prefix, before string, toArchive bool) error {
	rows, err := s.cfg.Table.Scan(ctx, prefix, "", cleanupBatch)
	if err != nil {
		return fmt.Errorf("scan %s: %w", prefix, err)
	}
	for _, r := range rows {
		if r.Key >= before {
			return nil
		}
		if toArchive {
			err = s.archive(ctx, r)
		} else {
			err = s.cfg.Table.Commit(ctx, store.Write{Key: r.Key, Expect: r.Version, Delete: true})
		}
		if err != nil {
			return err
		}
	}
	return nil
}
