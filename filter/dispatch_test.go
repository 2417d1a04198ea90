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

// engineRouter is a router in front of stand-in engines. It always chooses the first target that is not excluded.
type engineRouter struct {
	mu          sync.Mutex
	engines     map[string]*engine.Engine
	servers     map[string]*httptest.Server
	names       []string
	preemptions []chan struct{} // preemption channels of the next slots
	released    int
	acquired    []string
	stop        chan struct{}
}

func newEngineRouter(names ...string) *engineRouter {
	f := &engineRouter{engines: map[string]*engine.Engine{}, servers: map[string]*httptest.Server{}, names: names, stop: make(chan struct{})}

	for _, n := range names {
		e := engine.New(engine.Options{Models: []string{"m"}})
		go e.Run(f.stop)

		f.engines[n] = e
		f.servers[n] = httptest.NewServer(e.Handler())
	}

	return f
}

func (f *engineRouter) close() {
	for _, s := range f.servers {
		s.CloseClientConnections()
		s.Close()
	}

	close(f.stop)
}

func (f *engineRouter) Acquire(_ context.Context, r *filter.Request, exclude []string) (filter.Slot, error) {
	f.mu.Lock()
	defer f.mu.Unlock()

	for _, n := range f.names {
		if slices.Contains(exclude, n) || r.PreferredTarget() != "" && r.PreferredTarget() != n {
			continue
		}

		s := &slot{router: f, target: filter.NewTarget(n, f.servers[n].Listener.Addr().String())}
		if len(f.preemptions) > 0 {
			s.preempted = f.preemptions[0]
			f.preemptions = f.preemptions[1:]
		}

		f.acquired = append(f.acquired, n)

		return s, nil
	}

	return nil, outcome.New(outcome.NoTarget, outcome.NotRun, "no target")
}

type slot struct {
	router    *engineRouter
	target    filter.Target
	preempted chan struct{}
}

func (s *slot) Target() filter.Target      { return s.target }
func (s *slot) Preempted() <-chan struct{} { return s.preempted }
func (s *slot) Release(filter.Observation) {
	s.router.mu.Lock()
	defer s.router.mu.Unlock()

	s.router.released++
}

func (f *engineRouter) counts() (acquired, released int) {
	f.mu.Lock()
	defer f.mu.Unlock()

	return len(f.acquired), f.released
}

type fullRetryShare struct{}

func (fullRetryShare) RetryShare() float64 { return 1 }

// newChain returns the part of the chain after the Record filter, with real engine clients.
func newChain(f filter.Router, t *filter.Retries) filter.Handler {
	return filter.BatchChain(filter.NewDependencies(nil, nil, f, time.Now, "vm", nil).WithRetries(t), target.New())
}

func newService(hedge bool) filter.Service {
	return filter.NewService(filter.ServiceSettings{
		Name: "m", Idempotent: true, MaxAttempts: 3, Hedge: hedge, IdleBound: 200 * time.Millisecond, Deadline: 5 * time.Second,
	})
}

func newInput(id string, tokens int, stream bool) filter.Input {
	p := fmt.Sprintf("tokens=%d %s", tokens, id)

	return filter.Input{
		ID: id, Kind: filter.Completion, Service: "m", Path: "/v1/completions", Prompt: p, Stream: stream, Arrived: time.Now(),
		Body: []byte(fmt.Sprintf(`{"model":"m","prompt":%q,"stream":%t}`, p, stream)),
	}
}

