package pool_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/agategap/agategap/pool"
)

// TestMain fixes the seed of the property tests, so that CI runs are repeatable.
// For more cases: go test ./pool -rapid.checks 1000 -rapid.seed N.
func TestMain(m *testing.M) {
	flag.Parse()

	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("20261204")
	}

	if f := flag.Lookup("rapid.checks"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("200")
	}

	os.Exit(m.Run())
}

var start = time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func newOnlineRequest(id string, due int) pool.SlotRequest {
	return pool.NewSlotRequest(id, "vm", "a", pool.Online, 0, at(due))
}

func newBatchRequest(id string, due int) pool.SlotRequest {
	return pool.NewSlotRequest(id, "vm", "a", pool.Batch, 0, at(due))
}

func leaseIDs(l []pool.Lease) []string {
	r := []string{}
	for _, e := range l {
		r = append(r, e.ID())
	}

	return r
}

// Guards against more requests at a target than it has slots, a request that is granted twice or lost, and an online
// request that waits while a slot is free.
func TestPoolInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const targets, slots = 3, 2

		var p pool.Pool

		l := []pool.Target{}
		for i := range targets {
			l = append(l, pool.NewTarget(fmt.Sprint("t", i), "a", slots))
		}

		p.SetTargets(l)

		now := 0
		leases := map[string]pool.Lease{}
		waiting := map[string]pool.Class{}

		apply := func(a pool.Actions) {
			for _, g := range a.Granted() {
				if _, twice := leases[g.ID()]; twice {
					t.Fatalf("%s was granted twice", g.ID())
				}

				if _, ok := waiting[g.ID()]; !ok {
					t.Fatalf("%s was granted but was not waiting", g.ID())
				}

				delete(waiting, g.ID())
				leases[g.ID()] = g
			}

			for _, y := range a.Preempted() {
				if _, ok := leases[y.ID()]; !ok {
					t.Fatalf("%s was preempted but holds no slot", y.ID())
				}
			}
		}

		for n := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += rapid.IntRange(0, 300).Draw(t, "pause")

			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				id := fmt.Sprint("o", n)
				waiting[id] = pool.Online
				apply(p.Request(newOnlineRequest(id, now+rapid.IntRange(1, 500).Draw(t, "due")), at(now)))
			case 1:
				id := fmt.Sprint("b", n)
				waiting[id] = pool.Batch
				apply(p.Request(newBatchRequest(id, now+rapid.IntRange(1, 20000).Draw(t, "due")), at(now)))
			case 2:
				for id, e := range leases {
					delete(leases, id)
					apply(p.Release(id, e.Target(), pool.NoFault, at(now)))

					break
				}
			case 3:
				var r []pool.Lease
				for _, e := range leases {
					r = append(r, e)
				}

				apply(p.Report("vm", r, at(now)))
				apply(p.Expire(at(now)))
			}

			load := map[string]int{}
			for _, e := range leases {
				load[e.Target()]++
			}

			free := targets*slots - len(leases)

			for n, c := range load {
				if c > slots {
					t.Fatalf("%s has %d requests", n, c)
				}
			}

			for id, c := range waiting {
				if c == pool.Online && free > 0 {
					t.Fatalf("%s waits while %d slots are free", id, free)
				}
			}
		}
	})
}

func fillPool(p *pool.Pool, d ...pool.SlotRequest) {
	p.SetTargets([]pool.Target{pool.NewTarget("t", "a", len(d))})

	for _, v := range d {
		p.Request(v, at(0))
	}
}

