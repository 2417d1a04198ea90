package mesh_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agategap/agategap/mesh"
)

var epoch = time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func peer(vm string, run int64) mesh.Peer {
	return mesh.Peer{VM: vm, Address: vm + ":1", Domain: "a", Start: run}
}

func vmNames(l []mesh.Peer) []string {
	r := []string{}
	for _, p := range l {
		r = append(r, p.VM)
	}

	return r
}

// Guards against duties that stay with a daemon that is lost or leaving, or that nobody does.
func TestTable(t *testing.T) {
	Convey("With two other daemons that answer", t, func() {
		x := mesh.New(peer("self", 1))
		x.MarkReplied(peer("b", 1), at(0))
		x.MarkReplied(peer("c", 1), at(0))
		x.AddPeer(peer("silent", 1), at(0))

		So(vmNames(x.LivePeers(at(10))), ShouldResemble, []string{"b", "c"})
		So(x.RankedPeers("duty", at(10)), ShouldHaveLength, 3)

		Convey("those that are not able to do duties come last", func() {
			before := vmNames(x.RankedPeers("duty", at(10)))

			for _, vm := range []string{"b", "c"} {
				p := peer(vm, 1)
				p.Unable = true
				x.MarkReplied(p, at(20))
				So(x.RankedPeers("duty", at(20))[2].Unable, ShouldBeTrue)
			}

			So(x.RankedPeers("duty", at(20))[0].VM, ShouldEqual, "self")

			x.MarkReplied(peer("b", 1), at(30))
			x.MarkReplied(peer("c", 1), at(30))
			So(vmNames(x.RankedPeers("duty", at(30))), ShouldResemble, before)
		})

		Convey("this daemon comes last while it is not able to", func() {
			able := false
			y := mesh.New(peer("self", 1)).WithTargetCheck(func() bool { return able })
			y.MarkReplied(peer("b", 1), at(0))
			So(vmNames(y.RankedPeers("duty", at(10))), ShouldResemble, []string{"b", "self"})
			So(y.Self().Unable, ShouldBeTrue)
		})

		Convey("one that failed a call is passed over until it answers", func() {
			x.MarkFailed("b")
			So(vmNames(x.LivePeers(at(10))), ShouldResemble, []string{"c"})
			x.MarkReplied(peer("b", 1), at(20))
			So(vmNames(x.LivePeers(at(30))), ShouldResemble, []string{"b", "c"})
		})

		Convey("one that is silent is lost", func() {
			So(x.LivePeers(at(5000)), ShouldBeEmpty)
			So(vmNames(x.RankedPeers("duty", at(5000))), ShouldResemble, []string{"self"})
		})

		Convey("one that is leaving gets no duties, and cannot take it back in the same run", func() {
			p := peer("b", 1)
			p.Leaving = true
			x.MarkReplied(p, at(20))
			x.MarkReplied(peer("b", 1), at(30))
			So(vmNames(x.LivePeers(at(40))), ShouldResemble, []string{"c"})
			So(x.IsRunning("b", 1, at(40)), ShouldBeTrue)

			x.MarkReplied(peer("b", 2), at(50))
			So(vmNames(x.LivePeers(at(60))), ShouldResemble, []string{"b", "c"})
			So(x.IsRunning("b", 1, at(60)), ShouldBeFalse)
		})

		Convey("one that had no time to answer is not taken for lost", func() {
			So(x.IsRunning("silent", 1, at(1000)), ShouldBeTrue)
			So(x.IsRunning("silent", 1, at(1600)), ShouldBeFalse)
			So(x.IsRunning("unknown", 1, at(1000)), ShouldBeFalse)
			So(x.IsRunning("b", 1, at(3000)), ShouldBeTrue)
			So(x.IsRunning("b", 1, at(4000)), ShouldBeFalse)

			x.ResumeAfterPause(at(5000))
			So(x.IsRunning("b", 1, at(5100)), ShouldBeTrue)
			So(x.IsRunning("unknown", 1, at(5100)), ShouldBeTrue)
			So(x.IsRunning("b", 1, at(7000)), ShouldBeFalse)
		})

		Convey("a record of an earlier run changes nothing", func() {
			x.MarkReplied(peer("b", 5), at(20))
			So(x.AddPeer(peer("b", 4), at(30)), ShouldBeFalse)
			So(x.IsRunning("b", 5, at(40)), ShouldBeTrue)
		})

		Convey("this daemon does duties while it is alone, also when it is leaving", func() {
			x.Leave()
			So(vmNames(x.RankedPeers("duty", at(10))), ShouldNotContain, "self")
			So(vmNames(x.RankedPeers("duty", at(5000))), ShouldResemble, []string{"self"})
		})
	})
}

// Guards against full tables in every heartbeat.
func TestDigest(t *testing.T) {
	Convey("Tables that know the same daemons have the same digest", t, func() {
		a, b := mesh.New(peer("a", 1)), mesh.New(peer("b", 1))
		So(a.Digest(), ShouldNotEqual, b.Digest())
		a.AddPeer(peer("b", 1), at(0))
		b.MarkReplied(peer("a", 1), at(0))
		So(a.Digest(), ShouldEqual, b.Digest())
		a.AddPeer(peer("b", 2), at(0))
		So(a.Digest(), ShouldNotEqual, b.Digest())
	})
}
