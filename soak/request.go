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
	// requestLimit is the time that a caller waits for an answer.
	requestLimit = 5 * time.Second
	// requestPause is the mean pause of a caller between two requests.
	requestPause = 150 * time.Millisecond
	// stayShare is the share of requests after which a caller stays with its daemon, whose connection it then uses again.
	stayShare = 0.9
	// applyWithin is the time in which a confirmed configuration is in force, and reached its daemons after a fault.
	applyWithin = 2 * time.Second
	// backWithin is the time after which a version that was shown must not be followed by an older one.
	backWithin = 250 * time.Millisecond
	// calm is the time without a fault after which bounds in time hold.
	calm = 3 * time.Second
)

// callers make requests and remember what must not happen to them.
type callers struct {
	world    *world
	injector *injector
	ledger   *Ledger
	serial   atomic.Int64

	mu      sync.Mutex
	sent    map[string]bool // may the request run more than once?
	refused map[string]bool
	shown   map[string]shown // newest version that a process has shown, by daemon
}

// shown is the newest version that a run of a daemon has shown.
type shown struct {
	run     int
	version int
	at      time.Time
}

func newCallers(w *world, j *injector, l *Ledger) *callers {
	return &callers{world: w, injector: j, ledger: l, sent: map[string]bool{}, refused: map[string]bool{}, shown: map[string]shown{}}
}

// run is the life of one caller.
func (x *callers) run(ctx context.Context, r *rand.Rand) {
	c := caller.New(host, requestLimit)
	defer c.Close()

	n := r.IntN(len(x.world.daemons))

	for ctx.Err() == nil {
		ok := x.request(ctx, c, r, n)
		if !ok || r.Float64() > stayShare {
			n = r.IntN(len(x.world.daemons))
		}

		select {
		case <-time.After(time.Duration(r.ExpFloat64() * float64(requestPause))):
		case <-ctx.Done():
		}
	}
}

// request makes one request and reports whether it was served.
func (x *callers) request(ctx context.Context, c *caller.Caller, r *rand.Rand, n int) bool {
	id := fmt.Sprintf("q%d", x.serial.Add(1))
	d := x.world.daemons[n]

	version, repeatable, path := 0, false, "/once/x"

	switch k := r.Float64(); {
	case k < 0.4: //nolint:mnd // shares of the routes
		repeatable, path = true, "/again/x"
	case k < 0.6: //nolint:mnd // shares of the routes
		version = x.world.newest()
		path = fmt.Sprintf("/v%d/x", version)
	}

	x.mu.Lock()
	x.sent[id] = repeatable
	x.mu.Unlock()

	began, run := time.Now(), d.runs()
	a := c.SendRequest(ctx, d.caller, path, id)

	if ctx.Err() != nil {
		return false // the soak ends
	}

	x.ledger.Count(fmt.Sprint("answer ", a.Status()))
	x.check(id, n, began, a)

	if version > 0 {
		x.checkVersion(n, run, version, began, a)
	}

	return a.Status() == http.StatusOK && a.IsComplete()
}

// stream is the whole answer to a request.
func stream(id string) string {
	var b strings.Builder
	for n := 1; n <= events; n++ {
		b.WriteString(worker.EncodeEvent(id, n))
	}

	return b.String()
}

// check checks what an answer promises.
func (x *callers) check(id string, n int, began time.Time, a caller.Response) {
	d := x.world.daemons[n]

	switch {
	case a.Status() == http.StatusOK && a.IsComplete():
		if want := stream(id); string(a.Body()) != want {
			x.ledger.Break(Whole, id, fmt.Sprintf("%s: an answer of %d bytes looks complete; the whole one has %d", d.vm, len(a.Body()), len(want)))
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
		return concernsTargets(f) || f.index == n && (f.kind == Kill || f.kind == Pause)
	}

	if a.Status() == 0 && now.Sub(began) < requestLimit && x.world.daemons[n].gone() {
		return // no connection: nothing was read
	}

	if !x.injector.quiet(began, now, stopped) && x.injector.quiet(began.Add(-calm), now, other) && a.Status() == http.StatusOK {
		x.ledger.Break(Shutdown, id, fmt.Sprintf("%s cut an answer off at %d bytes while it was stopped", x.world.daemons[n].vm, len(a.Body())))
	}
}

// gone reports whether the process of a daemon has ended.
func (d *daemon) gone() bool {
	select {
	case <-d.end():
		return true
	default:
		return false
	}
}

// checkVersion checks that a version that a daemon has shown stays in force, and that the newest one soon is.
func (x *callers) checkVersion(n, run, version int, began time.Time, a caller.Response) {
	d := x.world.daemons[n]
	knows := a.Status() == http.StatusOK || a.Status() == http.StatusServiceUnavailable && strings.Contains(string(a.Body()), "overloaded")

	x.mu.Lock()
	defer x.mu.Unlock()

	s := x.shown[d.vm]

	switch {
	case knows && run == d.runs() && (s.run != run || version > s.version):
		x.shown[d.vm] = shown{run: run, version: version, at: time.Now()}
	case a.Status() == http.StatusNotFound && s.run == run && d.runs() == run && version <= s.version && began.Sub(s.at) > backWithin:
		x.ledger.Break(Forward, d.vm, fmt.Sprintf("version %d was shown and is not in force any more", version))
	case a.Status() == http.StatusNotFound && x.injector.quiet(began.Add(-calm-applyWithin), time.Now(), func(f Fault) bool {
		return f.kind == Configure || concernsDaemon(n)(f)
	}):
		x.ledger.Break(InForce, d.vm, fmt.Sprintf("version %d is not in force", version))
	}
}

// finish checks the runs that the workers saw, and that all daemons serve again.
func (x *callers) finish(ctx context.Context) {
	var wg sync.WaitGroup

	for n := range x.world.daemons {
		wg.Go(func() { x.recovered(ctx, n) })
	}

	wg.Wait()

	times := map[string]int{}

	for _, t := range x.world.targets {
		for _, r := range t.worker.Runs() {
			times[r.ID]++
		}
	}

	x.mu.Lock()
	defer x.mu.Unlock()

	for id, repeatable := range x.sent {
		if times[id] > 1 && !repeatable {
			x.ledger.Break(Once, id, fmt.Sprintf("the request ran %d times", times[id]))
		}

		if times[id] > 0 && x.refused[id] {
			x.ledger.Break(NotRun, id, "the request was refused as not run, and ran")
		}
	}
}

// recovered checks that a daemon serves.
func (x *callers) recovered(ctx context.Context, n int) {
	c := caller.New(host, requestLimit)
	defer c.Close()

	r := rand.New(rand.NewPCG(uint64(n), 0)) //nolint:gosec // any routes
	served := 0

	for range recoveryRequests {
		if x.request(ctx, c, r, n) {
			served++
		}
	}

	if served < recoveryRequests*3/4 {
		x.ledger.Break(Recovered, x.world.daemons[n].vm, fmt.Sprintf("%d of %d requests are served after all faults", served, recoveryRequests))
	}
}

// recoveryRequests is the number of requests that each daemon gets after all faults.
const recoveryRequests = 8
