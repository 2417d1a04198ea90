package bench

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/agategap/agategap/daemon"
	"github.com/agategap/agategap/demo"
	"github.com/agategap/agategap/settings"
	"github.com/agategap/agategap/tomlfile"
)

const (
	restartDaemons = 3
	restartClients = 16
	// balancerInterval is the time between two readiness checks of the load balancer. drainWait has to be longer, so
	// that the balancer stops sending to a daemon before the daemon closes its listener.
	balancerInterval = 500 * time.Millisecond
	drainWait        = 1500 * time.Millisecond
	maxDrainTime     = 20 * time.Second
)

// RestartFigure has the counts of a rolling restart.
type RestartFigure struct {
	requests, failed int64
	restarts         int
	example          string
}

// Requests returns the number of requests sent.
func (f RestartFigure) Requests() int64 { return f.requests }

// Failed returns the number of requests without a complete response.
func (f RestartFigure) Failed() int64 { return f.failed }

// Restarts returns the number of daemon restarts.
func (f RestartFigure) Restarts() int { return f.restarts }

// Example returns the error of one of the failed requests, or an empty string if there is none.
func (f RestartFigure) Example() string { return f.example }

// backend is a daemon behind the load balancer. ready is the result of the last check; done is closed when the daemon
// has stopped.
type backend struct {
	daemon *daemon.Daemon
	ready  atomic.Bool
	stop   context.CancelFunc
	done   chan struct{}
}

// rollingRestart restarts daemons under load. It contains a load balancer that sends only to backends that are ready.
// mu guards backends.
type rollingRestart struct {
	system         *demo.Demo
	client         *http.Client
	startedCount   atomic.Int64 // daemons started
	sentCount      atomic.Int64
	failedCount    atomic.Int64
	failureExample atomic.Pointer[string]

	mu       sync.Mutex
	backends []*backend
}

// MeasureRollingRestart restarts every daemon in turn, for a number of rounds, while clients stream completions through a load
// balancer that checks /ready. Clients do not retry.
func MeasureRollingRestart(ctx context.Context, rounds int) (RestartFigure, error) {
	x, stop := context.WithCancel(ctx)
	defer stop()

	s, err := demo.Start(x, demo.Options{}, zerolog.Nop())
	if err != nil {
		return RestartFigure{}, err
	}

	if err := s.WaitReady(x); err != nil {
		return RestartFigure{}, err
	}

	r := &rollingRestart{system: s, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: restartClients}}}

	for range restartDaemons {
		e, err := r.startBackend(x)
		if err != nil {
			return RestartFigure{}, err
		}

		r.backends = append(r.backends, e)
	}

	load, end := context.WithCancel(x)

	var g sync.WaitGroup

	g.Go(func() { r.pollReadiness(load) })
	time.Sleep(2 * balancerInterval)

	for range restartClients {
		g.Go(func() { r.sendRequests(load) })
	}

	n, err := r.restartAll(x, rounds)

	end()
	g.Wait()

	f := RestartFigure{requests: r.sentCount.Load(), failed: r.failedCount.Load(), restarts: n}
	if p := r.failureExample.Load(); p != nil {
		f.example = *p
	}

	return f, err
}

// startBackend starts a daemon and waits until it is ready, for at most controlTimeout.
func (r *rollingRestart) startBackend(ctx context.Context) (*backend, error) {
	const listen = "127.0.0.1:0"

	d, err := daemon.New(settings.Daemon{
		VM: fmt.Sprintf("rolling-%d", r.startedCount.Add(1)), FailureDomain: "kv-cheras", Region: region, CallerAddress: listen,
		OperatorAddress: listen, PeerAddress: listen, Platform: r.system.PlatformAddress(), Policy: "owner",
		DrainWait: tomlfile.NewDuration(drainWait), DrainMost: tomlfile.NewDuration(maxDrainTime),
	}, zerolog.Nop())
	if err != nil {
		return nil, err
	}

	x, stop := context.WithCancel(ctx)
	e := &backend{daemon: d, stop: stop, done: make(chan struct{})}

	go func() {
		defer close(e.done)

		_ = d.Run(x)
	}()

	for deadline := time.Now().Add(controlTimeout); ; {
		if ok, reason := d.Ready(); ok {
			return e, nil
		} else if time.Now().After(deadline) {
			return nil, fmt.Errorf("daemon is not ready: %s", reason)
		}

		time.Sleep(20 * time.Millisecond)
	}
}

