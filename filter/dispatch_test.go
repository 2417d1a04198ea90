package filter_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agategap/agategap/filter"
	"github.com/agategap/agategap/outcome"
	"github.com/agategap/agategap/standin/engine"
	"github.com/agategap/agategap/target"
)

// fleet is a router in front of engines, which always gives the first target that is not excluded.
type fleet struct {
	mu       sync.Mutex
	engines  map[string]*engine.Engine
	servers  map[string]*httptest.Server
	order    []string
	preempts []chan struct{} // of the next slots
	released int
	given    []string
	stop     chan struct{}
}

func newFleet(names ...string) *fleet {
	f := &fleet{engines: map[string]*engine.Engine{}, servers: map[string]*httptest.Server{}, order: names, stop: make(chan struct{})}

	for _, n := range names {
		e := engine.New(engine.Options{Models: []string{"m"}})
		go e.Run(f.stop)

		f.engines[n] = e
		f.servers[n] = httptest.NewServer(e.Handler())
	}

	return f
}

func (f *fleet) close() {
	for _, s := range f.servers {
		s.CloseClientConnections()
		s.Close()
	}

	close(f.stop)
}

func (f *fleet) Acquire(_ context.Context, r *filter.Request, exclude []string) (filter.Slot, error) {
	f.mu.Lock()
	defer f.mu.Unlock()

	for _, n := range f.order {
		if slices.Contains(exclude, n) || r.Prefer() != "" && r.Prefer() != n {
			continue
		}

		s := &slot{fleet: f, target: filter.NewTarget(n, f.servers[n].Listener.Addr().String())}
		if len(f.preempts) > 0 {
			s.preempted = f.preempts[0]
			f.preempts = f.preempts[1:]
		}

		f.given = append(f.given, n)

		return s, nil
	}

	return nil, outcome.New(outcome.NoTarget, outcome.NotRun, "no target")
}

type slot struct {
	fleet     *fleet
	target    filter.Target
	preempted chan struct{}
}

func (s *slot) Target() filter.Target      { return s.target }
func (s *slot) Preempted() <-chan struct{} { return s.preempted }
func (s *slot) Release(filter.Observation) {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()

	s.fleet.released++
}

func (f *fleet) counts() (given, released int) {
	f.mu.Lock()
	defer f.mu.Unlock()

	return len(f.given), f.released
}

type fullShare struct{}

func (fullShare) RetryShare() float64 { return 1 }

// chainOf is the part of the chain behind record, in front of engines.
func chainOf(f filter.Router, t *filter.Retries) filter.Handler {
	return filter.BatchChain(filter.NewParts(nil, nil, f, time.Now, "vm", nil).WithRetries(t), target.New())
}

func service(hedge bool) filter.Service {
	return filter.NewService(filter.ServiceSettings{
		Name: "m", Idempotent: true, MaxAttempts: 3, Hedge: hedge, IdleBound: 200 * time.Millisecond, Deadline: 5 * time.Second,
	})
}

func input(id string, tokens int, stream bool) filter.Input {
	p := fmt.Sprintf("tokens=%d %s", tokens, id)

	return filter.Input{
		ID: id, Kind: filter.Completion, Service: "m", Path: "/v1/completions", Prompt: p, Stream: stream, Arrived: time.Now(),
		Body: []byte(fmt.Sprintf(`{"model":"m","prompt":%q,"stream":%t}`, p, stream)),
	}
}

// online returns an online request as identify leaves it.
func online(in filter.Input, v filter.Service) *filter.Request {
	var r *filter.Request

	d := directory{service: v}
	_ = filter.New(filter.HandlerFunc(func(_ context.Context, q *filter.Request, _ filter.Sink) error {
		r = q

		return nil
	}), filter.NewIdentify(d)).Handle(context.Background(), filter.NewRequest(in), nil)

	return r
}

type directory struct{ service filter.Service }

func (d directory) Account(string) (filter.Account, bool) { return filter.NewAccount("a", 0), true }
func (d directory) Service(string) (filter.Service, bool) { return d.service, true }

// answer collects what the caller sees.
type answer struct {
	text   bytes.Buffer
	index  []int
	heads  int
	ends   int
	onText func(n int)
}

func (a *answer) Emit(e filter.Event) error {
	switch e.Kind() {
	case filter.Head:
		a.heads++
	case filter.Chunk:
		a.index = append(a.index, e.Index())
		a.text.WriteString(e.Text())

		if a.onText != nil {
			a.onText(len(a.index))
		}
	case filter.End:
		a.ends++
	}

	return nil
}

