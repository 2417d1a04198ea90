// Package soak tests a deployment under random faults. It runs daemons as processes on one machine, injects faults from
// outside, and checks what callers and workers observe against the promises of the system. Faults and load are drawn
// from a seed. The soak command uses it.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Options are the settings of a soak.
type Options struct {
	Program string        // path of the agategap executable
	Dir     string        // existing directory for the settings and logs of the daemons
	Seed    uint64        // seed of faults and load
	Length  time.Duration // time during which faults are injected
	Daemons int           // number of daemons
	Workers int           // number of workers
	Callers int           // number of clients that send online requests
}

const (
	// jobClientCount is the number of clients that submit jobs.
	jobClientCount = 3
	// bulkClientCount is the number of clients besides that submit larger jobs.
	bulkClientCount = 2
	// finalRecoveryTime is the time between the end of the last fault and the final checks, in which the daemons that
	// were restarted last find the others.
	finalRecoveryTime = 4 * time.Second
	// finalDeadlyTime is added to finalRecoveryTime in soaks with prompts that crash workers. Clients send such prompts
	// again then, as few of the faults before leave all daemons in touch.
	finalDeadlyTime = 3 * time.Second
)

// Run runs a soak and returns its report. An error means that the soak could not be run. Broken promises are not errors
// but part of the report.
func Run(ctx context.Context, o Options) (Report, error) {
	w, err := newDeployment(ctx, o)
	defer w.close()

	if err != nil {
		return Report{}, err
	}

	l := NewRecorder()
	j := &injector{deployment: w, recorder: l}
	c := newCallers(w, j, l)
	w.onCrash = j.crashUnderPrompt
	s := &jobClients{deployment: w, injector: j, recorder: l}

	x, stop := context.WithCancel(ctx)
	defer stop()

	var wg sync.WaitGroup

	renewal, stopRenewal := context.WithCancel(ctx)
	defer stopRenewal()

	go w.renewRegistrations(renewal)

	for i := range o.Callers {
		p := newPromptSource(o.Seed, uint64(5001+i), fmt.Sprint("caller-", i))    //nolint:gosec // a small number
		wg.Go(func() { c.run(x, rand.New(rand.NewPCG(o.Seed, uint64(1+i))), p) }) //nolint:gosec // reproducible load
	}

	for i := range deadlyClientCount {
		wg.Go(func() { c.runDeadly(x, rand.New(rand.NewPCG(o.Seed, uint64(7001+i))), fmt.Sprint("caller-", i)) }) //nolint:gosec // reproducible load
	}

	for i := range jobClientCount + bulkClientCount {
		p := newPromptSource(o.Seed, uint64(6001+i), fmt.Sprint("jobs-", i))            //nolint:gosec // a small number
		wg.Go(func() { s.run(x, rand.New(rand.NewPCG(o.Seed, uint64(1001+i))), p, i) }) //nolint:gosec // reproducible load
	}

	j.run(ctx, NewSchedule(o.Seed, o.Length, o.Daemons, o.Workers))

	wait := finalRecoveryTime
	if w.prompts.repeat() {
		wait += finalDeadlyTime
	}

	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}

	stop()
	wg.Wait()

	if ctx.Err() != nil {
		return Report{}, ctx.Err()
	}

	s.verify(ctx)
	c.verify(ctx)
	c.checkBudget(s)

	if ctx.Err() != nil {
		return Report{}, ctx.Err() // the requests of the checks failed because of that
	}

	open, err := s.openDeadlyItems(o.Dir)
	v := newReport(o, l, j)
	v.Open = open

	return v, err
}
