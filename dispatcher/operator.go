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

// beliefs is the entry's view of what operators want, shared by its goroutines.
type beliefs struct {
	mu   sync.RWMutex
	view operator.View
}

// learn takes rows and returns true if they are news.
func (b *beliefs) learn(rows operator.Rows, confirmed time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.view.Learn(rows, confirmed)
}

// current returns the rows and when the store confirmed them.
func (b *beliefs) current() (rows operator.Rows, age time.Duration, known bool) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return *b.view.Rows(), b.view.Age(clock.Now()), b.view.Known()
}

func (b *beliefs) manifest() *operator.Manifest {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.view.Rows().Manifest
}

// storeRetry is the pause after a call to the store that failed. It is well below
// the time in which a manifest has to be in force.
const storeRetry = 300 * time.Millisecond

// learn takes operators' rows from wherever they come.
func (d *Dispatcher) learn(rows operator.Rows, confirmed time.Duration, from string) {
	if !d.view.learn(rows, confirmed) {
		return
	}
	current, _, _ := d.view.current()
	var manifest int64
	if current.Manifest != nil {
		manifest = current.Manifest.Version
	}
	d.cfg.Log.Info("operators' rows learnt", telemetry.RowsVersion(current.Version), telemetry.ManifestVersion(manifest),
		telemetry.Count(len(current.Withdrawn)), telemetry.Why(from), telemetry.Age(clock.Now()-confirmed))
	d.put(schedule.OperatorChanged{Rows: current})
}

// followOperator keeps the view as new as the store allows. While the store can't
// be reached, peers are asked.
func (d *Dispatcher) followOperator(ctx context.Context) {
	reach := reachability{log: d.cfg.Log, name: "store: operators' rows"}
	for ctx.Err() == nil {
		asked := clock.Now()
		rows, err := d.cfg.Store.Operator(ctx)
		if reach.note(err); err != nil {
			d.links.askOperator(ctx)
			pause.For(ctx, storeRetry)
			continue
		}
		d.learn(rows, asked, "store")
		d.awaitChange(ctx, rows.Version)
	}
}

// awaitChange returns once a row has changed after the version, or the store no
// longer tells: then the rows are read again. Each answer that reports no change
// confirms the view.
func (d *Dispatcher) awaitChange(ctx context.Context, version uint64) {
	for {
		asked := clock.Now()
		newest, changed, err := d.cfg.Store.OperatorChanged(ctx, version)
		if err != nil {
			d.cfg.Log.Info("following operators' rows ended; reading them again", telemetry.RowsVersion(version), telemetry.Err(err))
			return
		}
		if changed {
			return
		}
		version = max(version, newest)
		rows, _, _ := d.view.current()
		d.view.learn(operator.Rows{Version: rows.Version}, asked)
	}
}

// reachability logs when a dependency is lost and regained.
type reachability struct {
	log   *telemetry.Logger
	name  string
	lost  bool
	since time.Duration
}

func (r *reachability) note(err error) {
	switch {
	case err != nil && !r.lost:
		r.lost, r.since = true, clock.Now()
		r.log.Warn("dependency lost", telemetry.Dependency(r.name), telemetry.Err(err))
	case err == nil && r.lost:
		r.lost = false
		r.log.Info("dependency regained", telemetry.Dependency(r.name), telemetry.Elapsed(clock.Now()-r.since))
	}
}
