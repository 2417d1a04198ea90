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
	// meanJobPause is the mean pause between two jobs of a client.
	meanJobPause = 2 * time.Second
	// maxJobItems is the greatest number of items of a job.
	maxJobItems = 12
	// The jobs of bulk clients have minBulkItems to maxBulkItems items, so that many attempts begin side by side at a
	// worker and wait for slots.
	minBulkItems = 20
	maxBulkItems = 60
	// maxJobAttempts bounds the requests, each to a random daemon, that submit or cancel a job.
	maxJobAttempts = 6
	// cancelledJobShare is the share of jobs that their client tries to cancel.
	cancelledJobShare = 0.15
	// cancelGracePeriod is the time after the confirmation of a cancellation during which items may still start.
	cancelGracePeriod = 3 * time.Second
	// jobVisibleTimeout bounds the time from the acceptance of a job until every daemon finds it.
	jobVisibleTimeout = time.Second
	// allResultsTimeout bounds the final wait, after the last fault, until the results of all items of all jobs are
	// published.
	allResultsTimeout = 30 * time.Second
)

// job is a submitted job and what its client knows about it. The lock of jobClients guards it while clients run.
type job struct {
	id              string
	items           int
	prompts         []string        // of the items
	deadly          map[string]bool // IDs of the items with deadlyPart
	acceptedAt      time.Time       // when a daemon confirmed the job; zero if none did
	refused         bool            // no daemon accepted the job, and every response promised that no item runs
	cancelledAt     time.Time       // when the cancellation was confirmed; zero if it was not
	cancelRequested bool            // a cancellation may have been sent, confirmed or not
	results         []caller.Result // by position, as each was first read
}

// jobClients submit, read and cancel jobs, and check the promises about jobs.
type jobClients struct {
	deployment *deployment
	injector   *injector
	recorder   *Recorder

	mu   sync.Mutex
	jobs []*job
}

// run submits jobs one after another until ctx is done. After each it reads the results of two random jobs of any
// client, and then may cancel the job. number is the index of the client.
func (x *jobClients) run(ctx context.Context, r *rand.Rand, p *promptSource, number int) {
	for n := 0; ctx.Err() == nil; n++ {
		j := &job{id: fmt.Sprintf("job-%d-%d", number, n), items: 1 + r.IntN(maxJobItems)}
		if number >= jobClientCount {
			j.items = minBulkItems + r.IntN(maxBulkItems-minBulkItems+1)
		}

		j.prompts, j.deadly = p.items(j, x.deployment.prompts.isDeadly(DeadlyItems))
		x.deployment.prompts.addItems(j)

		x.mu.Lock()
		x.jobs = append(x.jobs, j)
		x.mu.Unlock()

		x.submit(ctx, r, j)

		for range 2 {
			select {
			case <-time.After(time.Duration(r.ExpFloat64() * float64(meanJobPause) / 2)): //nolint:mnd // two pauses per job
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

// submit sends a job to random daemons until one accepts it.
func (x *jobClients) submit(ctx context.Context, r *rand.Rand, j *job) {
	c := caller.New(host, requestTimeout)
	defer c.Close()

	refused := true

	for range maxJobAttempts {
		a := c.SubmitJob(ctx, x.deployment.daemons[r.IntN(len(x.deployment.daemons))].callerAddress, "/batch/x", j.id, j.prompts)
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

// cancel sends the cancellation of an accepted job to random daemons until one confirms it.
func (x *jobClients) cancel(ctx context.Context, r *rand.Rand, j *job) {
	c := caller.New(host, requestTimeout)
	defer c.Close()

	x.mu.Lock()
	accepted := !j.acceptedAt.IsZero()
	j.cancelRequested = accepted
	x.mu.Unlock()

	for range maxJobAttempts {
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

// readResults reads the results of a job at daemon n and compares them with those read before. It returns the number of
// results, or -1 if the job was not accepted or the daemon did not return its results.
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

	sentAt := time.Now()
	p, a, err := c.Read(ctx, d.callerAddress, j.id)

	switch {
	case a.Status() == http.StatusNotFound && sentAt.Sub(accepted) > jobVisibleTimeout:
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

// checkResults checks a list of results that a daemon returned. before is the number of results of the job that had
// been read when the request was sent.
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

// checkResult checks a result that is read for the first time.
func (x *jobClients) checkResult(j *job, vm string, r caller.Result) {
	switch {
	case !isItemOf(r.ID, j.id):
		x.recorder.RecordBroken(Listed, j.id, fmt.Sprintf("%s lists item %s of another job", vm, r.ID))
	case r.IsCompleted() && r.Text != worker.ResultText(r.ID, eventCount):
		x.recorder.RecordBroken(Listed, j.id, fmt.Sprintf("%s: the text of item %s is not the whole output", vm, r.ID))
	case !r.IsCompleted() && !j.cancelRequested:
		x.recorder.RecordBroken(Listed, j.id, fmt.Sprintf("%s gave up item %s, which can be done", vm, r.ID))
	}
}

// verify checks the jobs after the last fault: the results of all items are published, every daemon returns the same
// results, and no item ran that must not.
func (x *jobClients) verify(ctx context.Context) {
	deadline := time.Now().Add(allResultsTimeout)

	for _, j := range x.jobs {
		if j.acceptedAt.IsZero() {
			continue
		}

		isDone := func() bool { return j.cancelRequested || x.readResults(ctx, 0, j) >= 0 && len(j.soundOpen()) == 0 }
		for !isDone() {
			if time.Now().After(deadline) {
				x.recorder.RecordBroken(Listed, j.id, fmt.Sprintf("%v of %d items are not listed %s after the last fault", j.soundOpen(), j.items, allResultsTimeout))

				break
			}

			time.Sleep(100 * time.Millisecond) //nolint:mnd // interval of polling
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

// checkRuns checks that no item of a refused job ran, and that no item of a cancelled job started after
// cancelGracePeriod. The latter is not checked for runs within recoveryTime of a fault of a daemon or of the store.
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