func whole(a *answer, in filter.Input) {
	So(a.text.String(), ShouldEqual, engine.Answer(in.Prompt, 0))
	So(a.heads, ShouldEqual, 1)
	So(a.ends, ShouldEqual, 1)

	for i, v := range a.index {
		So(v, ShouldEqual, i)
	}
}

func eventually(f func() bool) bool {
	for range 200 {
		if f() {
			return true
		}

		time.Sleep(10 * time.Millisecond)
	}

	return false
}

// Guards against missing or doubled tokens when a connection goes silent in the middle of a stream.
func TestSilentStreamIsResumed(t *testing.T) {
	Convey("Given a stream that goes silent in the middle", t, func() {
		f := newFleet("a")
		defer f.close()

		for _, stream := range []bool{true, false} {
			in := input(fmt.Sprintf("silent-%t", stream), 60, stream)
			a := &answer{}

			time.AfterFunc(40*time.Millisecond, func() { f.engines["a"].SetFaults(engine.Faults{Silent: true}) })

			So(chainOf(f, filter.NewRetries(fullShare{}, 1)).Handle(context.Background(), online(in, service(false)), a), ShouldBeNil)
			whole(a, in)
			So(f.engines["a"].Started(in.ID), ShouldEqual, 1)
		}
	})
}

// Guards against a caller who sees another request's answer.
func TestCrossedAnswerIsNotForwarded(t *testing.T) {
	Convey("Given a target whose answers carry other identifiers", t, func() {
		f := newFleet("a", "b")
		defer f.close()

		f.engines["a"].SetFaults(engine.Faults{CrossIDs: true})

		Convey("another target's answer is used", func() {
			in := input("crossed-1", 10, true)
			a := &answer{}
			So(chainOf(f, filter.NewRetries(fullShare{}, 1)).Handle(context.Background(), online(in, service(false)), a), ShouldBeNil)
			whole(a, in)
			So(eventually(func() bool { return !running(f.engines["a"]) }), ShouldBeTrue)
		})
		Convey("without another target the request fails and nothing is forwarded", func() {
			f.order = []string{"a"}
			a := &answer{}
			err := chainOf(f, filter.NewRetries(fullShare{}, 1)).Handle(context.Background(), online(input("crossed-2", 10, true), service(false)), a)
			So(err, ShouldNotBeNil)
			So(outcome.From(err).Effect(), ShouldNotEqual, outcome.NotRun)
			So(a.index, ShouldBeEmpty)
			So(a.ends, ShouldEqual, 0)
		})
	})
}

// running reports whether an engine generates tokens.
func running(e *engine.Engine) bool {
	n := e.Tokens()

	time.Sleep(20 * time.Millisecond)

	return e.Tokens() != n
}

// Guards against a truncated answer that counts as whole.
func TestAnswerWithoutEndMarkerIsNotWhole(t *testing.T) {
	Convey("Given answers that end without their end marker", t, func() {
		f := newFleet("a")
		defer f.close()

		Convey("one is resumed", func() {
			f.engines["a"].SetFaults(engine.Faults{DropEnd: 1})

			in := input("end-1", 10, true)
			a := &answer{}
			So(chainOf(f, filter.NewRetries(fullShare{}, 1)).Handle(context.Background(), online(in, service(false)), a), ShouldBeNil)
			whole(a, in)
		})
		Convey("when all do, the error says that the answer is not whole", func() {
			f.engines["a"].SetFaults(engine.Faults{DropEnd: 100})

			a := &answer{}
			err := chainOf(f, filter.NewRetries(fullShare{}, 1)).Handle(context.Background(), online(input("end-2", 10, true), service(false)), a)
			So(outcome.Is(err, outcome.IncompleteResponse) || outcome.Is(err, outcome.LostResponse), ShouldBeTrue)
			So(a.ends, ShouldEqual, 0)
		})
	})
}

