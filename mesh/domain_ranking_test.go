package mesh_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agategap/agategap/mesh"
)

// Guards against a kept ranking of followers that hides a new, leaving or lost daemon.
func TestRankingPerDomainFollowsChanges(t *testing.T) {
	Convey("Given a ranking that was just computed", t, func() {
		x := mesh.New(peer("a", 1))
		x.MarkReplied(peer("b", 1), at(0))
		So(x.RankedPerDomain("k", 9, at(0)), ShouldHaveLength, 2)

		Convey("a new daemon and a leaving one change it at once", func() {
			x.AddPeer(peer("c", 1), at(10))
			So(x.RankedPerDomain("k", 9, at(10)), ShouldHaveLength, 3)

			p := peer("b", 1)
			p.Leaving = true
			x.MarkReplied(p, at(20))
			So(x.RankedPerDomain("k", 9, at(20)), ShouldHaveLength, 2)
		})

		Convey("a removed daemon is left out at once", func() {
			x.Remove("b")
			So(x.RankedPerDomain("k", 9, at(10)), ShouldHaveLength, 1)
		})

		Convey("a silent daemon is left out within a second of its takeover timeout", func() {
			So(x.RankedPerDomain("k", 9, at(6900)), ShouldHaveLength, 2)
			So(x.RankedPerDomain("k", 9, at(8000)), ShouldHaveLength, 1)
		})

		Convey("another number of daemons in a failure domain is another ranking", func() {
			So(x.RankedPerDomain("k", 1, at(0)), ShouldHaveLength, 1)
		})
	})
}
