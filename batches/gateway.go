package batches

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/agategap/agategap/batch"
	"github.com/agategap/agategap/mesh"
	"github.com/agategap/agategap/outcome"
)

// Near knows the daemons that follow a partition.
type Near interface {
	Nearest(partition int, job string, now time.Time) []mesh.Peer
}

// Failures is told which daemons did not answer.
type Failures interface {
	Failed(vm string)
}

const (
	// remoteWithin bounds a call to one daemon beyond the wait of a read. It leaves time for a second one.
	remoteWithin = 1200 * time.Millisecond
	// mostRemotes bounds the daemons that one call is taken to.
	mostRemotes = 4
)

// Gateway takes the calls of callers to a daemon that follows the partition of their job: this one if it does.
type Gateway struct {
	batches  *Batches
	near     Near
	failures Failures
	caller   Caller
	logger   zerolog.Logger
}

// NewGateway returns the gateway.
func NewGateway(b *Batches, n Near, f Failures, c Caller, z zerolog.Logger) *Gateway {
	return &Gateway{batches: b, near: n, failures: f, caller: c, logger: z}
}

// Submit accepts a job, like Batches.Submit.
func (g *Gateway) Submit(ctx context.Context, s batch.Submission) error {
	if g.batches.Follows(s.ID()) {
		return g.batches.Submit(ctx, s)
	}

	var a ErrorMessage

	return g.call(ctx, "Jobs.Submit", s.ID(), 0, submitMessage(s), &a, func() ErrorMessage { return a })
}

// Results returns the results of a job, like Batches.Results.
func (g *Gateway) Results(ctx context.Context, id string, after, most int, wait time.Duration) (Page, error) {
	if g.batches.Follows(id) {
		return g.batches.Results(ctx, id, after, most, wait)
	}

	var a PageMessage

	q := ReadMessage{Job: id, After: after, Most: most, WaitMS: wait.Milliseconds()}
	err := g.call(ctx, "Jobs.Results", id, wait, q, &a, func() ErrorMessage { return a.Error })

	return a.page(), err
}

// Body returns the body of an item, like Batches.Body.
func (g *Gateway) Body(ctx context.Context, id, item string) ([]byte, error) {
	if g.batches.Follows(id) {
		return g.batches.Body(ctx, id, item)
	}

	var a BodyMessage

	err := g.call(ctx, "Jobs.Body", id, 0, ItemMessage{Job: id, Item: item}, &a, func() ErrorMessage { return a.Error })

	return a.Body, err
}

// End ends a job, like Batches.End.
func (g *Gateway) End(ctx context.Context, id string) error {
	if g.batches.Follows(id) {
		return g.batches.End(ctx, id)
	}

	var a ErrorMessage

	return g.call(ctx, "Jobs.End", id, 0, ItemMessage{Job: id}, &a, func() ErrorMessage { return a })
}

// call takes a call to the daemons that follow the partition of a job, in turn, until one decides about it. All these
// calls may be repeated. The error has the effect NotRun only if none of the daemons may have done anything.
func (g *Gateway) call(ctx context.Context, method, id string, wait time.Duration, q, a any, result func() ErrorMessage) error {
	effect := outcome.NotRun
	err := notReady()

	l := g.near.Nearest(g.batches.Partition(id), id, time.Now())

	for _, p := range l[:min(mostRemotes, len(l))] {
		if ctx.Err() != nil {
			break
		}

		x, stop := context.WithTimeout(ctx, wait+remoteWithin)
		e := g.caller.Call(x, p.Address, method, q, a)

		stop()

		if e == nil {
			e = result().err()
			if e == nil || !outcome.Is(e, outcome.NotReady) {
				return withEffect(e, effect)
			}
		} else {
			g.failures.Failed(p.VM)
		}

		if outcome.From(e).Effect() != outcome.NotRun {
			effect = outcome.Unknown
		}

		g.logger.Info().Str("event", "job_call_failed").Str("job", id).Str("method", method).Str("peer", p.VM).Err(e).
			Msg("a daemon that follows the partition did not serve the call")

		err = e
	}

	return withEffect(err, effect)
}

// withEffect returns err, with the effect Unknown if an earlier call may have had an effect.
func withEffect(err error, earlier outcome.Effect) error {
	if err == nil || earlier == outcome.NotRun {
		return err
	}

	return outcome.From(err).WithEffect(earlier)
}
