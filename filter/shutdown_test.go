package filter_test

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agategap/agategap/filter"
	"github.com/agategap/agategap/outcome"
	"github.com/agategap/agategap/routing"
)

// endingDaemon is a daemon that shuts down and admits the requests that end by a time.
type endingDaemon time.Time

func (e endingDaemon) Admits(deadline time.Time) bool { return !deadline.After(time.Time(e)) }

// Guards against a daemon that passes a request on late in its shutdown and then cuts it off.
func TestLateRequestsAreRejected(t *testing.T) {
	Convey("Given a daemon that ends in 2 s", t, func() {
		now := time.Now()
		reached := 0
		target := filter.HandlerFunc(func(_ context.Context, r *filter.Request, s filter.Sink) error {
			reached++

			return s.Emit(filter.NewEnd(r.ID(), "", 0, 0))
		})
		route := routing.New(routing.Spec{Name: "r", Host: "h", Prefix: "/x/", Timeout: 10 * time.Second, Backends: []routing.Backend{routing.NewBackend("s", 1)}})
		c := filter.New(target, filter.NewMatch(routes{routing.NewTable(1, []routing.Route{route}, routing.Limits{}, nil)}), filter.NewRejectLate(endingDaemon(now.Add(2*time.Second))))
		handle := func(timeout time.Duration) error {
			return c.Handle(context.Background(), filter.NewRequest(filter.Input{
				ID: "a", Path: "/x/", Arrived: now, Timeout: timeout, Call: filter.NewCall("POST", "h", "/x/", nil),
			}), filter.SinkFunc(func(filter.Event) error { return nil }))
		}

		Convey("a request that ends by then is passed on", func() {
			So(handle(time.Second), ShouldBeNil)
			So(reached, ShouldEqual, 1)
		})

		Convey("a request that may take longer is rejected with NotRun", func() {
			err := handle(3 * time.Second)
			So(outcome.Is(err, outcome.NotReady), ShouldBeTrue)
			So(outcome.From(err).Effect(), ShouldEqual, outcome.NotRun)
			So(reached, ShouldEqual, 0)
		})
	})
}