// Guards against online requests that wait until batch work ends.
func TestBatchWorkIsPreempted(t *testing.T) {
	Convey("When an online request arrives while batch work holds all slots", t, func() {
		var p pool.Pool

		fillPool(&p, newBatchRequest("urgent", 5000), newBatchRequest("relaxed", 9000),
			newBatchRequest("late", 6000).WithRunTime(7*time.Second))

		a := p.Request(newOnlineRequest("o1", 300), at(10))

		Convey("an item that is late anyway is preempted first, and only once", func() {
			So(leaseIDs(a.Preempted()), ShouldResemble, []string{"late"})
			So(leaseIDs(p.Request(newOnlineRequest("o2", 300), at(11)).Preempted()), ShouldResemble, []string{"relaxed"})
			So(leaseIDs(p.Expire(at(12)).Preempted()), ShouldBeEmpty)
		})

		Convey("it is preempted again if its holder still reports it, as the notice may have been lost, and another one too", func() {
			held := []pool.Lease{pool.NewLease("late", "vm", "t", pool.Batch, at(6000), 0), pool.NewLease("urgent", "vm", "t", pool.Batch, at(5000), 0)}

			So(leaseIDs(p.Report("vm", held, at(50)).Preempted()), ShouldBeEmpty)
			So(leaseIDs(p.Report("vm", held, at(150)).Preempted()), ShouldResemble, []string{"late", "relaxed"})
			So(leaseIDs(p.Report("vm", held, at(200)).Preempted()), ShouldBeEmpty)
			So(leaseIDs(p.Report("vm", held, at(300)).Preempted()), ShouldResemble, []string{"late", "urgent"})
		})

		Convey("the released slot goes to the online request, not to batch work", func() {
			p.Request(newBatchRequest("next", 1000), at(11))
			So(leaseIDs(p.Release("late", "t", pool.Unused, at(12)).Granted()), ShouldResemble, []string{"o1"})
		})

		Convey("batch work gets a free slot only after a pause, as the burst may continue", func() {
			p.Request(newBatchRequest("next", 1000), at(11))
			p.Release("late", "t", pool.Unused, at(12))
			So(leaseIDs(p.Release("o1", "t", pool.NoFault, at(30)).Granted()), ShouldBeEmpty)
			So(leaseIDs(p.Expire(at(400)).Granted()), ShouldResemble, []string{"next"})
		})
	})
}

// Guards against batch work that a new slot owner grants before it knows which slots are in use. After a restart of all
// daemons, several of them own a service for a moment, and their grants together exceed the slots of the targets.
func TestBatchWorkIsDelayedAtATakeover(t *testing.T) {
	Convey("A new owner grants online requests at once and batch work after the delay", t, func() {
		var p pool.Pool

		p.SetTargets([]pool.Target{pool.NewTarget("t", "a", 2)})
		p.DelayBatch(at(800))
		So(leaseIDs(p.Request(newBatchRequest("b", 9000), at(0)).Granted()), ShouldBeEmpty)
		So(leaseIDs(p.Request(newOnlineRequest("o", 300), at(1)).Granted()), ShouldResemble, []string{"o"})
		So(leaseIDs(p.Expire(at(790)).Granted()), ShouldBeEmpty)
		So(leaseIDs(p.Expire(at(810)).Granted()), ShouldResemble, []string{"b"})
	})
}

// Guards against requests that are kept waiting although their response cannot be on time.
func TestRefusesTooLongWaits(t *testing.T) {
	Convey("When online requests hold all slots", t, func() {
		var p pool.Pool

		fillPool(&p, newOnlineRequest("a", 300), newOnlineRequest("b", 300))

		Convey("a request whose expected wait exceeds its maximum is refused and does not wait", func() {
			So(p.Request(newOnlineRequest("c", 300).WithMaxWait(100*time.Millisecond), at(1)).IsRefused(), ShouldBeTrue)
			So(p.Waiting(pool.Online), ShouldEqual, 0)
		})

		Convey("a request with a longer maximum waits", func() {
			So(p.Request(newOnlineRequest("c", 300).WithMaxWait(10*time.Second), at(1)).IsRefused(), ShouldBeFalse)
			So(leaseIDs(p.Release("a", "t", pool.NoFault, at(2)).Granted()), ShouldResemble, []string{"c"})
		})

		Convey("a stream that is resumed is never refused and is served first", func() {
			p.Request(newOnlineRequest("c", 300).WithMaxWait(10*time.Second), at(1))
			p.Request(newOnlineRequest("resumed", 1), at(2))
			So(leaseIDs(p.Release("a", "t", pool.NoFault, at(3)).Granted()), ShouldResemble, []string{"resumed"})
		})
	})
}

// Guards against requests of a backlog that are late already and are served before new ones, so that these miss their
// objectives as well and the backlog never ends.
func TestLateRequestsAreServedAfterThoseOnTime(t *testing.T) {
	Convey("When a late request and a batch item wait for the only slot", t, func() {
		var p pool.Pool

		fillPool(&p, newOnlineRequest("running", 300))
		p.Request(newBatchRequest("item", 100), at(1))
		p.Request(newOnlineRequest("late", 200).AsLate(), at(2))

		Convey("a new request with a later due time goes first, the late one next and the item last", func() {
			p.Request(newOnlineRequest("new", 400), at(3))

			order := []string{}
			for _, id := range []string{"running", "new", "late"} {
				order = append(order, leaseIDs(p.Release(id, "t", pool.NoFault, at(10)).Granted())...)
			}

			So(order, ShouldResemble, []string{"new", "late", "item"})
		})
	})
}

