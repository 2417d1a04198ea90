package bench

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/agategap/agategap/demo"
	"github.com/agategap/agategap/standin/engine"
)

// Bounds of the scenarios, from the table in docs/design.md, and their loads.
const (
	maxBatchHarmRatio    = 1.05
	minBatchTokensRatio  = 0.95
	maxHeadOfLineRatio   = 1.2
	maxSlowTargetsRatio  = 1.3
	minOverloadRatio     = 0.95
	shortTokens          = 12
	tokensSigma          = 0.5
	warmUpTime           = time.Second
	defaultPhaseTime     = 8 * time.Second
	slowTargetsPhaseTime = 12 * time.Second
	slowFactor           = 10
	slowDuration         = 5 * time.Second
	slowPause            = time.Second
	slowShare            = 0.2
	generousDeadline     = 30 * time.Second
	overloadDeadline     = time.Second
	onlineUtilisation    = 0.4
	mixedUtilisation     = 0.6
	burstFactor          = 2
	batchJobs            = 12
	batchJobItems        = 4000
	batchItemTokens      = 40
)

func newRand(o Options) *rand.Rand {
	return rand.New(rand.NewPCG(o.seed, 3)) //nolint:gosec // loads have to be repeatable
}

// rateFor returns the requests a second that use the given fraction of the capacity.
func (l load) rateFor(o Options, utilisation float64) float64 {
	return utilisation * o.size.capacity() / l.meanTokens()
}

// runPhase starts a new system, runs the load for warmUpTime and then for d, and returns the measurement of the latter.
// background, if not nil, is called between the two, and its context ends with the phase.
func runPhase(ctx context.Context, o Options, l load, d time.Duration, background func(ctx context.Context, s *demo.Demo, c *client) error) (*measurement, error) {
	s, err := startSystem(ctx, o)
	if err != nil {
		return nil, err
	}

	defer func() {
		s.Stop()
		_ = s.Wait()
	}()

	c := newClient(s)
	r := newRand(o)
	c.runLoad(ctx, l, l.planArrivals(r, warmUpTime), warmUpTime)

	x, stop := context.WithCancel(ctx)
	defer stop()

	if background != nil {
		if err := background(x, s, c); err != nil {
			return nil, err
		}
	}

	return c.runLoad(ctx, l, l.planArrivals(r, d), d), nil
}

