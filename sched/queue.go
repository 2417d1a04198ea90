package sched

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"
)

// Settings are the settings of a queue. NewSettings fills them.
type Settings struct {
	leaseTTL         time.Duration
	maxLongShare   float64
	atRiskShare float64
	atRiskWindow  time.Duration
	fixedLimit       int
}

const (
	// maxLongShare is the share of slots that work predicted to be long may hold.
	maxLongShare = 0.5
	// atRiskWindow is the time before its deadline from which batch work is at risk.
	atRiskWindow = 30 * time.Second
	// waitSafetyFactor is how much longer than estimated a wait may turn out. Without it, the queue of an overloaded target
	// grows until work starts as late as its deadline allows, and whatever is slower than estimated is lost.
	waitSafetyFactor = 1.5
	// preemptionRepeatInterval is the time after which a preemption is repeated.
	preemptionRepeatInterval = time.Second
)

// NewSettings returns settings with a time limit of grants and the share of slots for batch work at risk.
func NewSettings(ttl time.Duration, atRiskShare float64) Settings {
	return Settings{leaseTTL: ttl, maxLongShare: maxLongShare, atRiskShare: atRiskShare, atRiskWindow: atRiskWindow}
}

// WithFixedLimit returns a copy with a limit that does not adapt.
func (s Settings) WithFixedLimit(n int) Settings {
	s.fixedLimit = n

	return s
}

// LeaseTTL returns the time after which a grant that is not renewed returns.
func (s Settings) LeaseTTL() time.Duration { return s.leaseTTL }

// lease is a slot in use.
type lease struct {
	request    SlotRequest
	since     time.Time
	expires   time.Time
	atRisk      bool
	preempted bool
	notifiedAt      time.Time // when the holder was last told of the preemption
}

// waitingRequest is a demand that waits.
type waitingRequest struct {
	request SlotRequest
	since  time.Time
}

// Queue has the grants and the waiting demands of one target. It is safe for concurrent use.
type Queue struct {
	settings Settings

	mu     sync.Mutex
	limit  Limit
	leases map[LeaseID]*lease
	// waiting finds the lane of a demand that is withdrawn.
	waiting map[LeaseID]SlotRequest

	short waitQueue
	long  waitQueue
	batch waitQueue
	meanLeaseDuration  float64 // mean time of an online grant, in nanoseconds
	leaseCounts map[accountClass]int
	releasedAt map[LeaseID]time.Time // released lately; messages about them may still be on their way
}

// accountClass counts the grants of an account in a class.
type accountClass struct {
	account string
	class   Class
}

// NewQueue returns a queue without grants.
func NewQueue(s Settings) *Queue {
	return &Queue{settings: s, limit: NewLimit(), leases: map[LeaseID]*lease{}, leaseCounts: map[accountClass]int{}, releasedAt: map[LeaseID]time.Time{}, waiting: map[LeaseID]SlotRequest{}}
}

// Request takes a demand. It is granted or rejected now, or waits for a later action.
func (q *Queue) Request(now time.Time, d SlotRequest) []Action {
	q.mu.Lock()
	defer q.mu.Unlock()

	if _, ok := q.leases[d.id]; ok {
		return []Action{{kind: Grant, id: d.id, holder: d.holder}}
	}

	if _, ok := q.releasedAt[d.id]; ok { // withdrawn before it arrived
		return []Action{{kind: Reject, id: d.id, holder: d.holder}}
	}

	if w, late := q.isTooLate(now, d); late {
		return []Action{{kind: Reject, id: d.id, holder: d.holder, retryAfter: w}}
	}

	q.waitQueueFor(d).add(waitingRequest{request: d, since: now})
	q.waiting[d.id] = d

	a := q.schedule(now)
	if d.maxWait < 0 && q.waitQueueFor(d).remove(d) {
		delete(q.waiting, d.id)

		a = append(a, Action{kind: Reject, id: d.id, holder: d.holder, retryAfter: q.expectedWait(d)})
	}

	return a
}

// Release returns a slot, or withdraws a waiting demand.
func (q *Queue) Release(now time.Time, id LeaseID, o Observation) []Action {
	q.mu.Lock()
	defer q.mu.Unlock()

	q.releasedAt[id] = now

	g, ok := q.leases[id]
	if !ok {
		if d, waits := q.waiting[id]; waits {
			delete(q.waiting, id)
			q.waitQueueFor(d).remove(d)
		}

		return q.schedule(now)
	}

	if !g.preempted && o.total > 0 {
		q.limit.Observe(now, o, len(q.leases))
	}

	if g.request.class == Online {
		q.meanLeaseDuration, _ = smoothWithBest(q.meanLeaseDuration, 0, float64(now.Sub(g.since)))
	}

	q.removeLease(g)

	return q.schedule(now)
}

