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
	// meanJobPause is the mean pause between two jobs of a submitter.
	meanJobPause = 2 * time.Second
	// maxJobItems is the largest number of items in a job.
	maxJobItems = 12
	// maxSubmitAttempts is the number of daemons that a job is taken to.
	maxSubmitAttempts = 6
	// cancelledJobShare is the share of the jobs that are ended by their submitter.
	cancelledJobShare = 0.15
	// cancelGracePeriod is the time after the confirmation of an end in which items may still start.
	cancelGracePeriod = 3 * time.Second
	// jobVisibleTimeout is the time after which an accepted job is found everywhere.
	jobVisibleTimeout = time.Second
	// allResultsTimeout is the time after the last fault in which all items are listed.
	allResultsTimeout = 30 * time.Second
)

// job is a job that was submitted.
type job struct {
	id       string
	items    int
	acceptedAt time.Time       // zero when no daemon confirmed it
	refused  bool            // every answer promised that no part of it runs
	cancelledAt    time.Time       // confirmation of its end
	cancelRequested    bool            // its end was asked for
	results   []caller.Result // by position, as they were read first
}

// jobClients submit, read and end jobs.
type jobClients struct {
	deployment    *deployment
	injector *injector
	recorder   *Recorder

	mu   sync.Mutex
	jobs []*job
}

// run is the life of one submitter.
func (x *jobClients) run(ctx context.Context, r *rand.Rand, number int) {
	for n := 0; ctx.Err() == nil; n++ {
		j := &job{id: fmt.Sprintf("job-%d-%d", number, n), items: 1 + r.IntN(maxJobItems)}

		x.mu.Lock()
		x.jobs = append(x.jobs, j)
		x.mu.Unlock()

		x.submit(ctx, r, j)

		for range 2 {
			select {
			case <-time.After(time.Duration(r.ExpFloat64() * float64(meanJobPause) / 2)): //nolint:mnd // a read in the middle
			case <-ctx.Done():
				return
			}

			x.readResults(ctx, r.IntN(len(x.deployment.daemons)), x.randomJob(r))
		}

		if r.Float64() < cancelledJobShare {
			x.cancel(ctx, r, j)
		}
	}
}

func (x *jobClients) randomJob(r *rand.Rand) *job {
	x.mu.Lock()
	defer x.mu.Unlock()

	return x.jobs[r.IntN(len(x.jobs))]
}

// submit takes a job to daemons until one accepts it.
func (x *jobClients) submit(ctx context.Context, r *rand.Rand, j *job) {
	c := caller.New(host, requestTimeout)
	defer c.Close()

	refused := true

	for range maxSubmitAttempts {
		a := c.SubmitJob(ctx, x.deployment.daemons[r.IntN(len(x.deployment.daemons))].callerAddress, "/batch/x", j.id, j.items)
		if ctx.Err() != nil {
			return
		}

		x.recorder.Count(fmt.Sprint("job ", a.Status()))

		if a.Status() == http.StatusAccepted {
			x.mu.Lock()
			j.acceptedAt = time.Now()
			x.mu.Unlock()

			return
		}

		refused = refused && (a.Status() == http.StatusServiceUnavailable || a.Status() == http.StatusTooManyRequests)
	}

	x.mu.Lock()
	j.refused = refused
	x.mu.Unlock()
}

// cancel ends a job.
func (x *jobClients) cancel(ctx context.Context, r *rand.Rand, j *job) {
	c := caller.New(host, requestTimeout)
	defer c.Close()

	x.mu.Lock()
	accepted := !j.acceptedAt.IsZero()
	j.cancelRequested = accepted
	x.mu.Unlock()

	for range maxSubmitAttempts {
		if !accepted || ctx.Err() != nil {
			return
		}

		a := c.CancelJob(ctx, x.deployment.daemons[r.IntN(len(x.deployment.daemons))].callerAddress, j.id)
		if a.Status() == http.StatusOK {
			x.recorder.Count("job ended")

			x.mu.Lock()
			j.cancelledAt = time.Now()
			x.mu.Unlock()

			return
		}
	}
}

