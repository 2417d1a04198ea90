package bench

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/agategap/agategap/demo"
	"github.com/agategap/agategap/standin/engine"
)

// Bounds of the scenarios, from the table in docs/design.md.
const (
	boundBatchHarm    = 1.05
	boundBatchTokens  = 0.95
	boundHeadOfLine   = 1.2
	boundSlowTargets  = 1.3
	boundOverload     = 0.95
	shortTokens       = 12
	sizeSpread        = 0.5
	warmUp            = time.Second
	defaultPhase      = 8 * time.Second
	slowPhase         = 12 * time.Second
	slowFactor        = 10
	slowLength        = 5 * time.Second
	slowPause         = time.Second
	slowShare         = 0.2
	generousTime      = 30 * time.Second
	overloadDeadline  = time.Second
	onlineUtilisation = 0.4
	mixedUtilisation  = 0.6
	burstFactor       = 2
	batchJobs         = 12
	batchJobItems     = 4000
	batchItemTokens   = 40
)

func random(o Options) *rand.Rand {
	return rand.New(rand.NewPCG(o.seed, 3)) //nolint:gosec // repeatable loads
}

// rateFor returns the requests a second that use a share of the capacity.
func (l load) rateFor(o Options, utilisation float64) float64 {
	return utilisation * o.size.capacity() / l.meanTokens()
}

// phase runs a load in a fresh system and returns what it showed.
func phase(ctx context.Context, o Options, l load, d time.Duration, beside func(ctx context.Context, s *demo.Demo, c *client) error) (*measured, error) {
	s, err := start(ctx, o)
	if err != nil {
		return nil, err
	}

	defer func() {
		s.Stop()
		_ = s.Wait()
	}()

	c := newClient(s)
	r := random(o)
	c.run(ctx, l, l.plan(r, warmUp), warmUp)

	x, stop := context.WithCancel(ctx)
	defer stop()

	if beside != nil {
		if err := beside(x, s, c); err != nil {
			return nil, err
		}
	}

	return c.run(ctx, l, l.plan(r, d), d), nil
}

// batchHarm measures what batch work does to online work, and how much of the free capacity it uses.
func batchHarm(ctx context.Context, o Options) ([]Result, error) {
	d := o.phaseOr(defaultPhase)
	l := load{burst: burstFactor, median: shortTokens, sigma: sizeSpread, deadline: generousTime}
	l.rate = l.rateFor(o, onlineUtilisation)

	without, err := phase(ctx, o, l, d, nil)
	if err != nil {
		return nil, err
	}

	var batch float64

	done := make(chan error, 1)
	with, err := phase(ctx, o, l, d, func(x context.Context, _ *demo.Demo, c *client) error {
		j, err := c.submit(x, batchJobs, batchJobItems, batchItemTokens)
		if err != nil {
			return err
		}

		sleep(x, warmUp)

		go func() {
			var err error

			batch, err = j.during(x, d)
			done <- err
		}()

		return nil
	})
	if err != nil {
		return nil, err
	}

	if err := <-done; err != nil {
		return nil, err
	}

	free := o.size.capacity() - float64(with.tokens)/d.Seconds()
	tokens := batch * batchItemTokens
	f := append(without.figures("without"), with.figures("with")...)
	h := map[string]*hdrhistogram.Histogram{"without batch": without.short, "with batch": with.short}

	return []Result{
		NewResult("batch-harm", "online_p99", o, with.p99()/without.p99(), boundBatchHarm, true, f...).withLatencies(h),
		NewResult("batch-harm", "batch_tokens", o, tokens/free, boundBatchTokens, false,
			NewFigure("batch_tokens_per_s", tokens), NewFigure("free_tokens_per_s", free)),
	}, nil
}

// during returns the items that end in a second, over a time of d. The two reads of the jobs take longer on a system that
// is overloaded, so the time between them is measured.
func (j *jobs) during(ctx context.Context, d time.Duration) (float64, error) {
	a, err := j.done(ctx)
	if err != nil {
		return 0, err
	}

	t := time.Now()

	sleep(ctx, d)

	b, err := j.done(ctx)

	return float64(b-a) / time.Since(t).Seconds(), err
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// headOfLine measures what long work does to short work. The arrivals of short work are the same in both phases.
func headOfLine(ctx context.Context, o Options) ([]Result, error) {
	const (
		share = 0.05
		times = 50
	)

	d := o.phaseOr(defaultPhase)
	l := load{median: shortTokens, sigma: sizeSpread, longShare: share, longTimes: times, deadline: generousTime}
	l.rate = l.rateFor(o, mixedUtilisation)

	with, err := phase(ctx, o, l, d, nil)
	if err != nil {
		return nil, err
	}

	l.longShare = 0
	l.rate *= 1 - share

	without, err := phase(ctx, o, l, d, nil)
	if err != nil {
		return nil, err
	}

	f := append(without.figures("without"), with.figures("with")...)
	h := map[string]*hdrhistogram.Histogram{"short work alone": without.short, "short work beside long": with.short}

	return []Result{
		NewResult("head-of-line", "short_p99", o, with.p99()/without.p99(), boundHeadOfLine, true, f...).withLatencies(h),
	}, nil
}

// slowTargets measures what a fifth of the targets does when they are slower for some seconds at a time.
func slowTargets(ctx context.Context, o Options) ([]Result, error) {
	d := o.phaseOr(slowPhase)
	l := load{median: shortTokens, sigma: sizeSpread, deadline: generousTime}
	l.rate = l.rateFor(o, onlineUtilisation)

	without, err := phase(ctx, o, l, d, nil)
	if err != nil {
		return nil, err
	}

	with, err := phase(ctx, o, l, d, func(x context.Context, s *demo.Demo, _ *client) error {
		go slowDown(x, s.Engines())

		return nil
	})
	if err != nil {
		return nil, err
	}

	f := append(without.figures("without"), with.figures("with")...)
	h := map[string]*hdrhistogram.Histogram{"no slow targets": without.short, "a fifth slow": with.short}

	return []Result{
		NewResult("slow-targets", "online_p99", o, with.p99()/without.p99(), boundSlowTargets, true, f...).withLatencies(h),
	}, nil
}

// slowDown makes a fifth of the engines slow for some seconds, then the next fifth.
func slowDown(ctx context.Context, e []*engine.Engine) {
	n := max(1, int(float64(len(e))*slowShare))

	for i := 0; ctx.Err() == nil; i += n {
		for k := range n {
			e[(i+k)%len(e)].SetFaults(engine.Faults{Slow: slowFactor})
		}

		sleep(ctx, slowLength)

		for k := range n {
			e[(i+k)%len(e)].SetFaults(engine.Faults{})
		}

		sleep(ctx, slowPause)
	}
}

// overload measures the answers within their deadline at twice the capacity.
func overload(ctx context.Context, o Options) ([]Result, error) {
	d := o.phaseOr(defaultPhase)
	l := load{median: shortTokens, sigma: sizeSpread, deadline: overloadDeadline}
	l.rate = l.rateFor(o, 1)

	at, err := phase(ctx, o, l, d, nil)
	if err != nil {
		return nil, err
	}

	l.rate *= 2

	twice, err := phase(ctx, o, l, d, nil)
	if err != nil {
		return nil, err
	}

	f := append(at.figures("at_capacity"), twice.figures("at_twice")...)
	h := map[string]*hdrhistogram.Histogram{"at capacity": at.short, "at twice the capacity": twice.short}

	return []Result{
		NewResult("overload", "goodput", o, twice.goodput()/at.goodput(), boundOverload, false, f...).withLatencies(h),
	}, nil
}
