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
	// requestTimeout is the time that a caller waits for an answer.
	requestTimeout = 5 * time.Second
	// meanRequestPause is the mean pause of a caller between two requests.
	meanRequestPause = 150 * time.Millisecond
	// keepDaemonShare is the share of requests after which a caller stays with its daemon, whose connection it then uses again.
	keepDaemonShare = 0.9
	// configApplyTimeout is the time in which a confirmed configuration is in force, and reached its daemons after a fault.
	configApplyTimeout = 2 * time.Second
	// rollbackGracePeriod is the time after which a version that was shown must not be followed by an older one.
	rollbackGracePeriod = 250 * time.Millisecond
	// recoveryTime is the time without a fault after which bounds in time hold.
	recoveryTime = 3 * time.Second
)

// callers make requests and remember what must not happen to them.
type callers struct {
	deployment    *deployment
	injector *injector
	recorder   *Recorder
	requestCount   atomic.Int64

	mu      sync.Mutex
	repeatable    map[string]bool // may the request run more than once?
	refused map[string]bool
	versions   map[string]shownVersion // newest version that a process has shown, by daemon
}

// shownVersion is the newest version that a run of a daemon has shown.
type shownVersion struct {
	starts     int
	version int
	at      time.Time
}

func newCallers(w *deployment, j *injector, l *Recorder) *callers {
	return &callers{deployment: w, injector: j, recorder: l, repeatable: map[string]bool{}, refused: map[string]bool{}, versions: map[string]shownVersion{}}
}

// run is the life of one caller.
func (x *callers) run(ctx context.Context, r *rand.Rand) {
	c := caller.New(host, requestTimeout)
	defer c.Close()

	n := r.IntN(len(x.deployment.daemons))

	for ctx.Err() == nil {
		ok := x.request(ctx, c, r, n)
		if !ok || r.Float64() > keepDaemonShare {
			n = r.IntN(len(x.deployment.daemons))
		}

		select {
		case <-time.After(time.Duration(r.ExpFloat64() * float64(meanRequestPause))):
		case <-ctx.Done():
		}
	}
}

// request makes one request and reports whether it was served.
func (x *callers) request(ctx context.Context, c *caller.Caller, r *rand.Rand, n int) bool {
	id := fmt.Sprintf("q%d", x.requestCount.Add(1))
	d := x.deployment.daemons[n]

	version, repeatable, path := 0, false, "/once/x"

	switch k := r.Float64(); {
	case k < 0.4: //nolint:mnd // shares of the routes
		repeatable, path = true, "/again/x"
	case k < 0.6: //nolint:mnd // shares of the routes
		version = x.deployment.newestVersion()
		path = fmt.Sprintf("/v%d/x", version)
	}

	x.mu.Lock()
	x.repeatable[id] = repeatable
	x.mu.Unlock()

	began, run := time.Now(), d.startCount()
	a := c.SendRequest(ctx, d.callerAddress, path, id)

	if ctx.Err() != nil {
		return false // the soak ends
	}

	x.recorder.Count(fmt.Sprint("answer ", a.Status()))
	x.checkResponse(id, n, began, a)

	if version > 0 {
		x.checkVersion(n, run, version, began, a)
	}

	return a.Status() == http.StatusOK && a.IsComplete()
}

// expectedStream is the whole answer to a request.
func expectedStream(id string) string {
	var b strings.Builder
	for n := 1; n <= eventCount; n++ {
		b.WriteString(worker.EncodeEvent(id, n))
	}

	return b.String()
}

// checkResponse checks what an answer promises.
func (x *callers) checkResponse(id string, n int, began time.Time, a caller.Response) {
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
		x.checkShutdown(id, n, began, a)
	}
}

// checkShutdown checks that a request that was cut off was not cut by the shutdown of its daemon.
func (x *callers) checkShutdown(id string, n int, began time.Time, a caller.Response) {
	now := time.Now()
	stopped := func(f Fault) bool { return f.kind == Stop && f.index == n }
	other := func(f Fault) bool {
		return affectsWorkers(f) || f.index == n && (f.kind == Kill || f.kind == Pause)
	}

	if a.Status() == 0 && now.Sub(began) < requestTimeout && x.deployment.daemons[n].hasExited() {
		return // no connection: nothing was read
	}

	if !x.injector.isFaultFree(began, now, stopped) && x.injector.isFaultFree(began.Add(-recoveryTime), now, other) && a.Status() == http.StatusOK {
		x.recorder.RecordBroken(Shutdown, id, fmt.Sprintf("%s cut an answer off at %d bytes while it was stopped", x.deployment.daemons[n].vm, len(a.Body())))
	}
}

// hasExited reports whether the process of a daemon has ended.
func (d *daemon) hasExited() bool {
	select {
	case <-d.exited():
		return true
	default:
		return false
	}
}

// checkVersion checks that a version that a daemon has shown stays in force, and that the newest one soon is.
func (x *callers) checkVersion(n, run, version int, began time.Time, a caller.Response) {
	d := x.deployment.daemons[n]
	knows := a.Status() == http.StatusOK || a.Status() == http.StatusServiceUnavailable && strings.Contains(string(a.Body()), "overloaded")

	x.mu.Lock()
	defer x.mu.Unlock()

	s := x.versions[d.vm]

	switch {
	case knows && run == d.startCount() && (s.starts != run || version > s.version):
		x.versions[d.vm] = shownVersion{starts: run, version: version, at: time.Now()}
	case a.Status() == http.StatusNotFound && s.starts == run && d.startCount() == run && version <= s.version && began.Sub(s.at) > rollbackGracePeriod:
		x.recorder.RecordBroken(Forward, d.vm, fmt.Sprintf("version %d was shown and is not in force any more", version))
	case a.Status() == http.StatusNotFound && x.injector.isFaultFree(began.Add(-recoveryTime-configApplyTimeout), time.Now(), func(f Fault) bool {
		return f.kind == Configure || affectsDaemon(n)(f)
	}):
		x.recorder.RecordBroken(InForce, d.vm, fmt.Sprintf("version %d is not in force", version))
	}
}

// verify checks the runs that the workers saw, and that all daemons serve again.
func (x *callers) verify(ctx context.Context) {
	var wg sync.WaitGroup

	for n := range x.deployment.daemons {
		wg.Go(func() { x.checkRecovered(ctx, n) })
	}

	wg.Wait()

	times := map[string]int{}

	for _, t := range x.deployment.workers {
		for _, r := range t.worker.Runs() {
			times[r.ID]++
		}
	}

	x.mu.Lock()
	defer x.mu.Unlock()

	for id, repeatable := range x.repeatable {
		if times[id] > 1 && !repeatable {
			x.recorder.RecordBroken(Once, id, fmt.Sprintf("the request ran %d times", times[id]))
		}

		if times[id] > 0 && x.refused[id] {
			x.recorder.RecordBroken(NotRun, id, "the request was refused as not run, and ran")
		}
	}
}

// checkRecovered checks that a daemon serves.
func (x *callers) checkRecovered(ctx context.Context, n int) {
	c := caller.New(host, requestTimeout)
	defer c.Close()

	r := rand.New(rand.NewPCG(uint64(n), 0)) //nolint:gosec // any routes
	served := 0

	for range recoveryRequests {
		if x.request(ctx, c, r, n) {
			served++
		}
	}

	if served < recoveryRequests*3/4 {
		x.recorder.RecordBroken(Recovered, x.deployment.daemons[n].vm, fmt.Sprintf("%d of %d requests are served after all faults", served, recoveryRequests))
	}
}

// recoveryRequests is the number of requests that each daemon gets after all faults.
const recoveryRequests = 8
