package fleet_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agategap/agategap/fleet"
)

var epoch = time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)

func at(s float64) time.Time { return epoch.Add(time.Duration(s * float64(time.Second))) }

func names(l []fleet.Target) []string {
	r := []string{}
	for _, t := range l {
		r = append(r, t.Name())
	}

	return r
}

func target(name string) fleet.Target { return fleet.NewTarget(name, "10.0.0.1:80", "a", "s", 8) }

// Guards against new work for leaving or removed targets, and against registrations that an older record restores.
func TestRegistry(t *testing.T) {
	Convey("Given two targets", t, func() {
		var r fleet.Registry

		So(r.IsInitialized(), ShouldBeFalse)
		r.Put(target("a"), 1)
		r.Put(target("b"), 2)
		So(names(r.UsableTargets("s", at(0))), ShouldResemble, []string{"a", "b"})
		So(names(r.UsableTargets("other", at(0))), ShouldBeEmpty)

		Convey("a leaving target is not usable, and an older record changes nothing", func() {
			r.Put(target("a").AsLeaving(), 5)
			r.Put(target("a"), 4)
			So(names(r.UsableTargets("s", at(0))), ShouldResemble, []string{"b"})
			So(names(r.Targets(at(0))), ShouldResemble, []string{"a", "b"})
		})

		Convey("a removal takes effect at once while the log is up", func() {
			r.Remove("a", 5, at(1))
			So(names(r.UsableTargets("s", at(1))), ShouldResemble, []string{"b"})
			So(names(r.Targets(at(1))), ShouldResemble, []string{"b"})

			r.Put(target("a"), 6)
			So(names(r.UsableTargets("s", at(2))), ShouldResemble, []string{"a", "b"})
		})
	})
}

// Guards against losing all targets when registrations are removed during an outage of the log, and against keeping
// targets that do not renew their registrations after it.
func TestRemovalsDuringLogOutage(t *testing.T) {
	Convey("Given registrations that are removed while the log is down", t, func() {
		var r fleet.Registry

		r.Put(target("alive"), 1)
		r.Put(target("dead"), 2)
		r.Put(target("leaving").AsLeaving(), 3)
		r.SetLogDown(true, at(10))
		r.Remove("alive", 11, at(12))
		r.Remove("dead", 12, at(12))
		r.Remove("leaving", 13, at(12))

		Convey("targets remain usable until two seconds after the outage, except for a leaving one", func() {
			So(names(r.UsableTargets("s", at(13))), ShouldResemble, []string{"alive", "dead"})

			r.SetLogDown(false, at(15))
			So(names(r.UsableTargets("s", at(16.9))), ShouldResemble, []string{"alive", "dead"})

			r.Put(target("alive"), 20)
			So(names(r.UsableTargets("s", at(17.1))), ShouldResemble, []string{"alive"})
		})

		Convey("a removal that is read soon after the outage is delayed too", func() {
			r.SetLogDown(false, at(15))
			r.Put(target("late"), 30)
			r.Remove("late", 31, at(15.5))
			So(names(r.UsableTargets("s", at(16))), ShouldContain, "late")
			So(names(r.UsableTargets("s", at(17.5))), ShouldNotContain, "late")
		})
	})
}

// Guards against users of the version that keep using removed targets or ignore new ones, because the version stayed
// the same.
func TestVersionTracksUsableTargets(t *testing.T) {
	Convey("The version changes whenever the set of usable targets may have changed", t, func() {
		var r fleet.Registry

		last := r.Version(at(0))
		differs := func(now time.Time) bool {
			v := r.Version(now)
			d := v != last
			last = v

			return d
		}

		r.Put(target("a"), 1)
		So(differs(at(1)), ShouldBeTrue)
		r.Put(target("a"), 2)
		So(differs(at(2)), ShouldBeFalse)
		r.Put(target("a").AsLeaving(), 3)
		So(differs(at(3)), ShouldBeTrue)
		r.Remove("a", 4, at(4))
		So(differs(at(4)), ShouldBeTrue)
		So(differs(at(5)), ShouldBeFalse)

		Convey("also at the end of a grace period, until the removed registrations are deleted", func() {
			r.Put(target("b"), 5)
			r.SetLogDown(true, at(6))
			r.Remove("b", 6, at(7))
			So(differs(at(7)), ShouldBeTrue)
			r.SetLogDown(false, at(8))
			So(names(r.UsableTargets("s", at(9))), ShouldResemble, []string{"b"})
			So(differs(at(10.1)), ShouldBeTrue)
			So(names(r.UsableTargets("s", at(10.1))), ShouldBeEmpty)

			r.SetLogDown(false, at(10.2))
			So(differs(at(10.3)), ShouldBeTrue)
			So(differs(at(11)), ShouldBeFalse)
			So(r.Names(), ShouldBeEmpty)
		})
	})
}
