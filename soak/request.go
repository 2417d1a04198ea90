package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/agategap/agategap/standin/caller"
	"github.com/agategap/agategap/standin/worker"
)

const (
	// requestTimeout bounds the wait of a caller for a response.
	requestTimeout = 5 * time.Second
	// meanRequestPause is the mean pause between two requests of a caller.
	meanRequestPause = 150 * time.Millisecond
	// keepDaemonShare is the share of served requests after which a caller stays with the same daemon, so that it
	// reuses the connection. After any other request it chooses a random daemon.
	keepDaemonShare = 0.9
	// configApplyTimeout bounds the time until a published configuration is in force at a daemon, also after a fault of
	// the daemon.
	configApplyTimeout = 2 * time.Second
	// rollbackGracePeriod is the time after a daemon's first use of a version in which it may still use an older one.
	rollbackGracePeriod = 250 * time.Millisecond
	// recoveryTime is the time that must have passed without a fault before timeouts and shutdowns are checked.
	recoveryTime = 3 * time.Second
)

// callers send online requests and check the promises about requests.
type callers struct {
	deployment   *deployment
	injector     *injector
	recorder     *Recorder
	requestCount atomic.Int64

	mu         sync.Mutex
	repeatable map[string]bool         // whether a request may run more than once, by request ID
	refused    map[string]bool         // IDs of requests that were refused as not run
	deadly     map[string]int          // index of the daemon that got a request with deadlyPart, by request ID
	versions   map[string]shownVersion // by VM of the daemon
}

// shownVersion is the newest version of the configuration that a response has shown to be in force at a daemon.
type shownVersion struct {
	starts  int // number of starts of the daemon, which identifies its process
	version int
	at      time.Time // of the response
}

func newCallers(w *deployment, j *injector, l *Recorder) *callers {
	return &callers{
		deployment: w, injector: j, recorder: l,
		repeatable: map[string]bool{}, refused: map[string]bool{}, deadly: map[string]int{}, versions: map[string]shownVersion{},
	}
}

// run sends the requests of one caller, one after another, until ctx is done.
func (x *callers) run(ctx context.Context, r *rand.Rand, p *promptSource) {
	c := caller.New(host, requestTimeout)
	defer c.Close()

	n := r.IntN(len(x.deployment.daemons))

	for ctx.Err() == nil {
		ok := x.request(ctx, c, r, p, n)
		if !ok || r.Float64() > keepDaemonShare {
			n = r.IntN(len(x.deployment.daemons))
		}

		select {
		case <-time.After(time.Duration(r.ExpFloat64() * float64(meanRequestPause))):
		case <-ctx.Done():
		}
	}
}

// request sends one request on a random route to daemon n, checks the response, and reports whether the request was
// served.
func (x *callers) request(ctx context.Context, c *caller.Caller, r *rand.Rand, p *promptSource, n int) bool {
	id := fmt.Sprintf("q%d", x.requestCount.Add(1))
	d := x.deployment.daemons[n]

	version, repeatable, route := 0, false, "once"

	switch k := r.Float64(); {
	case k < 0.4: //nolint:mnd // shares of the routes
		repeatable, route = true, "again"
	case k < 0.6: //nolint:mnd // shares of the routes
		version = x.deployment.newestVersion()
		route = fmt.Sprint("v", version)
	}

	x.mu.Lock()
	x.repeatable[id] = repeatable
	x.mu.Unlock()

	sentAt, starts := time.Now(), d.startCount()
	a := c.SendRequest(ctx, d.callerAddress, "/"+route+"/x", id, p.next(route, id))
	served := a.Status() == http.StatusOK && a.IsComplete()
	p.end(served)

	if ctx.Err() != nil {
		return false // the request was cancelled, as the soak ends
	}

	x.recorder.Count(fmt.Sprint("answer ", a.Status()))
	x.checkResponse(id, n, sentAt, a)

	if version > 0 {
		x.checkVersion(n, starts, version, sentAt, a)
	}

	return served
}

// expectedStream returns the complete body of the response to a request.
func expectedStream(id string) string {
	var b strings.Builder
	for n := 1; n <= eventCount; n++ {
		b.WriteString(worker.EncodeEvent(id, n))
	}

	return b.String()
}

// checkResponse checks a response of daemon n to the request with an ID, and records requests that were refused as not
// run.
func (x *callers) checkResponse(id string, n int, sentAt time.Time, a caller.Response) {
	d := x.deployment.daemons[n]

	switch {
	case a.Status() == http.StatusOK && a.IsComplete():
		if want := expectedStream(id); string(a.Body()) != want {
			x.recorder.RecordBroken(Whole, id, fmt.Sprintf("%s: an answer of %d bytes looks complete; the whole one has %d", d.vm, len(a.Body()), len(want)))
		}
	case a.Status() == http.StatusTooManyRequests, a.Status() == http.StatusServiceUnavailable:
		x.mu.Lock()
		x.refused[id] = true
		x.mu.Unlock()
	case a.Status() == http.StatusOK || a.Status() == 0:
		x.checkShutdown(id, n, sentAt, a)
	}
}

