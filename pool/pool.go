// Package pool decides which target of a service runs which request: online requests before batch items, in the order
// in which they are due, and batch items give their slots back when online requests wait. It takes the time as an
// argument and does no input or output.
package pool

import (
	"slices"
	"sync"
	"time"
)

// Class orders work.
type Class uint8

const (
	// Online work has a caller who waits.
	Online Class = iota
	// Batch work runs in the slots that online work leaves.
	Batch
)

// Fault says what a request showed of its target.
type Fault uint8

const (
	// NoFault means that the target did its part.
	NoFault Fault = iota
	// Full means that the target refused the request, as all its places were taken.
	Full
	// Broken means that the target broke off or spoiled an answer.
	Broken
	// Unreachable means that the target did not take a connection or fell silent.
	Unreachable
	// Unused means that nothing was sent, so that nothing is known.
	Unused
)

const (
	// fullTargetPause keeps new work from a target that refused some. It covers a few steps of an engine.
	fullTargetPause = 30 * time.Millisecond
	// suspectFaultCount is the number of broken answers in a row from which a target is set aside. Single spoiled answers
	// are no reason, as most of its other requests succeed.
	suspectFaultCount = 3
	// minEjectionTime keeps work from a target that is set aside; after it, one request at a time tries the target. The
	// pause doubles with each failure up to suspectMost, so that a target that comes back is found within a second.
	minEjectionTime = 250 * time.Millisecond
	maxEjectionTime  = time.Second
	// unreportedGracePeriod is the age from which a lease that its holder no longer reports is taken as released. It covers the
	// messages that are on their way.
	unreportedGracePeriod = 400 * time.Millisecond
	// holderTimeout is the time without a report after which a holder's leases are taken as released.
	holderTimeout = 2500 * time.Millisecond
	// initialLeaseDuration is taken as the time that online leases are held until some have ended.
	initialLeaseDuration = time.Second
	// leaseDurationWeight is the weight of one lease in the mean time that they are held.
	leaseDurationWeight = 0.05
	// batchPause is the time after leases were asked back in which batch work gets no slots. In a burst, each slot that it
	// got would be asked back within a few milliseconds, before the run could begin.
	batchPause = 150 * time.Millisecond
	// idleConnTTL is how long after a request its holder is thought to keep the connection to the target. Targets may drop
	// connections after a few idle seconds.
	idleConnTTL = 3 * time.Second
	// releaseRetention is how long a released lease is remembered, so that an older report does not bring it back.
	releaseRetention = time.Second
)

// Actions are what a call decided: demands that got a slot, and leases whose holders are to give them back.
type Actions struct {
	granted  []Lease
	preempted  []Lease
	refused bool
}

// IsRefused reports whether the demand of an Ask would wait for too long, and was not taken.
func (a Actions) IsRefused() bool { return a.refused }

// Granted returns the slots that were given to demands that waited.
func (a Actions) Granted() []Lease { return a.granted }

// Preempted returns the batch leases that are to be given back.
func (a Actions) Preempted() []Lease { return a.preempted }

// Pool has the slots of one service. The zero value has no targets and is ready to use.
type Pool struct {
	mu       sync.Mutex
	targets  map[string]*targetState
	leases   map[string]*Lease
	reportedAt  map[string]time.Time
	releasedAt map[string]time.Time
	waiting  []*SlotRequest     // in the order of compare
	leaseDuration time.Duration // mean time that online leases are held
	preemptedAt  time.Time     // when batch leases were last asked back
}

// targetState is a target with its load.
type targetState struct {
	target Target
	usedSlots   int
	pausedUntil  time.Time // no new work before this time
	consecutiveFaults int       // failures in a row
	idleConns   map[string]idleConnections
}

// idleConnections are the idle connections that a holder is thought to have to a target.
type idleConnections struct {
	count int
	since time.Time // the last request ended
}

// SetTargets replaces the targets. What is known of those that stay is kept.
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

// Request asks for a slot. The demand waits when the actions have no grant for it. A demand that is repeated, as its grant
// may have been lost, gets the same slot again.
func (p *Pool) Request(d SlotRequest, now time.Time) Actions {
	p.mu.Lock()
	defer p.mu.Unlock()

	if e, ok := p.leases[d.id]; ok {
		return Actions{granted: []Lease{*e}}
	}

	p.waiting = slices.DeleteFunc(p.waiting, func(w *SlotRequest) bool { return w.id == d.id })

	if d.maxWait > 0 && p.expectedWait(&d, now) > d.maxWait {
		return Actions{refused: true}
	}

	i, _ := slices.BinarySearchFunc(p.waiting, &d, compareRequests)
	p.waiting = slices.Insert(p.waiting, i, &d)

	return p.schedule(now)
}

