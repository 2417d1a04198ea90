package urgency_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agategap/agategap/internal/serve/urgency"
)

var arrived = time.Date(2026, 12, 5, 10, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return arrived.Add(time.Duration(ms) * time.Millisecond) }

// Guards against requests that wait although their response cannot be on time, and against late requests that are served
// before those that can still be on time.
func TestOnlineUrgency(t *testing.T) {
	Convey("A request with an objective of 300 ms", t, func() {
		o := urgency.NewOnline(arrived, at(5000), 300*time.Millisecond)

		Convey("is due then, and waits while its first event can be on time", func() {
			u := o.At(at(25))
			So(u.Due(), ShouldEqual, at(300))
			So(u.MaxWait(), ShouldEqual, 200*time.Millisecond)
			So(u.ShouldFailFast(), ShouldBeTrue)
			So(u.AdmissibleWait(), ShouldEqual, 134*time.Millisecond)
			So(u.IsLate(), ShouldBeFalse)
		})

		Convey("may wait longer after a failed attempt", func() {
			u := o.AsOffered().At(at(290))
			So(u.MaxWait(), ShouldEqual, 100*time.Millisecond)
			So(u.ShouldFailFast(), ShouldBeFalse)
			So(u.AdmissibleWait(), ShouldEqual, 0)
		})

		Convey("goes before new ones if its caller was refused before, with the same bound on its wait", func() {
			u := o.WithWaited(700 * time.Millisecond).At(at(25))
			So(u.Due(), ShouldEqual, at(-400))
			So(u.MaxWait(), ShouldEqual, 200*time.Millisecond)
			So(u.IsLate(), ShouldBeFalse)
		})

		Convey("is late if its caller has waited for longer than a refusal takes", func() {
			u := o.WithWaited(1800 * time.Millisecond).At(at(0))
			So(u.IsLate(), ShouldBeTrue)
			So(u.MaxWait(), ShouldEqual, 1500*time.Millisecond)
			So(u.ShouldFailFast(), ShouldBeTrue)
			So(u.AdmissibleWait(), ShouldEqual, u.MaxWait())
		})

		Convey("is late if its caller had waited when the daemon had just started, as that daemon refused nobody before", func() {
			u := o.WithWaited(700 * time.Millisecond)
			So(u.WithDaemonAge(time.Second).At(at(0)).IsLate(), ShouldBeTrue)
			So(u.WithDaemonAge(3*time.Second).At(at(0)).IsLate(), ShouldBeFalse)
		})

		Convey("does not wait beyond its deadline when it is late", func() {
			So(o.WithWaited(1800*time.Millisecond).At(at(4000)).MaxWait(), ShouldEqual, 700*time.Millisecond)
		})
	})

	Convey("A stream that broke off is due at once, also if its caller has waited", t, func() {
		u := urgency.NewOnline(arrived, at(5000), 300*time.Millisecond).WithWaited(2 * time.Second).AsOffered().AsEmitted().At(at(900))
		So(u.Due(), ShouldEqual, at(900))
		So(u.IsLate(), ShouldBeFalse)
	})
}

// Guards against refused callers that return all at once or while the overload still lasts, and against a time that is
// too long for them to return at all.
func TestRetryAfter(t *testing.T) {
	Convey("A refused caller returns within a third of the time that it has left", t, func() {
		So(urgency.RetryAfter(time.Minute, 0), ShouldEqual, urgency.MaxRetryAfter)
		So(urgency.RetryAfter(time.Minute, 1), ShouldEqual, 1200*time.Millisecond)
		So(urgency.RetryAfter(3*time.Second, 0), ShouldEqual, 960*time.Millisecond)
		So(urgency.RetryAfter(-time.Second, 0), ShouldEqual, 0)
	})
}

func ExampleOnline_At() {
	o := urgency.NewOnline(arrived, arrived.Add(5*time.Second), 400*time.Millisecond)
	u := o.At(arrived.Add(100 * time.Millisecond))
	fmt.Println(u.MaxWait(), u.IsLate())
	// Output: 200ms false
}
