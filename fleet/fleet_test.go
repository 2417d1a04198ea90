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

// Guards against new work on targets that are leaving or gone, and against entries that come back by a late record.
func TestRegistry(t *testing.T) {
	Convey("With two targets", t, func() {
		var r fleet.Registry

		So(r.IsInitialized(), ShouldBeFalse)
		r.Put(target("a"), 1)
		r.Put(target("b"), 2)
		So(names(r.UsableTargets("s", at(0))), ShouldResemble, []string{"a", "b"})
		So(names(r.UsableTargets("other", at(0))), ShouldBeEmpty)

		Convey("one that is leaving gets nothing, and an older record changes nothing", func() {
			r.Put(target("a").AsLeaving(), 5)
			r.Put(target("a"), 4)
			So(names(r.UsableTargets("s", at(0))), ShouldResemble, []string{"b"})
			So(names(r.Targets(at(0))), ShouldResemble, []string{"a", "b"})
		})

		Convey("one whose entry is removed is gone at once while the log is sound", func() {
			r.Remove("a", 5, at(1))
			So(names(r.UsableTargets("s", at(1))), ShouldResemble, []string{"b"})
			So(names(r.Targets(at(1))), ShouldResemble, []string{"b"})

			r.Put(target("a"), 6)
			So(names(r.UsableTargets("s", at(2))), ShouldResemble, []string{"a", "b"})
		})
	})
}

// Guards against losing all targets when entries lapse in an outage of the log, and against keeping dead ones.
func TestRemovalsDuringLogOutage(t *testing.T) {
	Convey("When the entries of two targets lapse while the log is down", t, func() {
		var r fleet.Registry

		r.Put(target("alive"), 1)
		r.Put(target("dead"), 2)
		r.Put(target("leaving").AsLeaving(), 3)
		r.SetLogDown(true, at(10))
		r.Remove("alive", 11, at(12))
		r.Remove("dead", 12, at(12))
		r.Remove("leaving", 13, at(12))

		Convey("both are used until two seconds after its return, the leaving one is not", func() {
			So(names(r.UsableTargets("s", at(13))), ShouldResemble, []string{"alive", "dead"})

			r.SetLogDown(false, at(15))
			So(names(r.UsableTargets("s", at(16.9))), ShouldResemble, []string{"alive", "dead"})

			r.Put(target("alive"), 20)
			So(names(r.UsableTargets("s", at(17.1))), ShouldResemble, []string{"alive"})
		})

		Convey("a removal that is read soon after the return counts as one of the outage", func() {
			r.SetLogDown(false, at(15))
			r.Put(target("late"), 30)
			r.Remove("late", 31, at(15.5))
			So(names(r.UsableTargets("s", at(16))), ShouldContain, "late")
			So(names(r.UsableTargets("s", at(17.5))), ShouldNotContain, "late")
		})
	})
}

// Guards against work for targets that are gone, or none for new ones, as nobody looked at the entries again.
func TestVersionTracksUsableTargets(t *testing.T) {
	Convey("The version changes whenever other targets may get work", t, func() {
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

		Convey("also when entries that lapsed stop counting, and no more once they are forgotten", func() {
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
