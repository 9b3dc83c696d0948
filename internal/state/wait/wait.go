// Package wait lets a goroutine pause without outliving what it works for.
package wait

import (
	"context"
	"time"
)

// For returns after the time, or when the context ends.
func For(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
