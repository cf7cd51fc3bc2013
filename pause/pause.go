// Package pause provides a sleep that a context can interrupt.
package pause

import (
	"context"
	"time"
)

// For sleeps for d or until the context ends, and reports whether it slept for the
// whole of d. If d is not positive, it returns at once and reports whether the context
// has not ended.
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
