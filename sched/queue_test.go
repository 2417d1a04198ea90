package sched_test

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/agategap/agategap/sched"
)

const leaseTTL = 3 * time.Second

var start = time.Unix(1_000_000, 0)

// model is a model of the holders of one queue's grants.
type model struct {
	queue   *sched.Queue
	now     time.Time
	waiting map[sched.LeaseID]sched.SlotRequest
	leases    map[sched.LeaseID]sched.SlotRequest
	ended   map[sched.LeaseID]bool
	beforeOnline   map[sched.LeaseID]bool // batch grants given while short online work waited
	maxBeforeOnline    int                    // bound on them
	lastID       int
}

func newModel(limit int, atRisk float64) *model {
	return &model{
		queue: sched.NewQueue(sched.NewSettings(leaseTTL, atRisk).WithFixedLimit(limit)), now: start,
		waiting: map[sched.LeaseID]sched.SlotRequest{}, leases: map[sched.LeaseID]sched.SlotRequest{}, ended: map[sched.LeaseID]bool{}, beforeOnline: map[sched.LeaseID]bool{}, maxBeforeOnline: int(math.Ceil(atRisk * float64(limit))),
	}
}

// apply checks the actions against the model. preempt takes the slots that must be given back.
func (o *model) apply(t fatalReporter, a []sched.Action) (preempt []sched.LeaseID) {
	for _, v := range a {
		d, waits := o.waiting[v.ID()]

		switch v.Kind() {
		case sched.Grant:
			if !waits {
				t.Fatalf("%s was granted and does not wait", v.ID())
			}

			delete(o.waiting, v.ID())
			o.leases[v.ID()] = d
			o.checkShare(t, d)
		case sched.Reject:
			if !waits {
				t.Fatalf("%s was rejected and does not wait", v.ID())
			}

			delete(o.waiting, v.ID())
			o.ended[v.ID()] = true
		case sched.Preempt:
			if h, ok := o.leases[v.ID()]; !ok || h.Class() != sched.Batch {
				t.Fatalf("%s was preempted and is no batch grant", v.ID())
			}

			preempt = append(preempt, v.ID())
		}
	}

	return preempt
}

// checkShare checks that batch work is not granted before short online work beyond the share of work at risk.
func (o *model) checkShare(t fatalReporter, d sched.SlotRequest) {
	if d.Class() != sched.Batch {
		return
	}

	for _, w := range o.waiting {
		if w.Class() == sched.Online && !w.IsLong() {
			o.beforeOnline[d.ID()] = true
		}
	}

	if len(o.beforeOnline) > o.maxBeforeOnline || o.beforeOnline[d.ID()] && d.Deadline().IsZero() {
		t.Fatalf("%d batch grants were given while online work waits; the share allows %d", len(o.beforeOnline), o.maxBeforeOnline)
	}
}

func (o *model) request(t fatalReporter, d sched.SlotRequest) []sched.LeaseID {
	o.waiting[d.ID()] = d

	return o.apply(t, o.queue.Request(o.now, d))
}

func (o *model) release(t fatalReporter, id sched.LeaseID) []sched.LeaseID {
	delete(o.leases, id)
	delete(o.beforeOnline, id)
	o.ended[id] = true

	return o.apply(t, o.queue.Release(o.now, id, sched.NewObservation(0, 0, 10*time.Millisecond, 1, true)))
}

// firstLease returns a grant, always the same of a set.
func (o *model) firstLease() (sched.LeaseID, bool) {
	if len(o.leases) == 0 {
		return "", false
	}

	return slices.Min(slices.Collect(maps.Keys(o.leases))), true
}

func (o *model) newID() sched.LeaseID {
	o.lastID++

	return sched.LeaseID(fmt.Sprint(o.lastID))
}

type fatalReporter interface {
	Fatalf(format string, args ...any)
}

