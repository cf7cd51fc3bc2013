package control

import (
	"context"
	"errors"
	"time"

	"foxtaildock.example/dock/permit"
	"foxtaildock.example/dock/telemetry"
)

// errReverted means that a read showed an older state than an earlier one.
// Reads are linearizable, so this is a fault of the platform.
var errReverted = errors.New("the platform answered with an older state than before")

// readLoop confirms the state of the platform every ReadInterval, and loads what
// is new.
func (d *Duty) readLoop(ctx context.Context) {
	var last *snapshot
	failing := false
	for {
		started := time.Now()
		next, err := d.read(ctx, last)
		if err == nil {
			last = next
		}
		if (err != nil) != failing && ctx.Err() == nil {
			failing = err != nil
			d.logRead(err)
		}
		if !d.pauseReads(ctx, max(d.cfg.ReadInterval-time.Since(started), 0)) {
			return
		}
	}
}

func (d *Duty) logRead(err error) {
	if err != nil {
		d.cfg.Log.Warn("the platform gives no confirmation", telemetry.Err(err))
		return
	}
	d.cfg.Log.Info("the platform gives confirmations")
}

// pauseReads waits for the next read or a kick.
func (d *Duty) pauseReads(ctx context.Context, pause time.Duration) bool {
	t := time.NewTimer(pause)
	defer t.Stop()
	select {
	case <-t.C:
	case <-d.kick:
	case <-ctx.Done():
		return false
	}
	return true
}

// read takes one confirmation. The lease counts from before the read, since the
// state may change as soon as the platform has looked at it. If something is
// new, a second read follows after the load, whose start counts instead.
func (d *Duty) read(ctx context.Context, last *snapshot) (*snapshot, error) {
	ctx, stop := context.WithTimeout(ctx, d.cfg.ReadTimeout)
	defer stop()
	started := d.now()
	h, err := readHeads(ctx, d.cfg.Table, d.cfg.Cell)
	if err != nil {
		return nil, err
	}
	if last != nil && !h.state().Covers(last.state()) {
		return nil, errReverted
	}
	next := last
	if last == nil || h.state() != last.state() || h.epochRow != last.placementRow || h.headRow != last.headRow {
		if next, err = d.loadNew(ctx, h, last); err != nil {
			return nil, err
		}
	}
	if next.state() == h.state() {
		d.box.Put(confirmed{permit.Confirmation{State: h.state(), ReadAt: started}})
	}
	return next, nil
}

// loadNew gets the content of a new state and hands it over.
func (d *Duty) loadNew(ctx context.Context, h *heads, last *snapshot) (*snapshot, error) {
	var next *snapshot
	var err error
	if last != nil && last.document.Version == h.head.Version {
		next = join(h, last.document, last.view)
	} else if next, err = load(ctx, d.cfg.Table, d.cfg.Cell, d.current.Load()); err != nil {
		return nil, err
	}
	d.box.Put(loaded{snapshot: next})
	if next.state() != h.state() {
		d.kickReader()
	}
	return next, nil
}