// checkShutdown checks that an incomplete response was not cut off by the shutdown of daemon n. The promise Shutdown is
// broken if the daemon was being stopped and no other fault can be the cause.
func (x *callers) checkShutdown(id string, n int, sentAt time.Time, a caller.Response) {
	now := time.Now()
	stopped := func(f Fault) bool { return f.kind == Stop && f.index == n }
	other := func(f Fault) bool {
		return affectsWorkers(f) || f.index == n && (f.kind == Kill || f.kind == Pause)
	}

	if a.Status() == 0 && now.Sub(sentAt) < requestTimeout && x.deployment.daemons[n].hasExited() {
		return // the daemon had exited and did not read the request
	}

	if !x.injector.isFaultFree(sentAt, now, stopped) && x.injector.isFaultFree(sentAt.Add(-recoveryTime), now, other) && a.Status() == http.StatusOK {
		x.recorder.RecordBroken(Shutdown, id, fmt.Sprintf("%s cut an answer off at %d bytes while it was stopped", x.deployment.daemons[n].vm, len(a.Body())))
	}
}

// hasExited reports whether the latest process of a daemon has exited.
func (d *daemon) hasExited() bool {
	select {
	case <-d.exited():
		return true
	default:
		return false
	}
}

// checkVersion checks a response of daemon n on a route that a version of the configuration has added. A process of a
// daemon that has used a version must not go back to an older one. Without faults, a new version must soon be in force.
// starts is the start count of the daemon when the request was sent.
func (x *callers) checkVersion(n, starts, version int, sentAt time.Time, a caller.Response) {
	d := x.deployment.daemons[n]
	hasRoute := a.Status() == http.StatusOK || a.Status() == http.StatusServiceUnavailable && strings.Contains(string(a.Body()), "overloaded")

	x.mu.Lock()
	defer x.mu.Unlock()

	s := x.versions[d.vm]

	switch {
	case hasRoute && starts == d.startCount() && (s.starts != starts || version > s.version):
		x.versions[d.vm] = shownVersion{starts: starts, version: version, at: time.Now()}
	case a.Status() == http.StatusNotFound && s.starts == starts && d.startCount() == starts && version <= s.version && sentAt.Sub(s.at) > rollbackGracePeriod:
		x.recorder.RecordBroken(Forward, d.vm, fmt.Sprintf("version %d was shown and is not in force any more", version))
	case a.Status() == http.StatusNotFound && x.injector.isFaultFree(sentAt.Add(-recoveryTime-configApplyTimeout), time.Now(), func(f Fault) bool {
		return f.kind == Configure || affectsDaemon(n)(f)
	}):
		x.recorder.RecordBroken(InForce, d.vm, fmt.Sprintf("version %d is not in force", version))
	}
}

// verify checks, after the last fault, that all daemons serve requests and that the runs at the workers agree with the
// responses.
func (x *callers) verify(ctx context.Context) {
	var wg sync.WaitGroup

	for n := range x.deployment.daemons {
		wg.Go(func() { x.checkRecovered(ctx, n) })
	}

	wg.Wait()

	runs := map[string]int{}

	for _, t := range x.deployment.workers {
		for _, r := range t.worker.Runs() {
			runs[r.ID]++
		}
	}

	x.mu.Lock()
	defer x.mu.Unlock()

	for id, repeatable := range x.repeatable {
		if runs[id] > 1 && !repeatable {
			x.recorder.RecordBroken(Once, id, fmt.Sprintf("the request ran %d times", runs[id]))
		}

		if runs[id] > 0 && x.refused[id] {
			x.recorder.RecordBroken(NotRun, id, "the request was refused as not run, and ran")
		}
	}
}

// checkRecovered sends recoveryRequests requests to daemon n and checks that at least three quarters are served.
func (x *callers) checkRecovered(ctx context.Context, n int) {
	c := caller.New(host, requestTimeout)
	defer c.Close()

	r := rand.New(rand.NewPCG(uint64(n), 0)) //nolint:gosec // only chooses routes
	p := newPromptSource(uint64(n), 1, fmt.Sprint("recovery-", n))
	served, excused := 0, 0

	for range recoveryRequests {
		sentAt := time.Now()

		switch {
		case x.request(ctx, c, r, p, n):
			served++
		case !x.injector.isFaultFree(sentAt, time.Now(), func(f Fault) bool { return f.kind == DeadlyCrash }):
			excused++ // an item that crashes workers was tried meanwhile
		}
	}

	if served < (recoveryRequests-excused)*3/4 {
		x.recorder.RecordBroken(Recovered, x.deployment.daemons[n].vm, fmt.Sprintf("%d of %d requests are served after all faults", served, recoveryRequests-excused))
	}
}

// recoveryRequests is the number of requests that are sent to each daemon after all faults have ended.
const recoveryRequests = 8
