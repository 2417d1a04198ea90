package batches

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/agategap/agategap/batch"
	"github.com/agategap/agategap/mesh"
	"github.com/agategap/agategap/outcome"
)

// CallRouter knows the daemons that follow a partition.
type CallRouter interface {
	CallCandidates(partition int, job string, now time.Time) []mesh.Peer
}

// Failures is told which daemons did not answer.
type Failures interface {
	MarkFailed(vm string)
}

const (
	// remoteCallTimeout bounds a call to one daemon beyond the wait of a read. It leaves time for a second one.
	remoteCallTimeout = 1200 * time.Millisecond
	// maxRemoteCalls bounds the daemons that one call is taken to.
	maxRemoteCalls = 4
)

// Gateway takes the calls of callers to a daemon that has the partition of their job: this one if it does.
type Gateway struct {
	batches  *Batches
	router     CallRouter
	failures Failures
	caller   Caller
	logger   zerolog.Logger
}

// NewGateway returns the gateway.
func NewGateway(b *Batches, n CallRouter, f Failures, c Caller, z zerolog.Logger) *Gateway {
	return &Gateway{batches: b, router: n, failures: f, caller: c, logger: z}
}

// Submit accepts a job, like Batches.Submit.
func (g *Gateway) Submit(ctx context.Context, s batch.Submission) error {
	_, err := g.call(ctx, s.ID(), remoteCall{
		method: "Jobs.Submit", newArgs: func() any { return newSubmitArgs(s) }, newReply: func() remoteReply { return &ErrorMessage{} },
	}, func() error { return g.batches.Submit(ctx, s) })

	return err
}

// Results returns the results of a job, like Batches.Results.
func (g *Gateway) Results(ctx context.Context, id string, after, most int, wait time.Duration) (Page, error) {
	var p Page

	a, err := g.call(ctx, id, remoteCall{
		method: "Jobs.Results", wait: wait, newReply: func() remoteReply { return &ResultsReply{} },
		newArgs: func() any { return ResultsArgs{Job: id, After: after, Most: most, WaitMS: wait.Milliseconds()} },
	}, func() (err error) {
		p, err = g.batches.Results(ctx, id, after, most, wait)

		return err
	})

	if m, ok := a.(*ResultsReply); ok {
		p = m.page()
	}

	return p, err
}

// Body returns the body of an item, like Batches.Body.
func (g *Gateway) Body(ctx context.Context, id, item string) ([]byte, error) {
	var b []byte

	a, err := g.call(ctx, id, remoteCall{
		method: "Jobs.Body", newArgs: func() any { return ItemArgs{Job: id, Item: item} }, newReply: func() remoteReply { return &BodyReply{} },
	}, func() (err error) {
		b, err = g.batches.Body(ctx, id, item)

		return err
	})

	if m, ok := a.(*BodyReply); ok {
		b = m.Body
	}

	return b, err
}

// End ends a job, like Batches.End.
func (g *Gateway) End(ctx context.Context, id string) error {
	_, err := g.call(ctx, id, remoteCall{
		method: "Jobs.End", newArgs: func() any { return ItemArgs{Job: id} }, newReply: func() remoteReply { return &ErrorMessage{} },
	}, func() error { return g.batches.End(ctx, id) })

	return err
}

// remoteReply is the answer of another daemon.
type remoteReply interface {
	failure() ErrorMessage
}

// remoteCall is a call as it is made at another daemon.
type remoteCall struct {
	method  string
	wait    time.Duration // of the call itself
	newArgs func() any    // made once a call leaves this daemon, as a job can have megabytes
	newReply   func() remoteReply  // a new one for each daemon, as the answer of one that was given up can still come
}

// call makes a call about a job here once this daemon has the partition, and else at the daemons that follow it, in turn,
// until one decides about it. All these calls may be repeated. The error has the effect NotRun only if none of the daemons
// may have done anything. The reply is the one that decided, if another daemon did.
func (g *Gateway) call(ctx context.Context, id string, r remoteCall, local func() error) (remoteReply, error) {
	if g.batches.hasLoaded(id) {
		return nil, local()
	}

	effect := outcome.NotRun
	err := notReadyError()

	q := r.newArgs()
	l := g.router.CallCandidates(g.batches.Partition(id), id, time.Now())

	for _, p := range l[:min(maxRemoteCalls, len(l))] {
		if ctx.Err() != nil || g.batches.hasLoaded(id) {
			break
		}

		a := r.newReply()
		x, stop := context.WithTimeout(ctx, r.wait+remoteCallTimeout)
		e := g.caller.Call(x, p.Address, r.method, q, a)

		stop()

		if e == nil {
			e = a.failure().err()
			if e == nil || !outcome.Is(e, outcome.NotReady) {
				return a, withEffect(e, effect)
			}
		} else {
			g.failures.MarkFailed(p.VM)
		}

		if outcome.From(e).Effect() != outcome.NotRun {
			effect = outcome.Unknown
		}

		g.logger.Info().Str("event", "job_call_failed").Str("job", id).Str("method", r.method).Str("peer", p.VM).Err(e).
			Msg("a daemon that follows the partition did not serve the call")

		err = e
	}

	if ctx.Err() == nil && g.batches.IsFollowing(id) {
		err = local()
	}

	return nil, withEffect(err, effect)
}

// withEffect returns err, with the effect Unknown if an earlier call may have had an effect.
func withEffect(err error, earlier outcome.Effect) error {
	if err == nil || earlier == outcome.NotRun {
		return err
	}

	return outcome.From(err).WithEffect(earlier)
}
