package filter_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agategap/agategap/filter"
	"github.com/agategap/agategap/outcome"
	"github.com/agategap/agategap/pool"
	"github.com/agategap/agategap/routing"
)

// recordingRouter hands out slots of numbered targets, and remembers how they came back.
type recordingRouter struct {
	acquired   int
	faults []pool.Fault
	excluded  [][]string
	urgencies  []filter.SlotUrgency
	acquireErr   error
}

func (p *recordingRouter) Acquire(_ context.Context, r *filter.Request, avoid []string) (filter.Slot, error) {
	p.excluded = append(p.excluded, avoid)
	p.urgencies = append(p.urgencies, r.Urgency())

	if p.acquireErr != nil && p.acquired > 0 {
		return nil, p.acquireErr
	}

	p.acquired++

	return &relaySlot{router: p, name: fmt.Sprint("t", p.acquired)}, nil
}

type relaySlot struct {
	router *recordingRouter
	name  string
}

func (s *relaySlot) Target() filter.Target { return filter.NewTarget(s.name, "10.0.0.1:80") }

func (s *relaySlot) Release(o filter.Observation) { s.router.faults = append(s.router.faults, o.Fault()) }
func (s *relaySlot) Preempted() <-chan struct{}   { return nil }

// attempt is one exchange with a target: events up to a number, and then an end or an error.
type scriptedAttempt struct {
	from, to int
	status   int
	sent     bool
	complete    bool
	hangs   bool
	err      error
}

// scriptedTargets answers attempts in order.
type scriptedTargets struct {
	attempts   []scriptedAttempt
	lastEvents  []int
	calls int
}

func (t *scriptedTargets) Handle(ctx context.Context, r *filter.Request, s filter.Sink) error {
	x := t.attempts[min(t.calls, len(t.attempts)-1)]
	t.calls++
	t.lastEvents = append(t.lastEvents, r.LastEvent())

	if x.sent {
		r.MarkSent()
	}

	if x.status != 0 {
		if err := s.Emit(filter.NewHead(r.ID(), x.status, "text/event-stream")); err != nil {
			return err
		}
	}

	for n := x.from; x.from > 0 && n <= x.to; n++ {
		if err := s.Emit(filter.NewChunk(r.ID(), n, []byte(fmt.Sprint(n, " ")), "")); err != nil {
			return err
		}
	}

	switch {
	case x.hangs:
		<-ctx.Done()

		return outcome.New(outcome.LostResponse, outcome.Unknown, "cut")
	case x.complete:
		return s.Emit(filter.NewEnd(r.ID(), "", 0, 0))
	default:
		return x.err
	}
}

type relayedResponse struct {
	status int
	text   string
}

func (a *relayedResponse) Emit(e filter.Event) error {
	switch e.Kind() {
	case filter.Head:
		a.status = e.Status()
	case filter.Chunk:
		a.text += string(e.Data())
	}

	return nil
}

type routes struct{ table *routing.Table }

func (r routes) Table() *routing.Table { return r.table }

func runRelay(s routing.Spec, p *recordingRouter, list ...scriptedAttempt) (*relayedResponse, *scriptedTargets, error) {
	s.Host, s.Prefix, s.Backends = "h", "/x/", []routing.Backend{routing.NewBackend("s", 1)}
	if s.Timeout == 0 {
		s.Timeout = 5 * time.Second
	}

	t := &scriptedTargets{attempts: list}
	c := filter.RoutedChain(routes{routing.NewTable(1, []routing.Route{routing.New(s)}, routing.Limits{}, nil)}, p, time.Now, nil, t)
	a := &relayedResponse{}
	err := c.Handle(context.Background(), filter.NewRequest(filter.Input{
		ID: "r", Path: "/x/1", Arrived: time.Now(), Call: filter.NewCall("POST", "h", "/x/1", nil),
	}), a)

	return a, t, err
}

