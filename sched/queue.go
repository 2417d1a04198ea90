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
	ttl         time.Duration
	longShare   float64
	atRiskShare float64
	riskWithin  time.Duration
	fixed       int
}

const (
	// longShare is the share of slots that work predicted to be long may hold.
	longShare = 0.5
	// riskWithin is the time before its deadline from which batch work is at risk.
	riskWithin = 30 * time.Second
	// waitFactor is how much longer than estimated a wait may turn out. Without it, the queue of an overloaded target
	// grows until work starts as late as its deadline allows, and whatever is slower than estimated is lost.
	waitFactor = 1.5
	// repeatAfter is the time after which a preemption is repeated.
	repeatAfter = time.Second
)

// NewSettings returns settings with a time limit of grants and the share of slots for batch work at risk.
func NewSettings(ttl time.Duration, atRiskShare float64) Settings {
	return Settings{ttl: ttl, longShare: longShare, atRiskShare: atRiskShare, riskWithin: riskWithin}
}

// WithFixedLimit returns a copy with a limit that does not adapt.
func (s Settings) WithFixedLimit(n int) Settings {
	s.fixed = n

	return s
}

// TTL returns the time after which a grant that is not renewed returns.
func (s Settings) TTL() time.Duration { return s.ttl }

// grant is a slot in use.
type grant struct {
	demand    Demand
	since     time.Time
	expires   time.Time
	risk      bool
	preempted bool
	told      time.Time // when the holder was last told of the preemption
}

// waiter is a demand that waits.
type waiter struct {
	demand Demand
	since  time.Time
}

// Queue has the grants and the waiting demands of one target. It is safe for concurrent use.
type Queue struct {
	settings Settings

	mu     sync.Mutex
	limit  Limit
	grants map[GrantID]*grant
	// waiting finds the lane of a demand that is withdrawn.
	waiting map[GrantID]Demand

	short lane
	long  lane
	batch lane
	hold  float64 // mean time of an online grant, in nanoseconds
	inUse map[holding]int
	ended map[GrantID]time.Time // released lately; messages about them may still be on their way
}

// holding counts the grants of an account in a class.
type holding struct {
	account string
	class   Class
}

// NewQueue returns a queue without grants.
func NewQueue(s Settings) *Queue {
	return &Queue{settings: s, limit: NewLimit(), grants: map[GrantID]*grant{}, inUse: map[holding]int{}, ended: map[GrantID]time.Time{}, waiting: map[GrantID]Demand{}}
}

// Request takes a demand. It is granted or rejected now, or waits for a later action.
func (q *Queue) Request(now time.Time, d Demand) []Action {
	q.mu.Lock()
	defer q.mu.Unlock()

	if _, ok := q.grants[d.id]; ok {
		return []Action{{kind: Grant, id: d.id, holder: d.holder}}
	}

	if _, ok := q.ended[d.id]; ok { // withdrawn before it arrived
		return []Action{{kind: Reject, id: d.id, holder: d.holder}}
	}

	if w, late := q.tooLate(now, d); late {
		return []Action{{kind: Reject, id: d.id, holder: d.holder, retryAfter: w}}
	}

	q.lane(d).add(waiter{demand: d, since: now})
	q.waiting[d.id] = d

	a := q.schedule(now)
	if d.maxWait < 0 && q.lane(d).remove(d) {
		delete(q.waiting, d.id)

		a = append(a, Action{kind: Reject, id: d.id, holder: d.holder, retryAfter: q.wait(d)})
	}

	return a
}

// Release returns a slot, or withdraws a waiting demand.
func (q *Queue) Release(now time.Time, id GrantID, o Observation) []Action {
	q.mu.Lock()
	defer q.mu.Unlock()

	q.ended[id] = now

	g, ok := q.grants[id]
	if !ok {
		if d, waits := q.waiting[id]; waits {
			delete(q.waiting, id)
			q.lane(d).remove(d)
		}

		return q.schedule(now)
	}

	if !g.preempted && o.total > 0 {
		q.limit.Observe(now, o, len(q.grants))
	}

	if g.demand.class == Online {
		q.hold, _ = track(q.hold, 0, float64(now.Sub(g.since)))
	}

	q.drop(g)

	return q.schedule(now)
}

