package pool

import (
	"cmp"
	"slices"
	"time"
)

// compareRequests orders requests by class, whether they are late online requests, priority and due time. The identifier
// breaks ties.
func compareRequests(a, b *SlotRequest) int {
	return cmp.Or(
		cmp.Compare(a.class, b.class), compareLate(a, b), cmp.Compare(a.priority, b.priority), a.due.Compare(b.due),
		cmp.Compare(a.id, b.id))
}

// compareLate orders late online requests after others. After a disturbance, most of the requests that come back are
// late; served in the order of their due times, they would make the new ones late as well.
func compareLate(a, b *SlotRequest) int {
	switch {
	case a.late == b.late:
		return 0
	case a.late:
		return 1
	default:
		return -1
	}
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

// schedule grants free slots to waiting requests, and preempts batch leases for the online requests that still wait.
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

// freeSlots returns the number of free slots of all targets that may get new work.
func (p *Pool) freeSlots(now time.Time) int {
	n := 0

	for _, v := range p.targets {
		if !v.pausedUntil.After(now) {
			n += max(0, v.target.slots-v.usedSlots)
		}
	}

	return n
}

// grantSlots grants free slots to waiting requests and returns the new leases. It stops once no slot is free, as
// thousands of batch requests may be waiting.
func (p *Pool) grantSlots(free int, now time.Time) []Lease {
	var l []Lease

	granted := map[string]bool{}

	for _, r := range p.schedulingOrder(now) {
		if free == 0 || r.class == Batch && p.isBatchPaused(now) {
			break
		}

		v := p.chooseTarget(r, now)
		if v == nil {
			continue
		}

		e := Lease{
			id: r.id, holder: r.holder, target: v.target.name, class: r.class, due: r.due, runTime: r.runTime, since: now,
		}
		p.addLease(e)
		v.removeIdleConn(r.holder)

		l = append(l, e)
		granted[r.id] = true
		free--

		if v.isSuspect() {
			v.pauseUntil(now.Add(minEjectionTime))
		}
	}

	if len(l) > 0 {
		p.waiting = slices.DeleteFunc(p.waiting, func(r *SlotRequest) bool { return granted[r.id] })
	}

	return l
}

// waitingOnline returns the number of waiting online requests. They come before the batch requests in p.waiting.
func (p *Pool) waitingOnline() int {
	n, _ := slices.BinarySearchFunc(p.waiting, Batch, func(r *SlotRequest, c Class) int { return cmp.Compare(r.class, c) })

	return n
}

// isBatchPaused reports whether batch work gets no slots because of a recent preemption or a takeover.
func (p *Pool) isBatchPaused(now time.Time) bool { return now.Before(p.batchFrom) }

// schedulingOrder returns the waiting requests in the order in which they are served: late batch items come last.
func (p *Pool) schedulingOrder(now time.Time) []*SlotRequest {
	l := make([]*SlotRequest, 0, len(p.waiting))

	for _, late := range []bool{false, true} {
		for _, r := range p.waiting {
			if r.isLate(now) == late {
				l = append(l, r)
			}
		}
	}

	return l
}

// chooseTarget returns the best target that has a free slot and may serve the request, or nil if there is none.
func (p *Pool) chooseTarget(r *SlotRequest, now time.Time) *targetState {
	var best *targetState

	if r.class == Batch && p.isBatchPaused(now) {
		return nil
	}

	for _, v := range p.targets {
		if v.usedSlots >= v.target.slots || v.pausedUntil.After(now) || slices.Contains(r.excluded, v.target.name) {
			continue
		}

		if best == nil || v.isBetterThan(best, r) {
			best = v
		}
	}

	return best
}

// isBetterThan reports whether r is better served by v than by o. The criteria are, in this order: v is the target that
// r prefers, v is not suspect, v is in the failure domain of r, the holder has an idle connection to v, and v has the
// smaller share of its slots in use. The name breaks ties.
func (v *targetState) isBetterThan(o *targetState, r *SlotRequest) bool {
	if a, b := v.target.name == r.preferred, o.target.name == r.preferred; a != b {
		return a
	}

	if a, b := v.isSuspect(), o.isSuspect(); a != b {
		return b
	}

	if a, b := v.target.domain == r.domain, o.target.domain == r.domain; a != b {
		return a
	}

	if a, b := v.idleConns[r.holder].count > 0, o.idleConns[r.holder].count > 0; a != b {
		return a
	}

	if a, b := v.usedSlots*o.target.slots, o.usedSlots*v.target.slots; a != b {
		return a < b
	}

	return v.target.name < o.target.name
}

// isLate reports whether the work of a batch lease can no longer be done by its due time.
func (l Lease) isLate(now time.Time) bool {
	return l.since.Add(l.runTime).After(l.due) || now.After(l.due)
}

// canYield reports whether a batch lease can be preempted for an online request, or becomes free soon because it was.
// Slots of suspect targets are no use to online requests.
func (p *Pool) canYield(e *Lease, now time.Time) bool {
	if v, ok := p.targets[e.target]; !ok || v.isSuspect() {
		return false
	}

	return e.preemptedAt.IsZero() || now.Sub(e.preemptedAt) < maxYieldTime
}

// preempt marks batch leases as preempted and returns them. n is the number of waiting online requests; leases that
// become free soon because they are already preempted count towards it. Late items are preempted first, then those with
// the latest due time. Leases of suspect targets are skipped.
func (p *Pool) preempt(n int, now time.Time) []Lease {
	var l []*Lease

	for _, e := range p.leases {
		switch {
		case e.class != Batch || !p.canYield(e, now):
		case e.preemptedAt.IsZero():
			l = append(l, e)
		default:
			n--
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
		p.delayBatch(now.Add(batchPause))
	}

	for _, e := range l[:max(0, min(n, len(l)))] {
		e.preemptedAt, e.remindedAt = now, now
		r = append(r, *e)
	}

	return r
}
