package controller

import (
	"context"
	"time"

	"github.com/agategap/agategap/outcome"
)

// Caller calls other daemons. An error with effect not_run says that the call never left this daemon.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

const (
	// maxCallWait bounds the time that a follower works on one call.
	maxCallWait = 5 * time.Second
	// callMargin is added to the wait of a call for the way there and back.
	callMargin = time.Second
)

// Routes finds the daemon that serves a partition.
type Routes struct {
	assignment  *Assignment
	caller  Caller
	counter Counter
}

// NewRoutes returns routes to the followers that f knows.
func NewRoutes(f *Assignment, c Caller, n Counter) *Routes {
	return &Routes{assignment: f, caller: c, counter: n}
}

// tryFollowers calls at with the addresses of the followers of a partition until one answers, and with "" for this daemon. When
// no follower can be reached, this daemon follows the partition itself, which is safe at any time because the
// log's order decides. After a call that may have reached a follower, only calls that may be repeated go on.
func (r *Routes) tryFollowers(ctx context.Context, p int, repeat bool, at func(address string) error) error {
	for _, v := range r.assignment.Followers(p) {
		if r.assignment.IsSelf(v) {
			return at("")
		}

		err := at(v.Address())
		if err == nil {
			return nil
		}

		r.counter.Count("follower_call_failed", 1)

		if !repeat && outcome.From(err).Effect() != outcome.NotRun {
			return err
		}

		if ctx.Err() != nil {
			return err
		}
	}

	r.counter.Count("followed_locally", 1)

	return at("")
}

// callPeer calls a method and returns at the latest when ctx ends. All calls to a peer share a connection that is closed
// when a call is given up, so the call itself goes on until the peer's wait is over.
func (r *Routes) callPeer(ctx context.Context, address, method string, wait time.Duration, args, reply any) error {
	x, stop := context.WithTimeout(context.WithoutCancel(ctx), wait+callMargin)
	done := make(chan error, 1)

	go func() {
		defer stop()

		done <- r.caller.Call(x, address, method, args, reply)
	}()

	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return outcome.New(outcome.LogUnavailable, outcome.Unknown, "the partition's writer has not answered in time").
			WithRetryAfter(callMargin)
	}
}

// callWait returns the time that a follower may take for a call of ctx.
func callWait(ctx context.Context) time.Duration {
	d, ok := ctx.Deadline()
	if !ok {
		return maxCallWait
	}

	return max(0, min(maxCallWait, time.Until(d)))
}

// serviceContext returns the context in which a follower works on a call.
func serviceContext(waitMS int64) (context.Context, context.CancelFunc) {
	d := time.Duration(waitMS) * time.Millisecond

	return context.WithTimeout(context.Background(), max(0, min(maxCallWait, d)))
}