// Guards against a queue that grants above the limit, grants batch work before online work, or loses a demand.
func TestQueueProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 12).Draw(t, "limit")
		o := newModel(limit, rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "at_risk_share"))

		var back []sched.LeaseID

		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			o.now = o.now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)

			switch rapid.IntRange(0, 3).Draw(t, "op") {
			case 0, 1:
				back = append(back, o.request(t, drawRequest(t, o))...)
			case 2:
				if id, ok := o.firstLease(); ok {
					back = append(back, o.release(t, id)...)
				}
			case 3:
				back = append(back, o.apply(t, o.queue.Expire(o.now))...)
			}

			// Holders give preempted slots back at some time, and renew the others.
			if len(back) > 0 && rapid.Bool().Draw(t, "give_back") {
				id := back[0]
				back = back[1:]

				if _, ok := o.leases[id]; ok {
					back = append(back, o.release(t, id)...)
				}
			}

			for _, id := range slices.Sorted(maps.Keys(o.leases)) {
				back = append(back, o.apply(t, o.queue.Renew(o.now, o.leases[id]))...)
			}

			if l := o.queue.Load(); len(o.leases) > limit || l.Online()+l.Batch() != len(o.leases) {
				t.Fatalf("%d grants at a limit of %d; the queue counts %d", len(o.leases), limit, l.Online()+l.Batch())
			}
		}

		o.releaseAll(t)
	})
}

func drawRequest(t *rapid.T, o *model) sched.SlotRequest {
	c := rapid.SampledFrom([]sched.Class{sched.Online, sched.Batch}).Draw(t, "class")
	d := time.Time{}

	if c == sched.Online || rapid.Bool().Draw(t, "at_risk") {
		d = o.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "deadline")) * time.Millisecond)
	}

	a := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account")

	return sched.NewSlotRequest(o.newID(), "vm-1", a, c, d).WithSize(8, c == sched.Online && rapid.Bool().Draw(t, "long"))
}

// releaseAll releases every grant until each demand ended. The number of rounds is bounded.
func (o *model) releaseAll(t fatalReporter) {
	for i := 0; len(o.leases)+len(o.waiting) > 0; i++ {
		if i > 10_000 {
			t.Fatalf("%d demands never end", len(o.waiting))
		}

		o.now = o.now.Add(time.Millisecond)

		if id, ok := o.firstLease(); ok {
			o.release(t, id)
		}

		if len(o.leases) == 0 {
			o.apply(t, o.queue.Expire(o.now))
		}
	}

	if len(o.ended) != o.lastID || !o.queue.Idle() {
		t.Fatalf("%d of %d demands ended", len(o.ended), o.lastID)
	}
}

// Guards against short work that waits while long work takes every free slot.
func TestShortWorkDoesNotStarve(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(2, 16).Draw(t, "limit")
		o := newModel(limit, 0)

		for range rapid.IntRange(1, 60).Draw(t, "long") {
			o.request(t, sched.NewSlotRequest(o.newID(), "vm-1", "a", sched.Online, o.now.Add(time.Hour)).WithSize(500, true))
		}

		d := sched.NewSlotRequest(o.newID(), "vm-1", "a", sched.Online, o.now.Add(2*time.Hour)).WithSize(10, false)
		o.request(t, d)

		if _, ok := o.leases[d.ID()]; !ok {
			t.Fatalf("short work waits behind %d pieces of long work", len(o.leases))
		}
	})
}

// Guards against a burst that waits for batch work, and against batch work that loses more slots than the burst needs.
func TestBurstPreemptsOnlyNeededSlots(t *testing.T) {
	Convey("Given batch work in every slot", t, func() {
		o := newModel(8, 0)
		for range 8 {
			o.request(t, sched.NewSlotRequest(o.newID(), "vm-1", "a", sched.Batch, time.Time{}))
		}

		So(o.leases, ShouldHaveLength, 8)

		var back []sched.LeaseID
		for range 3 {
			back = append(back, o.request(t, sched.NewSlotRequest(o.newID(), "vm-2", "b", sched.Online, o.now.Add(time.Second)))...)
		}

		So(back, ShouldHaveLength, 3)

		for _, id := range back {
			o.release(t, id)
		}

		So(o.waiting, ShouldBeEmpty)
		So(o.queue.Load(), ShouldResemble, sched.NewLoad(3, 5, 0, 8))
	})
}

