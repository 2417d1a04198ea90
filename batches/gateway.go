package batches

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/agategap/agategap/batch"
	"github.com/agategap/agategap/mesh"
	"github.com/agategap/agategap/outcome"
)

// CallRouter returns the daemons that can serve a call about a job, in the order in which to try them.
type CallRouter interface {
	CallCandidates(partition int, job string, now time.Time) []mesh.Peer
}

// FailureRecorder is told which daemons did not respond to a call.
type FailureRecorder interface {
	MarkFailed(vm string)
}

const (
	// remoteCallTimeout bounds a call to one daemon, in addition to the wait of a read. It is short enough to leave
	// time for a second daemon.
	remoteCallTimeout = 1200 * time.Millisecond
	// maxRemoteCalls bounds the number of daemons that are tried for one call.
	maxRemoteCalls = 4
)

// Gateway executes calls about jobs on a daemon that has loaded the partition of the job: this one if it has, otherwise
// another one.
type Gateway struct {
	batches  *Batches
	router   CallRouter
	failures FailureRecorder
	client   PeerClient
	logger   zerolog.Logger
}

// NewGateway returns a gateway to b and, through c, to the daemons that r returns.
func NewGateway(b *Batches, r CallRouter, f FailureRecorder, c PeerClient, z zerolog.Logger) *Gateway {
	return &Gateway{batches: b, router: r, failures: f, client: c, logger: z}
}

// Submit is Batches.Submit on a daemon that has loaded the partition of the job.
func (g *Gateway) Submit(ctx context.Context, s batch.Submission) error {
	_, err := g.call(ctx, s.ID(), remoteCall{
		method: "Jobs.Submit", newArgs: func() any { return newSubmitArgs(s) }, newReply: func() remoteReply { return &ErrorMessage{} },
	}, func() error { return g.batches.Submit(ctx, s) })

	return err
}

// Results is Batches.Results on a daemon that has loaded the partition of the job.
func (g *Gateway) Results(ctx context.Context, id string, from, maxBytes int, wait time.Duration) (Page, error) {
	var p Page

	a, err := g.call(ctx, id, remoteCall{
		method: "Jobs.Results", wait: wait, newReply: func() remoteReply { return &ResultsReply{} },
		newArgs: func() any { return ResultsArgs{Job: id, After: from, Most: maxBytes, WaitMS: wait.Milliseconds()} },
	}, func() (err error) {
		p, err = g.batches.Results(ctx, id, from, maxBytes, wait)

		return err
	})

	if m, ok := a.(*ResultsReply); ok {
		p = m.page()
	}

	return p, err
}

// Body is Batches.Body on a daemon that has loaded the partition of the job.
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

// End is Batches.End on a daemon that has loaded the partition of the job.
func (g *Gateway) End(ctx context.Context, id string) error {
	_, err := g.call(ctx, id, remoteCall{
		method: "Jobs.End", newArgs: func() any { return ItemArgs{Job: id} }, newReply: func() remoteReply { return &ErrorMessage{} },
	}, func() error { return g.batches.End(ctx, id) })

	return err
}

// remoteReply is the reply of another daemon. failure returns the error in it, which is empty on success.
type remoteReply interface {
	failure() ErrorMessage
}

// remoteCall describes a call for execution on another daemon.
type remoteCall struct {
	method   string
	wait     time.Duration      // how long the call may wait for a result on the other daemon
	newArgs  func() any         // called only if the call leaves this daemon, as a job can have megabytes
	newReply func() remoteReply // called for each daemon, as the reply to a call that timed out can still arrive
}

// call executes a call about a job: locally if this daemon has loaded the partition, otherwise on its followers, one
// after the other, until one gives a reply other than NotReady. That reply is returned; it is nil after a local call.
// If no other daemon does, the call waits for the partition to be loaded here, provided that this daemon follows it.
// All these calls are idempotent. The error has the effect NotRun only if none of the daemons can have done anything.
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
		e := g.client.Call(x, p.Address, r.method, q, a)

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
			Msg("a follower of the partition did not serve the call")

		err = e
	}

	if ctx.Err() == nil && g.batches.IsFollowing(id) {
		err = local()
	}

	return nil, withEffect(err, effect)
}

// withEffect returns err with the effect of the earlier calls unless that is NotRun: an earlier call may have had an
// effect.
func withEffect(err error, earlier outcome.Effect) error {
	if err == nil || earlier == outcome.NotRun {
		return err
	}

	return outcome.From(err).WithEffect(earlier)
}