var (
	singleAttempt      = routing.Spec{Kind: routing.Streaming, Objective: 200 * time.Millisecond, Pause: 200 * time.Millisecond, Attempts: 1}
	resumable = routing.Spec{
		Kind: routing.Streaming, Resumable: true, Objective: 200 * time.Millisecond, Pause: 200 * time.Millisecond, Attempts: 2,
	}
	refusedAttempt = scriptedAttempt{err: outcome.New(outcome.Overloaded, outcome.NotRun, "full")}
	lostAttempt = scriptedAttempt{sent: true, err: outcome.New(outcome.LostResponse, outcome.Unknown, "reset")}
	completeAttempt = scriptedAttempt{sent: true, status: 200, from: 1, to: 3, complete: true}
)

// Guards against a request that runs twice although it may run once, and against refusals that are not true.
func TestRelayRunsOnce(t *testing.T) {
	Convey("A request that may run once", t, func() {
		p := &recordingRouter{}

		Convey("goes to another target when the first did not run it", func() {
			a, x, err := runRelay(singleAttempt, p, refusedAttempt, completeAttempt)
			So(err, ShouldBeNil)
			So(x.calls, ShouldEqual, 2)
			So(a.text, ShouldEqual, "1 2 3 ")
			So(p.excluded[1], ShouldResemble, []string{"t1"})
			So(p.faults, ShouldResemble, []pool.Fault{pool.Full, pool.NoFault})
		})

		Convey("does not when it may have run, and the error says so", func() {
			_, x, err := runRelay(singleAttempt, p, lostAttempt, completeAttempt)
			So(x.calls, ShouldEqual, 1)
			So(outcome.From(err).Effect(), ShouldEqual, outcome.Unknown)
		})

		Convey("is not called refused when a later attempt was, after one that may have run", func() {
			_, _, err := runRelay(resumable, &recordingRouter{}, lostAttempt, refusedAttempt, lostAttempt)
			So(outcome.From(err).Effect(), ShouldEqual, outcome.Unknown)
		})

		Convey("is not called refused when no slot is left after an attempt that may have run", func() {
			p.acquireErr = outcome.New(outcome.Overloaded, outcome.NotRun, "no slot")
			_, _, err := runRelay(resumable, p, lostAttempt)
			So(outcome.From(err).Effect(), ShouldEqual, outcome.Unknown)
		})

		Convey("is given up with a true refusal after many targets refused it", func() {
			_, x, err := runRelay(singleAttempt, p, refusedAttempt)
			So(outcome.From(err).Effect(), ShouldEqual, outcome.NotRun)
			So(x.calls, ShouldBeBetween, 2, 30)
		})

		Convey("is not cut off as its target is silent", func() {
			s := singleAttempt
			s.Timeout = 600 * time.Millisecond
			began := time.Now()
			_, x, err := runRelay(s, p, scriptedAttempt{sent: true, hangs: true}, completeAttempt)
			So(err, ShouldNotBeNil)
			So(x.calls, ShouldEqual, 1)
			So(time.Since(began), ShouldBeGreaterThan, 500*time.Millisecond)
		})
	})
}