// newOnlineRequest returns an online request as the Identify filter passes it on.
func newOnlineRequest(in filter.Input, v filter.Service) *filter.Request {
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

// response collects what the caller receives.
type response struct {
	text      bytes.Buffer
	indexes   []int
	headCount int
	endCount  int
	onChunk   func(n int)
}

func (a *response) Emit(e filter.Event) error {
	switch e.Kind() {
	case filter.Head:
		a.headCount++
	case filter.Chunk:
		a.indexes = append(a.indexes, e.Index())
		a.text.WriteString(e.Text())

		if a.onChunk != nil {
			a.onChunk(len(a.indexes))
		}
	case filter.End:
		a.endCount++
	}

	return nil
}

func assertComplete(a *response, in filter.Input) {
	So(a.text.String(), ShouldEqual, engine.CompletionText(in.Prompt, 0))
	So(a.headCount, ShouldEqual, 1)
	So(a.endCount, ShouldEqual, 1)

	for i, v := range a.indexes {
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

// Guards against missing or repeated tokens when a connection stops carrying data in the middle of a stream.
func TestUnresponsiveStreamIsResumed(t *testing.T) {
	Convey("A stream whose connection stops carrying data is resumed without missing or repeated tokens", t, func() {
		f := newEngineRouter("a")
		defer f.close()

		for _, stream := range []bool{true, false} {
			in := newInput(fmt.Sprintf("silent-%t", stream), 60, stream)
			a := &response{}

			time.AfterFunc(40*time.Millisecond, func() { f.engines["a"].SetFaults(engine.Faults{Silent: true}) })

			So(newChain(f, filter.NewRetries(fullRetryShare{}, 1)).Handle(context.Background(), newOnlineRequest(in, newService(false)), a), ShouldBeNil)
			assertComplete(a, in)
			So(f.engines["a"].Started(in.ID), ShouldEqual, 1)
		}
	})
}

// Guards against a caller that receives the response to another request.
func TestMismatchedResponseIsNotForwarded(t *testing.T) {
	Convey("Given a target whose responses carry the identifiers of other requests", t, func() {
		f := newEngineRouter("a", "b")
		defer f.close()

		f.engines["a"].SetFaults(engine.Faults{CrossIDs: true})

		Convey("the response of another target is used", func() {
			in := newInput("crossed-1", 10, true)
			a := &response{}
			So(newChain(f, filter.NewRetries(fullRetryShare{}, 1)).Handle(context.Background(), newOnlineRequest(in, newService(false)), a), ShouldBeNil)
			assertComplete(a, in)
			So(eventually(func() bool { return !isGenerating(f.engines["a"]) }), ShouldBeTrue)
		})
		Convey("without another target the request fails and no chunk is forwarded", func() {
			f.names = []string{"a"}
			a := &response{}
			err := newChain(f, filter.NewRetries(fullRetryShare{}, 1)).Handle(context.Background(), newOnlineRequest(newInput("crossed-2", 10, true), newService(false)), a)
			So(err, ShouldNotBeNil)
			So(outcome.From(err).Effect(), ShouldNotEqual, outcome.NotRun)
			So(a.indexes, ShouldBeEmpty)
			So(a.endCount, ShouldEqual, 0)
		})
	})
}

// isGenerating reports whether an engine generates tokens at present.
func isGenerating(e *engine.Engine) bool {
	n := e.Tokens()

	time.Sleep(20 * time.Millisecond)

	return e.Tokens() != n
}

// Guards against a truncated response that counts as complete.
func TestResponseWithoutEndMarkerIsIncomplete(t *testing.T) {
	Convey("Given an engine that drops the end marker of responses", t, func() {
		f := newEngineRouter("a")
		defer f.close()

		Convey("a single truncated response is resumed", func() {
			f.engines["a"].SetFaults(engine.Faults{DropEnd: 1})

			in := newInput("end-1", 10, true)
			a := &response{}
			So(newChain(f, filter.NewRetries(fullRetryShare{}, 1)).Handle(context.Background(), newOnlineRequest(in, newService(false)), a), ShouldBeNil)
			assertComplete(a, in)
		})
		Convey("if all responses are truncated, the error says that the response is incomplete", func() {
			f.engines["a"].SetFaults(engine.Faults{DropEnd: 100})

			a := &response{}
			err := newChain(f, filter.NewRetries(fullRetryShare{}, 1)).Handle(context.Background(), newOnlineRequest(newInput("end-2", 10, true), newService(false)), a)
			So(outcome.Is(err, outcome.IncompleteResponse) || outcome.Is(err, outcome.LostResponse), ShouldBeTrue)
			So(a.endCount, ShouldEqual, 0)
		})
	})
}

// Guards against a hedged request whose caller receives two responses, and against a losing attempt that keeps running.
func TestHedgeEmitsOneResponse(t *testing.T) {
	Convey("Given a service whose usual time to the first token is short", t, func() {
		f := newEngineRouter("a", "b")
		defer f.close()

		c := newChain(f, filter.NewRetries(fullRetryShare{}, 1))
		for i := range 50 {
			So(c.Handle(context.Background(), newOnlineRequest(newInput(fmt.Sprintf("warm-%d", i), 2, false), newService(true)), &response{}), ShouldBeNil)
		}

		Convey("a target that slows down is hedged and the losing attempt is cancelled", func() {
			f.engines["a"].SetFaults(engine.Faults{Slow: 100})

			for _, stream := range []bool{true, false} {
				in := newInput(fmt.Sprintf("hedged-%t", stream), 20, stream)
				a := &response{}
				So(c.Handle(context.Background(), newOnlineRequest(in, newService(true)), a), ShouldBeNil)
				assertComplete(a, in)
				So(f.engines["b"].Started(in.ID), ShouldEqual, 1)
			}

			So(eventually(func() bool { g, r := f.counts(); return g == r }), ShouldBeTrue)
			f.engines["a"].SetFaults(engine.Faults{})
			So(eventually(func() bool { return !isGenerating(f.engines["a"]) }), ShouldBeTrue)
		})
		Convey("if both attempts complete, the caller receives one response", func() {
			both := newEngineRouter("a", "b")
			defer both.close()

			l := &barrierHandler{next: target.New(), done: make(chan struct{}, 2)}
			d := filter.New(l, filter.NewRoute(both), filter.NewDispatch(both, warmRetries(both), time.Now), filter.NewVerify())

			for _, stream := range []bool{true, false} {
				in := newInput(fmt.Sprintf("both-%t", stream), 5, stream)
				a := &response{}
				So(d.Handle(context.Background(), newOnlineRequest(in, newService(true)), a), ShouldBeNil)
				assertComplete(a, in)
				<-l.done
				<-l.done
			}
		})
	})
}

// warmRetries returns retries that have observed enough first tokens to hedge requests.
func warmRetries(f *engineRouter) *filter.Retries {
	t := filter.NewRetries(fullRetryShare{}, 1)
	for i := range 50 {
		_ = newChain(f, t).Handle(context.Background(), newOnlineRequest(newInput(fmt.Sprintf("w-%d", i), 2, false), newService(true)), &response{})
	}

	return t
}

// barrierHandler emits no event until two attempts of a request have received a complete response. arrive returns a
// channel that is closed then.
type barrierHandler struct {
	next filter.Handler
	done chan struct{}

	mu      sync.Mutex
	reached map[string]chan struct{}
	counts  map[string]int
}

func (l *barrierHandler) Handle(ctx context.Context, r *filter.Request, s filter.Sink) error {
	defer func() { l.done <- struct{}{} }()

	var events []filter.Event

	err := l.next.Handle(context.WithoutCancel(ctx), r, filter.SinkFunc(func(e filter.Event) error {
		events = append(events, e)

		return nil
	}))
	if err != nil {
		return err
	}

	<-l.arrive(r.ID())

	for _, e := range events {
		if err := s.Emit(e); err != nil {
			return err
		}
	}

	return nil
}

func (l *barrierHandler) arrive(id string) chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()

	if l.reached == nil {
		l.reached, l.counts = map[string]chan struct{}{}, map[string]int{}
	}

	if l.reached[id] == nil {
		l.reached[id] = make(chan struct{})
	}

	l.counts[id]++
	if l.counts[id] == 2 {
		close(l.reached[id])
	}

	return l.reached[id]
}

// failingHandler fails every request after marking it as sent.
type failingHandler struct {
	mu    sync.Mutex
	calls int
}

func (h *failingHandler) Handle(_ context.Context, r *filter.Request, _ filter.Sink) error {
	h.mu.Lock()
	defer h.mu.Unlock()

	h.calls++
	r.MarkSent()

	return outcome.New(outcome.LostResponse, outcome.Unknown, "lost")
}

type tenthRetryShare struct{}

func (tenthRetryShare) RetryShare() float64 { return 0.1 }

// Guards against a retry storm when every attempt fails, and against a retry of work that may not run twice.
func TestRetryBudgetBoundsAttempts(t *testing.T) {
	Convey("If targets fail every request, the retries stay within the budget", t, func() {
		f := newEngineRouter("a", "b", "c")
		defer f.close()

		h := &failingHandler{}
		c := filter.BatchChain(filter.NewDependencies(nil, nil, f, time.Now, "vm", nil).WithRetries(filter.NewRetries(tenthRetryShare{}, 1)), h)

		const requests = 200
		for i := range requests {
			So(c.Handle(context.Background(), newOnlineRequest(newInput(fmt.Sprintf("storm-%d", i), 1, false), newService(false)), &response{}), ShouldNotBeNil)
		}

		So(h.calls, ShouldBeLessThanOrEqualTo, requests+requests/10+10)
	})
	Convey("Work that may not run twice is sent once and its effect is unknown", t, func() {
		f := newEngineRouter("a", "b")
		defer f.close()

		h := &failingHandler{}
		c := filter.BatchChain(filter.NewDependencies(nil, nil, f, time.Now, "vm", nil).WithRetries(filter.NewRetries(fullRetryShare{}, 1)), h)
		v := filter.NewService(filter.ServiceSettings{Name: "m", MaxAttempts: 3, Deadline: time.Second})
		err := c.Handle(context.Background(), newOnlineRequest(newInput("once", 1, false), v), &response{})
		So(outcome.From(err).Effect(), ShouldEqual, outcome.Unknown)
		So(h.calls, ShouldEqual, 1)
	})
}

// Guards against a retry that starts after the deadline.
func TestNoRetryAfterDeadline(t *testing.T) {
	Convey("A request with a few milliseconds left is not retried", t, func() {
		f := newEngineRouter("a", "b")
		defer f.close()

		h := &failingHandler{}
		c := filter.BatchChain(filter.NewDependencies(nil, nil, f, time.Now, "vm", nil).WithRetries(filter.NewRetries(fullRetryShare{}, 1)), h)
		in := newInput("late", 1, false)
		in.Timeout = 4 * time.Millisecond

		So(c.Handle(context.Background(), newOnlineRequest(in, newService(false)), &response{}), ShouldNotBeNil)
		So(h.calls, ShouldEqual, 1)
	})
}

// Guards against a preempted item that loses its tokens, runs twice or uses up an attempt.
func TestPreemptedItemIsResumed(t *testing.T) {
	Convey("A batch item whose slot is preempted twice resumes at the same target", t, func() {
		f := newEngineRouter("a", "b")
		defer f.close()

		f.preemptions = []chan struct{}{make(chan struct{}), make(chan struct{})}
		for i, c := range f.preemptions {
			time.AfterFunc(time.Duration(i+1)*40*time.Millisecond, func() { close(c) })
		}

		in := newInput("item", 100, false)
		a := &response{}
		r := filter.NewBatchRequest(in, filter.NewAccount("a", 0), newService(false), time.Now().Add(time.Minute))
		So(newChain(f, filter.NewRetries(nil, 1)).Handle(context.Background(), r, a), ShouldBeNil)
		assertComplete(a, in)

		So(f.acquired, ShouldResemble, []string{"a", "a", "a"})
		So(f.engines["a"].Started(in.ID), ShouldEqual, 1)
		So(f.engines["a"].Tokens(), ShouldBeLessThanOrEqualTo, 102)
		_, n := f.counts()
		So(n, ShouldEqual, 3)
	})
}

// Guards against an endless retry of an item that can never succeed.
func TestInvalidItemIsNotRetried(t *testing.T) {
	Convey("An item that the engine rejects as invalid is sent once", t, func() {
		f := newEngineRouter("a", "b")
		defer f.close()

		in := newInput("bad", 1, false)
		in.Body = []byte(`{"model":"m","prompt":"fail:always"}`)
		r := filter.NewBatchRequest(in, filter.NewAccount("a", 0), newService(false), time.Now().Add(time.Minute))
		err := newChain(f, filter.NewRetries(fullRetryShare{}, 1)).Handle(context.Background(), r, &response{})
		So(outcome.Is(err, outcome.InvalidRequest), ShouldBeTrue)
		So(f.acquired, ShouldResemble, []string{"a"})
	})
}

// Guards against the loss of the streams that run on a target when the target is removed.
func TestStreamSurvivesRemovedTarget(t *testing.T) {
	Convey("A stream is completed at another target if its target is removed in the middle", t, func() {
		f := newEngineRouter("a", "b")
		defer f.close()

		in := newInput("leaving", 40, false)
		a := &response{}

		// The target is removed after its first tokens. After a fixed time the stream had already ended on a busy machine.
		go func() {
			for f.engines["a"].Tokens() < 3 {
				time.Sleep(time.Millisecond)
			}

			f.mu.Lock()
			f.names = []string{"b"}
			f.mu.Unlock()
			// The listener is closed first, as the client reconnects at once to resume the stream.
			_ = f.servers["a"].Listener.Close()
			f.servers["a"].Config.Handler = http.NotFoundHandler()
			f.servers["a"].CloseClientConnections()
		}()

		So(newChain(f, filter.NewRetries(fullRetryShare{}, 1)).Handle(context.Background(), newOnlineRequest(in, newService(false)), a), ShouldBeNil)
		assertComplete(a, in)
		So(strings.Join(f.acquired, ""), ShouldEqual, "ab")
	})
}

// Guards against an engine that continues to generate for a caller that has disconnected.
func TestCallerDisconnectCancelsGeneration(t *testing.T) {
	Convey("A caller that disconnects in the middle of a stream cancels the generation", t, func() {
		f := newEngineRouter("a")
		defer f.close()

		c, stop := context.WithCancel(context.Background())
		a := &response{onChunk: func(n int) {
			if n == 5 {
				stop()
			}
		}}

		So(newChain(f, filter.NewRetries(fullRetryShare{}, 1)).Handle(c, newOnlineRequest(newInput("gone", 5000, true), newService(false)), a), ShouldNotBeNil)
		So(eventually(func() bool { return !isGenerating(f.engines["a"]) }), ShouldBeTrue)
		So(f.engines["a"].Tokens(), ShouldBeLessThan, 100)
	})
}
