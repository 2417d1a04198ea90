// Package controller has the controllers: each owns one kind of state, is its only writer and runs as one actor.
// They reach the outside through interfaces only.
package controller

import (
	"context"
	"time"
)

// retryDelay keeps a controller from flooding a service that is down.
const retryDelay = 200 * time.Millisecond

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