// Guards against streams with missing, doubled or joined events, and against streams that look whole and are not.
func TestRelayResumes(t *testing.T) {
	Convey("A stream that may be resumed", t, func() {
		p := &recordingRouter{}

		Convey("goes on behind the last event at another target", func() {
			a, x, err := runRelay(resumable, p, scriptedAttempt{sent: true, status: 200, from: 1, to: 2, err: lostAttempt.err}, scriptedAttempt{sent: true, status: 200, from: 3, to: 4, complete: true})
			So(err, ShouldBeNil)
			So(a.text, ShouldEqual, "1 2 3 4 ")
			So(x.lastEvents, ShouldResemble, []int{0, 2})
			So(p.urgencies[1].ShouldFailFast(), ShouldBeFalse)
		})

		Convey("drops events that the second target repeats", func() {
			a, _, err := runRelay(resumable, p, scriptedAttempt{sent: true, status: 200, from: 1, to: 2, err: lostAttempt.err}, scriptedAttempt{sent: true, status: 200, from: 1, to: 4, complete: true})
			So(err, ShouldBeNil)
			So(a.text, ShouldEqual, "1 2 3 4 ")
		})

		Convey("does not go on over a gap", func() {
			a, _, err := runRelay(resumable, p, scriptedAttempt{sent: true, status: 200, from: 1, to: 2, err: lostAttempt.err}, scriptedAttempt{sent: true, status: 200, from: 4, to: 5, complete: true})
			So(err, ShouldNotBeNil)
			So(a.text, ShouldEqual, "1 2 ")
		})

		Convey("does not take the failure of the second target for a part of the stream", func() {
			a, _, err := runRelay(resumable, p, scriptedAttempt{sent: true, status: 200, from: 1, to: 2, err: lostAttempt.err}, scriptedAttempt{sent: true, status: 500, complete: true})
			So(err, ShouldNotBeNil)
			So(a.status, ShouldEqual, 200)
			So(a.text, ShouldEqual, "1 2 ")
		})

		Convey("leaves a target that falls silent", func() {
			a, x, err := runRelay(resumable, p, scriptedAttempt{sent: true, status: 200, from: 1, to: 1, hangs: true}, scriptedAttempt{sent: true, status: 200, from: 2, to: 3, complete: true})
			So(err, ShouldBeNil)
			So(a.text, ShouldEqual, "1 2 3 ")
			So(x.calls, ShouldEqual, 2)
			So(p.faults[0], ShouldEqual, pool.Unreachable)
		})

		Convey("goes to no more targets than its route allows", func() {
			_, x, err := runRelay(resumable, p, lostAttempt)
			So(err, ShouldNotBeNil)
			So(x.calls, ShouldEqual, 2)
		})

		Convey("is not whole without its end", func() {
			_, _, err := runRelay(resumable, p, scriptedAttempt{sent: true, status: 200, from: 1, to: 2, err: nil})
			So(err, ShouldNotBeNil)
		})
	})

	Convey("A failure of the target is passed on as it is when no other attempt is allowed", t, func() {
		a, x, err := runRelay(singleAttempt, &recordingRouter{}, scriptedAttempt{sent: true, status: 500, complete: true})
		So(err, ShouldBeNil)
		So(x.calls, ShouldEqual, 1)
		So(a.status, ShouldEqual, 500)
	})
}

// Guards against requests that are kept past their route's time, and routes that are not there.
func TestRelayTimeouts(t *testing.T) {
	Convey("A request ends with its route's time", t, func() {
		s := singleAttempt
		s.Timeout = 100 * time.Millisecond
		began := time.Now()
		_, _, err := runRelay(s, &recordingRouter{}, scriptedAttempt{sent: true, hangs: true})
		So(err, ShouldNotBeNil)
		So(time.Since(began), ShouldBeLessThan, time.Second)
	})

	Convey("A request waits for a slot only as long as its answer can be on time", t, func() {
		p := &recordingRouter{}
		_, _, err := runRelay(singleAttempt, p, completeAttempt)
		So(err, ShouldBeNil)
		So(p.urgencies[0].ShouldFailFast(), ShouldBeTrue)
		So(p.urgencies[0].MaxWait(), ShouldBeBetween, 50*time.Millisecond, 200*time.Millisecond)
	})

	Convey("A daemon without routes refuses, and one with routes knows what is missing", t, func() {
		c := filter.RoutedChain(routes{}, &recordingRouter{}, time.Now, nil, &scriptedTargets{})
		err := c.Handle(context.Background(), filter.NewRequest(filter.Input{}), &relayedResponse{})
		So(outcome.Is(err, outcome.NotReady), ShouldBeTrue)

		c = filter.RoutedChain(routes{routing.NewTable(1, nil, routing.Limits{}, nil)}, &recordingRouter{}, time.Now, nil, &scriptedTargets{})
		err = c.Handle(context.Background(), filter.NewRequest(filter.Input{}), &relayedResponse{})
		So(outcome.Is(err, outcome.NotFound), ShouldBeTrue)
	})
}