// Guards against a slot that leaks or is granted twice when messages are lost, repeated or late.
func TestLostRepeatedAndLateMessages(t *testing.T) {
	Convey("With a granted request", t, func() {
		var p pool.Pool

		fillPool(&p, newOnlineRequest("a", 300))

		Convey("the repeated request gets the same slot", func() {
			a := p.Request(newOnlineRequest("a", 300), at(5))
			So(leaseIDs(a.Granted()), ShouldResemble, []string{"a"})

			used, _ := p.Usage()
			So(used, ShouldEqual, 1)
		})

		Convey("a report that was sent before the release does not restore the lease", func() {
			p.Release("a", "t", pool.NoFault, at(5))
			p.Report("vm", []pool.Lease{pool.NewLease("a", "vm", "t", pool.Online, at(300), 0)}, at(6))

			used, _ := p.Usage()
			So(used, ShouldEqual, 0)
		})

		Convey("a lease that its holder does not report is removed after the grace period", func() {
			p.Report("vm", nil, at(100))
			used, _ := p.Usage()
			So(used, ShouldEqual, 1)

			p.Report("vm", nil, at(600))
			used, _ = p.Usage()
			So(used, ShouldEqual, 0)
		})

		Convey("the leases of a daemon that has stopped reporting are removed", func() {
			p.Report("vm", []pool.Lease{pool.NewLease("a", "vm", "t", pool.Online, at(300), 0)}, at(100))
			p.Expire(at(5000))

			used, _ := p.Usage()
			So(used, ShouldEqual, 0)
		})
	})

	Convey("A request that is withdrawn after it was granted releases its slot at once", t, func() {
		var p pool.Pool

		fillPool(&p, newOnlineRequest("a", 300))
		p.Request(newOnlineRequest("b", 300), at(1))
		So(leaseIDs(p.Withdraw("a", at(5)).Granted()), ShouldResemble, []string{"b"})

		Convey("and a report that was sent before does not restore the lease", func() {
			p.Report("vm", []pool.Lease{pool.NewLease("a", "vm", "t", pool.Online, at(300), 0)}, at(6))
			used, _ := p.Usage()
			So(used, ShouldEqual, 1)
		})
	})

	Convey("The waiting requests of a holder that cannot be notified are dropped", t, func() {
		var p pool.Pool

		fillPool(&p, newOnlineRequest("a", 300))
		p.Request(pool.NewSlotRequest("lost1", "lost", "a", pool.Online, 0, at(100)), at(1))
		p.Request(pool.NewSlotRequest("lost2", "lost", "a", pool.Batch, 0, at(100)), at(1))
		p.Request(newBatchRequest("b", 300), at(1))
		p.DropWaiting("lost")
		So(p.Waiting(pool.Online), ShouldEqual, 0)
		So(leaseIDs(p.Release("a", "t", pool.NoFault, at(5)).Granted()), ShouldResemble, []string{"b"})
	})

	Convey("A waiting request that its holder does not repeat is dropped", t, func() {
		var p pool.Pool

		fillPool(&p, newOnlineRequest("a", 9000))
		p.Request(newOnlineRequest("o", 300), at(1))
		p.Request(newBatchRequest("b", 300), at(1))
		p.Expire(at(1000))
		So(p.Waiting(pool.Online), ShouldEqual, 1)

		p.Request(newBatchRequest("b", 300), at(2000))
		p.Expire(at(2500))
		So(p.Waiting(pool.Online), ShouldEqual, 0)
		So(p.Waiting(pool.Batch), ShouldEqual, 1)

		p.Expire(at(9000))
		So(p.Waiting(pool.Batch), ShouldEqual, 0)
	})

	Convey("A new owner learns the leases from reports", t, func() {
		var p pool.Pool

		p.SetTargets([]pool.Target{pool.NewTarget("t", "a", 1)})
		p.Report("other", []pool.Lease{pool.NewLease("x", "other", "t", pool.Online, at(300), 0)}, at(0))
		So(leaseIDs(p.Request(newOnlineRequest("a", 300), at(1)).Granted()), ShouldBeEmpty)
	})
}