// Guards against a burst that waits for a slot of work which may not be interrupted.
func TestNonPreemptibleWorkKeepsItsSlot(t *testing.T) {
	Convey("Given batch work in every slot, of which one item may not run again", t, func() {
		o := newModel(2, 0)
		keep := sched.NewSlotRequest(o.newID(), "vm-1", "a", sched.Batch, time.Time{})
		o.request(t, keep.WithNonPreemptible(true))

		yields := sched.NewSlotRequest(o.newID(), "vm-1", "a", sched.Batch, time.Time{})
		o.request(t, yields)

		So(o.request(t, sched.NewSlotRequest(o.newID(), "vm-2", "b", sched.Online, o.now.Add(time.Second))), ShouldResemble, []sched.LeaseID{yields.ID()})
		So(o.request(t, sched.NewSlotRequest(o.newID(), "vm-2", "b", sched.Online, o.now.Add(time.Second))), ShouldBeEmpty)
	})
}

// Guards against batch work at risk that takes more than its share from online work.
func TestAtRiskBatchShareIsBounded(t *testing.T) {
	Convey("Given online work in every slot and batch work at risk that waits", t, func() {
		o := newModel(10, 0.2)
		var back []sched.LeaseID

		for range 20 {
			back = append(back, o.request(t, sched.NewSlotRequest(o.newID(), "vm-1", "a", sched.Online, o.now.Add(time.Minute)))...)
			back = append(back, o.request(t, sched.NewSlotRequest(o.newID(), "vm-1", "b", sched.Batch, o.now.Add(10*time.Second)))...)
		}

		for len(back) > 0 {
			id := back[0]
			back = append(back[1:], o.release(t, id)...)
		}

		So(o.queue.Load(), ShouldResemble, sched.NewLoad(8, 2, 12, 10))
	})
}

// Guards against slots that never return when the daemon that holds them dies.
func TestLeasesExpire(t *testing.T) {
	Convey("Given a holder that died and one that renews", t, func() {
		o := newModel(2, 0)
		dead := sched.NewSlotRequest(o.newID(), "vm-1", "a", sched.Online, o.now.Add(time.Minute))
		live := sched.NewSlotRequest(o.newID(), "vm-2", "a", sched.Online, o.now.Add(time.Minute))
		o.request(t, dead)
		o.request(t, live)

		o.now = o.now.Add(leaseTTL - time.Second)
		o.queue.Renew(o.now, live)

		o.now = o.now.Add(2 * time.Second)
		o.queue.Expire(o.now)
		So(o.queue.Load().Online(), ShouldEqual, 1)
	})
}

// Guards against a new owner that grants slots which are in use.
func TestNewOwnerAdoptsReportedLeases(t *testing.T) {
	Convey("Given slots that requesters report to a new owner", t, func() {
		o := newModel(2, 0)
		for range 2 {
			d := sched.NewSlotRequest(o.newID(), "vm-1", "a", sched.Online, o.now.Add(time.Minute))
			So(o.queue.Renew(o.now, d), ShouldBeEmpty)
		}

		d := sched.NewSlotRequest(o.newID(), "vm-1", "a", sched.Online, o.now.Add(time.Minute))
		o.request(t, d)
		So(o.leases, ShouldBeEmpty)
		So(o.waiting, ShouldHaveLength, 1)
	})
}

// Guards against one account that floods a target and leaves no slot to another.
func TestFloodingAccountLeavesFairShare(t *testing.T) {
	Convey("Given an account with many demands and one with few later ones", t, func() {
		o := newModel(4, 0)
		for range 100 {
			o.request(t, sched.NewSlotRequest(o.newID(), "vm-1", "flood", sched.Online, o.now.Add(time.Second)))
		}

		few := sched.NewSlotRequest(o.newID(), "vm-1", "few", sched.Online, o.now.Add(time.Minute))
		o.request(t, few)

		id, _ := o.firstLease()
		o.release(t, id)

		_, ok := o.leases[few.ID()]
		So(ok, ShouldBeTrue)
	})
}

