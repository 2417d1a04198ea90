// Package controller has the controllers of a daemon: slots, targets, membership, journal, jobs and shutdown. Each owns
// one kind of state, is its only writer and runs as one actor. Controllers reach the network, the log and the platform
// only through interfaces; package daemon connects them.
package controller

import (
	"context"
	"time"
)

// retryDelay is the delay before a call is repeated, so that a controller does not flood a service that is down.
const retryDelay = 200 * time.Millisecond

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
