package mesh_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agategap/agategap/mesh"
)

var epoch = time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func peer(vm string, start int64) mesh.Peer {
	return mesh.Peer{VM: vm, Address: vm + ":1", Domain: "a", Start: start}
}

func vmNames(l []mesh.Peer) []string {
	r := []string{}
	for _, p := range l {
		r = append(r, p.VM)
	}

	return r
}

// Guards against keys for which a lost or leaving daemon stays responsible, and against keys without any responsible
// daemon.
func TestTable(t *testing.T) {
	Convey("Given two other daemons that reply and one that has not replied yet", t, func() {
		x := mesh.New(peer("self", 1))
		x.MarkReplied(peer("b", 1), at(0))
		x.MarkReplied(peer("c", 1), at(0))
		x.AddPeer(peer("silent", 1), at(0))

		So(vmNames(x.LivePeers(at(10))), ShouldResemble, []string{"b", "c"})
		So(x.RankedPeers("duty", at(10)), ShouldHaveLength, 3)

		Convey("daemons that know no targets are ranked last", func() {
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

		Convey("this daemon is ranked last while it knows no targets", func() {
			hasTargets := false
			y := mesh.New(peer("self", 1)).WithTargetCheck(func() bool { return hasTargets })
			y.MarkReplied(peer("b", 1), at(0))
			So(vmNames(y.RankedPeers("duty", at(10))), ShouldResemble, []string{"b", "self"})
			So(y.Self().Unable, ShouldBeTrue)
		})

		Convey("a daemon that failed a call is not live until it replies", func() {
			x.MarkFailed("b")
			So(vmNames(x.LivePeers(at(10))), ShouldResemble, []string{"c"})
			x.MarkReplied(peer("b", 1), at(20))
			So(vmNames(x.LivePeers(at(30))), ShouldResemble, []string{"b", "c"})
		})

		Convey("a daemon that does not reply for long is not live", func() {
			So(x.LivePeers(at(5000)), ShouldBeEmpty)
			So(vmNames(x.RankedPeers("duty", at(5000))), ShouldResemble, []string{"self"})
		})

		Convey("a leaving daemon is not live, and only a new incarnation of it is", func() {
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

		Convey("a daemon counts as running until it has had time to reply", func() {
			So(x.IsRunning("silent", 1, at(1000)), ShouldBeTrue)
			So(x.IsRunning("silent", 1, at(1600)), ShouldBeFalse)
			So(x.IsRunning("unknown", 1, at(1000)), ShouldBeFalse)
			So(x.IsRunning("b", 1, at(6900)), ShouldBeTrue) // work of a daemon that was cut off for 6 s is not run again
			So(x.IsRunning("b", 1, at(7100)), ShouldBeFalse)

			x.ResumeAfterPause(at(8000))
			So(x.IsRunning("b", 1, at(8100)), ShouldBeTrue)
			So(x.IsRunning("unknown", 1, at(8100)), ShouldBeTrue)
			So(x.IsRunning("b", 1, at(10000)), ShouldBeFalse)
		})

		Convey("a record of an earlier incarnation changes nothing", func() {
			x.MarkReplied(peer("b", 5), at(20))
			So(x.AddPeer(peer("b", 4), at(30)), ShouldBeFalse)
			So(x.IsRunning("b", 5, at(40)), ShouldBeTrue)
		})

		Convey("this daemon is ranked if no other one is live, even if it is leaving", func() {
			x.Leave()
			So(vmNames(x.RankedPeers("duty", at(10))), ShouldNotContain, "self")
			So(vmNames(x.RankedPeers("duty", at(5000))), ShouldResemble, []string{"self"})
		})
	})
}

// Guards against digests that differ for equal tables, which would put all peers into every reply to a heartbeat.
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
