package sched

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"
)

// Settings are the settings of a Queue. Use NewSettings.
type Settings struct {
	leaseTTL     time.Duration
	maxLongShare float64
	atRiskShare  float64
	atRiskWindow time.Duration
	fixedLimit   int
}

const (
	// maxLongShare is the maximum share of the slots for online work that is predicted to be long.
	maxLongShare = 0.5
	// atRiskWindow is the time before its deadline in which waiting batch work is at risk.
	atRiskWindow = 30 * time.Second
	// waitSafetyFactor is the factor by which a wait may exceed its estimate. Without this margin, the queue of an
	// overloaded target grows until work starts as late as its deadline allows, and all work that is slower than
	// estimated is lost.
	waitSafetyFactor = 1.5
	// preemptionRepeatInterval is the time after which a holder that keeps a preempted slot is notified again.
	preemptionRepeatInterval = time.Second
)

// NewSettings returns settings with the time after which leases expire and the share of slots for batch work at risk.
func NewSettings(ttl time.Duration, atRiskShare float64) Settings {
	return Settings{leaseTTL: ttl, maxLongShare: maxLongShare, atRiskShare: atRiskShare, atRiskWindow: atRiskWindow}
}

// WithFixedLimit returns a copy with n slots instead of an adaptive limit.
func (s Settings) WithFixedLimit(n int) Settings {
	s.fixedLimit = n

	return s
}

// LeaseTTL returns the time after which a lease expires if it is not renewed.
func (s Settings) LeaseTTL() time.Duration { return s.leaseTTL }

// lease is a granted slot.
type lease struct {
	request    SlotRequest
	since      time.Time
	expires    time.Time
	atRisk     bool // uses one of the slots for batch work at risk
	preempted  bool
	notifiedAt time.Time // when the holder was last notified of the preemption
}

type waitingRequest struct {
	request SlotRequest
	since   time.Time
}

// Queue has the leases and the waiting requests of one target. Its methods return the actions that follow from a call,
// which may concern any request or lease. It is safe for concurrent use.
type Queue struct {
	settings Settings

	mu     sync.Mutex
	limit  Limit
	leases map[LeaseID]*lease
	// waiting has the requests in the wait queues by identifier, so that a withdrawn one is found in its queue.
	waiting map[LeaseID]SlotRequest

	short             waitQueue // online requests that are not predicted to be long
	long              waitQueue // online requests that are
	batch             waitQueue
	meanLeaseDuration float64 // moving average of online leases in nanoseconds; 0 before the first
	leaseCounts       map[accountClass]int
	releasedAt        map[LeaseID]time.Time // recently ended; older messages may still arrive
}

// accountClass is the key under which leases are counted.
type accountClass struct {
	account string
	class   Class
}

// NewQueue returns an empty queue.
func NewQueue(s Settings) *Queue {
	return &Queue{
		settings: s, limit: NewLimit(), leases: map[LeaseID]*lease{}, leaseCounts: map[accountClass]int{},
		releasedAt: map[LeaseID]time.Time{}, waiting: map[LeaseID]SlotRequest{},
	}
}

// Request adds a slot request. The actions grant or reject it, or else it waits for the actions of a later call. A
// request that has a lease already is granted again.
func (q *Queue) Request(now time.Time, r SlotRequest) []Action {
	q.mu.Lock()
	defer q.mu.Unlock()

	if _, ok := q.leases[r.id]; ok {
		return []Action{{kind: Grant, id: r.id, holder: r.holder}}
	}

	if _, ok := q.releasedAt[r.id]; ok { // withdrawn before it arrived
		return []Action{{kind: Reject, id: r.id, holder: r.holder}}
	}

	if w, late := q.isTooLate(now, r); late {
		return []Action{{kind: Reject, id: r.id, holder: r.holder, retryAfter: w}}
	}

	q.waitQueueFor(r).add(waitingRequest{request: r, since: now})
	q.waiting[r.id] = r

	a := q.schedule(now)
	if r.maxWait < 0 && q.waitQueueFor(r).remove(r) {
		delete(q.waiting, r.id)

		a = append(a, Action{kind: Reject, id: r.id, holder: r.holder, retryAfter: q.expectedWait(r)})
	}

	return a
}

