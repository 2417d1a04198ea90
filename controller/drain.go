package controller

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/agategap/agategap/drain"
)

// Acceptor accepts requests. Close stops accepting and returns when the requests in flight are finished; when ctx
// ends first, they are cut off.
type Acceptor interface {
	Close(ctx context.Context) error
}

// Handover gives a part of the daemon's duties to other daemons.
type Handover func(ctx context.Context) error

// Drain carries out the graceful shutdown of a daemon.
type Drain struct {
	shutdown  *drain.Shutdown
	acceptor  Acceptor
	logger    zerolog.Logger
	mu        sync.Mutex
	handovers map[string]Handover
	draining  chan struct{}
	handingOver   chan struct{}
}

// NewDrain returns the controller with the time between not ready and the hand-over, and the bound on the whole.
func NewDrain(wait, most time.Duration, a Acceptor, z zerolog.Logger) *Drain {
	return &Drain{
		shutdown: drain.New(wait, most), acceptor: a, logger: z, handovers: map[string]Handover{},
		draining: make(chan struct{}), handingOver: make(chan struct{}),
	}
}

// AddHandover has f called when duties are to be handed over. It is to be called before Run.
func (d *Drain) AddHandover(name string, f Handover) {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.handovers[name] = f
}

// Draining returns a channel that is closed when the shutdown starts.
func (d *Drain) Draining() <-chan struct{} { return d.draining }

// HandingOver returns a channel that is closed when duties are to be handed over: from then on this daemon takes
// no new leases and no new work of its own.
func (d *Drain) HandingOver() <-chan struct{} { return d.handingOver }

// Phase returns the phase.
func (d *Drain) Phase() drain.Phase { return d.shutdown.Phase() }

// Run carries out the shutdown and returns when the process may exit. It is to be called once.
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
	d.logger.Info().Msg("duties handed over; finishing the requests in flight")

	x, stop := context.WithDeadline(context.Background(), end)
	defer stop()

	err := d.acceptor.Close(x)
	d.shutdown.Advance(time.Now(), true, true)

	return err
}

// handOver calls all subscribers at the same time.
func (d *Drain) handOver(end time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()

	x, stop := context.WithDeadline(context.Background(), end)
	defer stop()

	done := make(chan struct{})

	go func() {
		defer close(done)

		var g sync.WaitGroup

		for n, f := range d.handovers {
			g.Go(func() {
				if err := f(x); err != nil {
					d.logger.Warn().Str("part", n).Err(err).Msg("a duty could not be handed over")
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
