package mesh_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agategap/agategap/mesh"
)

// Guards against a list of daemons that grows with every VM that is replaced, and against daemons that are taken off it
// because an outage of the log kept them from renewing their records.
func TestRoster(t *testing.T) {
	Convey("With the records of two daemons", t, func() {
		var r mesh.Roster

		names := func(l []mesh.Record) string {
			s := ""
			for _, v := range l {
				s += v.Peer.VM
			}

			return s
		}
		minute := func(n float64) time.Time { return at(int(n * 60_000)) }

		r.Outage(false, minute(0))
		r.Put(mesh.Record{Peer: peer("b", 1)}, minute(0))
		r.Put(mesh.Record{Peer: peer("a", 1)}, minute(0))
		So(names(r.Listed(minute(1))), ShouldEqual, "ab")

		Convey("one that announces itself no more lapses, and a late record lists it again", func() {
			for m := 2.0; m <= 12; m += 2 {
				r.Put(mesh.Record{Peer: peer("a", 1)}, minute(m))
			}

			So(names(r.Listed(minute(13))), ShouldEqual, "a")
			So(names(r.Lapsed(minute(13))), ShouldEqual, "b")

			r.Put(mesh.Record{Peer: peer("b", 2)}, minute(14))
			So(names(r.Listed(minute(14))), ShouldEqual, "ab")
		})

		Convey("none lapses during an outage of the log or soon after it", func() {
			r.Outage(true, minute(1))
			r.Outage(true, minute(40))
			r.Outage(false, minute(40.1))
			So(names(r.Listed(minute(45))), ShouldEqual, "ab")
			So(names(r.Lapsed(minute(45))), ShouldBeEmpty)
			So(names(r.Lapsed(minute(51))), ShouldEqual, "ab")
		})

		Convey("one whose record is dropped is gone", func() {
			r.Remove("a")
			So(names(r.Listed(minute(1))), ShouldEqual, "b")
		})
	})
}
