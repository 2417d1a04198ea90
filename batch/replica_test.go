package batch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agategap/agategap/batch"
	"github.com/agategap/agategap/stream"
)

// testLog is a log in memory with one replica that has applied all its records.
type testLog struct {
	replica batch.Replica
	records []stream.KeyedRecord
}

// appendRecords appends and applies records and returns their number.
func (l *testLog) appendRecords(k []stream.KeyedRecord, err error) int {
	So(err, ShouldBeNil)

	for _, v := range k {
		v = v.WithOffset(int64(len(l.records)))
		l.records = append(l.records, v)
		l.replica.Apply(v)
	}

	return len(k)
}

// reload returns a replica loaded from the newest record of each key, in random order.
func (l *testLog) reload() *batch.Replica {
	m := map[string]stream.KeyedRecord{}
	for _, k := range l.records {
		m[k.Key()] = k
	}

	var n []stream.KeyedRecord

	for _, k := range m {
		if len(k.Value()) > 0 {
			n = append(n, k)
		}
	}

	r := &batch.Replica{}
	r.Reset(n, int64(len(l.records)))

	return r
}

// newTestLog returns a log with job j, whose items are i0, i1 and so on.
func newTestLog(items int) *testLog {
	l := &testLog{}

	var s []batch.Item
	for i := range items {
		s = append(s, batch.NewItem(fmt.Sprint("i", i), "/x/", nil, []byte("b"), 1))
	}

	r, err := batch.NewSubmission("j", "h", "/x/", s).WithTimes(time.Unix(1000, 0), time.Minute, time.Hour).Encode(64 << 10)
	l.appendRecords(append(r.Chunks(), r.Job()), err)

	return l
}

// saveProgress saves events of item i0 and returns the number of records appended.
func (l *testLog) saveProgress(text string, afterEvent, lastEvent int, runID, parentRunID uint64) int {
	return l.appendRecords(
		l.replica.EncodeProgress("j", "i0", batch.NewEvents(text, afterEvent, lastEvent, runID, parentRunID)))
}

// formatProgress returns the text, last event and run ID of item i0.
func formatProgress(r *batch.Replica) string {
	v, _ := r.Job("j")
	p := v.Progress("i0")

	return fmt.Sprint(string(p.Text()), " ", p.LastEvent(), " ", p.RunID())
}

// Guards against joining the events of two runs of which neither continues the other. Found by the bench (ORDER): a
// daemon that had been cut off saved events after those of the daemon that had taken over the job.
func TestProgressContinuesOneRun(t *testing.T) {
	Convey("Given saved progress of run 1 up to event 10", t, func() {
		l := newTestLog(2)
		So(l.saveProgress("a", 0, 10, 1, 0), ShouldEqual, 1)

		Convey("the same run continues it, and so does another run whose parent it is", func() {
			So(l.saveProgress("b", 10, 20, 1, 1), ShouldEqual, 1)
			So(l.saveProgress("c", 20, 30, 2, 1), ShouldEqual, 1)
			So(formatProgress(&l.replica), ShouldEqual, "abc 30 2")
			So(formatProgress(l.reload()), ShouldEqual, "abc 30 2")

			Convey("after which the first run no longer can", func() {
				So(l.saveProgress("x", 30, 40, 1, 1), ShouldEqual, 0)
				So(l.saveProgress("x", 20, 40, 1, 1), ShouldEqual, 0)
			})
		})

		Convey("a run that started over does not continue it", func() {
			So(l.saveProgress("x", 10, 20, 3, 0), ShouldEqual, 0)
			So(l.saveProgress("x", 0, 20, 3, 0), ShouldEqual, 0)
		})

		Convey("nothing is saved once the item has a result or the job has ended", func() {
			l.appendRecords(batch.NewResultEncoder(&l.replica, 64<<10).Encode("j", batch.NewResult("i0", "whole", true)))
			So(l.saveProgress("b", 10, 20, 1, 1), ShouldEqual, 0)
			l.appendRecords(l.replica.EncodeEnd("j"))
			So(l.appendRecords(l.replica.EncodeProgress("j", "i1", batch.NewEvents("b", 0, 20, 1, 0))), ShouldEqual, 0)
		})
	})
}