// Renew extends a grant. A grant that is reported by its holder and not known is taken over, which is how a new owner
// learns the slots in use. It returns a Preempt again when the holder was told a while ago and has kept the slot, as
// the message may have been lost.
func (q *Queue) Renew(now time.Time, d SlotRequest) []Action {
	q.mu.Lock()
	defer q.mu.Unlock()

	if _, ok := q.releasedAt[d.id]; ok {
		return nil
	}

	g, ok := q.leases[d.id]
	if !ok {
		g = q.addLease(now, d, false)
	}

	g.expires = now.Add(q.settings.leaseTTL)

	if !g.preempted || now.Sub(g.notifiedAt) < preemptionRepeatInterval {
		return nil
	}

	g.notifiedAt = now

	return []Action{{kind: Preempt, id: d.id, holder: d.holder}}
}

// Expire ends demands whose time is over and grants that were not renewed.
func (q *Queue) Expire(now time.Time) []Action {
	q.mu.Lock()
	defer q.mu.Unlock()

	for _, g := range q.leases {
		if now.After(g.expires) {
			q.removeLease(g)
		}
	}

	for id, t := range q.releasedAt {
		if now.Sub(t) > q.settings.leaseTTL {
			delete(q.releasedAt, id)
		}
	}

	var a []Action

	for _, l := range []*waitQueue{&q.short, &q.long, &q.batch} {
		for _, w := range l.removeIf(func(w waitingRequest) bool { return q.hasTimedOut(now, w) }) {
			delete(q.waiting, w.request.id)

			a = append(a, Action{kind: Reject, id: w.request.id, holder: w.request.holder, retryAfter: q.expectedWait(w.request)})
		}
	}

	return append(a, q.schedule(now)...)
}

// Load returns the load.
func (q *Queue) Load() Load {
	q.mu.Lock()
	defer q.mu.Unlock()

	l := Load{waiting: q.short.count + q.long.count, limit: q.slotLimit()}

	for _, g := range q.leases {
		if g.request.class == Batch {
			l.batch++
		} else {
			l.online++
		}
	}

	return l
}

// Idle reports whether the queue has neither grants nor waiting demands.
func (q *Queue) Idle() bool {
	q.mu.Lock()
	defer q.mu.Unlock()

	return len(q.leases)+q.short.count+q.long.count+q.batch.count == 0
}

func (q *Queue) slotLimit() int {
	if q.settings.fixedLimit > 0 {
		return q.settings.fixedLimit
	}

	return q.limit.Value()
}

func (q *Queue) waitQueueFor(d SlotRequest) *waitQueue {
	switch {
	case d.class == Batch:
		return &q.batch
	case d.predictedLong:
		return &q.long
	default:
		return &q.short
	}
}

// shareOfSlots returns a share of the slots, at least one slot when the share is above 0.
func (q *Queue) shareOfSlots(s float64) int { return int(math.Ceil(s * float64(q.slotLimit()))) }

// countLeases returns the numbers of grants that the shares bound.
func (q *Queue) countLeases() (long, risk, preempted int) {
	for _, g := range q.leases {
		switch {
		case g.preempted:
			preempted++
		case g.atRisk:
			risk++
		case g.request.class == Online && g.request.predictedLong:
			long++
		}
	}

	return long, risk, preempted
}

// schedule grants free slots in order and preempts batch work that is in the way of more urgent work.
func (q *Queue) schedule(now time.Time) []Action {
	var a []Action

	long, risk, preempted := q.countLeases()

	for len(q.leases) < q.slotLimit() {
		l, atRisk := q.nextQueue(now, long, risk)
		if l == nil {
			break
		}

		w := l.dequeue(q.preferredTest(now, l, atRisk))
		delete(q.waiting, w.request.id)

		if !q.canMeetDeadline(now, w.request) {
			a = append(a, Action{kind: Reject, id: w.request.id, holder: w.request.holder, retryAfter: q.expectedWait(w.request)})

			continue
		}

		q.addLease(now, w.request, atRisk)
		a = append(a, Action{kind: Grant, id: w.request.id, holder: w.request.holder})

		switch {
		case atRisk:
			risk++
		case l == &q.long:
			long++
		}
	}

	need := q.short.count + min(q.long.count, max(0, q.shareOfSlots(q.settings.maxLongShare)-long)) + min(q.countAtRisk(now), max(0, q.maxAtRiskSlots()-risk))
	if need == 0 {
		return a
	}

	return append(a, q.preempt(now, need+len(q.leases)-q.slotLimit()-preempted)...)
}

