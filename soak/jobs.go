package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/agategap/agategap/standin/caller"
	"github.com/agategap/agategap/standin/worker"
)

const (
	// jobPause is the mean pause between two jobs of a submitter.
	jobPause = 2 * time.Second
	// mostItems is the largest number of items in a job.
	mostItems = 12
	// submitTries is the number of daemons that a job is taken to.
	submitTries = 6
	// endShare is the share of the jobs that are ended by their submitter.
	endShare = 0.15
	// endWithin is the time after the confirmation of an end in which items may still start.
	endWithin = 3 * time.Second
	// settle is the time after which an accepted job is found everywhere.
	settle = time.Second
	// listWithin is the time after the last fault in which all items are listed.
	listWithin = 30 * time.Second
)

// job is a job that was submitted.
type job struct {
	id       string
	items    int
	accepted time.Time       // zero when no daemon confirmed it
	refused  bool            // every answer promised that no part of it runs
	ended    time.Time       // confirmation of its end
	asked    bool            // its end was asked for
	listed   []caller.Result // by position, as they were read first
}

// submitters submit, read and end jobs.
type submitters struct {
	world    *world
	injector *injector
	ledger   *Ledger

	mu   sync.Mutex
	jobs []*job
}

// run is the life of one submitter.
func (x *submitters) run(ctx context.Context, r *rand.Rand, number int) {
	for n := 0; ctx.Err() == nil; n++ {
		j := &job{id: fmt.Sprintf("job-%d-%d", number, n), items: 1 + r.IntN(mostItems)}

		x.mu.Lock()
		x.jobs = append(x.jobs, j)
		x.mu.Unlock()

		x.submit(ctx, r, j)

		for range 2 {
			select {
			case <-time.After(time.Duration(r.ExpFloat64() * float64(jobPause) / 2)): //nolint:mnd // a read in the middle
			case <-ctx.Done():
				return
			}

			x.read(ctx, r.IntN(len(x.world.daemons)), x.any(r))
		}

		if r.Float64() < endShare {
			x.end(ctx, r, j)
		}
	}
}

func (x *submitters) any(r *rand.Rand) *job {
	x.mu.Lock()
	defer x.mu.Unlock()

	return x.jobs[r.IntN(len(x.jobs))]
}

// submit takes a job to daemons until one accepts it.
func (x *submitters) submit(ctx context.Context, r *rand.Rand, j *job) {
	c := caller.New(host, requestLimit)
	defer c.Close()

	refused := true

	for range submitTries {
		a := c.SubmitJob(ctx, x.world.daemons[r.IntN(len(x.world.daemons))].caller, "/batch/x", j.id, j.items)
		if ctx.Err() != nil {
			return
		}

		x.ledger.Count(fmt.Sprint("job ", a.Status()))

		if a.Status() == http.StatusAccepted {
			x.mu.Lock()
			j.accepted = time.Now()
			x.mu.Unlock()

			return
		}

		refused = refused && (a.Status() == http.StatusServiceUnavailable || a.Status() == http.StatusTooManyRequests)
	}

	x.mu.Lock()
	j.refused = refused
	x.mu.Unlock()
}

// end ends a job.
func (x *submitters) end(ctx context.Context, r *rand.Rand, j *job) {
	c := caller.New(host, requestLimit)
	defer c.Close()

	x.mu.Lock()
	accepted := !j.accepted.IsZero()
	j.asked = accepted
	x.mu.Unlock()

	for range submitTries {
		if !accepted || ctx.Err() != nil {
			return
		}

		a := c.CancelJob(ctx, x.world.daemons[r.IntN(len(x.world.daemons))].caller, j.id)
		if a.Status() == http.StatusOK {
			x.ledger.Count("job ended")

			x.mu.Lock()
			j.ended = time.Now()
			x.mu.Unlock()

			return
		}
	}
}

