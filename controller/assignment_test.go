package controller_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/agategap/agategap/controller"
)

type fixedPeers []controller.Peer

func (p fixedPeers) Peers() []controller.Peer { return p }

// openPartitions is a store that records which partitions are open.
type openPartitions map[int]bool

func (o openPartitions) Open(p int) { o[p] = true }

func (o openPartitions) Close(p int) bool {
	delete(o, p)

	return true
}

func (o openPartitions) FollowedPartitions() []int {
	var l []int
	for p := range o {
		l = append(l, p)
	}

	return l
}

func ExampleAssignment() {
	peers := fixedPeers{
		controller.NewPeer("vm-1", "10.0.0.1:7000", "kv-cheras", "klang-valley"),
		controller.NewPeer("vm-2", "10.0.1.1:7000", "kv-petaling", "klang-valley"),
	}
	f := controller.NewAssignment(peers, openPartitions{}, "vm-1", 2, time.Now)
	f.Refresh()

	for p := range f.PartitionCount() {
		fmt.Println(p, len(f.Followers(p)), f.IsFollower(p))
	}
	// Output:
	// 0 2 true
	// 1 2 true
}

// Guards against both followers of a partition being lost with one failure domain, and against the loss of a daemon
// moving partitions that it did not follow.
func TestFollowersAreInTwoFailureDomains(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l fixedPeers

		domains := rapid.IntRange(1, 4).Draw(t, "domains")
		for i := range rapid.IntRange(1, 12).Draw(t, "daemons") {
			l = append(l, controller.NewPeer(fmt.Sprintf("vm-%d", i), "a", fmt.Sprint(i%domains), "r"))
		}

		assign := func(l fixedPeers) *controller.Assignment {
			f := controller.NewAssignment(l, openPartitions{}, "vm-0", 8, time.Now)
			f.Refresh()

			return f
		}
		before := assign(l)
		lost := rapid.IntRange(0, len(l)-1).Draw(t, "gone")
		after := assign(append(append(fixedPeers(nil), l[:lost]...), l[lost+1:]...))

		for p := range 8 {
			b := before.Followers(p)
			if len(b) != min(2, len(l)) {
				t.Fatalf("partition %d has %d followers", p, len(b))
			}

			if len(b) == 2 && b[0].Domain() == b[1].Domain() && min(domains, len(l)) > 1 {
				t.Fatalf("both followers of partition %d are in domain %s", p, b[0].Domain())
			}

			if b[0] != l[lost] && after.Followers(p)[0] != b[0] {
				t.Fatalf("the writer of partition %d changed from %v to %v", p, b[0], after.Followers(p)[0])
			}
		}
	})
}

// Guards against a daemon that keeps every partition that it ever followed, and against one that closes a partition
// during closeGracePeriod, in which the partition may be assigned to it again.
func TestUnassignedPartitionsAreClosed(t *testing.T) {
	Convey("Given a daemon that has opened partitions that are assigned to others", t, func() {
		o, now := openPartitions{}, time.Unix(1000, 0)
		l := fixedPeers{
			controller.NewPeer("vm-1", "a", "one", "r"), controller.NewPeer("vm-2", "b", "two", "r"),
			controller.NewPeer("vm-3", "c", "three", "r"),
		}
		f := controller.NewAssignment(l, o, "vm-1", 16, func() time.Time { return now })
		f.Refresh()

		assigned := len(o)
		So(assigned, ShouldBeBetween, 0, 16)

		for p := range 16 {
			o.Open(p)
		}

		f.Refresh()

		now = now.Add(59 * time.Second)
		f.Refresh()
		So(o, ShouldHaveLength, 16)

		now = now.Add(2 * time.Second)
		f.Refresh()
		So(o, ShouldHaveLength, assigned)
	})
}
