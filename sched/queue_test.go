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

// model tracks the requests and leases of a queue as their holders see them, and checks the actions of the queue.
type model struct {
	queue           *sched.Queue
	now             time.Time
	waiting         map[sched.LeaseID]sched.SlotRequest
	leases          map[sched.LeaseID]sched.SlotRequest
	ended           map[sched.LeaseID]bool
	beforeOnline    map[sched.LeaseID]bool // batch leases granted while short online work waited
	maxBeforeOnline int                    // bound on their number
	lastID          int
}

func newModel(limit int, atRiskShare float64) *model {
	return &model{
		queue: sched.NewQueue(sched.NewSettings(leaseTTL, atRiskShare).WithFixedLimit(limit)), now: start,
		waiting: map[sched.LeaseID]sched.SlotRequest{}, leases: map[sched.LeaseID]sched.SlotRequest{},
		ended: map[sched.LeaseID]bool{}, beforeOnline: map[sched.LeaseID]bool{},
		maxBeforeOnline: int(math.Ceil(atRiskShare * float64(limit))),
	}
}

// apply checks the actions against the model and returns the preempted leases.
func (m *model) apply(t fatalReporter, a []sched.Action) (preempted []sched.LeaseID) {
	for _, v := range a {
		d, waits := m.waiting[v.ID()]

		switch v.Kind() {
		case sched.Grant:
			if !waits {
				t.Fatalf("%s was granted but was not waiting", v.ID())
			}

			delete(m.waiting, v.ID())
			m.leases[v.ID()] = d
			m.checkShare(t, d)
		case sched.Reject:
			if !waits {
				t.Fatalf("%s was rejected but was not waiting", v.ID())
			}

			delete(m.waiting, v.ID())
			m.ended[v.ID()] = true
		case sched.Preempt:
			if h, ok := m.leases[v.ID()]; !ok || h.Class() != sched.Batch {
				t.Fatalf("%s was preempted but is not a batch lease", v.ID())
			}

			preempted = append(preempted, v.ID())
		}
	}

	return preempted
}

// checkShare fails if batch work gets more slots before waiting short online work than the share for work at risk.
func (m *model) checkShare(t fatalReporter, d sched.SlotRequest) {
	if d.Class() != sched.Batch {
		return
	}

	for _, w := range m.waiting {
		if w.Class() == sched.Online && !w.IsLong() {
			m.beforeOnline[d.ID()] = true
		}
	}

	if len(m.beforeOnline) > m.maxBeforeOnline || m.beforeOnline[d.ID()] && d.Deadline().IsZero() {
		t.Fatalf("%d batch leases were granted while online work waits; the share allows %d",
			len(m.beforeOnline), m.maxBeforeOnline)
	}
}

func (m *model) request(t fatalReporter, d sched.SlotRequest) []sched.LeaseID {
	m.waiting[d.ID()] = d

	return m.apply(t, m.queue.Request(m.now, d))
}

func (m *model) release(t fatalReporter, id sched.LeaseID) []sched.LeaseID {
	delete(m.leases, id)
	delete(m.beforeOnline, id)
	m.ended[id] = true

	return m.apply(t, m.queue.Release(m.now, id, sched.NewObservation(0, 0, 10*time.Millisecond, 1, true)))
}

// firstLease returns the held lease with the smallest identifier, so that the choice is repeatable.
func (m *model) firstLease() (sched.LeaseID, bool) {
	if len(m.leases) == 0 {
		return "", false
	}

	return slices.Min(slices.Collect(maps.Keys(m.leases))), true
}

func (m *model) newID() sched.LeaseID {
	m.lastID++

	return sched.LeaseID(fmt.Sprint(m.lastID))
}

type fatalReporter interface {
	Fatalf(format string, args ...any)
}

// Guards against a queue that exceeds its limit, grants batch work before online work, or loses a request.
func TestQueueProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 12).Draw(t, "limit")
		m := newModel(limit, rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "at_risk_share"))

		var preempted []sched.LeaseID

		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			m.now = m.now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)

			switch rapid.IntRange(0, 3).Draw(t, "op") {
			case 0, 1:
				preempted = append(preempted, m.request(t, drawRequest(t, m))...)
			case 2:
				if id, ok := m.firstLease(); ok {
					preempted = append(preempted, m.release(t, id)...)
				}
			case 3:
				preempted = append(preempted, m.apply(t, m.queue.Expire(m.now))...)
			}

			// Holders release preempted slots some time later, and renew the others.
			if len(preempted) > 0 && rapid.Bool().Draw(t, "give_back") {
				id := preempted[0]
				preempted = preempted[1:]

				if _, ok := m.leases[id]; ok {
					preempted = append(preempted, m.release(t, id)...)
				}
			}

			for _, id := range slices.Sorted(maps.Keys(m.leases)) {
				preempted = append(preempted, m.apply(t, m.queue.Renew(m.now, m.leases[id]))...)
			}

			if l := m.queue.Load(); len(m.leases) > limit || l.Online()+l.Batch() != len(m.leases) {
				t.Fatalf("%d leases at a limit of %d; the queue counts %d", len(m.leases), limit, l.Online()+l.Batch())
			}
		}

		m.releaseAll(t)
	})
}

