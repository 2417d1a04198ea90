package mesh_test

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agategap/agategap/mesh"
)

// Guards against a small VM that is chosen although larger ones are live, against failure domains without a chosen
// daemon, and against choices that change as soon as a daemon does not reply for a moment.
func TestRankedPerDomain(t *testing.T) {
	Convey("Given 20 daemons in two failure domains, of which four have more processor time", t, func() {
		x := mesh.New(mesh.Peer{VM: "self", Address: "self:1", Domain: "a", Start: at(0).UnixMilli(), Power: 192})

		for i := range 20 {
			p := peer(fmt.Sprint("p", i), 1)
			p.Domain = []string{"a", "b"}[i%2]
			p.Power = 192

			if i < 4 {
				p.Power = 800
			}

			x.MarkReplied(p, at(0))
		}

		Convey("the same number of daemons is chosen in each domain, those with the most processor time first", func() {
			l := x.RankedPerDomain("duty", 3, at(2000))
			n := map[string]int{}
			large := 0

			for _, p := range l {
				n[p.Domain]++

				if p.Power == 800 {
					large++
				}
			}

			So(n, ShouldResemble, map[string]int{"a": 3, "b": 3})
			So(large, ShouldEqual, 4)
			So(x.RankedPeers("duty", at(10))[0].Power, ShouldEqual, 800)
		})

		Convey("a daemon that does not reply for a short time stays chosen, and a leaving one does not", func() {
			l := vmNames(x.RankedPerDomain("duty", 3, at(2000)))
			x.MarkFailed(l[0])
			So(x.IsSuspected(l[0]), ShouldBeTrue)
			So(vmNames(x.RankedPerDomain("duty", 3, at(2000))), ShouldResemble, l)

			p := peer(l[0], 1)
			p.Leaving = true
			x.MarkReplied(p, at(2000))
			So(vmNames(x.RankedPerDomain("duty", 3, at(2000))), ShouldNotContain, l[0])
		})
	})

	Convey("A daemon has stopped following a partition if a reply after the given time does not report the partition", t, func() {
		x := mesh.New(peer("self", 1))
		x.AddPeer(peer("b", 1), at(0))
		So(x.HasStoppedFollowing("b", 3, at(0)), ShouldBeFalse)

		p := peer("b", 1)
		p.Parts = 1 << 3
		x.MarkReplied(p, at(100))
		So(x.HasStoppedFollowing("b", 3, at(0)), ShouldBeFalse)
		So(x.HasStoppedFollowing("b", 4, at(0)), ShouldBeTrue)
		So(x.HasStoppedFollowing("b", 4, at(200)), ShouldBeFalse)
		So(x.HasStoppedFollowing("unknown", 4, at(0)), ShouldBeFalse)

		x.AnnouncePartitions([]int{0, 3})
		So(x.Self().Parts, ShouldEqual, 9)
	})

	Convey("A daemon without peers is always chosen, even if it is leaving", t, func() {
		x := mesh.New(peer("self", 1))
		So(vmNames(x.RankedPerDomain("duty", 3, at(0))), ShouldResemble, []string{"self"})
		x.Leave()
		So(vmNames(x.RankedPerDomain("duty", 3, at(0))), ShouldResemble, []string{"self"})
	})
}

func BenchmarkRanked(b *testing.B) {
	x := mesh.New(peer("self", 1))
	for i := range 340 {
		x.MarkReplied(peer(fmt.Sprint("p", i), 1), at(0))
	}

	b.ReportAllocs()

	for b.Loop() {
		x.RankedPeers("duty", at(10))
	}
}
