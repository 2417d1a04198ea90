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

// groupWriter appends groups of one writer to a partition.
type groupWriter struct {
	partition *journal.Partition
	number    uint64
	now       time.Time
}

func (w *groupWriter) apply(r ...journal.Record) []journal.Change {
	w.number++

	return w.partition.Apply(journal.NewEntry(w.partition.Offset()+1, w.now, journal.Group{Writer: "vm", Number: w.number, Base: w.partition.Offset(), Records: r}))
}

func newAcceptRecord(async bool) journal.Record {
	return journal.Record{Accept: &journal.AcceptRecord{Account: "a", Key: "k", Idempotent: true, Async: async, Body: []byte("x"), RetainMS: 60_000}}
}

func newClaimRecord(id, replaces string) journal.Record {
	return journal.Record{Claim: &journal.ClaimRecord{Account: "a", Key: "k", ID: id, Replaces: replaces}}
}

func newReleaseRecord(id string) journal.Record {
	return journal.Record{Release: &journal.ReleaseRecord{Account: "a", Key: "k", Claim: id}}
}

func newCompleteRecord(id string) journal.Record {
	return journal.Record{Complete: &journal.CompleteRecord{Account: "a", Key: "k", Claim: id, Effect: journal.Done, Text: id}}
}

// Guards against a release that removes accepted work although a target may have run it.
func TestReleaseKeepsWorkThatMayHaveRun(t *testing.T) {
	k := journal.NewKey("a", "k")

	Convey("Given accepted work", t, func() {
		w := &groupWriter{partition: &journal.Partition{}, now: startTime}
		exists := func() bool {
			_, ok := w.partition.Lookup(k)

			return ok
		}

		Convey("a release without a claim has no effect", func() {
			w.apply(newAcceptRecord(true))
			So(w.apply(newReleaseRecord("")), ShouldBeEmpty)
			So(exists(), ShouldBeTrue)
		})
		Convey("asynchronous work stays accepted and can be claimed again", func() {
			w.apply(newAcceptRecord(true), newClaimRecord("c1", ""), newReleaseRecord("c1"))
			So(exists(), ShouldBeTrue)
			So(w.apply(newClaimRecord("c2", "")), ShouldHaveLength, 1)
		})
		Convey("work whose earlier claim was replaced stays accepted, and the earlier holder can complete it", func() {
			w.apply(newAcceptRecord(false), newClaimRecord("c1", ""), newClaimRecord("c2", "c1"), newReleaseRecord("c2"))
			So(exists(), ShouldBeTrue)

			v, _ := w.partition.Lookup(k)
			So(v.NextStep(startTime, false, time.Second, time.Second), ShouldEqual, journal.Run)
			So(w.apply(newCompleteRecord("c1")), ShouldHaveLength, 1)
		})
		Convey("synchronous work is removed when its only claim is released", func() {
			w.apply(newAcceptRecord(false), newClaimRecord("c1", ""), newReleaseRecord("c1"))
			So(exists(), ShouldBeFalse)
		})
	})
}

// Guards against a result that changes after a caller has read it: both the holder of a replaced claim and the new one
// complete idempotent work.
func TestFirstCompletionIsFinal(t *testing.T) {
	Convey("Given work that two holders run", t, func() {
		w := &groupWriter{partition: &journal.Partition{}, now: startTime}
		w.apply(newAcceptRecord(false), newClaimRecord("c1", ""), newClaimRecord("c2", "c1"))
		So(w.apply(newCompleteRecord("c1")), ShouldHaveLength, 1)
		So(w.apply(newCompleteRecord("c2")), ShouldBeEmpty)

		v, _ := w.partition.Lookup(journal.NewKey("a", "k"))
		So(v.Result().Text, ShouldEqual, "c1")
	})
}

// Guards against results that are never removed from memory and snapshots, and against a key that stays in use after
// its result has expired.
func TestResultsExpire(t *testing.T) {
	Convey("Given ended work", t, func() {
		w := &groupWriter{partition: &journal.Partition{}, now: startTime}
		w.apply(newAcceptRecord(false), newClaimRecord("c1", ""), newCompleteRecord("c1"))

		Convey("its result is readable until its retention is over at the log time", func() {
			w.now = startTime.Add(time.Minute)
			w.apply()

			_, ok := w.partition.Lookup(journal.NewKey("a", "k"))
			So(ok, ShouldBeTrue)

			w.now = startTime.Add(3 * time.Minute)
			w.apply()

			_, ok = w.partition.Lookup(journal.NewKey("a", "k"))
			So(ok, ShouldBeFalse)
			So(w.partition.Expire(), ShouldEqual, 0) // replay has removed it
			So(w.apply(newAcceptRecord(false)), ShouldHaveLength, 1)
		})
		Convey("a job whose items were never all stored expires", func() {
			w.apply(journal.Record{Open: &job.OpenRecord{Job: "j", Items: 2}})
			So(w.partition.ViewJob("j", func(*job.Job) {}), ShouldBeTrue)

			w.now = startTime.Add(2 * time.Hour)
			w.apply()
			So(w.partition.ViewJob("j", func(*job.Job) {}), ShouldBeFalse)
		})
	})
}

// Guards against a table of writers that grows with every restart, and against a duplicate of a group that takes effect
// after its writer was evicted from the table.
func TestEvictedWriterCannotRepeatGroup(t *testing.T) {
	Convey("Given a writer that was evicted because many others wrote after it", t, func() {
		var p journal.Partition

		group := journal.Group{Writer: "old", Number: 1, Records: []journal.Record{newAcceptRecord(false), newClaimRecord("c1", ""), newReleaseRecord("c1")}}
		p.Apply(journal.NewEntry(1, startTime, group))

		const others = 5000
		for i := range others {
			p.Apply(journal.NewEntry(p.Offset()+1, startTime, journal.Group{Writer: fmt.Sprint(i), Number: 1, Base: p.Offset()}))
		}

		So(p.LastGroupNumber("old"), ShouldEqual, 0)

		s, err := p.Snapshot()
		So(err, ShouldBeNil)
		So(len(s[1].Writers), ShouldBeLessThanOrEqualTo, 1024)

		Convey("a late duplicate of its group has no effect", func() {
			So(p.Apply(journal.NewEntry(p.Offset()+1, startTime, group)), ShouldBeEmpty)
		})
		Convey("a group that it formed after it replayed the others takes effect", func() {
			n := journal.Group{Writer: "old", Number: 2, Base: p.Offset(), Records: []journal.Record{newAcceptRecord(false)}}
			So(p.Apply(journal.NewEntry(p.Offset()+1, startTime, n)), ShouldHaveLength, 1)
		})
	})
}

func ExamplePartition() {
	var p journal.Partition

	group := func(writer string, r ...journal.Record) journal.Entry {
		return journal.NewEntry(p.Offset()+1, time.UnixMilli(0), journal.Group{Writer: writer, Number: p.LastGroupNumber(writer) + 1, Records: r})
	}

	// Two daemons accept and claim the same work; the claim that comes first in the log is in force.
	p.Apply(group("vm-1", newAcceptRecord(false), newClaimRecord("first", "")))
	p.Apply(group("vm-2", newAcceptRecord(false), newClaimRecord("second", "")))
	p.Apply(group("vm-1", newCompleteRecord("first")))

	w, _ := p.Lookup(journal.NewKey("a", "k"))
	fmt.Println(w.ClaimID(), w.IsEnded(), w.Result().Text)
	// Output: first true first
}
