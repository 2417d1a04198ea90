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