func drawRequest(t *rapid.T, m *model) sched.SlotRequest {
	c := rapid.SampledFrom([]sched.Class{sched.Online, sched.Batch}).Draw(t, "class")
	d := time.Time{}

	if c == sched.Online || rapid.Bool().Draw(t, "at_risk") {
		d = m.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "deadline")) * time.Millisecond)
	}

	a := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account")

	return sched.NewSlotRequest(m.newID(), "vm-1", a, c, d).WithSize(8, c == sched.Online && rapid.Bool().Draw(t, "long"))
}

// releaseAll releases leases until every request has ended. The number of rounds is bounded.
func (m *model) releaseAll(t fatalReporter) {
	for i := 0; len(m.leases)+len(m.waiting) > 0; i++ {
		if i > 10_000 {
			t.Fatalf("%d requests never end", len(m.waiting))
		}

		m.now = m.now.Add(time.Millisecond)

		if id, ok := m.firstLease(); ok {
			m.release(t, id)
		}

		if len(m.leases) == 0 {
			m.apply(t, m.queue.Expire(m.now))
		}
	}

	if len(m.ended) != m.lastID || !m.queue.Idle() {
		t.Fatalf("%d of %d requests ended", len(m.ended), m.lastID)
	}
}

// Guards against short work that waits while long work uses every slot.
func TestShortWorkDoesNotStarve(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(2, 16).Draw(t, "limit")
		m := newModel(limit, 0)

		for range rapid.IntRange(1, 60).Draw(t, "long") {
			m.request(t, sched.NewSlotRequest(m.newID(), "vm-1", "a", sched.Online, m.now.Add(time.Hour)).WithSize(500, true))
		}

		d := sched.NewSlotRequest(m.newID(), "vm-1", "a", sched.Online, m.now.Add(2*time.Hour)).WithSize(10, false)
		m.request(t, d)

		if _, ok := m.leases[d.ID()]; !ok {
			t.Fatalf("short work waits while %d requests hold slots", len(m.leases))
		}
	})
}

// Guards against a burst that waits for batch work to end, and against a burst that preempts more slots than it needs.
func TestBurstPreemptsOnlyNeededSlots(t *testing.T) {
	Convey("Given batch work in every slot", t, func() {
		m := newModel(8, 0)
		for range 8 {
			m.request(t, sched.NewSlotRequest(m.newID(), "vm-1", "a", sched.Batch, time.Time{}))
		}

		So(m.leases, ShouldHaveLength, 8)

		var preempted []sched.LeaseID
		for range 3 {
			preempted = append(preempted,
				m.request(t, sched.NewSlotRequest(m.newID(), "vm-2", "b", sched.Online, m.now.Add(time.Second)))...)
		}

		So(preempted, ShouldHaveLength, 3)

		for _, id := range preempted {
			m.release(t, id)
		}

		So(m.waiting, ShouldBeEmpty)
		So(m.queue.Load(), ShouldResemble, sched.NewLoad(3, 5, 0, 8))
	})
}

// Guards against the preemption of work that may not run twice.
func TestNonPreemptibleWorkKeepsItsSlot(t *testing.T) {
	Convey("Given batch work in every slot, one item of which may not run twice", t, func() {
		m := newModel(2, 0)
		nonPreemptible := sched.NewSlotRequest(m.newID(), "vm-1", "a", sched.Batch, time.Time{})
		m.request(t, nonPreemptible.WithNonPreemptible(true))

		preemptible := sched.NewSlotRequest(m.newID(), "vm-1", "a", sched.Batch, time.Time{})
		m.request(t, preemptible)

		So(m.request(t, sched.NewSlotRequest(m.newID(), "vm-2", "b", sched.Online, m.now.Add(time.Second))),
			ShouldResemble, []sched.LeaseID{preemptible.ID()})
		So(m.request(t, sched.NewSlotRequest(m.newID(), "vm-2", "b", sched.Online, m.now.Add(time.Second))), ShouldBeEmpty)
	})
}

// Guards against batch work at risk that gets more than its share while online work waits.
func TestAtRiskBatchShareIsBounded(t *testing.T) {
	Convey("Given online work in every slot and waiting batch work at risk", t, func() {
		m := newModel(10, 0.2)
		var preempted []sched.LeaseID

		for range 20 {
			preempted = append(preempted,
				m.request(t, sched.NewSlotRequest(m.newID(), "vm-1", "a", sched.Online, m.now.Add(time.Minute)))...)
			preempted = append(preempted,
				m.request(t, sched.NewSlotRequest(m.newID(), "vm-1", "b", sched.Batch, m.now.Add(10*time.Second)))...)
		}

		for len(preempted) > 0 {
			id := preempted[0]
			preempted = append(preempted[1:], m.release(t, id)...)
		}

		So(m.queue.Load(), ShouldResemble, sched.NewLoad(8, 2, 12, 10))
	})
}

