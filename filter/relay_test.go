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

// place hands out slots of numbered targets, and remembers how they came back.
type place struct {
	next   int
	faults []pool.Fault
	avoid  [][]string
	wants  []filter.Want
	none   error
}

func (p *place) Acquire(_ context.Context, r *filter.Request, avoid []string) (filter.Slot, error) {
	p.avoid = append(p.avoid, avoid)
	p.wants = append(p.wants, r.Want())

	if p.none != nil && p.next > 0 {
		return nil, p.none
	}

	p.next++

	return &relaySlot{place: p, name: fmt.Sprint("t", p.next)}, nil
}

type relaySlot struct {
	place *place
	name  string
}

func (s *relaySlot) Target() filter.Target { return filter.NewTarget(s.name, "10.0.0.1:80") }

func (s *relaySlot) Release(o filter.Observation) { s.place.faults = append(s.place.faults, o.Fault()) }
func (s *relaySlot) Preempted() <-chan struct{}   { return nil }

// attempt is one exchange with a target: events up to a number, and then an end or an error.
type exchange struct {
	from, to int
	status   int
	sent     bool
	whole    bool
	silent   bool
	err      error
}

// targets answers attempts in order.
type targets struct {
	list   []exchange
	after  []int
	called int
}

func (t *targets) Handle(ctx context.Context, r *filter.Request, s filter.Sink) error {
	x := t.list[min(t.called, len(t.list)-1)]
	t.called++
	t.after = append(t.after, r.LastEvent())

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
	case x.silent:
		<-ctx.Done()

		return outcome.New(outcome.LostResponse, outcome.Unknown, "cut")
	case x.whole:
		return s.Emit(filter.NewEnd(r.ID(), "", 0, 0))
	default:
		return x.err
	}
}

type answerOf struct {
	status int
	text   string
}