// Guards against goodput that collapses at overload because slots go to work that ends too late.
func TestRejectsRequestsThatCannotMeetDeadline(t *testing.T) {
	Convey("Given a full target whose work takes 100 ms", t, func() {
		q := sched.NewQueue(sched.NewSettings(leaseTTL, 0).WithFixedLimit(1))
		ask := func(now time.Time, id sched.LeaseID, left time.Duration) []sched.Action {
			return q.Request(now, sched.NewSlotRequest(id, "vm-1", "a", sched.Online, now.Add(left)))
		}

		ask(start, "first", time.Second)
		q.Release(start.Add(100*time.Millisecond), "first", sched.NewObservation(50*time.Millisecond, 0, 100*time.Millisecond, 1, true))
		ask(start, "second", time.Second)

		a := ask(start, "third", 120*time.Millisecond)
		So(a, ShouldHaveLength, 1)
		So(a[0].Kind(), ShouldEqual, sched.Reject)
		So(a[0].RetryAfter(), ShouldBeGreaterThan, 0)
		So(ask(start, "fourth", time.Second), ShouldBeEmpty)
	})
}

// Guards against a limit that stays up while a target queues or slows down, and one that never comes back.
func TestLimitFollowsObservedTimes(t *testing.T) {
	Convey("Given a healthy target at its limit", t, func() {
		l := sched.NewLimit()
		now := start
		observe := func(first, per time.Duration) {
			now = now.Add(50 * time.Millisecond)
			l.Observe(now, sched.NewObservation(first, per, time.Second, 20, true), l.Value())
		}

		for range 10 {
			observe(5*time.Millisecond, 2*time.Millisecond)
		}

		high := l.Value()
		So(high, ShouldBeGreaterThan, 16)

		Convey("a target that slows down ten times loses slots and gets them back", func() {
			for range 40 {
				observe(50*time.Millisecond, 20*time.Millisecond)
			}

			So(l.Value(), ShouldBeLessThan, high/2)

			for range 2000 {
				observe(5*time.Millisecond, 2*time.Millisecond)
			}

			So(l.Value(), ShouldBeGreaterThanOrEqualTo, high)
		})
		Convey("work that started before a cut does not lead to another", func() {
			for range 10 {
				now = now.Add(300 * time.Millisecond)
				observe(100*time.Millisecond, 2*time.Millisecond)
			}

			l1 := l.Value()
			So(l1, ShouldBeLessThan, high)

			now = now.Add(300 * time.Millisecond)
			l.Observe(now, sched.NewObservation(100*time.Millisecond, 2*time.Millisecond, time.Hour, 20, true), l1)
			So(l.Value(), ShouldEqual, l1)
		})
		Convey("a target that queues requests loses slots", func() {
			for range 40 {
				observe(100*time.Millisecond, 2*time.Millisecond)
			}

			So(l.Value(), ShouldBeLessThan, high)
		})
	})
}

// Guards against long work that is not told from short work.
func TestSizesPredictLongWork(t *testing.T) {
	Convey("Given a service with 5% of its work 50 times as long", t, func() {
		var s sched.Sizes

		for i := range 1000 {
			if i%20 == 0 {
				s.Observe("signwriter", 40, 2000, 1000)
			} else {
				s.Observe("signwriter", 40, 32, 20)
			}
		}

		_, long := s.Predict("signwriter", 40, 32)
		So(long, ShouldBeFalse)
		n, long := s.Predict("signwriter", 40, 2000)
		So(n, ShouldEqual, 1000)
		So(long, ShouldBeTrue)
	})
}

// BenchmarkQueue measures a demand and a release at a queue with batch work at its limit and waiting demands.
func BenchmarkQueue(b *testing.B) {
	const limit = 16

	now := time.Unix(0, 0)
	q := sched.NewQueue(sched.NewSettings(3*time.Second, 0.1).WithFixedLimit(limit))

	for i := range limit {
		q.Request(now, sched.NewSlotRequest(sched.LeaseID(fmt.Sprint("held-", i)), "vm", "lintas", sched.Online, now.Add(time.Hour)))
	}

	b.ReportAllocs()

	for i := range b.N {
		id := sched.LeaseID(fmt.Sprint("held-", i%limit))
		q.Request(now, sched.NewSlotRequest("next", "vm", "lintas", sched.Online, now.Add(time.Hour)))
		q.Release(now, id, sched.Observation{})
		q.Release(now, "next", sched.Observation{})
		q.Request(now, sched.NewSlotRequest(id, "vm", "lintas", sched.Online, now.Add(time.Hour)))
	}
}