// Renew extends a grant. A grant that is reported by its holder and not known is taken over, which is how a new owner
// learns the slots in use. It returns a Preempt again when the holder was told a while ago and has kept the slot, as
// the message may have been lost.
func (q *Queue) Renew(now time.Time, d Demand) []Action {
	q.mu.Lock()
	defer q.mu.Unlock()

	if _, ok := q.ended[d.id]; ok {
		return nil
	}

	g, ok := q.grants[d.id]
	if !ok {
		g = q.put(now, d, false)
	}

	g.expires = now.Add(q.settings.ttl)

	if !g.preempted || now.Sub(g.told) < repeatAfter {
		return nil
	}

	g.told = now

	return []Action{{kind: Preempt, id: d.id, holder: d.holder}}
}

// Tick ends demands whose time is over and grants that were not renewed.
func (q *Queue) Tick(now time.Time) []Action {
	q.mu.Lock()
	defer q.mu.Unlock()

	for _, g := range q.grants {
		if now.After(g.expires) {
			q.drop(g)
		}
	}

	for id, t := range q.ended {
		if now.Sub(t) > q.settings.ttl {
			delete(q.ended, id)
		}
	}

	var a []Action

	for _, l := range []*lane{&q.short, &q.long, &q.batch} {
		for _, w := range l.take(func(w waiter) bool { return q.over(now, w) }) {
			delete(q.waiting, w.demand.id)

			a = append(a, Action{kind: Reject, id: w.demand.id, holder: w.demand.holder, retryAfter: q.wait(w.demand)})
		}
	}

	return append(a, q.schedule(now)...)
}

