package filter_test

import (
	"cmp"
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agategap/agategap/filter"
	"github.com/agategap/agategap/internal/serve/urgency"
	"github.com/agategap/agategap/outcome"
	"github.com/agategap/agategap/pool"
	"github.com/agategap/agategap/routing"
)

// recordingRouter returns slots at the targets t1, t2 and so on. It records how they were requested and released. If
// acquireErr is set, it is returned after the first slot.
type recordingRouter struct {
	acquired   int
	faults     []pool.Fault
	prompts    []filter.PromptOutcome
	excluded   [][]string
	urgencies  []urgency.Urgency
	acquireErr error
}

func (p *recordingRouter) Acquire(_ context.Context, r *filter.Request, exclude []string) (filter.Slot, error) {
	p.excluded = append(p.excluded, exclude)
	p.urgencies = append(p.urgencies, r.Urgency())

	if p.acquireErr != nil && p.acquired > 0 {
		return nil, p.acquireErr
	}

	p.acquired++

	return &relaySlot{router: p, name: fmt.Sprint("t", p.acquired)}, nil
}

type relaySlot struct {
	router *recordingRouter
	name   string
}

func (s *relaySlot) Target() filter.Target { return filter.NewTarget(s.name, "10.0.0.1:80") }

func (s *relaySlot) Release(o filter.Observation) {
	s.router.faults = append(s.router.faults, o.Fault())
	s.router.prompts = append(s.router.prompts, o.Prompt())
}
func (s *relaySlot) Preempted() <-chan struct{} { return nil }

// scriptedAttempt is the outcome of one attempt: a head, the events whose numbers are in [from, to], text without a number
// unless it is empty, and then the end marker if complete is set or else an error. If hangs is set, the target keeps the connection open and sends nothing
// more.
type scriptedAttempt struct {
	from, to int
	status   int
	text     string
	sent     bool
	complete bool
	hangs    bool
	err      error

	contentType string // text/event-stream if empty
}

// scriptedTargets responds to attempts in the scripted order and repeats the last one.
type scriptedTargets struct {
	attempts   []scriptedAttempt
	lastEvents []int
	calls      int
}

