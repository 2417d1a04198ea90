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

// Gateway takes the calls of callers to a daemon that has the partition of their job: this one if it does.
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
	var a ErrorMessage

	return g.call(ctx, s.ID(), remote{
		method: "Jobs.Submit", request: submitMessage(s), reply: &a, result: func() ErrorMessage { return a },
	}, func() error { return g.batches.Submit(ctx, s) })
}

// Results returns the results of a job, like Batches.Results.
func (g *Gateway) Results(ctx context.Context, id string, after, most int, wait time.Duration) (Page, error) {
	var (
		a PageMessage
		p Page
	)

	err := g.call(ctx, id, remote{
		method: "Jobs.Results", request: ReadMessage{Job: id, After: after, Most: most, WaitMS: wait.Milliseconds()}, wait: wait,
		reply: &a, result: func() ErrorMessage { p = a.page(); return a.Error },
	}, func() (err error) {
		p, err = g.batches.Results(ctx, id, after, most, wait)

		return err
	})

	return p, err
}

// Body returns the body of an item, like Batches.Body.
func (g *Gateway) Body(ctx context.Context, id, item string) ([]byte, error) {
	var (
		a BodyMessage
		b []byte
	)

	err := g.call(ctx, id, remote{
		method: "Jobs.Body", request: ItemMessage{Job: id, Item: item}, reply: &a,
		result: func() ErrorMessage { b = a.Body; return a.Error },
	}, func() (err error) {
		b, err = g.batches.Body(ctx, id, item)

		return err
	})

	return b, err
}

// End ends a job, like Batches.End.
func (g *Gateway) End(ctx context.Context, id string) error {
	var a ErrorMessage

	return g.call(ctx, id, remote{
		method: "Jobs.End", request: ItemMessage{Job: id}, reply: &a, result: func() ErrorMessage { return a },
	}, func() error { return g.batches.End(ctx, id) })
}

// remote is a call as it is made at another daemon.
type remote struct {
	method         string
	request, reply any
	wait           time.Duration // of the call itself
	result         func() ErrorMessage
}

// call makes a call about a job here once this daemon has the partition, and else at the daemons that follow it, in turn,
// until one decides about it. All these calls may be repeated. The error has the effect NotRun only if none of the daemons
// may have done anything.
func (g *Gateway) call(ctx context.Context, id string, r remote, local func() error) error {
	effect := outcome.NotRun
	err := notReady()

	l := g.near.Nearest(g.batches.Partition(id), id, time.Now())

	for _, p := range l[:min(mostRemotes, len(l))] {
		if ctx.Err() != nil || g.batches.serves(id) {
			break
		}

		x, stop := context.WithTimeout(ctx, r.wait+remoteWithin)
		e := g.caller.Call(x, p.Address, r.method, r.request, r.reply)

		stop()

		if e == nil {
			e = r.result().err()
			if e == nil || !outcome.Is(e, outcome.NotReady) {
				return withEffect(e, effect)
			}
		} else {
			g.failures.Failed(p.VM)
		}

		if outcome.From(e).Effect() != outcome.NotRun {
			effect = outcome.Unknown
		}

		g.logger.Info().Str("event", "job_call_failed").Str("job", id).Str("method", r.method).Str("peer", p.VM).Err(e).
			Msg("a daemon that follows the partition did not serve the call")

		err = e
	}

	if ctx.Err() == nil && g.batches.Follows(id) {
		err = local()
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
