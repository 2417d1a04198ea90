package pool

import (
	"cmp"
	"slices"
	"time"
)

func compareRequests(a, b *SlotRequest) int {
	return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.priority, b.priority), a.due.Compare(b.due), cmp.Compare(a.id, b.id))
}

func (p *Pool) addLease(e Lease) {
	if p.leases == nil {
		p.leases = map[string]*Lease{}
	}

	p.leases[e.id] = &e

	if v, ok := p.targets[e.target]; ok {
		v.usedSlots++
	}
}

func (p *Pool) removeLease(id string) {
	e, ok := p.leases[id]
	if !ok {
		return
	}

	delete(p.leases, id)

	if v, ok := p.targets[e.target]; ok {
		v.usedSlots--
	}
}

// schedule serves the demands that wait, in order, and asks for batch leases back for the online demands that get none.
func (p *Pool) schedule(now time.Time) Actions {
	var a Actions

	if free := p.freeSlots(now); free > 0 {
		a.granted = p.grantSlots(free, now)
	}

	if n := p.waitingOnline(); n > 0 {
		a.preempted = p.preempt(n, now)
	}

	return a
}

// freeSlots returns the slots of the targets that may get new work.
func (p *Pool) freeSlots(now time.Time) int {
	n := 0

	for _, v := range p.targets {
		if !v.pausedUntil.After(now) {
			n += max(0, v.target.slots-v.usedSlots)
		}
	}

	return n
}

// grantSlots gives free slots to the demands that wait. It ends with the last slot, as a backlog of batch items can be
// thousands of demands long.
func (p *Pool) grantSlots(free int, now time.Time) []Lease {
	var l []Lease

	granted := map[string]bool{}

	for _, d := range p.schedulingOrder(now) {
		if free == 0 || d.class == Batch && p.isBatchPaused(now) {
			break
		}

		v := p.chooseTarget(d, now)
		if v == nil {
			continue
		}

		e := Lease{id: d.id, holder: d.holder, target: v.target.name, class: d.class, due: d.due, runTime: d.runTime, since: now}
		p.addLease(e)
		v.removeIdleConn(d.holder)

		l = append(l, e)
		granted[d.id] = true
		free--

		if v.isSuspect() {
			v.pauseUntil(now.Add(minEjectionTime))
		}
	}

	if len(l) > 0 {
		p.waiting = slices.DeleteFunc(p.waiting, func(d *SlotRequest) bool { return granted[d.id] })
	}

	return l
}

// waitingOnline returns the number of online demands that wait. They stand before the batch ones.
func (p *Pool) waitingOnline() int {
	n, _ := slices.BinarySearchFunc(p.waiting, Batch, func(d *SlotRequest, c Class) int { return cmp.Compare(d.class, c) })

	return n
}

// isBatchPaused reports whether batch work gets no slots, as some were asked back a moment ago.
func (p *Pool) isBatchPaused(now time.Time) bool { return now.Sub(p.preemptedAt) < batchPause }

// schedulingOrder returns the demands that wait in the order in which they are served.
func (p *Pool) schedulingOrder(now time.Time) []*SlotRequest {
	l := make([]*SlotRequest, 0, len(p.waiting))

	for _, late := range []bool{false, true} {
		for _, d := range p.waiting {
			if d.isLate(now) == late {
				l = append(l, d)
			}
		}
	}

	return l
}

// chooseTarget returns the target for a demand: a preferred one, then one of its own failure domain, then one that its holder
// has an idle connection to, then the one with the smallest share of its slots in use. A suspect target is tried only when
// no other one is free.
func (p *Pool) chooseTarget(d *SlotRequest, now time.Time) *targetState {
	var best *targetState

	if d.class == Batch && p.isBatchPaused(now) {
		return nil
	}

	for _, v := range p.targets {
		if v.usedSlots >= v.target.slots || v.pausedUntil.After(now) || slices.Contains(d.excluded, v.target.name) {
			continue
		}

		if best == nil || v.isBetterThan(best, d) {
			best = v
		}
	}

	return best
}

func (v *targetState) isBetterThan(o *targetState, d *SlotRequest) bool {
	if a, b := v.target.name == d.preferred, o.target.name == d.preferred; a != b {
		return a
	}

	if a, b := v.isSuspect(), o.isSuspect(); a != b {
		return b
	}

	if a, b := v.target.domain == d.domain, o.target.domain == d.domain; a != b {
		return a
	}

	if a, b := v.idleConns[d.holder].count > 0, o.idleConns[d.holder].count > 0; a != b {
		return a
	}

	if a, b := v.usedSlots*o.target.slots, o.usedSlots*v.target.slots; a != b {
		return a < b
	}

	return v.target.name < o.target.name
}

// isLate reports whether the work of a batch lease cannot be done by its due time any more.
func (l Lease) isLate(now time.Time) bool { return l.since.Add(l.runTime).After(l.due) || now.After(l.due) }

// preempt returns batch leases to be given back, those that are late anyway and then the least urgent first, so that as
// many are on their way back as online demands wait.
func (p *Pool) preempt(n int, now time.Time) []Lease {
	var l []*Lease

	for _, e := range p.leases {
		if e.class != Batch {
			continue
		}

		if e.preempted {
			n--
		} else if v, ok := p.targets[e.target]; ok && !v.isSuspect() {
			l = append(l, e)
		}
	}

	slices.SortFunc(l, func(a, b *Lease) int {
		if x, y := a.isLate(now), b.isLate(now); x != y {
			if x {
				return -1
			}

			return 1
		}

		return cmp.Or(b.due.Compare(a.due), cmp.Compare(a.id, b.id))
	})

	var r []Lease

	if len(l) > 0 && n > 0 {
		p.preemptedAt = now
	}

	for _, e := range l[:max(0, min(n, len(l)))] {
		e.preempted = true
		r = append(r, *e)
	}

	return r
}
