package task

import (
	"context"
	"time"
)

// Sleep waits for d or until the context is done, and reports whether the context
// is not done. It returns immediately if d is not positive.
func Sleep(ctx context.Context, d time.Duration) bool {
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
