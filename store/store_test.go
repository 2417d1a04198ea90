package store_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"

	"github.com/agategap/agategap/appender"
	"github.com/agategap/agategap/journal"
	"github.com/agategap/agategap/outcome"
	"github.com/agategap/agategap/store"
	"github.com/agategap/agategap/wire"
)

const retention = time.Hour

// startStore returns a running store and the function that stops it and waits for it.
func startStore(l *memLog, writer string, limits appender.Limits) (*store.Store, func()) {
	o := store.NewOptions(writer, 2, limits, time.Now).WithSnapshots(wire.PartCodec{}, retention).WithIdleTimeout(0)
	s := store.New(l, wire.GroupCodec{}, o)

	return s, func() {
		s.Stop()
		_ = s.Wait()
	}
}

func newAcceptRecord(key string) journal.Record {
	return journal.Record{Accept: &journal.AcceptRecord{Account: "a", Key: key, Digest: "d", Idempotent: true, Body: make([]byte, 100), RetainMS: 1000}}
}

func withTimeout(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), d)
}

func submitWithin(s *store.Store, d time.Duration, r ...journal.Record) error {
	c, stop := withTimeout(d)
	defer stop()

	return s.Submit(c, 0, r...)
}

// Guards against an outcome that says more than is known, or less.
func TestSubmitReportsTheEffectThatIsKnown(t *testing.T) {
	defer goleak.VerifyNone(t)

	Convey("Given a store", t, func() {
		l := newLog()
		s, stop := startStore(l, "w", appender.NewLimits(0, 0, time.Millisecond))
		Reset(stop)
		So(submitWithin(s, time.Second, newAcceptRecord("first")), ShouldBeNil)

		Convey("records that the log refused every time are withdrawn as not run, and never appear", func() {
			l.setFault(func(string, int) fault { return refuse })
			err := submitWithin(s, 200*time.Millisecond, newAcceptRecord("k"))
			So(outcome.From(err).Effect(), ShouldEqual, outcome.NotRun)

			l.setFault(func(string, int) fault { return noFault })
			So(submitWithin(s, time.Second, newAcceptRecord("next")), ShouldBeNil)

			_, ok := s.Replica(0).Lookup(journal.NewKey("a", "k"))
			So(ok, ShouldBeFalse)
		})
		Convey("records whose append was lost are unknown, and one copy takes effect", func() {
			l.setFault(func(_ string, n int) fault {
				if n < 4 {
					return loseRequest
				}

				return noFault
			})
			err := submitWithin(s, 30*time.Millisecond, newAcceptRecord("k"))
			So(outcome.From(err).Effect(), ShouldEqual, outcome.Unknown)

			c, stop := withTimeout(5 * time.Second)
			defer stop()
			So(s.Flush(c), ShouldBeNil)

			_, ok := s.Replica(0).Lookup(journal.NewKey("a", "k"))
			So(ok, ShouldBeTrue)
		})
		Convey("a lost response of an append that took effect is resolved by replay", func() {
			l.setFault(func(string, int) fault { return loseResponse })
			So(submitWithin(s, 5*time.Second, newAcceptRecord("k")), ShouldBeNil)
		})
		Convey("records that were given up after a lost append end as not run once a later number is confirmed", func() {
			l.setFault(func(_ string, n int) fault {
				if n == 1 {
					return loseRequest
				}

				return noFault
			})
			c, stop := withTimeout(20 * time.Millisecond)
			defer stop()
			err := s.SubmitOrWithdraw(c, 5*time.Second, 0, newAcceptRecord("k"))
			So(outcome.From(err).Effect(), ShouldEqual, outcome.NotRun)

			_, ok := s.Replica(0).Lookup(journal.NewKey("a", "k"))
			So(ok, ShouldBeFalse)
		})
	})
}

// Guards against a queue that grows without bound while the log is down, and against completions that compete with
// new work for the room.
func TestQueueIsBoundedDuringAnOutage(t *testing.T) {
	defer goleak.VerifyNone(t)

	Convey("With a log that refuses appends", t, func() {
		l := newLog()
		l.setFault(func(string, int) fault { return refuse })
		s, stop := startStore(l, "w", appender.NewLimits(0, 0, time.Millisecond).WithMaxQueueBytes(1000))
		Reset(stop)

		n := 0
		for s.TryEnqueue(0, newAcceptRecord(fmt.Sprint(n))) && n < 100 {
			n++
		}

		So(n, ShouldBeBetween, 1, 10)
		So(s.DroppedCount(), ShouldEqual, 1)
		So(outcome.Is(submitWithin(s, time.Second, newAcceptRecord("more")), outcome.Overloaded), ShouldBeTrue)

		Convey("the queued records are appended when the log is back", func() {
			l.setFault(func(string, int) fault { return noFault })

			c, stop := withTimeout(10 * time.Second)
			defer stop()
			So(s.Flush(c), ShouldBeNil)

			_, ok := s.Replica(0).Lookup(journal.NewKey("a", fmt.Sprint(n-1)))
			So(ok, ShouldBeTrue)
		})
	})
}