// Guards against slots that are never released after their holder has died.
func TestLeasesExpire(t *testing.T) {
	Convey("Given a holder that has died and one that renews its lease", t, func() {
		m := newModel(2, 0)
		dead := sched.NewSlotRequest(m.newID(), "vm-1", "a", sched.Online, m.now.Add(time.Minute))
		live := sched.NewSlotRequest(m.newID(), "vm-2", "a", sched.Online, m.now.Add(time.Minute))
		m.request(t, dead)
		m.request(t, live)

		m.now = m.now.Add(leaseTTL - time.Second)
		m.queue.Renew(m.now, live)

		m.now = m.now.Add(2 * time.Second)
		m.queue.Expire(m.now)
		So(m.queue.Load().Online(), ShouldEqual, 1)
	})
}

// Guards against a new owner that grants slots in use.
func TestNewOwnerAdoptsReportedLeases(t *testing.T) {
	Convey("Given leases that their holders report to a new owner", t, func() {
		m := newModel(2, 0)
		for range 2 {
			d := sched.NewSlotRequest(m.newID(), "vm-1", "a", sched.Online, m.now.Add(time.Minute))
			So(m.queue.Renew(m.now, d), ShouldBeEmpty)
		}

		d := sched.NewSlotRequest(m.newID(), "vm-1", "a", sched.Online, m.now.Add(time.Minute))
		m.request(t, d)
		So(m.leases, ShouldBeEmpty)
		So(m.waiting, ShouldHaveLength, 1)
	})
}

// Guards against an account whose many requests leave no slot to another account.
func TestFloodingAccountLeavesFairShare(t *testing.T) {
	Convey("Given an account with many requests and another with a single later one", t, func() {
		m := newModel(4, 0)
		for range 100 {
			m.request(t, sched.NewSlotRequest(m.newID(), "vm-1", "flood", sched.Online, m.now.Add(time.Second)))
		}

		few := sched.NewSlotRequest(m.newID(), "vm-1", "few", sched.Online, m.now.Add(time.Minute))
		m.request(t, few)

		id, _ := m.firstLease()
		m.release(t, id)

		_, ok := m.leases[few.ID()]
		So(ok, ShouldBeTrue)
	})
}

// Guards against a collapse of goodput under overload, when slots are granted to work that ends after its deadline.
func TestRejectsRequestsThatCannotMeetDeadline(t *testing.T) {
	Convey("Given a full target whose work takes 100 ms", t, func() {
		q := sched.NewQueue(sched.NewSettings(leaseTTL, 0).WithFixedLimit(1))
		request := func(now time.Time, id sched.LeaseID, left time.Duration) []sched.Action {
			return q.Request(now, sched.NewSlotRequest(id, "vm-1", "a", sched.Online, now.Add(left)))
		}

		request(start, "first", time.Second)
		q.Release(start.Add(100*time.Millisecond), "first",
			sched.NewObservation(50*time.Millisecond, 0, 100*time.Millisecond, 1, true))
		request(start, "second", time.Second)

		a := request(start, "third", 120*time.Millisecond)
		So(a, ShouldHaveLength, 1)
		So(a[0].Kind(), ShouldEqual, sched.Reject)
		So(a[0].RetryAfter(), ShouldBeGreaterThan, 0)
		So(request(start, "fourth", time.Second), ShouldBeEmpty)
	})
}

// Guards against a limit that stays high while a target queues requests or slows down, and one that never recovers.
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

		Convey("a target that becomes ten times slower loses slots and gets them back when it recovers", func() {
			for range 40 {
				observe(50*time.Millisecond, 20*time.Millisecond)
			}

			So(l.Value(), ShouldBeLessThan, high/2)

			for range 2000 {
				observe(5*time.Millisecond, 2*time.Millisecond)
			}

			So(l.Value(), ShouldBeGreaterThanOrEqualTo, high)
		})
		Convey("work that started before a cut does not cause another one", func() {
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

// Guards against long work that is not distinguished from short work.
func TestSizesPredictLongWork(t *testing.T) {
	Convey("Given a service with 5% of its work 50 times as long as the rest", t, func() {
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

// BenchmarkQueue measures requests and releases of a queue at its limit.
func BenchmarkQueue(b *testing.B) {
	const limit = 16

	now := time.Unix(0, 0)
	q := sched.NewQueue(sched.NewSettings(3*time.Second, 0.1).WithFixedLimit(limit))

	for i := range limit {
		q.Request(now,
			sched.NewSlotRequest(sched.LeaseID(fmt.Sprint("held-", i)), "vm", "lintas", sched.Online, now.Add(time.Hour)))
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