func (t *scriptedTargets) Handle(ctx context.Context, r *filter.Request, s filter.Sink) error {
	x := t.attempts[min(t.calls, len(t.attempts)-1)]
	t.calls++
	t.lastEvents = append(t.lastEvents, r.LastEvent())

	if x.sent {
		r.MarkSent()
	}

	if x.status != 0 {
		if err := s.Emit(filter.NewHead(r.ID(), x.status, cmp.Or(x.contentType, "text/event-stream"))); err != nil {
			return err
		}
	}

	for n := x.from; x.from > 0 && n <= x.to; n++ {
		if err := s.Emit(filter.NewChunk(r.ID(), n, []byte(fmt.Sprint(n, " ")), "")); err != nil {
			return err
		}
	}

	if x.text != "" {
		if err := s.Emit(filter.NewChunk(r.ID(), 0, []byte(x.text), "")); err != nil {
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
	ended  bool
}

func (a *relayedResponse) Emit(e filter.Event) error {
	switch e.Kind() {
	case filter.Head:
		a.status = e.Status()
	case filter.Chunk:
		a.text += string(e.Data())
	case filter.End:
		a.ended = true
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
	c := filter.RoutedChain(routes{routing.NewTable(1, []routing.Route{routing.New(s)}, routing.Limits{}, nil)}, nil, p, time.Now, nil, t)
	a := &relayedResponse{}
	err := c.Handle(context.Background(), filter.NewRequest(filter.Input{
		ID: "r", Path: "/x/1", Arrived: time.Now(), Call: filter.NewCall("POST", "h", "/x/1", nil),
	}), a)

	return a, t, err
}

var (
	singleAttempt = routing.Spec{Kind: routing.Streaming, Objective: 200 * time.Millisecond, MaxPause: 200 * time.Millisecond, Attempts: 1}
	resumable     = routing.Spec{
		Kind: routing.Streaming, Resumable: true, Objective: 200 * time.Millisecond, MaxPause: 200 * time.Millisecond, Attempts: 2,
	}
	refusedAttempt  = scriptedAttempt{err: outcome.New(outcome.Overloaded, outcome.NotRun, "full")}
	lostAttempt     = scriptedAttempt{sent: true, err: outcome.New(outcome.LostResponse, outcome.Unknown, "reset")}
	completeAttempt = scriptedAttempt{sent: true, status: 200, from: 1, to: 3, complete: true}
)

// Guards against a request that runs twice although it may run only once, and against a request that may have run and
// is reported as not run.
func TestRelayRunsOnce(t *testing.T) {
	Convey("A request that may run once, or twice on a resumable route", t, func() {
		p := &recordingRouter{}

		Convey("is sent to another target if the first one did not run it", func() {
			a, x, err := runRelay(singleAttempt, p, refusedAttempt, completeAttempt)
			So(err, ShouldBeNil)
			So(x.calls, ShouldEqual, 2)
			So(a.text, ShouldEqual, "1 2 3 ")
			So(p.excluded[1], ShouldResemble, []string{"t1"})
			So(p.faults, ShouldResemble, []pool.Fault{pool.Full, pool.NoFault})
		})

		Convey("is not sent again if it may have run, and its effect is unknown", func() {
			_, x, err := runRelay(singleAttempt, p, lostAttempt, completeAttempt)
			So(x.calls, ShouldEqual, 1)
			So(outcome.From(err).Effect(), ShouldEqual, outcome.Unknown)
		})

		Convey("on a resumable route has an unknown effect if a later attempt is refused after one that may have run", func() {
			_, _, err := runRelay(resumable, &recordingRouter{}, lostAttempt, refusedAttempt, lostAttempt)
			So(outcome.From(err).Effect(), ShouldEqual, outcome.Unknown)
		})

		Convey("on a resumable route has an unknown effect if no slot is left after an attempt that may have run", func() {
			p.acquireErr = outcome.New(outcome.Overloaded, outcome.NotRun, "no slot")
			_, _, err := runRelay(resumable, p, lostAttempt)
			So(outcome.From(err).Effect(), ShouldEqual, outcome.Unknown)
		})

		Convey("fails as not run after many targets refused it", func() {
			_, x, err := runRelay(singleAttempt, p, refusedAttempt)
			So(outcome.From(err).Effect(), ShouldEqual, outcome.NotRun)
			So(x.calls, ShouldBeBetween, 2, 30)
		})

		Convey("is not cancelled before its deadline if its target sends nothing", func() {
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

// Guards against streams with missing, repeated or joined events, and against incomplete streams that look complete.
func TestRelayResumes(t *testing.T) {
	Convey("A stream that may be resumed", t, func() {
		p := &recordingRouter{}

		Convey("continues after the last event at another target", func() {
			a, x, err := runRelay(resumable, p, scriptedAttempt{sent: true, status: 200, from: 1, to: 2, err: lostAttempt.err}, scriptedAttempt{sent: true, status: 200, from: 3, to: 4, complete: true})
			So(err, ShouldBeNil)
			So(a.text, ShouldEqual, "1 2 3 4 ")
			So(x.lastEvents, ShouldResemble, []int{0, 2})
			So(p.urgencies[1].ShouldFailFast(), ShouldBeFalse)
		})

		Convey("drops the events that the second target repeats", func() {
			a, _, err := runRelay(resumable, p, scriptedAttempt{sent: true, status: 200, from: 1, to: 2, err: lostAttempt.err}, scriptedAttempt{sent: true, status: 200, from: 1, to: 4, complete: true})
			So(err, ShouldBeNil)
			So(a.text, ShouldEqual, "1 2 3 4 ")
		})

		Convey("fails if the second target skips an event", func() {
			a, _, err := runRelay(resumable, p, scriptedAttempt{sent: true, status: 200, from: 1, to: 2, err: lostAttempt.err}, scriptedAttempt{sent: true, status: 200, from: 4, to: 5, complete: true})
			So(err, ShouldNotBeNil)
			So(a.text, ShouldEqual, "1 2 ")
		})

		Convey("fails if the second target responds with an error status", func() {
			a, _, err := runRelay(resumable, p, scriptedAttempt{sent: true, status: 200, from: 1, to: 2, err: lostAttempt.err}, scriptedAttempt{sent: true, status: 500, complete: true})
			So(err, ShouldNotBeNil)
			So(a.status, ShouldEqual, 200)
			So(a.text, ShouldEqual, "1 2 ")
		})

		Convey("continues at another target if its target stops sending events", func() {
			a, x, err := runRelay(resumable, p, scriptedAttempt{sent: true, status: 200, from: 1, to: 1, hangs: true}, scriptedAttempt{sent: true, status: 200, from: 2, to: 3, complete: true})
			So(err, ShouldBeNil)
			So(a.text, ShouldEqual, "1 2 3 ")
			So(x.calls, ShouldEqual, 2)
			So(p.faults[0], ShouldEqual, pool.Unreachable)
		})

		Convey("is sent to no more targets than its route allows", func() {
			_, x, err := runRelay(resumable, p, lostAttempt)
			So(err, ShouldNotBeNil)
			So(x.calls, ShouldEqual, 2)
		})

		Convey("is incomplete without its end marker", func() {
			_, _, err := runRelay(resumable, p, scriptedAttempt{sent: true, status: 200, from: 1, to: 2, err: nil})
			So(err, ShouldNotBeNil)
		})
	})

	Convey("An error status of the target is passed on if no other attempt is allowed", t, func() {
		a, x, err := runRelay(singleAttempt, &recordingRouter{}, scriptedAttempt{sent: true, status: 500, complete: true})
		So(err, ShouldBeNil)
		So(x.calls, ShouldEqual, 1)
		So(a.status, ShouldEqual, 500)
	})
}

// Guards against requests that are kept longer than the timeout of their route, and against wrong errors for missing
// routes.
func TestRelayTimeouts(t *testing.T) {
	Convey("A request ends at the timeout of its route", t, func() {
		s := singleAttempt
		s.Timeout = 100 * time.Millisecond
		began := time.Now()
		_, _, err := runRelay(s, &recordingRouter{}, scriptedAttempt{sent: true, hangs: true})
		So(err, ShouldNotBeNil)
		So(time.Since(began), ShouldBeLessThan, time.Second)
	})

	Convey("A request waits for a slot only while it can still meet its objective", t, func() {
		p := &recordingRouter{}
		_, _, err := runRelay(singleAttempt, p, completeAttempt)
		So(err, ShouldBeNil)
		So(p.urgencies[0].ShouldFailFast(), ShouldBeTrue)
		So(p.urgencies[0].MaxWait(), ShouldBeBetween, 50*time.Millisecond, 200*time.Millisecond)
	})

	Convey("A request fails as not ready without a routing table, and as not found if no route matches", t, func() {
		c := filter.RoutedChain(routes{}, nil, &recordingRouter{}, time.Now, nil, &scriptedTargets{})
		err := c.Handle(context.Background(), filter.NewRequest(filter.Input{}), &relayedResponse{})
		So(outcome.Is(err, outcome.NotReady), ShouldBeTrue)

		c = filter.RoutedChain(routes{routing.NewTable(1, nil, routing.Limits{}, nil)}, nil, &recordingRouter{}, time.Now, nil, &scriptedTargets{})
		err = c.Handle(context.Background(), filter.NewRequest(filter.Input{}), &relayedResponse{})
		So(outcome.Is(err, outcome.NotFound), ShouldBeTrue)
	})
}

// Guards against prompts that are blamed for the end of an attempt for which this daemon or a healthy target is
// responsible, and against crashes of which no prompt is suspect.
func TestRelayTellsSuspectPrompts(t *testing.T) {
	Convey("The slot is released with what the attempt shows about the prompt", t, func() {
		crash := outcome.New(outcome.IncompleteResponse, outcome.Unknown, "cut").WithCause(filter.ErrTargetCrashed)

		for name, c := range map[string]struct {
			attempt  scriptedAttempt
			expected filter.PromptOutcome
		}{
			"lost in a crash":           {scriptedAttempt{sent: true, err: crash}, filter.PromptSuspect},
			"lost after the head":       {scriptedAttempt{sent: true, status: 200, err: crash}, filter.PromptSuspect},
			"lost after the first part": {scriptedAttempt{sent: true, status: 200, from: 1, to: 1, err: crash}, filter.PromptSuspect},
			"lost after three parts":    {scriptedAttempt{sent: true, status: 200, from: 1, to: filter.MaxCrashEvents, err: crash}, filter.PromptSuspect},
			"lost after more parts":     {scriptedAttempt{sent: true, status: 200, from: 1, to: filter.MaxCrashEvents + 1, err: crash}, filter.PromptSound},
			"broken off at the start":   {scriptedAttempt{sent: true, status: 200, from: 1, to: 1, err: outcome.New(outcome.IncompleteResponse, outcome.Unknown, "cut")}, filter.PromptUntested},
			"lost without a crash":      {lostAttempt, filter.PromptUntested},
			"complete":                  {completeAttempt, filter.PromptSound},
			"refused":                   {refusedAttempt, filter.PromptUntested},
			"not sent":                  {scriptedAttempt{err: outcome.New(outcome.LostResponse, outcome.NotRun, "closed")}, filter.PromptUntested},
			"failed by the target":      {scriptedAttempt{sent: true, err: outcome.New(outcome.TargetFailed, outcome.Unknown, "500")}, filter.PromptUntested},
			"unresponsive":              {scriptedAttempt{sent: true, hangs: true}, filter.PromptUntested},
		} {
			p := &recordingRouter{acquireErr: outcome.New(outcome.Overloaded, outcome.NotRun, "full")}
			_, _, _ = runRelay(resumable, p, c.attempt)
			So(name+fmt.Sprint(p.prompts[0]), ShouldEqual, name+fmt.Sprint(c.expected))
		}
	})
}

// Guards against a prompt that is suspect after a crash although an earlier attempt has shown that it does not crash
// targets.
func TestCrashesAfterAResponseBeganAreNotBlamed(t *testing.T) {
	Convey("Given a stream whose first attempt broke off after more than three events", t, func() {
		crash := outcome.New(outcome.IncompleteResponse, outcome.Unknown, "cut").WithCause(filter.ErrTargetCrashed)
		long := scriptedAttempt{sent: true, status: 200, from: 1, to: filter.MaxCrashEvents + 1, err: crash}
		young := scriptedAttempt{sent: true, status: 200, from: filter.MaxCrashEvents + 2, to: filter.MaxCrashEvents + 2, err: crash}

		Convey("a crash at the beginning of the next attempt shows nothing about its prompt", func() {
			p := &recordingRouter{}
			_, _, _ = runRelay(resumable, p, long, young)
			So(p.prompts[:2], ShouldResemble, []filter.PromptOutcome{filter.PromptSound, filter.PromptUntested})
		})
	})
}

// Guards against the text of an error, or of another kind of response, in the middle of a stream that is resumed at
// another target, and against a stream that then ends as if it were complete.
func TestRelayResumesWithTheSameKindOfResponse(t *testing.T) {
	Convey("Given a stream that breaks off after two events", t, func() {
		p := &recordingRouter{}
		broken := scriptedAttempt{sent: true, status: 200, from: 1, to: 2, err: outcome.New(outcome.IncompleteResponse, outcome.Unknown, "cut")}

		for name, next := range map[string]scriptedAttempt{
			"an error status":                    {sent: true, status: 500, text: "out of memory", complete: true},
			"a client error":                     {sent: true, status: 400, text: "bad event", complete: true},
			"another kind of body":               {sent: true, status: 200, contentType: "text/html", text: "<html>", complete: true},
			"data without event numbers":         {sent: true, status: 200, text: "HTTP/1.1 500 Internal Server Error", complete: true},
			"no event, only the end":             {sent: true, status: 200, contentType: "text/plain", complete: true},
			"events that skip one":               {sent: true, status: 200, from: 4, to: 5, complete: true},
			"an event without number at the end": {sent: true, status: 200, from: 3, to: 4, text: "oops", complete: true},
		} {
			Convey("nothing of a response with "+name+" reaches the caller, and the stream does not end as complete", func() {
				a, _, err := runRelay(resumable, p, broken, next)
				So(err, ShouldNotBeNil)
				So(a.status, ShouldEqual, 200)
				So(a.text, ShouldBeIn, "1 2 ", "1 2 3 4 ")
				So(a.ended, ShouldBeFalse)
			})
		}

		Convey("a response that goes on after them completes it", func() {
			a, _, err := runRelay(resumable, p, broken, scriptedAttempt{sent: true, status: 200, from: 3, to: 4, complete: true})
			So(err, ShouldBeNil)
			So(a.text, ShouldEqual, "1 2 3 4 ")
			So(a.ended, ShouldBeTrue)
		})
	})
}
