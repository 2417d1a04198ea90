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
	// None means that the target did its part.
	None Fault = iota
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
	// fullPause keeps new work from a target that refused some. It covers a few steps of an engine.
	fullPause = 30 * time.Millisecond
	// suspectFaults is the number of broken answers in a row from which a target is set aside. Single spoiled answers
	// are no reason, as most of its other requests succeed.
	suspectFaults = 3
	// suspectPause keeps work from a target that is set aside; after it, one request at a time tries the target. The
	// pause doubles with each failure up to suspectMost, so that a target that comes back is found within a second.
	suspectPause = 250 * time.Millisecond
	suspectMost  = time.Second
	// settle is the age from which a lease that its holder no longer reports is taken as released. It covers the
	// messages that are on their way.
	settle = 400 * time.Millisecond
	// holderSilence is the time without a report after which a holder's leases are taken as released.
	holderSilence = 2500 * time.Millisecond
	// firstDuration is taken as the time that online leases are held until some have ended.
	firstDuration = time.Second
	// durationWeight is the weight of one lease in the mean time that they are held.
	durationWeight = 0.05
	// batchPause is the time after leases were asked back in which batch work gets no slots. In a burst, each slot that it
	// got would be asked back within a few milliseconds, before the run could begin.
	batchPause = 150 * time.Millisecond
	// warmFor is how long after a request its holder is thought to keep the connection to the target. Targets may drop
	// connections after a few idle seconds.
	warmFor = 3 * time.Second
	// releaseMemory is how long a released lease is remembered, so that an older report does not bring it back.
	releaseMemory = time.Second
)

// Actions are what a call decided: demands that got a slot, and leases whose holders are to give them back.
type Actions struct {
	grants  []Lease
	yields  []Lease
	refused bool
}

// Refused reports whether the demand of an Ask would wait for too long, and was not taken.
func (a Actions) Refused() bool { return a.refused }

// Grants returns the slots that were given to demands that waited.
func (a Actions) Grants() []Lease { return a.grants }

// Yields returns the batch leases that are to be given back.
func (a Actions) Yields() []Lease { return a.yields }

// Pool has the slots of one service. The zero value has no targets and is ready to use.
type Pool struct {
	mu       sync.Mutex
	targets  map[string]*place
	leases   map[string]*Lease
	holders  map[string]time.Time
	released map[string]time.Time
	waiting  []*Demand     // in the order of compare
	duration time.Duration // mean time that online leases are held
	pressed  time.Time     // when batch leases were last asked back
}

// place is a target with its load.
type place struct {
	target Target
	used   int
	until  time.Time // no new work before this time
	faults int       // failures in a row
	warm   map[string]warm
}

// warm are the idle connections that a holder is thought to have to a target.
type warm struct {
	count int
	since time.Time // the last request ended
}

// SetTargets replaces the targets. What is known of those that stay is kept.
func (p *Pool) SetTargets(l []Target) {
	p.mu.Lock()
	defer p.mu.Unlock()

	m := make(map[string]*place, len(l))

	for _, t := range l {
		v, ok := p.targets[t.name]
		if !ok {
			v = &place{}

			for _, e := range p.leases {
				if e.target == t.name {
					v.used++
				}
			}
		}

		v.target = t
		m[t.name] = v
	}

	p.targets = m
}

// Ask asks for a slot. The demand waits when the actions have no grant for it. A demand that is repeated, as its grant
// may have been lost, gets the same slot again.
func (p *Pool) Ask(d Demand, now time.Time) Actions {
	p.mu.Lock()
	defer p.mu.Unlock()

	if e, ok := p.leases[d.id]; ok {
		return Actions{grants: []Lease{*e}}
	}

	p.waiting = slices.DeleteFunc(p.waiting, func(w *Demand) bool { return w.id == d.id })

	if d.patience > 0 && p.expect(&d, now) > d.patience {
		return Actions{refused: true}
	}

	i, _ := slices.BinarySearchFunc(p.waiting, &d, compare)
	p.waiting = slices.Insert(p.waiting, i, &d)

	return p.decide(now)
}

// expect returns how long an online demand is expected to wait: not at all when a slot is free or can be given back,
// and else until enough of the online leases before it have ended.
func (p *Pool) expect(d *Demand, now time.Time) time.Duration {
	if p.choose(d, now) != nil {
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
		if w.class == Online && compare(w, d) < 0 {
			ahead++
		}
	}

	if ahead <= batch || online == 0 {
		return 0
	}

	return time.Duration(ahead-batch) * p.held() / time.Duration(online)
}

