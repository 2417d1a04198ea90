package mesh_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agategap/agategap/mesh"
)

// Guards against a list of daemons that grows with every VM that is replaced, and against daemons that are taken off it
// because an outage of the log kept them from renewing their records.
func TestRegistry(t *testing.T) {
	Convey("With the records of two daemons", t, func() {
		var r mesh.Registry

		names := func(l []mesh.Record) string {
			s := ""
			for _, v := range l {
				s += v.Peer.VM
			}

			return s
		}
		minute := func(n float64) time.Time { return at(int(n * 60_000)) }

		r.SetLogDown(false, minute(0))
		r.Put(mesh.Record{Peer: peer("b", 1)}, minute(0))
		r.Put(mesh.Record{Peer: peer("a", 1)}, minute(0))
		So(names(r.Records(minute(1))), ShouldEqual, "ab")

		Convey("one that announces itself no more lapses, and a late record lists it again", func() {
			for m := 2.0; m <= 12; m += 2 {
				r.Put(mesh.Record{Peer: peer("a", 1)}, minute(m))
			}

			So(names(r.Records(minute(13))), ShouldEqual, "a")
			So(names(r.ExpiredRecords(minute(13))), ShouldEqual, "b")

			r.Put(mesh.Record{Peer: peer("b", 2)}, minute(14))
			So(names(r.Records(minute(14))), ShouldEqual, "ab")
		})

		Convey("none lapses during an outage of the log or soon after it", func() {
			r.SetLogDown(true, minute(1))
			r.SetLogDown(true, minute(40))
			r.SetLogDown(false, minute(40.1))
			So(names(r.Records(minute(45))), ShouldEqual, "ab")
			So(names(r.ExpiredRecords(minute(45))), ShouldBeEmpty)
			So(names(r.ExpiredRecords(minute(51))), ShouldEqual, "ab")
		})

		Convey("one whose record is dropped is gone", func() {
			r.Remove("a")
			So(names(r.Records(minute(1))), ShouldEqual, "b")
		})
	})
}
