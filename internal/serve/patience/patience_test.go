package patience_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agategap/agategap/internal/serve/patience"
)

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// Guards against repeated requests that are taken for new ones, so that they delay requests that can still be on time,
// and against new requests that are taken for repeated ones.
func TestWaitedTime(t *testing.T) {
	Convey("On a route whose callers have 5 s", t, func() {
		var e patience.Estimator

		for range 4 {
			So(e.Waited("r", ms(5000)), ShouldEqual, 0)
		}

		Convey("a request with 3.5 s left has waited for 1.5 s", func() {
			So(e.Waited("r", ms(3500)), ShouldEqual, ms(1500))
		})

		Convey("the set-up of a connection does not count", func() {
			So(e.Waited("r", ms(4985)), ShouldEqual, 0)
		})

		Convey("a caller with much less or more time, or without a bound, has not waited", func() {
			So(e.Waited("r", ms(1000)), ShouldEqual, 0)
			So(e.Waited("r", ms(9000)), ShouldEqual, 0)
			So(e.Waited("r", 0), ShouldEqual, 0)
		})

		Convey("other routes have their own callers", func() {
			So(e.Waited("other", ms(3500)), ShouldEqual, 0)
		})

		Convey("a new usual time replaces the old one", func() {
			for range 40 {
				e.Waited("r", ms(3000))
			}

			So(e.Waited("r", ms(3000)), ShouldEqual, 0)
		})
	})

	Convey("After a restart, the first new request shows that the others are repeated", t, func() {
		var e patience.Estimator

		e.Waited("r", ms(3541))
		e.Waited("r", ms(4367))
		e.Waited("r", ms(5000))
		So(e.Waited("r", ms(3992)), ShouldBeBetween, ms(950), ms(1050))
	})
}

func ExampleEstimator_Waited() {
	var e patience.Estimator

	e.Waited("signs", 5*time.Second)
	e.Waited("signs", 5*time.Second)
	fmt.Println(e.Waited("signs", 3*time.Second))
	// Output: 2s
}
