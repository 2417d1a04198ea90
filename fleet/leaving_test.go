package fleet_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agategap/agategap/fleet"
)

// Guards against new work for a target that said in a response that it is leaving while the log still lists it as ready,
// and against refusing work to a new incarnation because of what an earlier one said.
func TestAnnouncedLeaving(t *testing.T) {
	Convey("Given two registered targets, one of which announces that it is leaving", t, func() {
		var r fleet.Registry

		r.Put(target("a").WithStart(100), 1)
		r.Put(target("b").WithStart(100), 2)

		v := r.Version(at(0))

		So(r.MarkLeaving(fleet.NewIncarnation("a", 100), at(0)), ShouldBeTrue)

		Convey("it is not usable, and the version of the usable targets has changed", func() {
			So(names(r.UsableTargets("s", at(0))), ShouldResemble, []string{"b"})
			So(r.Version(at(0)), ShouldNotEqual, v)

			_, ok := r.Find("a", at(0))
			So(ok, ShouldBeFalse)
			So(r.HasAnnouncedLeaving(fleet.NewIncarnation("a", 100)), ShouldBeTrue)
			So(r.HasAnnouncedLeaving(fleet.NewIncarnation("b", 100)), ShouldBeFalse)
		})

		Convey("a repeated announcement is not new", func() {
			So(r.MarkLeaving(fleet.NewIncarnation("a", 100), at(1)), ShouldBeFalse)
		})

		Convey("a renewed registration of the same incarnation stays unusable", func() {
			r.Put(target("a").WithStart(100), 7)
			So(names(r.UsableTargets("s", at(0))), ShouldResemble, []string{"b"})
		})

		Convey("a registration that expired and returned stays unusable", func() {
			r.Remove("a", 7, at(1))
			r.Put(target("a").WithStart(100), 8)
			So(names(r.UsableTargets("s", at(2))), ShouldResemble, []string{"b"})
		})

		Convey("the same name started anew is usable, and so is another name at the address", func() {
			r.Put(target("a").WithStart(200), 7)
			r.Put(target("c").WithStart(300), 8)
			So(names(r.UsableTargets("s", at(0))), ShouldResemble, []string{"a", "b", "c"})

			Convey("and a late announcement of the earlier incarnation changes nothing", func() {
				r.MarkLeaving(fleet.NewIncarnation("a", 100), at(1))
				So(names(r.UsableTargets("s", at(1))), ShouldResemble, []string{"a", "b", "c"})
			})
		})

		Convey("a removed registration is not kept for a target that is leaving, even while the log is down", func() {
			r.SetLogDown(true, at(1))
			r.Remove("a", 7, at(1))
			So(r.Names(), ShouldResemble, []string{"b"})
		})

		Convey("HasUsable is false once all targets are leaving", func() {
			So(r.HasUsable(at(0)), ShouldBeTrue)
			r.MarkLeaving(fleet.NewIncarnation("b", 100), at(0))
			So(r.HasUsable(at(0)), ShouldBeFalse)
		})

		Convey("an import carries it to a daemon that starts", func() {
			var other fleet.Registry

			other.Import(r.Export(at(1)), at(1))
			So(names(other.UsableTargets("s", at(1))), ShouldResemble, []string{"b"})

			other.Put(target("a").WithStart(100), 9)
			So(names(other.UsableTargets("s", at(1))), ShouldResemble, []string{"b"})
		})

		Convey("an import carries it to a daemon that has read the log already", func() {
			var other fleet.Registry

			other.MarkLogRead()
			other.Put(target("a").WithStart(100), 1)
			other.Import(r.Export(at(1)), at(1))
			So(names(other.UsableTargets("s", at(1))), ShouldBeEmpty)
		})

		Convey("it is among the recent announcements for some seconds", func() {
			So(r.RecentlyLeaving(at(1)), ShouldResemble, []fleet.Incarnation{fleet.NewIncarnation("a", 100)})
			So(r.RecentlyLeaving(at(60)), ShouldBeEmpty)
		})
	})

	Convey("An announcement that arrives before the registration applies to it", t, func() {
		var r fleet.Registry

		So(r.MarkLeaving(fleet.NewIncarnation("a", 100), at(0)), ShouldBeTrue)
		r.Put(target("a").WithStart(100), 1)
		So(r.UsableTargets("s", at(0)), ShouldBeEmpty)
	})

	Convey("A target without a known start is usable again once its registration was removed and added", t, func() {
		var r fleet.Registry

		r.Put(target("a"), 1)
		r.MarkLeaving(fleet.NewIncarnation("a", 0), at(0))
		r.Remove("a", 2, at(1))
		r.Put(target("a"), 3)
		So(names(r.UsableTargets("s", at(1))), ShouldResemble, []string{"a"})
	})

	Convey("Announcements of incarnations that are gone are dropped after the retention", t, func() {
		var r fleet.Registry

		r.MarkLeaving(fleet.NewIncarnation("a", 100), at(0))
		r.MarkLeaving(fleet.NewIncarnation("a", 200), epoch.Add(time.Hour))
		So(r.HasAnnouncedLeaving(fleet.NewIncarnation("a", 100)), ShouldBeFalse)
		So(r.HasAnnouncedLeaving(fleet.NewIncarnation("a", 200)), ShouldBeTrue)
	})
}
