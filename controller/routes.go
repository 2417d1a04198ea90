package controller

import (
	"context"
	"time"

	"github.com/agategap/agategap/outcome"
)

// PeerClient calls the net/rpc methods of the services Journal and Job of other daemons. An error with effect not_run
// means that the call was not sent.
type PeerClient interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

const (
	// maxCallWait bounds the time for which a follower may work on one call.
	maxCallWait = 5 * time.Second
	// callMargin is added to the wait of a call for the transfer of its arguments and reply.
	callMargin = time.Second
)

// Routes sends calls to the followers of a partition. It is safe for concurrent use.
type Routes struct {
	assignment *Assignment
	client     PeerClient
	counter    Counter
}

// NewRoutes returns routes to the followers in the partition assignment a.
func NewRoutes(a *Assignment, c PeerClient, n Counter) *Routes {
	return &Routes{assignment: a, client: c, counter: n}
}

// tryFollowers runs call with the addresses of the followers of a partition, in order, until one succeeds. For this
// daemon the address is "", and the error of call is final. If no follower can be reached, this daemon follows the
// partition itself, which is always safe because the order of the log decides. After a call that may have reached a
// follower, the next one is tried only if the call is repeatable.
func (r *Routes) tryFollowers(ctx context.Context, p int, repeatable bool, call func(address string) error) error {
	for _, v := range r.assignment.Followers(p) {
		if r.assignment.IsSelf(v) {
			return call("")
		}

		err := call(v.Address())
		if err == nil {
			return nil
		}

		r.counter.Count("follower_call_failed", 1)

		if !repeatable && outcome.From(err).Effect() != outcome.NotRun {
			return err
		}

		if ctx.Err() != nil {
			return err
		}
	}

	r.counter.Count("followed_locally", 1)

	return call("")
}

// callPeer calls a method of a peer and returns when ctx ends at the latest. The call itself continues until wait plus
// callMargin has passed: all calls to a peer share a connection, which cancelling one of them would close.
func (r *Routes) callPeer(ctx context.Context, address, method string, wait time.Duration, args, reply any) error {
	x, stop := context.WithTimeout(context.WithoutCancel(ctx), wait+callMargin)
	done := make(chan error, 1)

	go func() {
		defer stop()

		done <- r.client.Call(x, address, method, args, reply)
	}()

	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return outcome.New(outcome.LogUnavailable, outcome.Unknown, "the partition's writer has not replied in time").
			WithRetryAfter(callMargin)
	}
}

// callWait returns the time for which a follower may work on a call under ctx.
func callWait(ctx context.Context) time.Duration {
	d, ok := ctx.Deadline()
	if !ok {
		return maxCallWait
	}

	return max(0, min(maxCallWait, time.Until(d)))
}

// serviceContext returns the context for the work on a received call.
func serviceContext(waitMS int64) (context.Context, context.CancelFunc) {
	d := time.Duration(waitMS) * time.Millisecond

	return context.WithTimeout(context.Background(), max(0, min(maxCallWait, d)))
}