// restartAll replaces every daemon in turn, in each round, and returns the number of restarts.
func (r *rollingRestart) restartAll(ctx context.Context, rounds int) (int, error) {
	n := 0

	for range rounds {
		for i := range restartDaemons {
			time.Sleep(2 * balancerInterval)

			r.mu.Lock()
			old := r.backends[i]
			r.mu.Unlock()

			old.stop()
			<-old.done

			e, err := r.startBackend(ctx)
			if err != nil {
				return n, err
			}

			r.mu.Lock()
			r.backends[i] = e
			r.mu.Unlock()

			n++
		}
	}

	return n, nil
}

// pollReadiness requests /ready of every backend at each balancerInterval, as a load balancer does.
func (r *rollingRestart) pollReadiness(ctx context.Context) {
	for ctx.Err() == nil {
		r.mu.Lock()
		l := append([]*backend(nil), r.backends...)
		r.mu.Unlock()

		for _, e := range l {
			a, err := r.getStatus(ctx, "http://"+e.daemon.OperatorAddress()+"/ready")
			e.ready.Store(err == nil && a == http.StatusOK)
		}

		select {
		case <-time.After(balancerInterval):
		case <-ctx.Done():
		}
	}
}

func (r *rollingRestart) getStatus(ctx context.Context, url string) (int, error) {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, err
	}

	a, err := r.client.Do(q)
	if err != nil {
		return 0, err
	}

	return a.StatusCode, a.Body.Close()
}

// pickReady returns a random backend that was ready at the last check, or nil if there is none.
func (r *rollingRestart) pickReady() *backend {
	r.mu.Lock()
	defer r.mu.Unlock()

	var l []*backend

	for _, e := range r.backends {
		if e.ready.Load() {
			l = append(l, e)
		}
	}

	if len(l) == 0 {
		return nil
	}

	return l[rand.IntN(len(l))] //nolint:gosec // spreads load
}

// sendRequests sends one request after the other until ctx ends. The request in flight at that time is completed.
func (r *rollingRestart) sendRequests(ctx context.Context) {
	for ctx.Err() == nil {
		e := r.pickReady()
		r.sentCount.Add(1)

		if e == nil {
			r.recordFailure("no daemon is ready")
			time.Sleep(balancerInterval)

			continue
		}

		if err := r.streamCompletion(context.WithoutCancel(ctx), e.daemon.CallerAddress()); err != nil {
			r.recordFailure(err.Error())
		}
	}
}

func (r *rollingRestart) recordFailure(reason string) {
	r.failedCount.Add(1)
	r.failureExample.Store(&reason)
}

// streamCompletion streams one completion. A response without the end marker is an error.
func (r *rollingRestart) streamCompletion(ctx context.Context, address string) error {
	const tokens = 40

	b := fmt.Sprintf(`{"model":"signwriter","prompt":"level 3","max_tokens":%d,"stream":true}`, tokens)

	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/completions", strings.NewReader(b))
	if err != nil {
		return err
	}

	q.Header.Set("Authorization", "Bearer "+demo.Key)

	a, err := r.client.Do(q)
	if err != nil {
		return err
	}
	defer func() { _ = a.Body.Close() }()

	t, err := io.ReadAll(a.Body)
	if err != nil {
		return err
	}

	if a.StatusCode != http.StatusOK || !strings.Contains(string(t), "[DONE]") {
		return fmt.Errorf("status %d, %d bytes without the end marker: %.200s", a.StatusCode, len(t), t)
	}

	return nil
}

// measureRestart counts the requests that fail during a rolling restart.
func measureRestart(ctx context.Context, o Options) ([]Result, error) {
	const rounds = 2

	f, err := MeasureRollingRestart(ctx, rounds)
	if err != nil {
		return nil, err
	}

	return []Result{NewResult("restart", "failed_requests", o, float64(f.failed), 0, true,
		NewFigure("requests", float64(f.requests)), NewFigure("restarts", float64(f.restarts)))}, nil
}
