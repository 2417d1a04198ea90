package journal_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agategap/agategap/job"
	"github.com/agategap/agategap/journal"
)

var startTime = time.UnixMilli(1_700_000_000_000)

// groupWriter applies groups of one writer to a partition.
type groupWriter struct {
	partition      *journal.Partition
	number uint64
	now    time.Time
}

func (w *groupWriter) apply(r ...journal.Record) []journal.Change {
	w.number++

	return w.partition.Apply(journal.NewEntry(w.partition.Offset()+1, w.now, journal.Group{Writer: "vm", Number: w.number, Base: w.partition.Offset(), Records: r}))
}

func acceptRecord(async bool) journal.Record {
	return journal.Record{Accept: &journal.AcceptRecord{Account: "a", Key: "k", Idempotent: true, Async: async, Body: []byte("x"), RetainMS: 60_000}}
}

func claimRecord(id, replaces string) journal.Record {
	return journal.Record{Claim: &journal.ClaimRecord{Account: "a", Key: "k", ID: id, Replaces: replaces}}
}

func releaseRecord(id string) journal.Record {
	return journal.Record{Release: &journal.ReleaseRecord{Account: "a", Key: "k", Claim: id}}
}

func completeRecord(id string) journal.Record {
	return journal.Record{Complete: &journal.CompleteRecord{Account: "a", Key: "k", Claim: id, Effect: journal.Done, Text: id}}
}

// Guards against accepted work that a release makes disappear although nobody may say that it has not run.
func TestReleaseKeepsWorkThatMayHaveRun(t *testing.T) {
	k := journal.NewKey("a", "k")

	Convey("Given accepted work", t, func() {
		w := &groupWriter{partition: &journal.Partition{}, now: startTime}
		there := func() bool {
			_, ok := w.partition.Lookup(k)

			return ok
		}

		Convey("a release without a claim has no effect", func() {
			w.apply(acceptRecord(true))
			So(w.apply(releaseRecord("")), ShouldBeEmpty)
			So(there(), ShouldBeTrue)
		})
		Convey("asynchronous work stays accepted and can be claimed again", func() {
			w.apply(acceptRecord(true), claimRecord("c1", ""), releaseRecord("c1"))
			So(there(), ShouldBeTrue)
			So(w.apply(claimRecord("c2", "")), ShouldHaveLength, 1)
		})
		Convey("work whose earlier claim was replaced stays, and takes the earlier holder's completion", func() {
			w.apply(acceptRecord(false), claimRecord("c1", ""), claimRecord("c2", "c1"), releaseRecord("c2"))
			So(there(), ShouldBeTrue)

			v, _ := w.partition.Lookup(k)
			So(v.NextStep(startTime, false, time.Second, time.Second), ShouldEqual, journal.Run)
			So(w.apply(completeRecord("c1")), ShouldHaveLength, 1)
		})
		Convey("work that was claimed once and given back is gone", func() {
			w.apply(acceptRecord(false), claimRecord("c1", ""), releaseRecord("c1"))
			So(there(), ShouldBeFalse)
		})
	})
}

// Guards against a result that changes after a caller has read it: idempotent work may be completed by both holders.
func TestFirstCompletionIsFinal(t *testing.T) {
	Convey("Given work that two holders run", t, func() {
		w := &groupWriter{partition: &journal.Partition{}, now: startTime}
		w.apply(acceptRecord(false), claimRecord("c1", ""), claimRecord("c2", "c1"))
		So(w.apply(completeRecord("c1")), ShouldHaveLength, 1)
		So(w.apply(completeRecord("c2")), ShouldBeEmpty)

		v, _ := w.partition.Lookup(journal.NewKey("a", "k"))
		So(v.Result().Text, ShouldEqual, "c1")
	})
}

// Guards against results that stay in memory and in snapshots for good, and against a key that cannot be used again.
func TestResultsExpire(t *testing.T) {
	Convey("Given ended work", t, func() {
		w := &groupWriter{partition: &journal.Partition{}, now: startTime}
		w.apply(acceptRecord(false), claimRecord("c1", ""), completeRecord("c1"))

		Convey("its result is readable until retention ends at the log's time", func() {
			w.now = startTime.Add(time.Minute)
			w.apply()

			_, ok := w.partition.Lookup(journal.NewKey("a", "k"))
			So(ok, ShouldBeTrue)

			w.now = startTime.Add(3 * time.Minute)
			w.apply()

			_, ok = w.partition.Lookup(journal.NewKey("a", "k"))
			So(ok, ShouldBeFalse)
			So(w.partition.Expire(), ShouldEqual, 0) // replay has dropped it
			So(w.apply(acceptRecord(false)), ShouldHaveLength, 1)
		})
		Convey("a job whose items were never all stored is forgotten", func() {
			w.apply(journal.Record{Open: &job.OpenRecord{Job: "j", Items: 2}})
			So(w.partition.ViewJob("j", func(*job.Job) {}), ShouldBeTrue)

			w.now = startTime.Add(2 * time.Hour)
			w.apply()
			So(w.partition.ViewJob("j", func(*job.Job) {}), ShouldBeFalse)
		})
	})
}

// Guards against a table of writers that grows with every restart, and against a copy of a group that takes effect
// twice once its writer was forgotten.
func TestEvictedWriterCannotRepeatGroup(t *testing.T) {
	Convey("Given a writer that many others followed", t, func() {
		var p journal.Partition

		group := journal.Group{Writer: "old", Number: 1, Records: []journal.Record{acceptRecord(false), claimRecord("c1", ""), releaseRecord("c1")}}
		p.Apply(journal.NewEntry(1, startTime, group))

		const others = 5000
		for i := range others {
			p.Apply(journal.NewEntry(p.Offset()+1, startTime, journal.Group{Writer: fmt.Sprint(i), Number: 1, Base: p.Offset()}))
		}

		So(p.LastGroupNumber("old"), ShouldEqual, 0)

		s, err := p.Snapshot()
		So(err, ShouldBeNil)
		So(len(s[1].Writers), ShouldBeLessThanOrEqualTo, 1024)

		Convey("a late copy of its group has no effect", func() {
			So(p.Apply(journal.NewEntry(p.Offset()+1, startTime, group)), ShouldBeEmpty)
		})
		Convey("a group that it formed after it read the log counts", func() {
			n := journal.Group{Writer: "old", Number: 2, Base: p.Offset(), Records: []journal.Record{acceptRecord(false)}}
			So(p.Apply(journal.NewEntry(p.Offset()+1, startTime, n)), ShouldHaveLength, 1)
		})
	})
}

func ExamplePartition() {
	var p journal.Partition

	group := func(writer string, r ...journal.Record) journal.Entry {
		return journal.NewEntry(p.Offset()+1, time.UnixMilli(0), journal.Group{Writer: writer, Number: p.LastGroupNumber(writer) + 1, Records: r})
	}

	// Two daemons accept and claim the same work; the log's order decides.
	p.Apply(group("vm-1", acceptRecord(false), claimRecord("first", "")))
	p.Apply(group("vm-2", acceptRecord(false), claimRecord("second", "")))
	p.Apply(group("vm-1", completeRecord("first")))

	w, _ := p.Lookup(journal.NewKey("a", "k"))
	fmt.Println(w.ClaimID(), w.IsEnded(), w.Result().Text)
	// Output: first true first
}