// Guards against records of an expired job that stay in the log forever.
func TestExpiryDropsAllRecords(t *testing.T) {
	Convey("All records of a finished job are dropped after the retention time", t, func() {
		l := newTestLog(2)
		l.saveProgress("a", 0, 10, 1, 0)
		l.appendRecords(l.replica.EncodeFailure("j", "i1", 1))
		l.appendRecords(batch.NewResultEncoder(&l.replica, 64<<10).Encode("j", batch.NewResult("i0", "whole", true)))
		l.appendRecords(l.replica.EncodeEnd("j"))

		So(l.replica.EncodeExpiry(time.Unix(1010, 0), time.Minute), ShouldBeEmpty)

		dropped := map[string]bool{}
		for _, k := range slices.Concat(l.replica.EncodeExpiry(time.Unix(1100, 0), time.Minute)...) {
			So(k.Value(), ShouldBeEmpty)
			dropped[k.Key()] = true
		}

		newest := map[string]stream.KeyedRecord{}
		for _, k := range l.records {
			newest[k.Key()] = k
		}

		for _, k := range newest {
			So(len(k.Value()) == 0 || dropped[k.Key()], ShouldBeTrue)
		}

		l.appendRecords(slices.Concat(l.replica.EncodeExpiry(time.Unix(1100, 0), time.Minute)...), nil)
		So(l.replica.HasJob("j"), ShouldBeFalse)
	})
}

// storedBytes returns the size of the newest record of each key.
func (l *testLog) storedBytes() int {
	m := map[string]int{}
	for _, k := range l.records {
		m[k.Key()] = len(k.Value())
	}

	n := 0
	for _, v := range m {
		n += v
	}

	return n
}

// Guards against a log that keeps bodies and progress that are no longer needed, so that daemons cannot load it within
// seconds after all of them have lost power. Found by the bench (LOST on faellesvagt-grown).
func TestFinishedJobsDropBodies(t *testing.T) {
	newLargeJob := func() *testLog {
		l := &testLog{}

		var s []batch.Item
		for i := range 4 {
			s = append(s, batch.NewItem(fmt.Sprint("i", i), "/x/", map[string][]string{"Model": {"m"}}, make([]byte, 50_000), 1))
		}

		r, err := batch.NewSubmission("j", "h", "/x/", s).WithTimes(time.Unix(1000, 0), time.Minute, time.Hour).Encode(64 << 10)
		l.appendRecords(append(r.Chunks(), r.Job()), err)
		So(l.saveProgress(string(make([]byte, 1000)), 0, 10, 1, 0), ShouldEqual, 1)

		return l
	}

	Convey("The last result of a job drops its bodies and progress, and a reloaded replica has its results", t, func() {
		l := newLargeJob()
		So(l.storedBytes(), ShouldBeGreaterThan, 200_000)

		for i := range 4 {
			l.appendRecords(batch.NewResultEncoder(&l.replica, 64<<10).Encode("j", batch.NewResult(fmt.Sprint("i", i), "text", true)))

			if i == 2 {
				body, _, ok := l.reload().Body("j", "i3")
				So(ok, ShouldBeTrue)
				So(body, ShouldHaveLength, 50_000)
			}
		}

		So(l.storedBytes(), ShouldBeLessThan, 2_000)

		r := l.reload()
		So(r.UnreadableRecords(), ShouldEqual, 0)

		v, w, ok := r.Results("j", 0, 1<<20)
		So(ok, ShouldBeTrue)
		So(v, ShouldHaveLength, 4)
		So(w.ItemCount(), ShouldEqual, 4)
		So(w.IsFinished(), ShouldBeTrue)
	})

	Convey("The end of a job drops its bodies and progress, and a reloaded replica has its results", t, func() {
		l := newLargeJob()
		l.appendRecords(batch.NewResultEncoder(&l.replica, 64<<10).Encode("j", batch.NewResult("i2", "text", true)))
		l.appendRecords(l.replica.EncodeEnd("j"))
		So(l.storedBytes(), ShouldBeLessThan, 2_000)

		v, w, ok := l.reload().Results("j", 0, 1<<20)
		So(ok, ShouldBeTrue)
		So(v, ShouldHaveLength, 1)
		So(w.ItemCount(), ShouldEqual, 4)
		So(w.IsEnded(), ShouldBeTrue)
	})
}

func BenchmarkReplay(b *testing.B) {
	s := batch.NewSubmission("j", "h", "/x/", []batch.Item{batch.NewItem("i0", "/x/", nil, make([]byte, 15<<10), 1)}).
		WithTimes(time.Unix(1000, 0), time.Minute, time.Hour)

	r, err := s.Encode(256 << 10)
	if err != nil {
		b.Fatal(err)
	}

	var base batch.Replica

	for _, k := range append(r.Chunks(), r.Job()) {
		base.Apply(k)
	}

	k, err := batch.NewResultEncoder(&base, 256<<10).Encode("j", batch.NewResult("i0", string(make([]byte, 13<<10)), true))
	if err != nil {
		b.Fatal(err)
	}

	b.ReportAllocs()

	for b.Loop() {
		base.Apply(k[0])
	}
}