// Guards against targets that get requests although they fail, and against ejected targets that never get any again.
func TestSuspectTargetsAreEjected(t *testing.T) {
	Convey("With two targets, one of them in the caller's failure domain", t, func() {
		var p pool.Pool

		p.SetTargets([]pool.Target{pool.NewTarget("near", "a", 4), pool.NewTarget("far", "b", 4)})

		request := func(id string, ms int) string {
			for _, g := range p.Request(newOnlineRequest(id, 300), at(ms)).Granted() {
				return g.Target()
			}

			return ""
		}

		So(request("a", 0), ShouldEqual, "near")

		Convey("a target that accepts no connection is ejected, probed, and used again after a success", func() {
			p.Release("a", "near", pool.Unreachable, at(1))
			So(request("b", 2), ShouldEqual, "far")
			So(request("c", 300), ShouldEqual, "far")

			p.SetTargets([]pool.Target{pool.NewTarget("near", "a", 4)})
			So(request("d", 301), ShouldEqual, "near")
			So(request("e", 302), ShouldEqual, "")

			So(leaseIDs(p.Release("d", "near", pool.NoFault, at(330)).Granted()), ShouldResemble, []string{"e"})
			So(request("f", 332), ShouldEqual, "near")
		})

		Convey("a single broken response does not eject it", func() {
			p.Release("a", "near", pool.Broken, at(1))
			So(request("b", 2), ShouldEqual, "near")
		})

		Convey("a request that excludes it goes to the other target", func() {
			d := newOnlineRequest("b", 300).WithExcludedTargets([]string{"near"})
			So(p.Request(d, at(1)).Granted()[0].Target(), ShouldEqual, "far")
		})
	})
}

// Guards against batch items that are late anyway and delay those that can still be on time.
func TestLateItemsAreServedLast(t *testing.T) {
	Convey("When a slot becomes free, the item that can still be on time gets it", t, func() {
		var p pool.Pool

		fillPool(&p, newOnlineRequest("a", 300))
		p.Request(newBatchRequest("late", 1000).WithRunTime(5*time.Second), at(1))
		p.Request(newBatchRequest("timely", 9000).WithRunTime(5*time.Second), at(2))
		So(leaseIDs(p.Release("a", "t", pool.NoFault, at(300)).Granted()), ShouldResemble, []string{"timely"})
	})
}

func BenchmarkRequestAndRelease(b *testing.B) {
	var p pool.Pool

	l := []pool.Target{}
	for i := range 90 {
		l = append(l, pool.NewTarget(fmt.Sprint("t", i), fmt.Sprint(i%5), 7))
	}

	p.SetTargets(l)

	for i := range 500 {
		p.Request(newOnlineRequest(fmt.Sprint("held", i), 300), at(0))
	}

	b.ReportAllocs()

	for i := 0; b.Loop(); i++ {
		id := fmt.Sprint("n", i)
		a := p.Request(newOnlineRequest(id, 300), at(i))
		p.Release(id, a.Granted()[0].Target(), pool.NoFault, at(i))
		p.Expire(at(i + 5000*i))
	}
}

// Guards against a new connection for each request although the daemon has an idle one to a target with a free slot.
func TestPrefersIdleConnections(t *testing.T) {
	Convey("With three targets, one of which has just served a daemon", t, func() {
		var p pool.Pool

		p.SetTargets([]pool.Target{pool.NewTarget("t1", "a", 2), pool.NewTarget("t2", "a", 2), pool.NewTarget("t3", "a", 2)})

		first := p.Request(newOnlineRequest("busy", 1000), at(0)).Granted()[0].Target()
		second := p.Request(newOnlineRequest("r1", 1000), at(0)).Granted()[0]
		So(second.Target(), ShouldNotEqual, first)
		p.Release("r1", second.Target(), pool.NoFault, at(10))

		Convey("the next request of the daemon goes there, and a further one does not", func() {
			So(p.Request(newOnlineRequest("r2", 1000), at(20)).Granted()[0].Target(), ShouldEqual, second.Target())
			So(p.Request(newOnlineRequest("r3", 1000), at(20)).Granted()[0].Target(), ShouldNotEqual, second.Target())
		})

		Convey("other daemons go there only by preference, and so does this one once the connection has expired", func() {
			other := pool.NewSlotRequest("o", "other", "a", pool.Online, 0, at(1000)).WithPreferredTarget(second.Target())
			So(p.Request(other, at(20)).Granted()[0].Target(), ShouldEqual, second.Target())
			So(p.Request(pool.NewSlotRequest("o2", "other", "a", pool.Online, 0, at(1000)), at(20)).Granted()[0].Target(),
				ShouldNotEqual, second.Target())

			p.Expire(at(5000))
			So(p.Request(newOnlineRequest("r4", 6000), at(5000)).Granted()[0].Target(), ShouldNotEqual, second.Target())
		})
	})
}
