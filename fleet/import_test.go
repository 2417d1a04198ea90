package fleet_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agategap/agategap/fleet"
)

// Guards against a daemon that knows no targets because it started while the log was down, and against targets that are
// imported from another daemon although the log shows their removal.
func TestImportedRegistrations(t *testing.T) {
	Convey("Given a daemon with a live target, a leaving one and one with a pending removal", t, func() {
		var o fleet.Registry

		o.Put(target("live"), 1)
		o.Put(target("leaving").AsLeaving(), 2)
		o.Put(target("lapsed"), 3)
		o.SetLogDown(true, at(9))
		o.Remove("lapsed", 8, at(10))

		l := o.Export(at(10))
		So(l, ShouldHaveLength, 3)

		Convey("a daemon that has not read the log uses the same targets", func() {
			var r fleet.Registry

			So(r.HasUsable(at(10)), ShouldBeFalse)
			r.Import(l, at(10))
			r.SetLogDown(true, at(10))
			So(r.IsInitialized(), ShouldBeTrue)
			So(r.HasUsable(at(11)), ShouldBeTrue)
			So(names(r.UsableTargets("s", at(11))), ShouldResemble, []string{"lapsed", "live"})
			So(names(r.Targets(at(11))), ShouldResemble, []string{"lapsed", "leaving", "live"})

			Convey("until the log shows their removal", func() {
				r.SetLogDown(false, at(20))
				r.MarkLogRead()
				r.Put(target("live"), 9)

				for _, n := range []string{"leaving", "lapsed"} {
					r.Remove(n, 12, at(20.1))
				}

				So(names(r.UsableTargets("s", at(20.1))), ShouldResemble, []string{"lapsed", "live"})
				So(names(r.UsableTargets("s", at(22.2))), ShouldResemble, []string{"live"})
			})
		})

		Convey("a daemon that has read the log imports only pending removals, and only around an outage", func() {
			var r fleet.Registry

			r.MarkLogRead()
			r.Import(l, at(10))
			So(names(r.Targets(at(10))), ShouldBeEmpty)

			r.SetLogDown(true, at(11))
			r.Import(l, at(11))
			So(names(r.UsableTargets("s", at(11))), ShouldResemble, []string{"lapsed"})

			r.SetLogDown(false, at(12))
			So(names(r.UsableTargets("s", at(15))), ShouldBeEmpty)
		})

		Convey("an older registration does not replace a newer one", func() {
			var r fleet.Registry

			r.Put(target("live").AsLeaving(), 7)
			r.Import(l, at(10))
			So(names(r.UsableTargets("s", at(10))), ShouldResemble, []string{"lapsed"})
		})
	})
}