// read reads a job from the start at a daemon and compares it with what was read before. It returns the number of results
// that the daemon listed; -1 when it gave none.
func (x *submitters) read(ctx context.Context, n int, j *job) int {
	c := caller.New(host, requestLimit)
	defer c.Close()

	d := x.world.daemons[n]

	x.mu.Lock()
	accepted, before := j.accepted, len(j.listed)
	x.mu.Unlock()

	if accepted.IsZero() {
		return -1
	}

	began := time.Now()
	p, a, err := c.Read(ctx, d.caller, j.id)

	switch {
	case a.Status() == http.StatusNotFound && began.Sub(accepted) > settle:
		x.ledger.Break(Readable, j.id, d.vm+" does not find the job")

		return -1
	case err != nil:
		x.ledger.Break(Whole, j.id, d.vm+": "+err.Error())

		return -1
	case a.Status() != http.StatusOK || !a.IsComplete():
		return -1
	}

	x.compare(j, d.vm, p, before)

	return len(p.Results)
}

// compare checks a list of results. before is the number of results that had been read when it was asked for.
func (x *submitters) compare(j *job, vm string, p caller.Page, before int) {
	x.mu.Lock()
	defer x.mu.Unlock()

	if p.Total != j.items {
		x.ledger.Break(Listed, j.id, fmt.Sprintf("%s: total is %d, not %d", vm, p.Total, j.items))
	}

	if len(p.Results) < before {
		x.ledger.Break(Listed, j.id, fmt.Sprintf("%s lists %d results, %d had been read", vm, len(p.Results), before))
	}

	seen := map[string]bool{}

	for i, r := range p.Results {
		if seen[r.ID] {
			x.ledger.Break(Listed, j.id, fmt.Sprintf("%s lists %s twice", vm, r.ID))
		}

		seen[r.ID] = true

		if i < len(j.listed) {
			if j.listed[i] != r {
				x.ledger.Break(Listed, j.id, fmt.Sprintf("%s lists another caller.Result at position %d", vm, i))
			}

			continue
		}

		j.listed = append(j.listed, r)
		x.checkResult(j, vm, r)
	}
}

func (x *submitters) checkResult(j *job, vm string, r caller.Result) {
	switch {
	case !strings.HasPrefix(r.ID, j.id+"."):
		x.ledger.Break(Listed, j.id, fmt.Sprintf("%s lists item %s of another job", vm, r.ID))
	case r.IsCompleted() && r.Text != worker.ResultText(r.ID, events):
		x.ledger.Break(Listed, j.id, fmt.Sprintf("%s: the text of item %s is not the whole output", vm, r.ID))
	case !r.IsCompleted() && !j.asked:
		x.ledger.Break(Listed, j.id, fmt.Sprintf("%s gave up item %s, which can be done", vm, r.ID))
	}
}

// finish waits until all items are listed, reads every job at every daemon, and checks what ran.
func (x *submitters) finish(ctx context.Context) {
	end := time.Now().Add(listWithin)

	for _, j := range x.jobs {
		if j.accepted.IsZero() {
			continue
		}

		whole := func() bool { return j.asked || x.read(ctx, 0, j) == j.items }
		for !whole() {
			if time.Now().After(end) {
				x.ledger.Break(Listed, j.id, fmt.Sprintf("%d of %d items are listed %s after the last fault", len(j.listed), j.items, listWithin))

				break
			}

			time.Sleep(100 * time.Millisecond) //nolint:mnd // polls
		}
	}

	var wg sync.WaitGroup

	for n := range x.world.daemons {
		wg.Go(func() {
			for _, j := range x.jobs {
				if !j.accepted.IsZero() && x.read(ctx, n, j) < 0 {
					x.ledger.Break(Readable, j.id, x.world.daemons[n].vm+" does not list the job after all faults")
				}
			}
		})
	}

	wg.Wait()
	x.checkRuns()
}

// checkRuns checks that nothing ran that was refused or ended.
func (x *submitters) checkRuns() {
	jobs := map[string]*job{}
	for _, j := range x.jobs {
		jobs[j.id] = j
	}

	for _, t := range x.world.targets {
		for _, r := range t.worker.Runs() {
			id, _, ok := strings.Cut(r.ID, ".")

			j := jobs[id]
			if !ok || j == nil {
				continue
			}

			if j.refused {
				x.ledger.Break(NotRun, id, "every daemon refused the job as not run, and an item of it ran")
			}

			if !j.ended.IsZero() && r.Start.Sub(j.ended) > endWithin && x.injector.quiet(r.Start.Add(-calm), r.Start, concernsAnyDaemon) {
				x.ledger.Break(Ended, id, fmt.Sprintf("item %s started %s after the end was confirmed", r.ID, r.Start.Sub(j.ended)))
			}
		}
	}
}