// expectedWait returns how long an online demand is expected to wait: not at all when a slot is free or can be given back,
// and else until enough of the online leases before it have ended.
func (p *Pool) expectedWait(d *SlotRequest, now time.Time) time.Duration {
	if p.chooseTarget(d, now) != nil {
		return 0
	}

	online, batch, ahead := 0, 0, 1

	for _, e := range p.leases {
		if e.class == Online {
			online++
		} else {
			batch++
		}
	}

	for _, w := range p.waiting {
		if w.class == Online && compareRequests(w, d) < 0 {
			ahead++
		}
	}

	if ahead <= batch || online == 0 {
		return 0
	}

	return time.Duration(ahead-batch) * p.meanLeaseDuration() / time.Duration(online)
}

// meanLeaseDuration returns the mean time that online leases are held.
func (p *Pool) meanLeaseDuration() time.Duration {
	if p.leaseDuration == 0 {
		return initialLeaseDuration
	}

	return p.leaseDuration
}

// Withdraw ends a demand that waits.
func (p *Pool) Withdraw(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.waiting = slices.DeleteFunc(p.waiting, func(d *SlotRequest) bool { return d.id == id })
}

// Release gives a slot back and says what its request showed of the target.
func (p *Pool) Release(id, target string, f Fault, now time.Time) Actions {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.releasedAt == nil {
		p.releasedAt = map[string]time.Time{}
	}

	p.releasedAt[id] = now

	if e, ok := p.leases[id]; ok && e.class == Online && f == NoFault {
		p.leaseDuration = p.meanLeaseDuration() + time.Duration(leaseDurationWeight*float64(now.Sub(e.since)-p.meanLeaseDuration()))
	}

	holder := ""
	if e, ok := p.leases[id]; ok {
		holder = e.holder
	}

	p.removeLease(id)

	if v, ok := p.targets[target]; ok {
		v.observe(f, now)

		if f == NoFault && holder != "" {
			v.addIdleConn(holder, now)
		}
	}

	return p.schedule(now)
}

// addIdleConn records that a holder has one more idle connection.
func (v *targetState) addIdleConn(holder string, now time.Time) {
	if v.idleConns == nil {
		v.idleConns = map[string]idleConnections{}
	}

	v.idleConns[holder] = idleConnections{count: v.idleConns[holder].count + 1, since: now}
}

// removeIdleConn records that a holder uses a connection.
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

// expireIdleConns forgets connections that were idle for too long.
func (v *targetState) expireIdleConns(now time.Time) {
	for h, w := range v.idleConns {
		if now.Sub(w.since) > idleConnTTL {
			delete(v.idleConns, h)
		}
	}
}

// observe records what a request showed.
func (v *targetState) observe(f Fault, now time.Time) {
	switch f {
	case NoFault:
		v.consecutiveFaults, v.pausedUntil = 0, time.Time{}
	case Full:
		v.pauseUntil(now.Add(fullTargetPause))
	case Broken:
		v.consecutiveFaults++
		v.eject(now)
	case Unreachable:
		v.consecutiveFaults = max(suspectFaultCount, v.consecutiveFaults+1)
		v.eject(now)
	}
}

// eject keeps work from a target that is set aside.
func (v *targetState) eject(now time.Time) {
	if n := v.consecutiveFaults - suspectFaultCount; n >= 0 {
		v.pauseUntil(now.Add(min(maxEjectionTime, minEjectionTime<<min(n, 4)))) //nolint:mnd // 16 times is above suspectMost
	}
}

// isSuspect reports whether the target was set aside and has not succeeded since.
func (v *targetState) isSuspect() bool { return v.consecutiveFaults >= suspectFaultCount }

func (v *targetState) pauseUntil(t time.Time) {
	if t.After(v.pausedUntil) {
		v.pausedUntil = t
	}
}

// Report replaces what is known of a daemon's leases by its own list.
func (p *Pool) Report(holder string, held []Lease, now time.Time) Actions {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.reportedAt == nil {
		p.reportedAt = map[string]time.Time{}
	}

	p.reportedAt[holder] = now

	known := make(map[string]bool, len(held))

	for _, e := range held {
		known[e.id] = true

		if _, ok := p.leases[e.id]; ok || !p.releasedAt[e.id].IsZero() {
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

	return p.schedule(now)
}

// Expire drops the leases and demands of daemons that have been silent, and forgets old releases. Targets whose pause
// is over get work again.
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

// Usage returns the slots in use and the slots in all.
func (p *Pool) Usage() (used, all int) {
	p.mu.Lock()
	defer p.mu.Unlock()

	for _, v := range p.targets {
		used += v.usedSlots
		all += v.target.slots
	}

	return used, all
}

// Waiting returns the number of demands of a class that wait.
func (p *Pool) Waiting(c Class) int {
	p.mu.Lock()
	defer p.mu.Unlock()

	n := 0

	for _, d := range p.waiting {
		if d.class == c {
			n++
		}
	}

	return n
}