// Release ends a lease, or withdraws a waiting request. A request that arrives after its withdrawal is rejected.
func (q *Queue) Release(now time.Time, id LeaseID, o Observation) []Action {
	q.mu.Lock()
	defer q.mu.Unlock()

	q.releasedAt[id] = now

	g, ok := q.leases[id]
	if !ok {
		if r, waits := q.waiting[id]; waits {
			delete(q.waiting, id)
			q.waitQueueFor(r).remove(r)
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

// Renew extends a lease. An unknown lease is added, which is how a new owner learns which slots are in use. If the
// holder has kept a preempted slot for preemptionRepeatInterval, Renew returns Preempt again, as the message may have
// been lost.
func (q *Queue) Renew(now time.Time, r SlotRequest) []Action {
	q.mu.Lock()
	defer q.mu.Unlock()

	if _, ok := q.releasedAt[r.id]; ok {
		return nil
	}

	g, ok := q.leases[r.id]
	if !ok {
		g = q.addLease(now, r, false)
	}

	g.expires = now.Add(q.settings.leaseTTL)

	if !g.preempted || now.Sub(g.notifiedAt) < preemptionRepeatInterval {
		return nil
	}

	g.notifiedAt = now

	return []Action{{kind: Preempt, id: r.id, holder: r.holder}}
}

// Expire removes leases that were not renewed and rejects requests that have waited for too long.
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

			a = append(a, Action{
				kind: Reject, id: w.request.id, holder: w.request.holder, retryAfter: q.expectedWait(w.request),
			})
		}
	}

	return append(a, q.schedule(now)...)
}

// Load returns the present load.
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

// Idle reports whether the queue has neither leases nor waiting requests.
func (q *Queue) Idle() bool {
	q.mu.Lock()
	defer q.mu.Unlock()

	return len(q.leases)+q.short.count+q.long.count+q.batch.count == 0
}

// slotLimit returns the maximum number of leases.
func (q *Queue) slotLimit() int {
	if q.settings.fixedLimit > 0 {
		return q.settings.fixedLimit
	}

	return q.limit.Value()
}

func (q *Queue) waitQueueFor(r SlotRequest) *waitQueue {
	switch {
	case r.class == Batch:
		return &q.batch
	case r.predictedLong:
		return &q.long
	default:
		return &q.short
	}
}

// shareOfSlots returns the number of slots for a share: at least 1 unless the share is 0.
func (q *Queue) shareOfSlots(s float64) int { return int(math.Ceil(s * float64(q.slotLimit()))) }

// countLeases returns the numbers of long online leases, at-risk leases and preempted leases. Preempted ones count only
// as such.
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

