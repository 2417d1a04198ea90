package appender_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agategap/agategap/appender"
	"github.com/agategap/agategap/journal"
)

var now = time.UnixMilli(0)

func newRecord() journal.Record { return journal.Record{Release: &journal.ReleaseRecord{}} }

// Guards against an append rate above the partition's share, and against a delay while the rate is not used up.
func TestGroupsGrowAtTheRateLimit(t *testing.T) {
	Convey("Given a queue with 10 appends a second and a burst of 2", t, func() {
		q := appender.New("vm", appender.NewLimits(0, 0, 100*time.Millisecond).WithBurst(2))

		for n := range 2 {
			q.Add(1, newRecord())

			g, ok, _ := q.Next(now, 0, n > 0)
			So(ok, ShouldBeTrue)
			So(g.Records, ShouldHaveLength, 1)
			q.HandleConfirmed(int64(n + 1))
			q.HandleReplayed(g.Number, int64(n+1), g.Number)
		}

		q.Add(1, newRecord())

		_, ok, at := q.Next(now, 0, true)
		So(ok, ShouldBeFalse)
		So(at.Sub(now), ShouldEqual, 100*time.Millisecond)

		q.Add(1, newRecord())

		g, ok, _ := q.Next(at, 0, true)
		So(ok, ShouldBeTrue)
		So(g.Records, ShouldHaveLength, 2)
	})
}

// Guards against one record that the log never takes and that blocks everything behind it.
func TestRejectedSubmissionDoesNotBlockTheQueue(t *testing.T) {
	Convey("Given a group with a record that is too large", t, func() {
		q := appender.New("vm", appender.Limits{})
		bad := q.Add(1, newRecord(), newRecord(), newRecord())
		good := q.Add(1, newRecord())

		_, ok, _ := q.Next(now, 0, false)
		So(ok, ShouldBeTrue)
		So(q.HandleRejected(now), ShouldBeEmpty)

		later := now.Add(time.Minute)
		g, _, _ := q.Next(later, 0, false)
		So(g.Records, ShouldHaveLength, 3)

		r := q.HandleRejected(later)
		So(r, ShouldHaveLength, 1)
		So(r[0].Ticket(), ShouldEqual, bad)
		So(r[0].State(), ShouldEqual, appender.Rejected)

		g, _, _ = q.Next(later.Add(time.Minute), 0, false)
		So(g.Number, ShouldEqual, 1)

		r = q.HandleReplayed(1, 7, 1)
		So(r, ShouldHaveLength, 1)
		So(r[0].Ticket(), ShouldEqual, good)
		So(r[0].Offset(), ShouldEqual, 7)
		So(q.PendingCount(), ShouldEqual, 0)
		So(q.PendingBytes(), ShouldEqual, 0)
	})
}

// Guards against records of a writer that readers have forgotten: they are ignored although the log confirmed them.
func TestIgnoredGroupIsQueuedAgain(t *testing.T) {
	Convey("Given a confirmed group that replay ignored", t, func() {
		q := appender.New("vm", appender.Limits{})
		t := q.Add(1, newRecord())
		q.Next(now, 3, false)
		q.HandleConfirmed(9)
		So(q.HandleReplayed(1, 9, 0), ShouldBeEmpty)

		g, ok, _ := q.Next(now, 9, false)
		So(ok, ShouldBeTrue)
		So(g.Number, ShouldEqual, 2)
		So(g.Base, ShouldEqual, 9)

		r := q.HandleReplayed(2, 10, 2)
		So(r[0].Ticket(), ShouldEqual, t)
	})
}

// Guards against a reader that restarts from a snapshot and reports a group as confirmed that it did not see.
func TestRestoreEndsLostGroupByTheNumberInTheSnapshot(t *testing.T) {
	Convey("Given a lost group", t, func() {
		q := appender.New("vm", appender.Limits{})
		q.Add(1, newRecord())
		q.Next(now, 0, false)
		q.HandleLost(now)

		Convey("a snapshot with its number confirms it", func() {
			So(q.HandleRestored(20, 1)[0].State(), ShouldEqual, appender.Confirmed)
		})
		Convey("a snapshot without the writer leaves it unknown", func() {
			So(q.HandleRestored(20, 0)[0].State(), ShouldEqual, appender.Unknown)
		})
	})
}

// Guards against a group that was given up and waits for good, when the replay goes on from a snapshot behind it.
func TestAbandonedLostGroupEnds(t *testing.T) {
	Convey("Given a lost group that was given up", t, func() {
		q := appender.New("vm", appender.Limits{})
		t := q.Add(1, newRecord())
		q.Next(now, 0, false)
		q.HandleLost(now)
		So(q.Abandon(t), ShouldEqual, appender.Sent)

		Convey("a snapshot with its number confirms it", func() {
			So(q.HandleRestored(20, 1)[0].State(), ShouldEqual, appender.Confirmed)
		})
		Convey("a snapshot with a later number leaves it unknown", func() {
			So(q.HandleRestored(20, 2)[0].State(), ShouldEqual, appender.Unknown)
		})
		Convey("records of others in that group are queued again, before later ones", func() {
			q := appender.New("vm", appender.Limits{})
			t := q.Add(1, newRecord())
			other := q.Add(1, newRecord(), newRecord())
			q.Next(now, 0, false)
			q.HandleLost(now)
			q.Abandon(t)
			q.Add(1, newRecord())

			at := now.Add(time.Minute)
			q.Next(at, 0, false)
			q.HandleConfirmed(9)

			_, ok, _ := q.Next(at, 0, true)
			So(ok, ShouldBeFalse) // nothing passes the group that is not settled
			q.HandleReplayed(2, 9, 2)

			g, _, _ := q.Next(at, 9, true)
			So(g.Number, ShouldEqual, 3)
			So(g.Records, ShouldHaveLength, 3)
			So(q.HandleReplayed(3, 10, 3)[0].Ticket(), ShouldEqual, other)
		})
		Convey("without a snapshot a later number settles it", func() {
			g, ok, _ := q.Next(now.Add(time.Minute), 0, false)
			So(ok, ShouldBeTrue)
			So(g.Number, ShouldEqual, 2)
			So(g.Records, ShouldBeEmpty)
			q.HandleConfirmed(9)
			So(q.HandleReplayed(2, 9, 2)[0].State(), ShouldEqual, appender.Withdrawn)
			So(q.PendingCount(), ShouldEqual, 0)
		})
	})
}

func ExampleQueue() {
	q := appender.New("vm-1/4f0a", appender.Limits{})
	t := q.Add(100, newRecord())

	// The response to the append is lost, so the records cannot be taken back, and the group is sent again.
	g, _, _ := q.Next(now, 0, false)
	q.HandleLost(now)
	fmt.Println(g.Number, q.Withdraw(t) == appender.Sent)

	g, _, _ = q.Next(now.Add(time.Second), 0, false)
	q.HandleConfirmed(18)

	// Replay finds the first copy; the ticket ends with its offset.
	r := q.HandleReplayed(g.Number, 17, g.Number)
	fmt.Println(g.Number, r[0].State() == appender.Confirmed, r[0].Offset())
	// Output:
	// 1 true
	// 1 true 17
}
