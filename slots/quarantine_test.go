package slots_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agategap/agategap/filter"
	"github.com/agategap/agategap/internal/serve/quarantine"
	"github.com/agategap/agategap/outcome"
	"github.com/agategap/agategap/slots"
)

// crashingTarget loses the connection of requests whose prompt has the part "bad", and responds to others.
type crashingTarget struct {
	network *network
	runs    int // of requests with the part "bad"
}

func (g *crashingTarget) Handle(_ context.Context, r *filter.Request, s filter.Sink) error {
	r.MarkSent()

	if slices.Contains(r.PromptParts(), "bad") {
		g.runs++
		g.network.advance(2 * time.Second) // the next crash is another one

		return outcome.New(outcome.LostResponse, outcome.Unknown, "reset").WithCause(filter.ErrTargetCrashed)
	}

	return errors.Join(s.Emit(filter.NewHead(r.ID(), 200, "")), s.Emit(filter.NewChunk(r.ID(), 1, nil, "x")), s.Emit(filter.NewEnd(r.ID(), "", 0, 0)))
}

func (d *daemon) runPrompt(g filter.Handler, id string, parts ...string) error {
	q := filter.NewRequest(filter.Input{
		ID: id, Path: "/o/", Arrived: time.Now(), Timeout: 5 * time.Second, Call: filter.NewCall("POST", "h", "/o/", nil), PromptParts: append(parts, id),
	})

	return filter.RoutedChain(routeTable{}, nil, d.holder, time.Now, nil, g).Handle(context.Background(), q, filter.SinkFunc(discardEvent))
}

// Guards against prompts that crash targets and are sent on because their crashes were seen by different daemons, and
// against sound prompts that are rejected beside them.
func TestOwnerRejectsPromptsThatCrashTargets(t *testing.T) {
	n, l := startDaemons(t, 4, 8)
	g := &crashingTarget{network: n}

	Convey("Crashes that three daemons have seen make all daemons reject the prompts", t, func() {
		for i, d := range l {
			So(d.runPrompt(g, fmt.Sprint("sound", i), "route", "caller"), ShouldBeNil)
		}

		for i, d := range l[1:] {
			err := d.runPrompt(g, fmt.Sprint("bad", i), "route", "caller", "bad")
			So(outcome.Is(err, outcome.LostResponse), ShouldBeTrue)
			time.Sleep(20 * time.Millisecond) // until the owner has got the release
		}

		So(g.runs, ShouldEqual, 3)

		for i, d := range l {
			err := d.runPrompt(g, fmt.Sprint("again", i), "route", "caller", "bad")
			So(outcome.Is(err, outcome.Quarantined), ShouldBeTrue)
			So(outcome.From(err).Effect(), ShouldEqual, outcome.NotRun)
			So(outcome.From(err).RetryAfter(), ShouldBeBetween, time.Second-1, 2*time.Second+1)
			So(d.runPrompt(g, fmt.Sprint("other", i), "route", "caller"), ShouldBeNil)
		}

		So(g.runs, ShouldEqual, 3)

		Convey("until one request tries again", func() {
			n.advance(4 * time.Second)
			So(outcome.Is(l[2].runPrompt(g, "trial", "route", "caller", "bad"), outcome.LostResponse), ShouldBeTrue)
			time.Sleep(20 * time.Millisecond)

			for i, d := range l {
				So(outcome.Is(d.runPrompt(g, fmt.Sprint("later", i), "route", "caller", "bad"), outcome.Quarantined), ShouldBeTrue)
			}

			So(g.runs, ShouldEqual, 4)
		})
	})
}

// Guards against a trial that waits behind other work for a slot, while all requests with the same parts are rejected.
func TestTrialsOfItemsGoFirst(t *testing.T) {
	n, l := startDaemons(t, 2, 1)

	Convey("Given a quarantined part and a target that is busy with an item, for which others wait", t, func() {
		o := l[0].owner
		for i := range 3 {
			l[0].prompts.AddCrash(quarantine.NewPrompt("s", []string{"bad", fmt.Sprint("own", i)}), quarantine.NewCrash(fmt.Sprint("t", i), 0))
		}

		n.advance(3 * time.Second)

		ask := func(id string, due time.Duration, batch bool, parts ...string) slots.AskReply {
			var a slots.AskReply

			q := slots.AskArgs{Service: "s", ID: id, Request: id, Holder: "vm1", Address: "vm1", Batch: batch, DueMS: due.Milliseconds(), Parts: parts}
			So(o.Ask(q, &a), ShouldBeNil)

			return a
		}

		for end := time.Now().Add(2 * time.Second); ask("busy", time.Second, false).Target == "" && time.Now().Before(end); {
			time.Sleep(10 * time.Millisecond)
		}

		So(ask("item", time.Second, true).Target, ShouldBeEmpty)
		So(ask("online", time.Second, false).Target, ShouldBeEmpty)

		trial := ask("trial", time.Minute, true, "bad", "own9")
		So(trial.Trial, ShouldBeTrue)
		So(trial.Target, ShouldBeEmpty)
		So(ask("other", time.Minute, true, "bad", "own8").Quarantined, ShouldResemble, []string{"bad"})

		So(o.Release(slots.ReleaseArgs{Service: "s", ID: "busy", Target: "t"}, nil), ShouldBeNil)
		So(ask("trial", time.Minute, true, "bad", "own9").Target, ShouldEqual, "t")
		So(ask("online", time.Second, false).Target, ShouldBeEmpty)
	})
}

// Guards against a daemon that has just become the owner and blames a part that other daemons know to be sound.
func TestNewOwnerDoesNotBlameSoundParts(t *testing.T) {
	n, l := startDaemons(t, 4, 8)
	g := &crashingTarget{network: n}

	Convey("When many requests are lost right after the owner, their common parts stay in use", t, func() {
		for i, d := range l[1:] {
			So(d.runPrompt(g, fmt.Sprint("sound", i), "route"), ShouldBeNil)
		}

		n.setDown("vm0", true)

		lost := filter.HandlerFunc(func(_ context.Context, r *filter.Request, _ filter.Sink) error {
			r.MarkSent()
			n.advance(2 * time.Second)

			return outcome.New(outcome.LostResponse, outcome.Unknown, "reset").WithCause(filter.ErrTargetCrashed)
		})

		for i := range 9 {
			err := l[1+i%3].runPrompt(lost, fmt.Sprint("lost", i), "route")
			So(outcome.Is(err, outcome.LostResponse), ShouldBeTrue)
		}

		So(l[2].runPrompt(g, "after", "route"), ShouldBeNil)
	})
}
