// Package pause waits for a time without outliving a context.
package pause

import (
	"context"
	"time"
)

// For waits for d, or until the context ends, and reports whether the context is
// still alive. A time that isn't positive waits for nothing.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
