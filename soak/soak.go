// Package soak runs daemons as processes on one machine, injects faults from outside, and checks what callers and
// workers see against the promises of the system while it does. Faults and loads are drawn from a seed.
package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Options are the settings of a soak.
type Options struct {
	Program string        // path of the program whose daemons are run
	Dir     string        // directory for settings and logs
	Seed    uint64        // of faults and loads
	Length  time.Duration // time with faults
	Daemons int
	Workers int
	Callers int
}

const (
	// jobClientCount is the number of clients that submit jobs.
	jobClientCount = 3
	// finalRecoveryTime is the time between the last fault and the last checks, in which daemons that started last find the others.
	finalRecoveryTime = 4 * time.Second
)

// Run runs a soak and returns what was seen. An error means that it could not be run.
func Run(ctx context.Context, o Options) (Report, error) {
	w, err := newDeployment(ctx, o)
	defer w.close()

	if err != nil {
		return Report{}, err
	}

	l := NewRecorder()
	j := &injector{deployment: w, recorder: l}
	c := newCallers(w, j, l)
	s := &jobClients{deployment: w, injector: j, recorder: l}

	x, stop := context.WithCancel(ctx)
	defer stop()

	var wg sync.WaitGroup

	renewed, end := context.WithCancel(ctx)
	defer end()

	go w.renewRegistrations(renewed)

	for i := range o.Callers {
		wg.Go(func() { c.run(x, rand.New(rand.NewPCG(o.Seed, uint64(1+i)))) }) //nolint:gosec // repeatable load
	}

	for i := range jobClientCount {
		wg.Go(func() { s.run(x, rand.New(rand.NewPCG(o.Seed, uint64(1001+i))), i) }) //nolint:gosec // repeatable load
	}

	j.run(ctx, NewSchedule(o.Seed, o.Length, o.Daemons, o.Workers))

	select {
	case <-time.After(finalRecoveryTime):
	case <-ctx.Done():
	}

	stop()
	wg.Wait()

	if ctx.Err() != nil {
		return Report{}, ctx.Err()
	}

	s.verify(ctx)
	c.verify(ctx)

	return newReport(o, l, j), nil
}
