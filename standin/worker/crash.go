package worker

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

type connKey struct{}

// ConnContext adds the connection of a request to its context. It is for http.Server.ConnContext.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// abortCrashed aborts a response after a crash, in the form that the injected faults state. Without ConnContext, the
// connection is ended and not reset.
func abortCrashed(r *http.Request, f Faults) {
	if f.CrashSpreadMS > 0 {
		time.Sleep(time.Duration(rand.IntN(f.CrashSpreadMS)) * time.Millisecond) //nolint:gosec // no secret
	}

	if c, ok := r.Context().Value(connKey{}).(*net.TCPConn); ok && f.CrashReset {
		_ = c.SetLinger(0)
	}

	panic(http.ErrAbortHandler)
}

// Restart starts the worker again after a crash, so that it is slow for Options.ColdTime. Its runs are kept.
func (k *Worker) Restart() {
	k.mu.Lock()
	defer k.mu.Unlock()

	k.start = time.Now()
}

// YoungRun returns the ID of the latest run that match accepts, if it has sent at most one event since it began and no
// more than maxAge ago; otherwise an empty string.
func (k *Worker) YoungRun(match func(id string) bool, maxAge time.Duration) string {
	k.mu.Lock()
	defer k.mu.Unlock()

	for i := len(k.runs) - 1; i >= 0 && time.Since(k.runs[i].Start) <= maxAge; i-- {
		if r := k.runs[i]; match(r.ID) && r.Sent <= r.After+1 {
			return r.ID
		}
	}

	return ""
}
