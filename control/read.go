package control

import (
	"context"
	"errors"
	"time"

	"foxtaildock.example/dock/permit"
	"foxtaildock.example/dock/telemetry"
)

// errReverted means that a read returned an older state than an earlier read.
// Reads are linearizable, so this is a fault of the platform.
var errReverted = errors.New("the platform answered with an older state than before")

// readLoop reads the state from the platform every ReadInterval to confirm it, and
// loads new content.
func (c *Controller) readLoop(ctx context.Context) {
	var last *snapshot
	failing := false
	for {
		started := time.Now()
		next, err := c.read(ctx, last)
		if err == nil {
			last = next
		}
		if (err != nil) != failing && ctx.Err() == nil {
			failing = err != nil
			c.logRead(err)
		}
		if !c.waitForRead(ctx, max(c.cfg.ReadInterval-time.Since(started), 0)) {
			return
		}
	}
}

func (c *Controller) logRead(err error) {
	if err != nil {
		c.cfg.Log.Warn("reading the state from the platform failed", telemetry.Err(err))
		return
	}
	c.cfg.Log.Info("reading the state from the platform works again")
}

// waitForRead waits until the next read is due or triggerRead asks for one. It
// returns false once the context has ended.
func (c *Controller) waitForRead(ctx context.Context, pause time.Duration) bool {
	t := time.NewTimer(pause)
	defer t.Stop()
	select {
	case <-t.C:
	case <-c.readNow:
	case <-ctx.Done():
		return false
	}
	return true
}

// read reads the state once and confirms it. The confirmation dates from the start
// of the read, since the state may change as soon as the platform has evaluated
// it. If the load of new content finds a still newer state, the read confirms
// nothing and another one is triggered.
func (c *Controller) read(ctx context.Context, last *snapshot) (*snapshot, error) {
	ctx, stop := context.WithTimeout(ctx, c.cfg.ReadTimeout)
	defer stop()
	started := c.now()
	h, err := readHeads(ctx, c.cfg.Table, c.cfg.Cell)
	if err != nil {
		return nil, err
	}
	if last != nil && !h.state().Covers(last.state()) {
		return nil, errReverted
	}
	next := last
	if last == nil || h.state() != last.state() || h.placementRowVersion != last.placementRowVersion || h.headRowVersion != last.headRowVersion {
		if next, err = c.loadNew(ctx, h, last); err != nil {
			return nil, err
		}
	}
	if next.state() == h.state() {
		c.inbox.Put(confirmed{permit.Confirmation{State: h.state(), ReadAt: started}})
	}
	return next, nil
}

// loadNew loads the content of a new state and sends it to the Controller's
// goroutine.
func (c *Controller) loadNew(ctx context.Context, h *heads, last *snapshot) (*snapshot, error) {
	var next *snapshot
	var err error
	if last != nil && last.document.Version == h.head.Version {
		next = newSnapshot(h, last.document, last.view)
	} else if next, err = load(ctx, c.cfg.Table, c.cfg.Cell, c.current.Load()); err != nil {
		return nil, err
	}
	c.inbox.Put(loaded{snapshot: next})
	if next.state() != h.state() {
		c.triggerRead()
	}
	return next, nil
}
