// Package pool schedules the requests of one service on the slots of its targets. Online requests are served before
// batch items, each class by priority and due time, and batch items are preempted while online requests wait. The
// package takes the time as an argument and does no input or output; package slots has a Pool for each service that the
// daemon owns and exchanges the messages with the slot holders.
package pool

import (
	"slices"
	"sync"
	"time"
)

// Class is the kind of a request. Lower classes are served first.
type Class uint8

const (
	// Online is the class of requests whose caller waits for the response.
	Online Class = iota
	// Batch is the class of batch items, which use the slots that online requests leave free.
	Batch
)

// Fault is how a target failed while it served a request.
type Fault uint8

const (
	// NoFault means that the target handled the request properly. The request itself may have been invalid.
	NoFault Fault = iota
	// Full means that the target rejected the request because it was at its capacity.
	Full
	// Broken means that the response ended early or was malformed.
	Broken
	// Unreachable means that the target accepted no connection or became unresponsive.
	Unreachable
	// Unused means that the outcome says nothing about the target, as the slot was not used or the work was cancelled.
	Unused
)

const (
	// fullTargetPause is the time without new work for a target that rejected a request as it was full. It covers a few
	// decoding steps of an engine.
	fullTargetPause = 30 * time.Millisecond
	// ejectionThreshold is the number of consecutive broken responses at which a target is ejected. Single broken
	// responses do not eject it, as most of its other requests succeed. An unreachable target is ejected at once.
	ejectionThreshold = 3
	// minEjectionTime is how long an ejected target gets no work. After that it gets single requests as probes, at least
	// minEjectionTime apart, until one succeeds. The time without work doubles with each failure up to maxEjectionTime, so
	// that a target that has recovered is found within a second.
	minEjectionTime = 250 * time.Millisecond
	maxEjectionTime = time.Second
	// unreportedGracePeriod is the age from which a lease that its holder does not report counts as released. It covers
	// messages in flight, such as the grant itself.
	unreportedGracePeriod = 400 * time.Millisecond
	// holderTimeout is the time without a report after which the leases of a holder count as released.
	holderTimeout = 2500 * time.Millisecond
	// initialLeaseDuration is the assumed duration of online leases, at which their moving average starts.
	initialLeaseDuration = time.Second
	// leaseDurationWeight is the weight of a new lease in the moving average of lease durations.
	leaseDurationWeight = 0.05
	// maxYieldTime is the time within which a holder releases a preempted slot. A lease that is held for longer does not
	// count as one that becomes free, as its holder may be cut off.
	maxYieldTime = 100 * time.Millisecond
	// batchPause is the time after a preemption in which batch work gets no slots. During a burst of online requests, a
	// slot granted to batch work would be preempted within a few milliseconds, before the work could begin.
	batchPause = 150 * time.Millisecond
	// preemptionRepeatInterval is the time after which a preemption is repeated while the holder still reports the lease.
	// The notice may have been lost, or may have arrived before the grant. It is longer than a release takes to arrive.
	preemptionRepeatInterval = 100 * time.Millisecond
	// idleConnTTL is how long a holder is assumed to keep its connection to a target after a request. Targets may close
	// connections that have been idle for a few seconds.
	idleConnTTL = 3 * time.Second
	// releaseRetention is how long a release is remembered, so that a report sent before it does not restore the lease.
	releaseRetention = time.Second
)

// maxAskAge is the time after which a waiting request is dropped unless its holder repeats it. Holders repeat requests
// every 400 ms, those of batch items every 2 s; those of a lost holder would get slots that nobody uses.
var maxAskAge = map[Class]time.Duration{Online: 1200 * time.Millisecond, Batch: 6 * time.Second}

// Actions are the decisions of one call to a Pool. The slot owner has to pass them on to the slot holders.
type Actions struct {
	granted   []Lease
	preempted []Lease
	refused   bool
}

// IsRefused reports whether the request was refused because its expected wait exceeds its maximum.
func (a Actions) IsRefused() bool { return a.refused }

// Granted returns the leases that were granted.
func (a Actions) Granted() []Lease { return a.granted }

// Preempted returns the batch leases whose holders have to release them.
func (a Actions) Preempted() []Lease { return a.preempted }

// Pool has the targets, leases and waiting requests of one service. The zero value has no targets and is ready to use.
// It is safe for concurrent use.
type Pool struct {
	mu            sync.Mutex
	targets       map[string]*targetState
	leases        map[string]*Lease
	reportedAt    map[string]time.Time // last report of each holder
	releasedAt    map[string]time.Time // recent releases by lease
	waiting       []*SlotRequest       // in the order of compareRequests
	leaseDuration time.Duration        // moving average of online leases; 0 before the first
	domains       map[string]*domainState
	batchFrom     time.Time // batch work gets no slots before this time
}

// targetState is a target with its load.
type targetState struct {
	target            Target
	usedSlots         int
	pausedUntil       time.Time // no new work before this time; zero if the target is not paused
	consecutiveFaults int
	ejectedWithDomain bool                       // ejected because its failure domain seems to be cut off
	idleConns         map[string]idleConnections // by holder
}

