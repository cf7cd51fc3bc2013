package directory

import (
	"context"
	"time"

	"foxtaildock.example/dock/pause"
	"foxtaildock.example/dock/telemetry"
)

// Pauses between attempts to write a member's row.
const (
	firstRetry = 200 * time.Millisecond
	lastRetry  = 2 * time.Second
)

// Registrar writes the row of one process.
type Registrar struct {
	Self  Member
	Table Table
	Log   *telemetry.Logger
	// Again asks for the row to be written again, nil if that never happens.
	Again <-chan struct{}
}

// Run writes the row, and again when asked, until the context ends.
func (r *Registrar) Run(ctx context.Context) {
	for r.write(ctx) {
		select {
		case <-ctx.Done():
			return
		case <-r.Again:
		}
	}
}

// write tries until the row is written. It returns false if the context ended.
func (r *Registrar) write(ctx context.Context) bool {
	value, err := Encode(&r.Self)
	if err != nil {
		r.Log.Error("row of this process not written", telemetry.Err(err))
		return false
	}
	wait := firstRetry
	for {
		if err = r.Table.Put(ctx, r.Self.Key(), value); err == nil {
			r.Log.Info("row of this process written", telemetry.Why(r.Self.Key()))
			return true
		}
		r.Log.Warn("row of this process not written yet", telemetry.Err(err), telemetry.Elapsed(wait))
		if !pause.For(ctx, wait) {
			return false
		}
		wait = min(2*wait, lastRetry)
	}
}
