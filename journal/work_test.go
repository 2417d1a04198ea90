package journal_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agategap/agategap/journal"
)

// Guards against accepted work that nobody runs, against work that is taken from a holder in time, and against a second
// dispatch of work that may not run twice.
func TestNextStepOfAcceptedWork(t *testing.T) {
	Convey("Given accepted work with a deadline in a minute", t, func() {
		now := time.UnixMilli(1_000_000)
		deadline := now.Add(time.Minute)
		work := func(idempotent, async, body, claimed, ended bool) journal.Work {
			a := journal.AcceptRecord{Account: "a", Key: "k", Idempotent: idempotent, Async: async, DeadlineMS: deadline.UnixMilli()}
			if body {
				a.Body = []byte("{}")
			}

			var c journal.ClaimRecord
			if claimed {
				c.ID = "claim"
			}

			return journal.NewWork(a, c, now, journal.CompleteRecord{}, ended)
		}
		step := func(w journal.Work, gone bool, after time.Duration) journal.WorkStep {
			return w.NextStep(now.Add(after), gone, 30*time.Second, 10*time.Second)
		}

		Convey("asynchronous work without a claim is run", func() {
			So(step(work(false, true, true, false, false), false, 0), ShouldEqual, journal.Run)
		})
		Convey("a request whose claim lost is left to its caller", func() {
			So(step(work(true, false, true, false, false), false, time.Hour), ShouldEqual, journal.NoStep)
		})
		Convey("claimed work is left alone until its holder is gone or out of time", func() {
			w := work(true, false, true, true, false)
			So(step(w, false, 69*time.Second), ShouldEqual, journal.NoStep)
			So(step(w, false, 70*time.Second), ShouldEqual, journal.Rerun)
			So(step(w, true, 0), ShouldEqual, journal.Rerun)
		})
		Convey("work that was claimed late gets its service's time", func() {
			late := journal.NewWork(journal.AcceptRecord{Idempotent: true, Async: true, DeadlineMS: 1}, journal.ClaimRecord{ID: "claim"}, now, journal.CompleteRecord{}, false)
			So(step(late, false, 39*time.Second), ShouldEqual, journal.NoStep)
			So(step(late, false, 40*time.Second), ShouldEqual, journal.Rerun)
		})
		Convey("work that may not run twice, or whose body is not known, is resolved", func() {
			So(step(work(false, true, true, true, false), true, 0), ShouldEqual, journal.Resolve)
			So(step(work(true, false, false, true, false), true, 0), ShouldEqual, journal.Resolve)
		})
		Convey("ended work is left alone", func() {
			So(step(work(true, true, true, true, true), true, time.Hour), ShouldEqual, journal.NoStep)
		})
	})
}