// idleConnections is an estimate of the idle connections from one holder to a target.
type idleConnections struct {
	count int
	since time.Time // end of the last request
}

// SetTargets replaces the targets. Targets that stay keep their state. Known leases of a new target, such as those that
// holders have reported, count as its load.
func (p *Pool) SetTargets(l []Target) {
	p.mu.Lock()
	defer p.mu.Unlock()

	m := make(map[string]*targetState, len(l))

	for _, t := range l {
		v, ok := p.targets[t.name]
		if !ok {
			v = &targetState{}

			for _, e := range p.leases {
				if e.target == t.name {
					v.usedSlots++
				}
			}
		}

		v.target = t
		m[t.name] = v
	}

	p.targets = m
}

// DelayBatch makes batch work wait until t. A new slot owner uses it until the holders have reported their leases.
func (p *Pool) DelayBatch(t time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.delayBatch(t)
}

// delayBatch is DelayBatch for callers that hold the lock.
func (p *Pool) delayBatch(t time.Time) {
	if t.After(p.batchFrom) {
		p.batchFrom = t
	}
}

// Request requests a slot. Unless the actions grant or refuse it, the request waits. A repeated request gets the slot
// that it has been granted already, in case the grant was lost on the way to its holder.
func (p *Pool) Request(r SlotRequest, now time.Time) Actions {
	p.mu.Lock()
	defer p.mu.Unlock()

	if e, ok := p.leases[r.id]; ok {
		return Actions{granted: []Lease{*e}}
	}

	p.waiting = slices.DeleteFunc(p.waiting, func(w *SlotRequest) bool { return w.id == r.id })

	if r.maxWait > 0 && p.expectedWait(&r, now) > r.maxWait {
		return Actions{refused: true}
	}

	r.askedAt = now
	i, _ := slices.BinarySearchFunc(p.waiting, &r, compareRequests)
	p.waiting = slices.Insert(p.waiting, i, &r)

	return p.schedule(now)
}

// expectedWait returns how long an online request is expected to wait: 0 if a slot is free or the batch leases suffice
// for it and the online requests before it, or else the time until enough online leases have ended.
func (p *Pool) expectedWait(r *SlotRequest, now time.Time) time.Duration {
	if p.chooseTarget(r, now) != nil {
		return 0
	}

	online, batch, ahead := 0, 0, 1

	for _, e := range p.leases {
		switch {
		case e.class == Online:
			online++
		case p.canYield(e, now):
			batch++
		}
	}

	for _, w := range p.waiting {
		if w.class == Online && compareRequests(w, r) < 0 {
			ahead++
		}
	}

	if ahead <= batch || online == 0 {
		return 0
	}

	// Leases are half over on average, so that the first of them ends after half of the time between two ends.
	return time.Duration(2*(ahead-batch)-1) * p.meanLeaseDuration() / time.Duration(2*online) //nolint:mnd // halves
}

// meanLeaseDuration returns the mean duration of online leases; initialLeaseDuration before the first one has ended.
func (p *Pool) meanLeaseDuration() time.Duration {
	if p.leaseDuration == 0 {
		return initialLeaseDuration
	}

	return p.leaseDuration
}

// Withdraw ends a request that its holder has given up. If it was granted in the meantime, its slot was not used and is
// released.
func (p *Pool) Withdraw(id string, now time.Time) Actions {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.waiting = slices.DeleteFunc(p.waiting, func(r *SlotRequest) bool { return r.id == id })

	if _, ok := p.leases[id]; !ok {
		return Actions{}
	}

	p.markReleased(id, now)
	p.removeLease(id)

	return p.schedule(now)
}

// DropWaiting removes the waiting requests of a holder that could not be notified. A holder that is live repeats them.
func (p *Pool) DropWaiting(holder string) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.waiting = slices.DeleteFunc(p.waiting, func(r *SlotRequest) bool { return r.holder == holder })
}

// markReleased records the release of a lease, so that a report sent before it does not restore the lease.
func (p *Pool) markReleased(id string, now time.Time) {
	if p.releasedAt == nil {
		p.releasedAt = map[string]time.Time{}
	}

	p.releasedAt[id] = now
}

// Release ends a lease, records the fault of its target and schedules again. The lease may be unknown to this pool, as
// another daemon may have granted it.
func (p *Pool) Release(id, target string, f Fault, now time.Time) Actions {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.markReleased(id, now)

	if e, ok := p.leases[id]; ok && e.class == Online && f == NoFault {
		p.leaseDuration = p.meanLeaseDuration() +
			time.Duration(leaseDurationWeight*float64(now.Sub(e.since)-p.meanLeaseDuration()))
	}

	holder := ""
	if e, ok := p.leases[id]; ok {
		holder = e.holder
	}

	p.removeLease(id)

	if v, ok := p.targets[target]; ok {
		v.observe(f, now)
		p.observeDomain(v, f, now)

		if f == NoFault && holder != "" {
			v.addIdleConn(holder, now)
		}
	}

	return p.schedule(now)
}

