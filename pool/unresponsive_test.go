package pool_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agategap/agategap/pool"
)

// Guards against online requests that wait in vain for slots whose holder does not respond, such as one that is cut off.
func TestSlotsOfUnresponsiveHolders(t *testing.T) {
	Convey("When the holder of a preempted slot does not release it", t, func() {
		var p pool.Pool

		p.SetTargets([]pool.Target{pool.NewTarget("t", "a", 2)})
		p.Request(pool.NewSlotRequest("lost", "cut-off", "a", pool.Batch, 0, at(9000)), at(0))
		p.Request(newBatchRequest("other", 5000), at(0))
		So(leaseIDs(p.Request(newOnlineRequest("o1", 300), at(10)).Preempted()), ShouldResemble, []string{"lost"})
		So(leaseIDs(p.Expire(at(100)).Preempted()), ShouldBeEmpty)

		Convey("another one is preempted instead", func() {
			So(leaseIDs(p.Expire(at(130)).Preempted()), ShouldResemble, []string{"other"})
			So(leaseIDs(p.Release("other", "t", pool.Unused, at(140)).Granted()), ShouldResemble, []string{"o1"})
		})

		Convey("a request that would have to wait for it is refused", func() {
			p.Expire(at(130))
			p.Release("other", "t", pool.Unused, at(140))
			So(p.Request(newOnlineRequest("o2", 400).WithMaxWait(150*time.Millisecond), at(150)).IsRefused(), ShouldBeTrue)
		})
	})
}

// Guards against requests that find out one by one that the targets of a failure domain cannot be reached.
func TestUnreachableFailureDomain(t *testing.T) {
	Convey("With four targets in one failure domain and one in another", t, func() {
		var p pool.Pool

		p.SetTargets([]pool.Target{
			pool.NewTarget("c1", "c", 8), pool.NewTarget("c2", "c", 8), pool.NewTarget("c3", "c", 8), pool.NewTarget("c4", "c", 8),
			pool.NewTarget("a1", "a", 8),
		})

		n := 0
		request := func(ms int) string {
			n++

			for _, g := range p.Request(pool.NewSlotRequest(fmt.Sprint("r", n), "vm", "c", pool.Online, 0, at(ms+300)), at(ms)).Granted() {
				return g.Target()
			}

			return ""
		}
		fail := func(target string, ms int) { p.Release("x"+target, target, pool.Unreachable, at(ms)) }

		So(request(0), ShouldEqual, "c1")

		Convey("after two targets were unreachable, the others there get no requests but probes", func() {
			fail("c1", 100)
			So(request(101), ShouldEqual, "c2")
			fail("c2", 110)
			So(request(111), ShouldEqual, "a1")

			Convey("and a success of one of them ends that for those that have not failed themselves", func() {
				got := map[string]bool{}
				for range 9 { // one more than a1 has slots, with the request above
					got[request(500)] = true
				}

				So(got["a1"], ShouldBeTrue)
				So(got["c3"], ShouldBeTrue)

				p.Release("xc3", "c3", pool.NoFault, at(510))
				So(request(511), ShouldEqual, "c3")
				So(request(512), ShouldEqual, "c4")
			})
		})

		Convey("a success between the two failures shows that the failure domain can be reached", func() {
			fail("c1", 100)
			p.Release("xc3", "c3", pool.NoFault, at(105))
			fail("c2", 110)
			So(request(111), ShouldNotEqual, "a1")
		})

		Convey("two failures that are far apart say nothing", func() {
			fail("c1", 100)
			fail("c2", 5000)
			So(request(5001), ShouldNotEqual, "a1")
		})
	})
}