// Guards against a reader that stays behind for good after retention dropped what it had not read.
func TestReaderRestoresASnapshotAfterTruncation(t *testing.T) {
	defer goleak.VerifyNone(t)

	Convey("Given a journal that was carried into a snapshot and then dropped", t, func() {
		l := newLog()
		s, stop := startStore(l, "w1", appender.NewLimits(0, 0, time.Millisecond))
		So(submitWithin(s, time.Second, newAcceptRecord("kept")), ShouldBeNil)
		stop()

		b := encodeSnapshot(s)
		l.appendEntry("snapshot/0", b[0]) // left behind by a writer that was lost
		l.advance(2 * retention)

		for _, v := range b {
			l.appendEntry("snapshot/0", v)
		}

		l.truncateBefore(l.clock().Add(-retention))

		Convey("a new store has the work and goes on behind it", func() {
			n, stop := startStore(l, "w2", appender.NewLimits(0, 0, time.Millisecond))
			Reset(stop)
			So(submitWithin(n, 5*time.Second, newAcceptRecord("later")), ShouldBeNil)

			for _, k := range []string{"kept", "later"} {
				_, ok := n.Replica(0).Lookup(journal.NewKey("a", k))
				So(ok, ShouldBeTrue)
			}
		})
	})
}

// Guards against a store that keeps the memory and the readers of every partition that it ever used, and against a
// close that loses queued records.
func TestCloseStopsFollowing(t *testing.T) {
	defer goleak.VerifyNone(t)

	Convey("Given a store with two partitions", t, func() {
		l := newLog()
		s, stop := startStore(l, "w", appender.NewLimits(0, 0, time.Millisecond))
		Reset(stop)
		So(submitWithin(s, time.Second, newAcceptRecord("k")), ShouldBeNil)
		s.Open(1)
		So(s.FollowedPartitions(), ShouldResemble, []int{0, 1})

		Convey("a closed partition is empty and comes back at the next use", func() {
			So(s.Close(0), ShouldBeTrue)
			So(s.FollowedPartitions(), ShouldResemble, []int{1})

			c, stop := withTimeout(time.Second)
			defer stop()
			So(s.Sync(c, 0), ShouldBeNil)

			_, ok := s.Replica(0).Lookup(journal.NewKey("a", "k"))
			So(ok, ShouldBeTrue)
			So(submitWithin(s, time.Second, newAcceptRecord("k2")), ShouldBeNil)
		})
		Convey("a partition that was used lately stays open", func() {
			l := newLog()
			s := store.New(l, wire.GroupCodec{}, store.NewOptions("w", 2, appender.Limits{}, time.Now))
			Reset(func() {
				s.Stop()
				_ = s.Wait()
			})
			So(submitWithin(s, time.Second, newAcceptRecord("k")), ShouldBeNil)
			So(s.Close(0), ShouldBeFalse)
		})
		Convey("a partition with queued records stays open", func() {
			l.setFault(func(string, int) fault { return refuse })
			s.Enqueue(0, newAcceptRecord("queued"))
			So(s.Close(0), ShouldBeFalse)
		})
	})
}

// Guards against a partition whose records the log drops before anybody carried them into a snapshot, and against
// every follower writing one.
func TestWriterSnapshotsRecordsBeforeTheyAreTruncated(t *testing.T) {
	defer goleak.VerifyNone(t)

	Convey("Given the writer and a second follower of a partition", t, func() {
		const short = time.Second

		l := newLog()
		run := func(writer string, writes bool) (*store.Store, func()) {
			o := store.NewOptions(writer, 2, appender.Limits{}, l.clock).WithSnapshots(wire.PartCodec{}, short)
			s := store.New(l, wire.GroupCodec{}, o.WithSnapshotWriter(func(int) bool { return writes }))

			return s, func() {
				s.Stop()
				_ = s.Wait()
			}
		}

		w, stopWriter := run("writer", true)
		f, stopFollower := run("follower", false)

		f.Open(0)
		So(submitWithin(w, time.Second, newAcceptRecord("k")), ShouldBeNil)

		for n := int64(1); n <= 3; n++ { // the partition is idle after the first snapshot
			l.advance(short / 2)

			end := time.Now().Add(5 * time.Second)
			for w.SnapshotCount() < n && time.Now().Before(end) {
				time.Sleep(time.Millisecond)
			}

			So(w.SnapshotCount(), ShouldEqual, n)
			l.truncateBefore(l.clock().Add(-short))
		}

		So(f.SnapshotCount(), ShouldEqual, 0)
		stopWriter()
		stopFollower()

		Convey("a store that starts when the record was dropped has the work", func() {
			n, stop := run("new", false)
			Reset(stop)

			c, end := withTimeout(5 * time.Second)
			defer end()
			So(n.Sync(c, 0), ShouldBeNil)

			_, ok := n.Replica(0).Lookup(journal.NewKey("a", "k"))
			So(ok, ShouldBeTrue)
		})
	})
}