// readResults reads a job from the start at a daemon and compares it with what was read before. It returns the number of results
// that the daemon listed; -1 when it gave none.
func (x *jobClients) readResults(ctx context.Context, n int, j *job) int {
	c := caller.New(host, requestTimeout)
	defer c.Close()

	d := x.deployment.daemons[n]

	x.mu.Lock()
	accepted, before := j.acceptedAt, len(j.results)
	x.mu.Unlock()

	if accepted.IsZero() {
		return -1
	}

	began := time.Now()
	p, a, err := c.Read(ctx, d.callerAddress, j.id)

	switch {
	case a.Status() == http.StatusNotFound && began.Sub(accepted) > jobVisibleTimeout:
		x.recorder.RecordBroken(Readable, j.id, d.vm+" does not find the job")

		return -1
	case err != nil:
		x.recorder.RecordBroken(Whole, j.id, d.vm+": "+err.Error())

		return -1
	case a.Status() != http.StatusOK || !a.IsComplete():
		return -1
	}

	x.checkResults(j, d.vm, p, before)

	return len(p.Results)
}

// checkResults checks a list of results. before is the number of results that had been read when it was asked for.
func (x *jobClients) checkResults(j *job, vm string, p caller.Page, before int) {
	x.mu.Lock()
	defer x.mu.Unlock()

	if p.Total != j.items {
		x.recorder.RecordBroken(Listed, j.id, fmt.Sprintf("%s: total is %d, not %d", vm, p.Total, j.items))
	}

	if len(p.Results) < before {
		x.recorder.RecordBroken(Listed, j.id, fmt.Sprintf("%s lists %d results, %d had been read", vm, len(p.Results), before))
	}

	seen := map[string]bool{}

	for i, r := range p.Results {
		if seen[r.ID] {
			x.recorder.RecordBroken(Listed, j.id, fmt.Sprintf("%s lists %s twice", vm, r.ID))
		}

		seen[r.ID] = true

		if i < len(j.results) {
			if j.results[i] != r {
				x.recorder.RecordBroken(Listed, j.id, fmt.Sprintf("%s lists another caller.Result at position %d", vm, i))
			}

			continue
		}

		j.results = append(j.results, r)
		x.checkResult(j, vm, r)
	}
}

func (x *jobClients) checkResult(j *job, vm string, r caller.Result) {
	switch {
	case !strings.HasPrefix(r.ID, j.id+"."):
		x.recorder.RecordBroken(Listed, j.id, fmt.Sprintf("%s lists item %s of another job", vm, r.ID))
	case r.IsCompleted() && r.Text != worker.ResultText(r.ID, eventCount):
		x.recorder.RecordBroken(Listed, j.id, fmt.Sprintf("%s: the text of item %s is not the whole output", vm, r.ID))
	case !r.IsCompleted() && !j.cancelRequested:
		x.recorder.RecordBroken(Listed, j.id, fmt.Sprintf("%s gave up item %s, which can be done", vm, r.ID))
	}
}

// verify waits until all items are listed, reads every job at every daemon, and checks what ran.
func (x *jobClients) verify(ctx context.Context) {
	end := time.Now().Add(allResultsTimeout)

	for _, j := range x.jobs {
		if j.acceptedAt.IsZero() {
			continue
		}

		whole := func() bool { return j.cancelRequested || x.readResults(ctx, 0, j) == j.items }
		for !whole() {
			if time.Now().After(end) {
				x.recorder.RecordBroken(Listed, j.id, fmt.Sprintf("%d of %d items are listed %s after the last fault", len(j.results), j.items, allResultsTimeout))

				break
			}

			time.Sleep(100 * time.Millisecond) //nolint:mnd // polls
		}
	}

	var wg sync.WaitGroup

	for n := range x.deployment.daemons {
		wg.Go(func() {
			for _, j := range x.jobs {
				if !j.acceptedAt.IsZero() && x.readResults(ctx, n, j) < 0 {
					x.recorder.RecordBroken(Readable, j.id, x.deployment.daemons[n].vm+" does not list the job after all faults")
				}
			}
		})
	}

	wg.Wait()
	x.checkRuns()
}

// checkRuns checks that nothing ran that was refused or ended.
func (x *jobClients) checkRuns() {
	jobs := map[string]*job{}
	for _, j := range x.jobs {
		jobs[j.id] = j
	}

	for _, t := range x.deployment.workers {
		for _, r := range t.worker.Runs() {
			id, _, ok := strings.Cut(r.ID, ".")

			j := jobs[id]
			if !ok || j == nil {
				continue
			}

			if j.refused {
				x.recorder.RecordBroken(NotRun, id, "every daemon refused the job as not run, and an item of it ran")
			}

			if !j.cancelledAt.IsZero() && r.Start.Sub(j.cancelledAt) > cancelGracePeriod && x.injector.isFaultFree(r.Start.Add(-recoveryTime), r.Start, affectsAnyDaemon) {
				x.recorder.RecordBroken(Ended, id, fmt.Sprintf("item %s started %s after the end was confirmed", r.ID, r.Start.Sub(j.cancelledAt)))
			}
		}
	}
}