// Guards against a hedge that gives the caller two answers, or leaves the loser running.
func TestHedgeGivesOneAnswer(t *testing.T) {
	Convey("Given a service whose first tokens come fast", t, func() {
		f := newFleet("a", "b")
		defer f.close()

		c := chainOf(f, filter.NewRetries(fullShare{}, 1))
		for i := range 50 {
			So(c.Handle(context.Background(), online(input(fmt.Sprintf("warm-%d", i), 2, false), service(true)), &answer{}), ShouldBeNil)
		}

		Convey("a target that slows down is hedged, and the loser is cancelled", func() {
			f.engines["a"].SetFaults(engine.Faults{Slow: 100})

			for _, stream := range []bool{true, false} {
				in := input(fmt.Sprintf("hedged-%t", stream), 20, stream)
				a := &answer{}
				So(c.Handle(context.Background(), online(in, service(true)), a), ShouldBeNil)
				whole(a, in)
				So(f.engines["b"].Started(in.ID), ShouldEqual, 1)
			}

			So(eventually(func() bool { g, r := f.counts(); return g == r }), ShouldBeTrue)
			f.engines["a"].SetFaults(engine.Faults{})
			So(eventually(func() bool { return !running(f.engines["a"]) }), ShouldBeTrue)
		})
		Convey("when both answers come, the caller gets one", func() {
			both := newFleet("a", "b")
			defer both.close()

			l := &lateHandler{next: target.New(), both: make(chan struct{}, 2)}
			d := filter.New(l, filter.NewRoute(both), filter.NewDispatch(both, warm(both), time.Now), filter.NewVerify())

			for _, stream := range []bool{true, false} {
				in := input(fmt.Sprintf("both-%t", stream), 5, stream)
				a := &answer{}
				So(d.Handle(context.Background(), online(in, service(true)), a), ShouldBeNil)
				whole(a, in)
				<-l.both
				<-l.both
			}
		})
	})
}

// warm returns retries that know the time to the first token of a fleet.
func warm(f *fleet) *filter.Retries {
	t := filter.NewRetries(fullShare{}, 1)
	for i := range 50 {
		_ = chainOf(f, t).Handle(context.Background(), online(input(fmt.Sprintf("w-%d", i), 2, false), service(true)), &answer{})
	}

	return t
}

// lateHandler holds the chunks back until two attempts of a request have a whole answer.
type lateHandler struct {
	next filter.Handler
	both chan struct{}

	mu      sync.Mutex
	arrived map[string]chan struct{}
	n       map[string]int
}

func (l *lateHandler) Handle(ctx context.Context, r *filter.Request, s filter.Sink) error {
	defer func() { l.both <- struct{}{} }()

	var events []filter.Event

	err := l.next.Handle(context.WithoutCancel(ctx), r, filter.SinkFunc(func(e filter.Event) error {
		events = append(events, e)

		return nil
	}))
	if err != nil {
		return err
	}

	<-l.meet(r.ID())

	for _, e := range events {
		if err := s.Emit(e); err != nil {
			return err
		}
	}

	return nil
}

func (l *lateHandler) meet(id string) chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()

	if l.arrived == nil {
		l.arrived, l.n = map[string]chan struct{}{}, map[string]int{}
	}

	if l.arrived[id] == nil {
		l.arrived[id] = make(chan struct{})
	}

	l.n[id]++
	if l.n[id] == 2 {
		close(l.arrived[id])
	}

	return l.arrived[id]
}

// failing is a target that fails every request after it was sent.
type failing struct {
	mu sync.Mutex
	n  int
}

func (h *failing) Handle(_ context.Context, r *filter.Request, _ filter.Sink) error {
	h.mu.Lock()
	defer h.mu.Unlock()

	h.n++
	r.MarkSent()

	return outcome.New(outcome.LostResponse, outcome.Unknown, "lost")
}

type tenth struct{}

func (tenth) RetryShare() float64 { return 0.1 }

// Guards against a retry storm when every attempt fails.
func TestRetryBudgetHolds(t *testing.T) {
	Convey("Given targets that fail every request", t, func() {
		f := newFleet("a", "b", "c")
		defer f.close()

		h := &failing{}
		c := filter.BatchChain(filter.NewParts(nil, nil, f, time.Now, "vm", nil).WithRetries(filter.NewRetries(tenth{}, 1)), h)

		const requests = 200
		for i := range requests {
			So(c.Handle(context.Background(), online(input(fmt.Sprintf("storm-%d", i), 1, false), service(false)), &answer{}), ShouldNotBeNil)
		}

		So(h.n, ShouldBeLessThanOrEqualTo, requests+requests/10+10)
	})
	Convey("Given work that may not run twice", t, func() {
		f := newFleet("a", "b")
		defer f.close()

		h := &failing{}
		c := filter.BatchChain(filter.NewParts(nil, nil, f, time.Now, "vm", nil).WithRetries(filter.NewRetries(fullShare{}, 1)), h)
		v := filter.NewService(filter.ServiceSettings{Name: "m", MaxAttempts: 3, Deadline: time.Second})
		err := c.Handle(context.Background(), online(input("once", 1, false), v), &answer{})
		So(outcome.From(err).Effect(), ShouldEqual, outcome.Unknown)
		So(h.n, ShouldEqual, 1)
	})
}

