package snapshot_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agategap/agategap/journal"
	"github.com/agategap/agategap/snapshot"
)

func newSections(n int) []journal.Section {
	s := []journal.Section{{Head: &journal.Header{Offset: 9}}}
	for i := range n {
		s = append(s, journal.Section{Work: &journal.WorkSnapshot{Accept: journal.AcceptRecord{Key: fmt.Sprint(i)}}})
	}

	return s
}

// Guards against a reader that starts from an incomplete snapshot, because its writer failed before the end or the
// retention of the log has removed its first parts.
func TestIncompleteSnapshotIsIgnored(t *testing.T) {
	Convey("Given the parts of a snapshot", t, func() {
		l := snapshot.Split("a", 9, newSections(10), 600)
		So(len(l), ShouldBeGreaterThan, 3)

		Convey("it is not complete if any of them is missing", func() {
			for skip := range l {
				r := snapshot.NewReader()

				for i, p := range l {
					if i != skip {
						r.Add(time.UnixMilli(0), p)
					}
				}

				So(r.Newest().Offset(), ShouldEqual, 0)
			}
		})
		Convey("it is complete despite duplicates of parts and a part of another snapshot in between", func() {
			r := snapshot.NewReader()
			r.Add(time.UnixMilli(0), snapshot.Split("b", 8, newSections(1), 600)[0])

			for i, p := range l {
				r.Add(time.UnixMilli(int64(i+1)), p)
				r.Add(time.UnixMilli(int64(i+1)), p)
			}

			So(r.Newest().Offset(), ShouldEqual, 9)
			So(r.Newest().Sections(), ShouldHaveLength, 11)
			So(r.Newest().FirstPartAt().UnixMilli(), ShouldEqual, 1)
		})
	})
}

// Guards against an idle partition that loses its snapshot, because the retention of the log removes the last one and
// no new entry makes another one due.
func TestSnapshotOfIdlePartitionIsRenewed(t *testing.T) {
	Convey("Given a snapshot at the last offset of a partition", t, func() {
		var r snapshot.Reader

		at := time.UnixMilli(0)
		for _, p := range snapshot.Split("a", 9, newSections(1), 600) {
			r.Add(at, p)
		}

		p := snapshot.NewPolicy(24*time.Hour, 0)
		So(p.IsDue(at.Add(time.Hour), at, 9, r.Newest()), ShouldBeFalse)
		So(p.IsDue(at.Add(6*time.Hour), at, 9, r.Newest()), ShouldBeTrue)
	})
}

func Example() {
	var p journal.Partition

	p.Apply(journal.NewEntry(1, time.UnixMilli(0), journal.Group{Writer: "vm", Number: 1, Records: []journal.Record{
		{Accept: &journal.AcceptRecord{Account: "a", Key: "k"}},
	}}))

	s, _ := p.Snapshot()
	r := snapshot.NewReader()

	for _, v := range snapshot.Split("vm/1", p.Offset(), s, 4<<20) {
		fmt.Println(v.Index, v.Closing, r.Add(time.UnixMilli(5), v))
	}

	var n journal.Partition

	_, _ = n.Restore(r.Newest().Sections())
	_, ok := n.Lookup(journal.NewKey("a", "k"))
	fmt.Println(n.Offset(), ok)
	// Output:
	// 0 false false
	// 1 true true
	// 1 true
}
