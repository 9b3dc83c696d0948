// Package wait provides a pause that ends with a context.
package wait

import (
	"context"
	"time"
)

// For waits for the duration or until the context ends.
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