// Guards against retries after the deadline.
func TestNoRetryAfterTheDeadline(t *testing.T) {
	Convey("Given a request with a few milliseconds left", t, func() {
		f := newFleet("a", "b")
		defer f.close()

		h := &failing{}
		c := filter.BatchChain(filter.NewParts(nil, nil, f, time.Now, "vm", nil).WithRetries(filter.NewRetries(fullShare{}, 1)), h)
		in := input("late", 1, false)
		in.Timeout = 4 * time.Millisecond

		So(c.Handle(context.Background(), online(in, service(false)), &answer{}), ShouldNotBeNil)
		So(h.n, ShouldEqual, 1)
	})
}

// Guards against a preempted item that loses its tokens, runs twice or counts an attempt.
func TestPreemptedItemResumes(t *testing.T) {
	Convey("Given a batch item whose slot is wanted back twice", t, func() {
		f := newFleet("a", "b")
		defer f.close()

		f.preempts = []chan struct{}{make(chan struct{}), make(chan struct{})}
		for i, c := range f.preempts {
			time.AfterFunc(time.Duration(i+1)*40*time.Millisecond, func() { close(c) })
		}

		in := input("item", 100, false)
		a := &answer{}
		r := filter.NewBatchRequest(in, filter.NewAccount("a", 0), service(false), time.Now().Add(time.Minute))
		So(chainOf(f, filter.NewRetries(nil, 1)).Handle(context.Background(), r, a), ShouldBeNil)
		whole(a, in)

		So(f.given, ShouldResemble, []string{"a", "a", "a"})
		So(f.engines["a"].Started(in.ID), ShouldEqual, 1)
		So(f.engines["a"].Tokens(), ShouldBeLessThanOrEqualTo, 102)
		_, n := f.counts()
		So(n, ShouldEqual, 3)
	})
}

// Guards against an item that can never succeed and is sent again and again.
func TestItemThatAlwaysFailsIsNotRepeated(t *testing.T) {
	Convey("Given an item that the engine refuses", t, func() {
		f := newFleet("a", "b")
		defer f.close()

		in := input("bad", 1, false)
		in.Body = []byte(`{"model":"m","prompt":"fail:always"}`)
		r := filter.NewBatchRequest(in, filter.NewAccount("a", 0), service(false), time.Now().Add(time.Minute))
		err := chainOf(f, filter.NewRetries(fullShare{}, 1)).Handle(context.Background(), r, &answer{})
		So(outcome.Is(err, outcome.InvalidRequest), ShouldBeTrue)
		So(f.given, ShouldResemble, []string{"a"})
	})
}

// Guards against a target that leaves and takes the streams on it along.
func TestLeavingTargetFinishesItsStreams(t *testing.T) {
	Convey("Given a target that leaves in the middle of a stream and then goes away", t, func() {
		f := newFleet("a", "b")
		defer f.close()

		in := input("leaving", 40, false)
		a := &answer{}

		// The target leaves behind its first tokens. A fixed time came after the end of the stream on a busy machine.
		go func() {
			for f.engines["a"].Tokens() < 3 {
				time.Sleep(time.Millisecond)
			}

			f.mu.Lock()
			f.order = []string{"b"}
			f.mu.Unlock()
			// The listener goes first, as the client comes back at once to resume the stream there.
			_ = f.servers["a"].Listener.Close()
			f.servers["a"].Config.Handler = http.NotFoundHandler()
			f.servers["a"].CloseClientConnections()
		}()

		So(chainOf(f, filter.NewRetries(fullShare{}, 1)).Handle(context.Background(), online(in, service(false)), a), ShouldBeNil)
		whole(a, in)
		So(strings.Join(f.given, ""), ShouldEqual, "ab")
	})
}

// Guards against an engine that generates for a caller who is gone.
func TestCallerWhoGoesAwayCancelsAtTheEngine(t *testing.T) {
	Convey("Given a caller who goes away in the middle of a stream", t, func() {
		f := newFleet("a")
		defer f.close()

		c, stop := context.WithCancel(context.Background())
		a := &answer{onText: func(n int) {
			if n == 5 {
				stop()
			}
		}}

		So(chainOf(f, filter.NewRetries(fullShare{}, 1)).Handle(c, online(input("gone", 5000, true), service(false)), a), ShouldNotBeNil)
		So(eventually(func() bool { return !running(f.engines["a"]) }), ShouldBeTrue)
		So(f.engines["a"].Tokens(), ShouldBeLessThan, 100)
	})
}
