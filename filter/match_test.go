package filter_test

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agategap/agategap/filter"
	"github.com/agategap/agategap/routing"
)

// Guards against streams that are cut after a minute although their caller and their route give them more, and against
// requests without any deadline.
func TestDeadlineOfMatchedRequests(t *testing.T) {
	Convey("The deadline of a request is the earlier one of its caller and its route", t, func() {
		for _, c := range []struct{ caller, route, expected time.Duration }{
			{0, 0, time.Minute},
			{90 * time.Second, 90 * time.Second, 90 * time.Second},
			{90 * time.Second, 0, 90 * time.Second},
			{0, 2 * time.Minute, 2 * time.Minute},
			{5 * time.Second, 90 * time.Second, 5 * time.Second},
			{90 * time.Second, 5 * time.Second, 5 * time.Second},
		} {
			now := time.Now()
			route := routing.New(routing.Spec{Name: "r", Host: "h", Prefix: "/x/", Timeout: c.route})

			var deadline time.Time

			target := filter.HandlerFunc(func(_ context.Context, r *filter.Request, _ filter.Sink) error {
				deadline = r.Deadline()

				return nil
			})
			q := filter.NewRequest(filter.Input{ID: "a", Path: "/x/", Arrived: now, Timeout: c.caller, Call: filter.NewCall("GET", "h", "/x/", nil)})
			f := filter.NewMatch(routes{routing.NewTable(1, []routing.Route{route}, routing.Limits{}, nil)})

			So(filter.New(target, f).Handle(context.Background(), q, nil), ShouldBeNil)
			So(deadline.Sub(now), ShouldEqual, c.expected)
		}
	})
}
