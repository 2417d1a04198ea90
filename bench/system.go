package bench

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/agategap/agategap/config"
	"github.com/agategap/agategap/demo"
	"github.com/agategap/agategap/standin/engine"
)

// Settings of the engine stand-ins. A step of 10 ms that grows little with each stream models an engine that is bound
// by memory bandwidth. Its capacity, the number of streams divided by the time of a step, is 1,379 tokens a second.
const (
	engineStreams    = 16
	engineStepBase   = 10 * time.Millisecond
	engineStepStream = 100 * time.Microsecond
	enginePrefill    = 20 * time.Microsecond
	engineLoadLag    = 3 * time.Second
	// logAppendsPerSecond is high enough that the log does not limit the measurements.
	logAppendsPerSecond = 2000
)

// capacity returns the tokens a second that all engines generate together while all their streams are in use.
func (s Size) capacity() float64 {
	step := engineStepBase + engineStreams*engineStepStream

	return float64(s.workers) * engineStreams / step.Seconds()
}

// startSystem starts the system of a run and waits until all daemons are ready. The caller stops it.
func startSystem(ctx context.Context, o Options) (*demo.Demo, error) {
	d, err := demo.Start(ctx, demo.Options{
		Domains: o.size.domains, Daemons: o.size.daemons, Workers: o.size.workers, Service: o.size.service,
		Policy: o.policy, Appends: logAppendsPerSecond, Batch: config.BatchSettings{ShardItems: 50}, //nolint:mnd // shards small enough for all daemons
		Engine: engine.Options{
			MaxStreams: engineStreams, StepBase: engineStepBase, StepStream: engineStepStream, PrefillToken: enginePrefill,
			LoadLag: engineLoadLag, Seed: o.seed,
		},
	}, zerolog.Nop())
	if err != nil {
		return nil, err
	}

	const readyTimeout = 20 * time.Second

	x, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()

	if err := d.WaitReady(x); err != nil {
		d.Stop()

		return nil, err
	}

	return d, nil
}