// addIdleConn records one more idle connection of a holder.
func (v *targetState) addIdleConn(holder string, now time.Time) {
	if v.idleConns == nil {
		v.idleConns = map[string]idleConnections{}
	}

	v.idleConns[holder] = idleConnections{count: v.idleConns[holder].count + 1, since: now}
}

// removeIdleConn records that a holder uses one of its idle connections.
func (v *targetState) removeIdleConn(holder string) {
	w, ok := v.idleConns[holder]

	switch {
	case !ok:
	case w.count <= 1:
		delete(v.idleConns, holder)
	default:
		v.idleConns[holder] = idleConnections{count: w.count - 1, since: w.since}
	}
}

// expireIdleConns removes the holders whose connections have been idle for longer than idleConnTTL.
func (v *targetState) expireIdleConns(now time.Time) {
	for h, w := range v.idleConns {
		if now.Sub(w.since) > idleConnTTL {
			delete(v.idleConns, h)
		}
	}
}

// observe updates the state after a request. A success ends a pause.
func (v *targetState) observe(f Fault, now time.Time) {
	switch f {
	case NoFault:
		v.consecutiveFaults, v.ejectedWithDomain, v.pausedUntil = 0, false, time.Time{}
	case Full:
		v.pauseUntil(now.Add(fullTargetPause))
	case Broken:
		v.consecutiveFaults++
		v.eject(now)
	case Unreachable:
		v.consecutiveFaults = max(ejectionThreshold, v.consecutiveFaults+1)
		v.eject(now)
	}
}

// eject pauses the target if it has failed often enough.
func (v *targetState) eject(now time.Time) {
	if n := v.consecutiveFaults - ejectionThreshold; n >= 0 {
		v.pauseUntil(now.Add(min(maxEjectionTime, minEjectionTime<<min(n, 4)))) //nolint:mnd // 16 times exceeds the maximum
	}
}

// isSuspect reports whether the target has been ejected and has not handled a request properly since.
func (v *targetState) isSuspect() bool {
	return v.consecutiveFaults >= ejectionThreshold || v.ejectedWithDomain
}

// pauseUntil extends the time without new work. It never shortens it.
func (v *targetState) pauseUntil(t time.Time) {
	if t.After(v.pausedUntil) {
		v.pausedUntil = t
	}
}

// Report reconciles the leases of a holder with the list that it reports. Unknown leases are added, unless they were
// released lately; leases that are not listed are removed once they are older than unreportedGracePeriod. Leases that
// are still listed preemptionRepeatInterval after their preemption are preempted again.
func (p *Pool) Report(holder string, held []Lease, now time.Time) Actions {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.reportedAt == nil {
		p.reportedAt = map[string]time.Time{}
	}

	p.reportedAt[holder] = now

	known := make(map[string]bool, len(held))

	var repeated []Lease

	for _, e := range held {
		known[e.id] = true

		if k, ok := p.leases[e.id]; ok {
			if !k.preemptedAt.IsZero() && now.Sub(k.remindedAt) >= preemptionRepeatInterval {
				k.remindedAt = now
				repeated = append(repeated, *k)
			}

			continue
		}

		if !p.releasedAt[e.id].IsZero() {
			continue
		}

		e.since = now
		p.addLease(e)
	}

	for id, e := range p.leases {
		if e.holder == holder && !known[id] && now.Sub(e.since) > unreportedGracePeriod {
			p.removeLease(id)
		}
	}

	a := p.schedule(now)
	a.preempted = append(repeated, a.preempted...)

	return a
}

// Expire removes the leases of holders that have stopped reporting, waiting requests that their holders have stopped
// repeating, and old releases and idle connections. It also schedules again, so that targets whose pause has ended get
// work.
func (p *Pool) Expire(now time.Time) Actions {
	p.mu.Lock()
	defer p.mu.Unlock()

	for h, t := range p.reportedAt {
		if now.Sub(t) > holderTimeout {
			delete(p.reportedAt, h)
		}
	}

	for id, e := range p.leases {
		if _, ok := p.reportedAt[e.holder]; !ok && now.Sub(e.since) > holderTimeout {
			p.removeLease(id)
		}
	}

	p.waiting = slices.DeleteFunc(p.waiting, func(r *SlotRequest) bool { return now.Sub(r.askedAt) > maxAskAge[r.class] })

	for id, t := range p.releasedAt {
		if now.Sub(t) > releaseRetention {
			delete(p.releasedAt, id)
		}
	}

	for _, v := range p.targets {
		v.expireIdleConns(now)
	}

	return p.schedule(now)
}

// Usage returns the number of used slots and of all slots.
func (p *Pool) Usage() (used, total int) {
	p.mu.Lock()
	defer p.mu.Unlock()

	for _, v := range p.targets {
		used += v.usedSlots
		total += v.target.slots
	}

	return used, total
}

// Waiting returns the number of waiting requests of a class.
func (p *Pool) Waiting(c Class) int {
	p.mu.Lock()
	defer p.mu.Unlock()

	n := 0

	for _, r := range p.waiting {
		if r.class == c {
			n++
		}
	}

	return n
}