// measureBatchHarm measures how much batch work slows down online work, and how much of the capacity that online work
// leaves free it uses.
func measureBatchHarm(ctx context.Context, o Options) ([]Result, error) {
	d := o.phaseTimeOr(defaultPhaseTime)
	l := load{burstFactor: burstFactor, medianTokens: shortTokens, sigma: tokensSigma, deadline: generousDeadline}
	l.rate = l.rateFor(o, onlineUtilisation)

	without, err := runPhase(ctx, o, l, d, nil)
	if err != nil {
		return nil, err
	}

	var itemRate float64

	done := make(chan error, 1)
	with, err := runPhase(ctx, o, l, d, func(x context.Context, _ *demo.Demo, c *client) error {
		j, err := c.submit(x, batchJobs, batchJobItems, batchItemTokens)
		if err != nil {
			return err
		}

		sleep(x, warmUpTime)

		go func() {
			var err error

			itemRate, err = j.itemsPerSecond(x, d)
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
	tokens := itemRate * batchItemTokens
	f := append(without.figures("without"), with.figures("with")...)
	h := map[string]*hdrhistogram.Histogram{"without batch": without.shortLatency, "with batch": with.shortLatency}

	return []Result{
		NewResult("batch-harm", "online_p99", o, with.p99()/without.p99(), maxBatchHarmRatio, true, f...).withLatencies(h),
		NewResult("batch-harm", "batch_tokens", o, tokens/free, minBatchTokensRatio, false,
			NewFigure("batch_tokens_per_s", tokens), NewFigure("free_tokens_per_s", free)),
	}, nil
}

// itemsPerSecond returns the number of items a second that were completed during d. It measures the time between the
// two reads of the jobs, as a read takes longer on an overloaded system.
func (j *jobs) itemsPerSecond(ctx context.Context, d time.Duration) (float64, error) {
	a, err := j.countDone(ctx)
	if err != nil {
		return 0, err
	}

	t := time.Now()

	sleep(ctx, d)

	b, err := j.countDone(ctx)

	return float64(b-a) / time.Since(t).Seconds(), err
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// measureHeadOfLine measures how much long requests slow down short ones. The rate of short requests is the same in
// both phases.
func measureHeadOfLine(ctx context.Context, o Options) ([]Result, error) {
	const (
		longShare  = 0.05
		longFactor = 50
	)

	d := o.phaseTimeOr(defaultPhaseTime)
	l := load{medianTokens: shortTokens, sigma: tokensSigma, longShare: longShare, longFactor: longFactor, deadline: generousDeadline}
	l.rate = l.rateFor(o, mixedUtilisation)

	with, err := runPhase(ctx, o, l, d, nil)
	if err != nil {
		return nil, err
	}

	l.longShare = 0
	l.rate *= 1 - longShare

	without, err := runPhase(ctx, o, l, d, nil)
	if err != nil {
		return nil, err
	}

	f := append(without.figures("without"), with.figures("with")...)
	h := map[string]*hdrhistogram.Histogram{"short work alone": without.shortLatency, "short work beside long": with.shortLatency}

	return []Result{
		NewResult("head-of-line", "short_p99", o, with.p99()/without.p99(), maxHeadOfLineRatio, true, f...).withLatencies(h),
	}, nil
}

// measureSlowTargets measures how much online work slows down while a fifth of the targets, which changes, is slow.
func measureSlowTargets(ctx context.Context, o Options) ([]Result, error) {
	d := o.phaseTimeOr(slowTargetsPhaseTime)
	l := load{medianTokens: shortTokens, sigma: tokensSigma, deadline: generousDeadline}
	l.rate = l.rateFor(o, onlineUtilisation)

	without, err := runPhase(ctx, o, l, d, nil)
	if err != nil {
		return nil, err
	}

	with, err := runPhase(ctx, o, l, d, func(x context.Context, s *demo.Demo, _ *client) error {
		go injectSlowness(x, s.Engines())

		return nil
	})
	if err != nil {
		return nil, err
	}

	f := append(without.figures("without"), with.figures("with")...)
	h := map[string]*hdrhistogram.Histogram{"no slow targets": without.shortLatency, "a fifth slow": with.shortLatency}

	return []Result{
		NewResult("slow-targets", "online_p99", o, with.p99()/without.p99(), maxSlowTargetsRatio, true, f...).withLatencies(h),
	}, nil
}

// injectSlowness slows down a fifth of the engines by slowFactor for slowDuration, and after slowPause the next fifth,
// until ctx ends.
func injectSlowness(ctx context.Context, e []*engine.Engine) {
	n := max(1, int(float64(len(e))*slowShare))

	for i := 0; ctx.Err() == nil; i += n {
		for k := range n {
			e[(i+k)%len(e)].SetFaults(engine.Faults{Slow: slowFactor})
		}

		sleep(ctx, slowDuration)

		for k := range n {
			e[(i+k)%len(e)].SetFaults(engine.Faults{})
		}

		sleep(ctx, slowPause)
	}
}

// measureOverload measures the goodput under a load of twice the capacity, relative to that under a load at the
// capacity.
func measureOverload(ctx context.Context, o Options) ([]Result, error) {
	d := o.phaseTimeOr(defaultPhaseTime)
	l := load{medianTokens: shortTokens, sigma: tokensSigma, deadline: overloadDeadline}
	l.rate = l.rateFor(o, 1)

	at, err := runPhase(ctx, o, l, d, nil)
	if err != nil {
		return nil, err
	}

	l.rate *= 2

	twice, err := runPhase(ctx, o, l, d, nil)
	if err != nil {
		return nil, err
	}

	f := append(at.figures("at_capacity"), twice.figures("at_twice")...)
	h := map[string]*hdrhistogram.Histogram{"at capacity": at.shortLatency, "at twice the capacity": twice.shortLatency}

	return []Result{
		NewResult("overload", "goodput", o, twice.goodput()/at.goodput(), minOverloadRatio, false, f...).withLatencies(h),
	}, nil
}
