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

// Guards against an append rate above the share of the partition, and against a delay while that rate is not used up.
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

// Guards against a submission that the log never accepts and that blocks all submissions after it.
func TestRejectedSubmissionDoesNotBlockTheQueue(t *testing.T) {
	Convey("Given a group with a submission that is too large", t, func() {
		q := appender.New("vm", appender.Limits{})
		tooLarge := q.Add(1, newRecord(), newRecord(), newRecord())
		small := q.Add(1, newRecord())

		_, ok, _ := q.Next(now, 0, false)
		So(ok, ShouldBeTrue)
		So(q.HandleRejected(now), ShouldBeEmpty)

		later := now.Add(time.Minute)
		g, _, _ := q.Next(later, 0, false)
		So(g.Records, ShouldHaveLength, 3)

		r := q.HandleRejected(later)
		So(r, ShouldHaveLength, 1)
		So(r[0].Ticket(), ShouldEqual, tooLarge)
		So(r[0].State(), ShouldEqual, appender.Rejected)

		g, _, _ = q.Next(later.Add(time.Minute), 0, false)
		So(g.Number, ShouldEqual, 1)

		r = q.HandleReplayed(1, 7, 1)
		So(r, ShouldHaveLength, 1)
		So(r[0].Ticket(), ShouldEqual, small)
		So(r[0].Offset(), ShouldEqual, 7)
		So(q.PendingCount(), ShouldEqual, 0)
		So(q.PendingBytes(), ShouldEqual, 0)
	})
}

// Guards against the loss of a group that the log confirmed and that readers ignored, because they had evicted its
// writer.
func TestIgnoredGroupIsQueuedAgain(t *testing.T) {
	Convey("A confirmed group that the replay ignored is sent again under the next number", t, func() {
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

// Guards against a confirmation without proof after a restore: if the snapshot does not know the writer, the lost group
// may or may not have been applied before it.
func TestRestoreEndsLostGroupByTheNumberInTheSnapshot(t *testing.T) {
	Convey("Given a group whose append was lost", t, func() {
		q := appender.New("vm", appender.Limits{})
		q.Add(1, newRecord())
		q.Next(now, 0, false)
		q.HandleLost(now)

		Convey("a snapshot with its number confirms it", func() {
			So(q.HandleRestored(20, 1)[0].State(), ShouldEqual, appender.Confirmed)
		})
		Convey("a snapshot that does not know the writer leaves its state unknown", func() {
			So(q.HandleRestored(20, 0)[0].State(), ShouldEqual, appender.Unknown)
		})
	})
}

// Guards against an abandoned group that never ends if the replay continues from a snapshot after it.
func TestAbandonedLostGroupEnds(t *testing.T) {
	Convey("Given a group whose append was lost and that was abandoned", t, func() {
		q := appender.New("vm", appender.Limits{})
		t := q.Add(1, newRecord())
		q.Next(now, 0, false)
		q.HandleLost(now)
		So(q.Abandon(t), ShouldEqual, appender.Sent)

		Convey("a snapshot with its number confirms it", func() {
			So(q.HandleRestored(20, 1)[0].State(), ShouldEqual, appender.Confirmed)
		})
		Convey("a snapshot with a later number leaves its state unknown", func() {
			So(q.HandleRestored(20, 2)[0].State(), ShouldEqual, appender.Unknown)
		})
		Convey("other submissions of the group are queued again, ahead of later ones", func() {
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
			So(ok, ShouldBeFalse) // no later group is sent before the abandoned one has ended
			q.HandleReplayed(2, 9, 2)

			g, _, _ := q.Next(at, 9, true)
			So(g.Number, ShouldEqual, 3)
			So(g.Records, ShouldHaveLength, 3)
			So(q.HandleReplayed(3, 10, 3)[0].Ticket(), ShouldEqual, other)
		})
		Convey("without a snapshot the replay of a later number withdraws it", func() {
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

	// The response to the append is lost, so the records cannot be withdrawn and the group is sent again.
	g, _, _ := q.Next(now, 0, false)
	q.HandleLost(now)
	fmt.Println(g.Number, q.Withdraw(t) == appender.Sent)

	g, _, _ = q.Next(now.Add(time.Second), 0, false)
	q.HandleConfirmed(18)

	// The replay reaches the first copy of the group, and the ticket ends with its offset.
	r := q.HandleReplayed(g.Number, 17, g.Number)
	fmt.Println(g.Number, r[0].State() == appender.Confirmed, r[0].Offset())
	// Output:
	// 1 true
	// 1 true 17
}