// held returns the mean time that online leases are held.
func (p *Pool) held() time.Duration {
	if p.duration == 0 {
		return firstDuration
	}

	return p.duration
}

// Withdraw ends a demand that waits.
func (p *Pool) Withdraw(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.waiting = slices.DeleteFunc(p.waiting, func(d *Demand) bool { return d.id == id })
}

// Release gives a slot back and says what its request showed of the target.
func (p *Pool) Release(id, target string, f Fault, now time.Time) Actions {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.released == nil {
		p.released = map[string]time.Time{}
	}

	p.released[id] = now

	if e, ok := p.leases[id]; ok && e.class == Online && f == None {
		p.duration = p.held() + time.Duration(durationWeight*float64(now.Sub(e.since)-p.held()))
	}

	holder := ""
	if e, ok := p.leases[id]; ok {
		holder = e.holder
	}

	p.drop(id)

	if v, ok := p.targets[target]; ok {
		v.observe(f, now)

		if f == None && holder != "" {
			v.keep(holder, now)
		}
	}

	return p.decide(now)
}

// keep records that a holder has one more idle connection.
func (v *place) keep(holder string, now time.Time) {
	if v.warm == nil {
		v.warm = map[string]warm{}
	}

	v.warm[holder] = warm{count: v.warm[holder].count + 1, since: now}
}

// use records that a holder uses a connection.
func (v *place) use(holder string) {
	w, ok := v.warm[holder]

	switch {
	case !ok:
	case w.count <= 1:
		delete(v.warm, holder)
	default:
		v.warm[holder] = warm{count: w.count - 1, since: w.since}
	}
}

// cool forgets connections that were idle for too long.
func (v *place) cool(now time.Time) {
	for h, w := range v.warm {
		if now.Sub(w.since) > warmFor {
			delete(v.warm, h)
		}
	}
}

// observe records what a request showed.
func (v *place) observe(f Fault, now time.Time) {
	switch f {
	case None:
		v.faults, v.until = 0, time.Time{}
	case Full:
		v.hold(now.Add(fullPause))
	case Broken:
		v.faults++
		v.suspend(now)
	case Unreachable:
		v.faults = max(suspectFaults, v.faults+1)
		v.suspend(now)
	}
}

// suspend keeps work from a target that is set aside.
func (v *place) suspend(now time.Time) {
	if n := v.faults - suspectFaults; n >= 0 {
		v.hold(now.Add(min(suspectMost, suspectPause<<min(n, 4)))) //nolint:mnd // 16 times is above suspectMost
	}
}

// suspect reports whether the target was set aside and has not succeeded since.
func (v *place) suspect() bool { return v.faults >= suspectFaults }

func (v *place) hold(t time.Time) {
	if t.After(v.until) {
		v.until = t
	}
}

// Report replaces what is known of a daemon's leases by its own list.
func (p *Pool) Report(holder string, held []Lease, now time.Time) Actions {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.holders == nil {
		p.holders = map[string]time.Time{}
	}

	p.holders[holder] = now

	known := make(map[string]bool, len(held))

	for _, e := range held {
		known[e.id] = true

		if _, ok := p.leases[e.id]; ok || !p.released[e.id].IsZero() {
			continue
		}

		e.since = now
		p.add(e)
	}

	for id, e := range p.leases {
		if e.holder == holder && !known[id] && now.Sub(e.since) > settle {
			p.drop(id)
		}
	}

	return p.decide(now)
}

// Expire drops the leases and demands of daemons that have been silent, and forgets old releases. Targets whose pause
// is over get work again.
func (p *Pool) Expire(now time.Time) Actions {
	p.mu.Lock()
	defer p.mu.Unlock()

	for h, t := range p.holders {
		if now.Sub(t) > holderSilence {
			delete(p.holders, h)
		}
	}

	for id, e := range p.leases {
		if _, ok := p.holders[e.holder]; !ok && now.Sub(e.since) > holderSilence {
			p.drop(id)
		}
	}

	for id, t := range p.released {
		if now.Sub(t) > releaseMemory {
			delete(p.released, id)
		}
	}

	for _, v := range p.targets {
		v.cool(now)
	}

	return p.decide(now)
}

// Usage returns the slots in use and the slots in all.
func (p *Pool) Usage() (used, all int) {
	p.mu.Lock()
	defer p.mu.Unlock()

	for _, v := range p.targets {
		used += v.used
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
