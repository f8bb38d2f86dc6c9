// Package sleep provides a sleep that a context can end early.
package sleep

import (
	"context"
	"time"
)

// For waits for d and reports whether it elapsed; it returns false when ctx ends first or
// has already ended. It returns immediately when d is zero or less.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