// Load returns the load.
func (q *Queue) Load() Load {
	q.mu.Lock()
	defer q.mu.Unlock()

	l := Load{waiting: q.short.n + q.long.n, limit: q.slots()}

	for _, g := range q.grants {
		if g.demand.class == Batch {
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

	return len(q.grants)+q.short.n+q.long.n+q.batch.n == 0
}

func (q *Queue) slots() int {
	if q.settings.fixed > 0 {
		return q.settings.fixed
	}

	return q.limit.Value()
}

func (q *Queue) lane(d Demand) *lane {
	switch {
	case d.class == Batch:
		return &q.batch
	case d.long:
		return &q.long
	default:
		return &q.short
	}
}

// share returns a share of the slots, at least one slot when the share is above 0.
func (q *Queue) share(s float64) int { return int(math.Ceil(s * float64(q.slots()))) }

// counts returns the numbers of grants that the shares bound.
func (q *Queue) counts() (long, risk, preempted int) {
	for _, g := range q.grants {
		switch {
		case g.preempted:
			preempted++
		case g.risk:
			risk++
		case g.demand.class == Online && g.demand.long:
			long++
		}
	}

	return long, risk, preempted
}

// schedule grants free slots in order and preempts batch work that is in the way of more urgent work.
func (q *Queue) schedule(now time.Time) []Action {
	var a []Action

	long, risk, preempted := q.counts()

	for len(q.grants) < q.slots() {
		l, atRisk := q.nextLane(now, long, risk)
		if l == nil {
			break
		}

		w := l.next(q.preferred(now, l, atRisk))
		delete(q.waiting, w.demand.id)

		if !q.inTime(now, w.demand) {
			a = append(a, Action{kind: Reject, id: w.demand.id, holder: w.demand.holder, retryAfter: q.wait(w.demand)})

			continue
		}

		q.put(now, w.demand, atRisk)
		a = append(a, Action{kind: Grant, id: w.demand.id, holder: w.demand.holder})

		switch {
		case atRisk:
			risk++
		case l == &q.long:
			long++
		}
	}

	need := q.short.n + min(q.long.n, max(0, q.share(q.settings.longShare)-long)) + min(q.atRisk(now), max(0, q.riskSlots()-risk))
	if need == 0 {
		return a
	}

	return append(a, q.preempt(now, need+len(q.grants)-q.slots()-preempted)...)
}

// nextLane returns the lane that gets the next slot, and whether the slot is one for batch work at risk.
func (q *Queue) nextLane(now time.Time, long, risk int) (*lane, bool) {
	switch {
	case risk < q.riskSlots() && q.atRisk(now) > 0:
		return &q.batch, true
	case q.long.n > 0 && long == 0: // one slot keeps long work from starving behind short work
		return &q.long, false
	case q.short.n > 0:
		return &q.short, false
	case q.long.n > 0 && long < q.share(q.settings.longShare):
		return &q.long, false
	case q.batch.n > 0:
		return &q.batch, false
	default:
		return nil, false
	}
}

func (q *Queue) riskSlots() int { return q.share(q.settings.atRiskShare) }

// atRisk returns the number of waiting batch demands whose deadline is near.
func (q *Queue) atRisk(now time.Time) int {
	return q.batch.before(now.Add(q.settings.riskWithin))
}

// preempt takes back the slots of n batch grants, the youngest first, which lose the least when their target cannot
// resume them.
func (q *Queue) preempt(now time.Time, n int) []Action {
	if n <= 0 {
		return nil
	}

	var l []*grant

	for _, g := range q.grants {
		if g.demand.class == Batch && !g.demand.keep && !g.risk && !g.preempted {
			l = append(l, g)
		}
	}

	slices.SortFunc(l, func(a, b *grant) int {
		return cmp.Or(b.since.Compare(a.since), cmp.Compare(a.demand.id, b.demand.id))
	})

	var a []Action

	for _, g := range l[:min(n, len(l))] {
		g.preempted, g.told = true, now
		a = append(a, Action{kind: Preempt, id: g.demand.id, holder: g.demand.holder})
	}

	return a
}

// preferred returns the test for the demands of a lane that go first: those at risk for a slot of that share, or else
// those of accounts that hold less than their fair share.
func (q *Queue) preferred(now time.Time, l *lane, atRisk bool) func(w waiter) bool {
	if atRisk {
		t := now.Add(q.settings.riskWithin)

		return func(w waiter) bool { return !w.demand.deadline.IsZero() && !w.demand.deadline.After(t) }
	}

	c := Online
	if l == &q.batch {
		c = Batch
	}

	n := len(l.accounts)

	for h := range q.inUse {
		if h.class == c && l.accounts[h.account] == nil {
			n++
		}
	}

	f := (q.slots() + n - 1) / max(1, n)

	return func(w waiter) bool { return q.inUse[holding{account: w.demand.account, class: c}] < f }
}

func (q *Queue) put(now time.Time, d Demand, risk bool) *grant {
	g := &grant{demand: d, since: now, expires: now.Add(q.settings.ttl), risk: risk}
	q.grants[d.id] = g
	q.inUse[holding{account: d.account, class: d.class}]++

	return g
}

func (q *Queue) drop(g *grant) {
	delete(q.grants, g.demand.id)

	h := holding{account: g.demand.account, class: g.demand.class}

	q.inUse[h]--
	if q.inUse[h] == 0 {
		delete(q.inUse, h)
	}
}

// tooLate reports whether a new demand cannot meet its deadline or its bound on the wait, and after what time a retry
// would find a shorter queue.
func (q *Queue) tooLate(now time.Time, d Demand) (time.Duration, bool) {
	w := q.wait(d)

	return w, d.class == Online && (!q.inTime(now.Add(time.Duration(float64(w)*waitFactor)), d) || d.maxWait > 0 && w > d.maxWait)
}

// inTime reports whether work that starts now ends before its deadline. Batch items have been accepted and run even
// when they are late.
func (q *Queue) inTime(now time.Time, d Demand) bool {
	if d.class == Batch || d.deadline.IsZero() {
		return true
	}

	return now.Add(q.limit.Estimate(d.tokens)).Before(d.deadline)
}

// wait estimates how long a demand waits behind the demands that go before it.
func (q *Queue) wait(d Demand) time.Duration {
	l := q.lane(d)
	slots := max(1, q.slots())
	used := 0

	for _, g := range q.grants {
		if g.demand.class == Online && (!d.long || g.demand.long) || g.risk {
			used++
		}
	}

	if d.class == Online && d.long {
		slots = max(1, q.share(q.settings.longShare))
	}

	ahead := l.before(d.deadline) + used - slots + 1
	if ahead <= 0 {
		return 0
	}

	return time.Duration(float64(ahead) * q.hold / float64(slots))
}

func (q *Queue) over(now time.Time, w waiter) bool {
	return !q.inTime(now, w.demand) || w.demand.maxWait > 0 && now.Sub(w.since) > w.demand.maxWait
}