func (a *answerOf) Emit(e filter.Event) error {
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

func run(s routing.Spec, p *place, list ...exchange) (*answerOf, *targets, error) {
	s.Host, s.Prefix, s.Backends = "h", "/x/", []routing.Backend{routing.NewBackend("s", 1)}
	if s.Timeout == 0 {
		s.Timeout = 5 * time.Second
	}

	t := &targets{list: list}
	c := filter.RoutedChain(routes{routing.NewTable(1, []routing.Route{routing.New(s)}, routing.Limits{}, nil)}, p, time.Now, nil, t)
	a := &answerOf{}
	err := c.Handle(context.Background(), filter.NewRequest(filter.Input{
		ID: "r", Path: "/x/1", Arrived: time.Now(), Call: filter.NewCall("POST", "h", "/x/1", nil),
	}), a)

	return a, t, err
}

var (
	once      = routing.Spec{Kind: routing.Streaming, Objective: 200 * time.Millisecond, Pause: 200 * time.Millisecond, Attempts: 1}
	resumable = routing.Spec{
		Kind: routing.Streaming, Resumable: true, Objective: 200 * time.Millisecond, Pause: 200 * time.Millisecond, Attempts: 2,
	}
	refused = exchange{err: outcome.New(outcome.Overloaded, outcome.NotRun, "full")}
	lostRun = exchange{sent: true, err: outcome.New(outcome.LostResponse, outcome.Unknown, "reset")}
	wholeOf = exchange{sent: true, status: 200, from: 1, to: 3, whole: true}
)

// Guards against a request that runs twice although it may run once, and against refusals that are not true.
func TestRelayRunsOnce(t *testing.T) {
	Convey("A request that may run once", t, func() {
		p := &place{}

		Convey("goes to another target when the first did not run it", func() {
			a, x, err := run(once, p, refused, wholeOf)
			So(err, ShouldBeNil)
			So(x.called, ShouldEqual, 2)
			So(a.text, ShouldEqual, "1 2 3 ")
			So(p.avoid[1], ShouldResemble, []string{"t1"})
			So(p.faults, ShouldResemble, []pool.Fault{pool.Full, pool.None})
		})

		Convey("does not when it may have run, and the error says so", func() {
			_, x, err := run(once, p, lostRun, wholeOf)
			So(x.called, ShouldEqual, 1)
			So(outcome.From(err).Effect(), ShouldEqual, outcome.Unknown)
		})

		Convey("is not called refused when a later attempt was, after one that may have run", func() {
			_, _, err := run(resumable, &place{}, lostRun, refused, lostRun)
			So(outcome.From(err).Effect(), ShouldEqual, outcome.Unknown)
		})

		Convey("is not called refused when no slot is left after an attempt that may have run", func() {
			p.none = outcome.New(outcome.Overloaded, outcome.NotRun, "no slot")
			_, _, err := run(resumable, p, lostRun)
			So(outcome.From(err).Effect(), ShouldEqual, outcome.Unknown)
		})

		Convey("is given up with a true refusal after many targets refused it", func() {
			_, x, err := run(once, p, refused)
			So(outcome.From(err).Effect(), ShouldEqual, outcome.NotRun)
			So(x.called, ShouldBeBetween, 2, 30)
		})

		Convey("is not cut off as its target is silent", func() {
			s := once
			s.Timeout = 600 * time.Millisecond
			began := time.Now()
			_, x, err := run(s, p, exchange{sent: true, silent: true}, wholeOf)
			So(err, ShouldNotBeNil)
			So(x.called, ShouldEqual, 1)
			So(time.Since(began), ShouldBeGreaterThan, 500*time.Millisecond)
		})
	})
}

// Guards against streams with missing, doubled or joined events, and against streams that look whole and are not.
func TestRelayResumes(t *testing.T) {
	Convey("A stream that may be resumed", t, func() {
		p := &place{}

		Convey("goes on behind the last event at another target", func() {
			a, x, err := run(resumable, p, exchange{sent: true, status: 200, from: 1, to: 2, err: lostRun.err}, exchange{sent: true, status: 200, from: 3, to: 4, whole: true})
			So(err, ShouldBeNil)
			So(a.text, ShouldEqual, "1 2 3 4 ")
			So(x.after, ShouldResemble, []int{0, 2})
			So(p.wants[1].Refusable(), ShouldBeFalse)
		})

		Convey("drops events that the second target repeats", func() {
			a, _, err := run(resumable, p, exchange{sent: true, status: 200, from: 1, to: 2, err: lostRun.err}, exchange{sent: true, status: 200, from: 1, to: 4, whole: true})
			So(err, ShouldBeNil)
			So(a.text, ShouldEqual, "1 2 3 4 ")
		})

		Convey("does not go on over a gap", func() {
			a, _, err := run(resumable, p, exchange{sent: true, status: 200, from: 1, to: 2, err: lostRun.err}, exchange{sent: true, status: 200, from: 4, to: 5, whole: true})
			So(err, ShouldNotBeNil)
			So(a.text, ShouldEqual, "1 2 ")
		})

		Convey("does not take the failure of the second target for a part of the stream", func() {
			a, _, err := run(resumable, p, exchange{sent: true, status: 200, from: 1, to: 2, err: lostRun.err}, exchange{sent: true, status: 500, whole: true})
			So(err, ShouldNotBeNil)
			So(a.status, ShouldEqual, 200)
			So(a.text, ShouldEqual, "1 2 ")
		})

		Convey("leaves a target that falls silent", func() {
			a, x, err := run(resumable, p, exchange{sent: true, status: 200, from: 1, to: 1, silent: true}, exchange{sent: true, status: 200, from: 2, to: 3, whole: true})
			So(err, ShouldBeNil)
			So(a.text, ShouldEqual, "1 2 3 ")
			So(x.called, ShouldEqual, 2)
			So(p.faults[0], ShouldEqual, pool.Unreachable)
		})

		Convey("goes to no more targets than its route allows", func() {
			_, x, err := run(resumable, p, lostRun)
			So(err, ShouldNotBeNil)
			So(x.called, ShouldEqual, 2)
		})

		Convey("is not whole without its end", func() {
			_, _, err := run(resumable, p, exchange{sent: true, status: 200, from: 1, to: 2, err: nil})
			So(err, ShouldNotBeNil)
		})
	})

	Convey("A failure of the target is passed on as it is when no other attempt is allowed", t, func() {
		a, x, err := run(once, &place{}, exchange{sent: true, status: 500, whole: true})
		So(err, ShouldBeNil)
		So(x.called, ShouldEqual, 1)
		So(a.status, ShouldEqual, 500)
	})
}

// Guards against requests that are kept past their route's time, and routes that are not there.
func TestRelayTimes(t *testing.T) {
	Convey("A request ends with its route's time", t, func() {
		s := once
		s.Timeout = 100 * time.Millisecond
		began := time.Now()
		_, _, err := run(s, &place{}, exchange{sent: true, silent: true})
		So(err, ShouldNotBeNil)
		So(time.Since(began), ShouldBeLessThan, time.Second)
	})

	Convey("A request waits for a slot only as long as its answer can be on time", t, func() {
		p := &place{}
		_, _, err := run(once, p, wholeOf)
		So(err, ShouldBeNil)
		So(p.wants[0].Refusable(), ShouldBeTrue)
		So(p.wants[0].Wait(), ShouldBeBetween, 50*time.Millisecond, 200*time.Millisecond)
	})

	Convey("A daemon without routes refuses, and one with routes knows what is missing", t, func() {
		c := filter.RoutedChain(routes{}, &place{}, time.Now, nil, &targets{})
		err := c.Handle(context.Background(), filter.NewRequest(filter.Input{}), &answerOf{})
		So(outcome.Is(err, outcome.NotReady), ShouldBeTrue)

		c = filter.RoutedChain(routes{routing.NewTable(1, nil, routing.Limits{}, nil)}, &place{}, time.Now, nil, &targets{})
		err = c.Handle(context.Background(), filter.NewRequest(filter.Input{}), &answerOf{})
		So(outcome.Is(err, outcome.NotFound), ShouldBeTrue)
	})
}