// schedule grants free slots in the order of nextQueue, rejecting the requests that can no longer meet their deadline,
// and preempts batch leases for more urgent requests that still wait.
func (q *Queue) schedule(now time.Time) []Action {
	var a []Action

	long, risk, preempted := q.countLeases()

	for len(q.leases) < q.slotLimit() {
		l, atRisk := q.nextQueue(now, long, risk)
		if l == nil {
			break
		}

		w := l.dequeue(q.preferredPredicate(now, l, atRisk))
		delete(q.waiting, w.request.id)

		if !q.canMeetDeadline(now, w.request) {
			a = append(a, Action{
				kind: Reject, id: w.request.id, holder: w.request.holder, retryAfter: q.expectedWait(w.request),
			})

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

	need := q.short.count + min(q.long.count, max(0, q.shareOfSlots(q.settings.maxLongShare)-long)) +
		min(q.countAtRisk(now), max(0, q.maxAtRiskSlots()-risk))
	if need == 0 {
		return a
	}

	return append(a, q.preempt(now, need+len(q.leases)-q.slotLimit()-preempted)...)
}

// nextQueue returns the wait queue that gets the next slot, nil if none does, and whether the slot is one of those for
// batch work at risk.
func (q *Queue) nextQueue(now time.Time, long, risk int) (*waitQueue, bool) {
	switch {
	case risk < q.maxAtRiskSlots() && q.countAtRisk(now) > 0:
		return &q.batch, true
	case q.long.count > 0 && long == 0: // one slot for long work, which short work would otherwise starve
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

// maxAtRiskSlots returns the number of slots that batch work at risk may use before online work.
func (q *Queue) maxAtRiskSlots() int { return q.shareOfSlots(q.settings.atRiskShare) }

// countAtRisk returns the number of waiting batch requests whose deadline is within atRiskWindow.
func (q *Queue) countAtRisk(now time.Time) int {
	return q.batch.countUntil(now.Add(q.settings.atRiskWindow))
}

// preempt preempts up to n batch leases, the youngest first: they lose the least if their target cannot resume them.
// Leases of at-risk and non-preemptible work are spared.
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

// preferredPredicate returns a predicate for the requests of a wait queue that go first: for an at-risk slot those at
// risk, otherwise those of accounts that have less than their fair share of the slots.
func (q *Queue) preferredPredicate(now time.Time, l *waitQueue, atRisk bool) func(w waitingRequest) bool {
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

	return func(w waitingRequest) bool {
		return q.leaseCounts[accountClass{account: w.request.account, class: c}] < f
	}
}

func (q *Queue) addLease(now time.Time, r SlotRequest, risk bool) *lease {
	g := &lease{request: r, since: now, expires: now.Add(q.settings.leaseTTL), atRisk: risk}
	q.leases[r.id] = g
	q.leaseCounts[accountClass{account: r.account, class: r.class}]++

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

// isTooLate reports whether a new online request cannot meet its deadline or its maximum wait. It also returns the
// expected wait, after which a retry would find a shorter queue.
func (q *Queue) isTooLate(now time.Time, r SlotRequest) (time.Duration, bool) {
	w := q.expectedWait(r)

	return w, r.class == Online &&
		(!q.canMeetDeadline(now.Add(time.Duration(float64(w)*waitSafetyFactor)), r) || r.maxWait > 0 && w > r.maxWait)
}

// canMeetDeadline reports whether work that starts now is expected to end before its deadline. Batch items have been
// accepted and run even if they are late, so the result for them is true.
func (q *Queue) canMeetDeadline(now time.Time, r SlotRequest) bool {
	if r.class == Batch || r.deadline.IsZero() {
		return true
	}

	return now.Add(q.limit.EstimateRunTime(r.tokens)).Before(r.deadline)
}

// expectedWait estimates how long a request waits for the leases and waiting requests that go before it.
func (q *Queue) expectedWait(r SlotRequest) time.Duration {
	l := q.waitQueueFor(r)
	slots := max(1, q.slotLimit())
	used := 0

	for _, g := range q.leases {
		if g.request.class == Online && (!r.predictedLong || g.request.predictedLong) || g.atRisk {
			used++
		}
	}

	if r.class == Online && r.predictedLong {
		slots = max(1, q.shareOfSlots(q.settings.maxLongShare))
	}

	ahead := l.countUntil(r.deadline) + used - slots + 1
	if ahead <= 0 {
		return 0
	}

	return time.Duration(float64(ahead) * q.meanLeaseDuration / float64(slots))
}

// hasTimedOut reports whether a waiting request can no longer meet its deadline or has exceeded its maximum wait.
func (q *Queue) hasTimedOut(now time.Time, w waitingRequest) bool {
	return !q.canMeetDeadline(now, w.request) || w.request.maxWait > 0 && now.Sub(w.since) > w.request.maxWait
}