// nextQueue returns the lane that gets the next slot, and whether the slot is one for batch work at risk.
func (q *Queue) nextQueue(now time.Time, long, risk int) (*waitQueue, bool) {
	switch {
	case risk < q.maxAtRiskSlots() && q.countAtRisk(now) > 0:
		return &q.batch, true
	case q.long.count > 0 && long == 0: // one slot keeps long work from starving behind short work
		return &q.long, false
	case q.short.count > 0:
		return &q.short, false
	case q.long.count > 0 && long < q.shareOfSlots(q.settings.maxLongShare):
		return &q.long, false
	case q.batch.count > 0:
		return &q.batch, false
	default:
		return nil, false
	}
}

func (q *Queue) maxAtRiskSlots() int { return q.shareOfSlots(q.settings.atRiskShare) }

// countAtRisk returns the number of waiting batch demands whose deadline is near.
func (q *Queue) countAtRisk(now time.Time) int {
	return q.batch.countUntil(now.Add(q.settings.atRiskWindow))
}

// preempt takes back the slots of n batch grants, the youngest first, which lose the least when their target cannot
// resume them.
func (q *Queue) preempt(now time.Time, n int) []Action {
	if n <= 0 {
		return nil
	}

	var l []*lease

	for _, g := range q.leases {
		if g.request.class == Batch && !g.request.nonPreemptible && !g.atRisk && !g.preempted {
			l = append(l, g)
		}
	}

	slices.SortFunc(l, func(a, b *lease) int {
		return cmp.Or(b.since.Compare(a.since), cmp.Compare(a.request.id, b.request.id))
	})

	var a []Action

	for _, g := range l[:min(n, len(l))] {
		g.preempted, g.notifiedAt = true, now
		a = append(a, Action{kind: Preempt, id: g.request.id, holder: g.request.holder})
	}

	return a
}

// preferredTest returns the test for the demands of a lane that go first: those at risk for a slot of that share, or else
// those of accounts that hold less than their fair share.
func (q *Queue) preferredTest(now time.Time, l *waitQueue, atRisk bool) func(w waitingRequest) bool {
	if atRisk {
		t := now.Add(q.settings.atRiskWindow)

		return func(w waitingRequest) bool { return !w.request.deadline.IsZero() && !w.request.deadline.After(t) }
	}

	c := Online
	if l == &q.batch {
		c = Batch
	}

	n := len(l.accounts)

	for h := range q.leaseCounts {
		if h.class == c && l.accounts[h.account] == nil {
			n++
		}
	}

	f := (q.slotLimit() + n - 1) / max(1, n)

	return func(w waitingRequest) bool { return q.leaseCounts[accountClass{account: w.request.account, class: c}] < f }
}

func (q *Queue) addLease(now time.Time, d SlotRequest, risk bool) *lease {
	g := &lease{request: d, since: now, expires: now.Add(q.settings.leaseTTL), atRisk: risk}
	q.leases[d.id] = g
	q.leaseCounts[accountClass{account: d.account, class: d.class}]++

	return g
}

func (q *Queue) removeLease(g *lease) {
	delete(q.leases, g.request.id)

	h := accountClass{account: g.request.account, class: g.request.class}

	q.leaseCounts[h]--
	if q.leaseCounts[h] == 0 {
		delete(q.leaseCounts, h)
	}
}

// isTooLate reports whether a new demand cannot meet its deadline or its bound on the wait, and after what time a retry
// would find a shorter queue.
func (q *Queue) isTooLate(now time.Time, d SlotRequest) (time.Duration, bool) {
	w := q.expectedWait(d)

	return w, d.class == Online && (!q.canMeetDeadline(now.Add(time.Duration(float64(w)*waitSafetyFactor)), d) || d.maxWait > 0 && w > d.maxWait)
}

// canMeetDeadline reports whether work that starts now ends before its deadline. Batch items have been accepted and run even
// when they are late.
func (q *Queue) canMeetDeadline(now time.Time, d SlotRequest) bool {
	if d.class == Batch || d.deadline.IsZero() {
		return true
	}

	return now.Add(q.limit.EstimateRunTime(d.tokens)).Before(d.deadline)
}

// expectedWait estimates how long a demand waits behind the demands that go before it.
func (q *Queue) expectedWait(d SlotRequest) time.Duration {
	l := q.waitQueueFor(d)
	slots := max(1, q.slotLimit())
	used := 0

	for _, g := range q.leases {
		if g.request.class == Online && (!d.predictedLong || g.request.predictedLong) || g.atRisk {
			used++
		}
	}

	if d.class == Online && d.predictedLong {
		slots = max(1, q.shareOfSlots(q.settings.maxLongShare))
	}

	ahead := l.countUntil(d.deadline) + used - slots + 1
	if ahead <= 0 {
		return 0
	}

	return time.Duration(float64(ahead) * q.meanLeaseDuration / float64(slots))
}

func (q *Queue) hasTimedOut(now time.Time, w waitingRequest) bool {
	return !q.canMeetDeadline(now, w.request) || w.request.maxWait > 0 && now.Sub(w.since) > w.request.maxWait
}
