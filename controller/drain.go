package controller

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/agategap/agategap/drain"
)

// Acceptor accepts requests. Close stops accepting and returns when the requests in flight are finished. It cancels those
// that are still in flight at cancelAt, so that they get a response, and cuts off those that are left when ctx ends.
type Acceptor interface {
	Close(ctx context.Context, cancelAt time.Time) error
}

// Handover hands a part of the daemon's work over to other daemons. It is not waited for after ctx has ended.
type Handover func(ctx context.Context) error

// Drain runs the graceful shutdown of a daemon.
type Drain struct {
	shutdown    *drain.Shutdown
	acceptor    Acceptor
	logger      zerolog.Logger
	mu          sync.Mutex
	handovers   map[string]Handover
	draining    chan struct{}
	handingOver chan struct{}
}

// NewDrain returns the controller. wait is the time from the start of the shutdown, when the daemon stops being ready,
// to the handover. The daemon still serves requests during that time. timeout bounds the whole shutdown.
func NewDrain(wait, timeout time.Duration, a Acceptor, z zerolog.Logger) *Drain {
	return &Drain{
		shutdown: drain.New(wait, timeout), acceptor: a, logger: z, handovers: map[string]Handover{},
		draining: make(chan struct{}), handingOver: make(chan struct{}),
	}
}

// AddHandover registers f to be called at the handover. name identifies it in log messages. It must be called before
// Run.
func (d *Drain) AddHandover(name string, f Handover) {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.handovers[name] = f
}

// Draining returns a channel that is closed when the shutdown starts.
func (d *Drain) Draining() <-chan struct{} { return d.draining }

// HandingOver returns a channel that is closed when the handover starts, before the handovers are called. From then on
// this daemon takes no new leases and starts no work except callers' requests.
func (d *Drain) HandingOver() <-chan struct{} { return d.handingOver }

// Phase returns the phase of the shutdown; drain.Serving before Run.
func (d *Drain) Phase() drain.Phase { return d.shutdown.Phase() }

// Admits reports whether a request that has to end by deadline may start.
func (d *Drain) Admits(deadline time.Time) bool { return d.shutdown.Admits(deadline) }

// Run shuts the daemon down and returns when the process may exit. The error is that of the acceptor; failed handovers
// are only logged. It must be called only once.
func (d *Drain) Run() error {
	d.shutdown.Start(time.Now())
	close(d.draining)

	d.logger.Info().Msg("shutdown started; not ready, still serving")

	p, end := d.shutdown.Advance(time.Now(), false, false)
	for p == drain.Waiting {
		time.Sleep(time.Until(end))

		p, end = d.shutdown.Advance(time.Now(), false, false)
	}

	close(d.handingOver)
	d.handOver(end)

	_, end = d.shutdown.Advance(time.Now(), true, false)
	d.logger.Info().Msg("handover ended; finishing the requests in flight")

	x, stop := context.WithDeadline(context.Background(), end)
	defer stop()

	err := d.acceptor.Close(x, d.shutdown.LastRequestEnd())
	d.shutdown.Advance(time.Now(), true, true)

	return err
}

// handOver calls all handovers concurrently and returns when they are done or the deadline has passed.
func (d *Drain) handOver(deadline time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()

	x, stop := context.WithDeadline(context.Background(), deadline)
	defer stop()

	done := make(chan struct{})

	go func() {
		defer close(done)

		var g sync.WaitGroup

		for n, f := range d.handovers {
			g.Go(func() {
				if err := f(x); err != nil {
					d.logger.Warn().Str("part", n).Err(err).Msg("handover failed; continuing the shutdown")
				}
			})
		}

		g.Wait()
	}()

	select {
	case <-done:
	case <-x.Done():
	}
}
