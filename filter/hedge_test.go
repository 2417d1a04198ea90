package filter_test

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agategap/agategap/filter"
	"github.com/agategap/agategap/outcome"
)

// Guards against a panic when a hedge gets no slot and the first attempt then fails without having been sent.
func TestHedgeWithoutSlot(t *testing.T) {
	Convey("Given a hedged service with one target, whose connection fails after the hedge was started", t, func() {
		f := newEngineRouter("a")
		defer f.close()

		unsent := filter.HandlerFunc(func(context.Context, *filter.Request, filter.Sink) error {
			time.Sleep(300 * time.Millisecond)

			return outcome.New(outcome.NoTarget, outcome.NotRun, "no connection")
		})
		d := filter.New(unsent, filter.NewRoute(f), filter.NewDispatch(f, warmRetries(f), time.Now), filter.NewVerify())

		Convey("the request fails and has not run", func() {
			err := d.Handle(context.Background(), newOnlineRequest(newInput("unsent", 5, true), newService(true)), &response{})
			So(outcome.From(err).Effect(), ShouldEqual, outcome.NotRun)
		})
	})
}
