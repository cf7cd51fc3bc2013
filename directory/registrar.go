package directory

import (
	"context"
	"time"

	"foxtaildock.example/dock/pause"
	"foxtaildock.example/dock/telemetry"
)

// Bounds of the delay between attempts to write a member's row; it doubles after each.
const (
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

// Registrar writes the row of its own process to the table.
type Registrar struct {
	Self  Member
	Table Table
	Log   *telemetry.Logger
	// Rewrite requests that the row be written again. It may be nil.
	Rewrite <-chan struct{}
}

// Run writes the row, and writes it again on each request, until the context ends.
func (r *Registrar) Run(ctx context.Context) {
	for r.write(ctx) {
		select {
		case <-ctx.Done():
			return
		case <-r.Rewrite:
		}
	}
}

// write retries until the row is written. It returns false if the context ended before,
// or if the row can't be encoded.
func (r *Registrar) write(ctx context.Context) bool {
	value, err := Encode(&r.Self)
	if err != nil {
		r.Log.Error("row of this process not written", telemetry.Err(err))
		return false
	}
	delay := minRetryDelay
	for {
		if err = r.Table.Put(ctx, r.Self.Key(), value); err == nil {
			r.Log.Info("row of this process written", telemetry.ReasonText(r.Self.Key()))
			return true
		}
		r.Log.Warn("row of this process not written yet", telemetry.Err(err), telemetry.Elapsed(delay))
		if !pause.For(ctx, delay) {
			return false
		}
		delay = min(2*delay, maxRetryDelay)
	}
}
