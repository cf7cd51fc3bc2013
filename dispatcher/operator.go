package dispatcher

import (
	"context"
	"sync"
	"time"

	"foxtaildock.example/dock/clock"
	"foxtaildock.example/dock/operator"
	"foxtaildock.example/dock/pause"
	"foxtaildock.example/dock/schedule"
	"foxtaildock.example/dock/telemetry"
)

// operatorView is the entry's copy of the operators' rows, safe for concurrent use.
type operatorView struct {
	mu   sync.RWMutex
	view operator.View
}

// update updates the view and returns true if the rows are newer than those known.
func (v *operatorView) update(rows operator.Rows, confirmed time.Duration) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.view.Update(rows, confirmed)
}

// current returns the rows, the time since the store confirmed them, and whether any
// are known.
func (v *operatorView) current() (rows operator.Rows, age time.Duration, known bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return *v.view.Rows(), v.view.Age(clock.Now()), v.view.Known()
}

func (v *operatorView) manifest() *operator.Manifest {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.view.Rows().Manifest
}

// storeRetryDelay is the delay after a failed call to the store. It is well below the
// time within which a new manifest has to be in force.
const storeRetryDelay = 300 * time.Millisecond

// setOperatorRows updates the view with operators' rows from any source, and passes
// them to the core if they are newer.
func (d *Dispatcher) setOperatorRows(rows operator.Rows, confirmed time.Duration, from string) {
	if !d.view.update(rows, confirmed) {
		return
	}
	current, _, _ := d.view.current()
	var manifest int64
	if current.Manifest != nil {
		manifest = current.Manifest.Version
	}
	d.cfg.Log.Info("operators' rows updated", telemetry.RowsVersion(current.Version), telemetry.ManifestVersion(manifest),
		telemetry.Count(len(current.Withdrawn)), telemetry.ReasonText(from), telemetry.Age(clock.Now()-confirmed))
	d.enqueue(schedule.OperatorChanged{Rows: current})
}

// watchOperator keeps the view up to date with the store. While the store is
// unreachable, it asks the other entries for their rows.
func (d *Dispatcher) watchOperator(ctx context.Context) {
	reach := reachability{log: d.cfg.Log, name: "store: operators' rows"}
	for attempt := 0; ctx.Err() == nil; attempt++ {
		requestedAt := clock.Now()
		rows, err := d.cfg.Store.Operator(ctx)
		if reach.observe(err); err != nil {
			d.links.fetchOperatorRows(ctx, attempt)
			pause.For(ctx, storeRetryDelay)
			continue
		}
		d.setOperatorRows(rows, requestedAt, "store")
		d.awaitChange(ctx, rows.Version)
	}
}

// awaitChange returns once a row has changed after the version, or waiting for changes
// has failed. In both cases the rows have to be read again. Each answer that reports no
// change confirms the view.
func (d *Dispatcher) awaitChange(ctx context.Context, version uint64) {
	for {
		requestedAt := clock.Now()
		newest, changed, err := d.cfg.Store.OperatorChanged(ctx, version)
		if err != nil {
			d.cfg.Log.Info("watching operators' rows failed; reading them again", telemetry.RowsVersion(version), telemetry.Err(err))
			return
		}
		if changed {
			return
		}
		version = max(version, newest)
		rows, _, _ := d.view.current()
		d.view.update(operator.Rows{Version: rows.Version}, requestedAt)
	}
}

// reachability logs when a dependency becomes unreachable and reachable again.
type reachability struct {
	log   *telemetry.Logger
	name  string
	lost  bool
	since time.Duration
}

func (r *reachability) observe(err error) {
	switch {
	case err != nil && !r.lost:
		r.lost, r.since = true, clock.Now()
		r.log.Warn("dependency lost", telemetry.Dependency(r.name), telemetry.Err(err))
	case err == nil && r.lost:
		r.lost = false
		r.log.Info("dependency regained", telemetry.Dependency(r.name), telemetry.Elapsed(clock.Now()-r.since))
	}
}
