package batches_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/agategap/agategap/batches"
	"github.com/agategap/agategap/filter"
	"github.com/agategap/agategap/routing"
)

// changingRoutes has one batch route to a service; no route if the service is empty.
type changingRoutes struct {
	mu      sync.Mutex
	version int64
	service string
}

func (c *changingRoutes) set(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.version++
	c.service = service
}

func (c *changingRoutes) Table() *routing.Table {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.service == "" {
		return routing.NewTable(c.version, nil, routing.Limits{}, nil)
	}

	return routing.NewTable(c.version, []routing.Route{routing.New(routing.Spec{
		Name: "b", Host: "h", Prefix: "/x/", Kind: routing.Batch, Attempts: 3, Backends: []routing.Backend{routing.NewBackend(c.service, 1)},
	})}, routing.Limits{}, nil)
}

// gatedRouter grants the slots of service "old" once it is opened, and those of other services at once.
type gatedRouter struct {
	gate chan struct{}

	mu      sync.Mutex
	waiting int
}

func (g *gatedRouter) Acquire(ctx context.Context, r *filter.Request, _ []string) (filter.Slot, error) {
	if r.TargetService() == "old" {
		g.mu.Lock()
		g.waiting++
		g.mu.Unlock()

		select {
		case <-g.gate:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}

	return freeSlot{}, nil
}

func (g *gatedRouter) waitingCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()

	return g.waiting
}

type freeSlot struct{}

func (freeSlot) Target() filter.Target      { return filter.NewTarget("t", "10.0.0.1:80") }
func (freeSlot) Release(filter.Observation) {}
func (freeSlot) Preempted() <-chan struct{} { return nil }

// serviceRecorder records the services that items are sent to, and passes the requests on.
type serviceRecorder struct {
	next filter.Handler

	mu       sync.Mutex
	services []string
}

func (s *serviceRecorder) Handle(ctx context.Context, r *filter.Request, k filter.Sink) error {
	s.mu.Lock()
	s.services = append(s.services, r.TargetService())
	s.mu.Unlock()

	if err := s.next.Handle(ctx, r, k); err != nil {
		return err
	}

	return k.Emit(filter.NewEnd(r.ID(), "", 0, 0))
}

func (s *serviceRecorder) sentTo() []string {
	s.mu.Lock()
	defer s.mu.Unlock()

	return append([]string(nil), s.services...)
}

// Guards against an item that is run by the service of an older version of the routes, or by a dropped route, because it
// was waiting for a slot when the version changed.
func TestItemsThatWaitForSlotsFollowTheRoutes(t *testing.T) {
	Convey("Given an item that waits for a slot of the service of its route", t, func() {
		d := startDaemon(newMemoryLog(), 0)
		Reset(d.shutDown)

		ctx, stopContext := newTestContext()
		Reset(stopContext)

		routes, router := &changingRoutes{}, &gatedRouter{gate: make(chan struct{})}
		targets := &serviceRecorder{next: &fakeEngine{events: 3}}

		routes.set("old")

		r := batches.NewRunner(d.Batches, filter.ItemChain(router, time.Now, nil, targets), routes, fakePeers{}, unreachablePeers{}, time.Now, zerolog.Nop())
		run, stop := context.WithCancel(context.Background())
		done := make(chan error, 1)

		go func() { done <- r.Run(run) }()

		Reset(func() {
			stop()
			<-done
		})

		So(d.Submit(ctx, newJob("j", 1)), ShouldBeNil)

		for end := time.Now().Add(2 * time.Second); router.waitingCount() == 0 && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}

		So(router.waitingCount(), ShouldEqual, 1)

		Convey("it is sent to the service that the route has when a slot is free", func() {
			routes.set("new")
			close(router.gate)

			p, err := d.Results(ctx, "j", 0, maxPageBytes, 4*time.Second)
			So(err, ShouldBeNil)
			So(p.Results(), ShouldHaveLength, 1)
			So(targets.sentTo(), ShouldResemble, []string{"new"})
		})

		Convey("it does not wait any longer for a slot of the old service", func() {
			routes.set("new")

			p, err := d.Results(ctx, "j", 0, maxPageBytes, 4*time.Second)
			So(err, ShouldBeNil)
			So(p.Results(), ShouldHaveLength, 1)
			So(targets.sentTo(), ShouldResemble, []string{"new"})
		})

		Convey("it is not sent if the route is gone by then", func() {
			routes.set("")
			close(router.gate)
			time.Sleep(200 * time.Millisecond)
			So(targets.sentTo(), ShouldBeEmpty)
		})

		Convey("it is sent to the same service if another version does not change its route", func() {
			routes.set("old")
			close(router.gate)

			p, err := d.Results(ctx, "j", 0, maxPageBytes, 4*time.Second)
			So(err, ShouldBeNil)
			So(p.Results(), ShouldHaveLength, 1)
			So(targets.sentTo(), ShouldResemble, []string{"old"})
		})
	})
}
