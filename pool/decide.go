package pool

import (
	"cmp"
	"slices"
	"time"
)

func compare(a, b *Demand) int {
	return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.rank, b.rank), a.due.Compare(b.due), cmp.Compare(a.id, b.id))
}

func (p *Pool) add(e Lease) {
	if p.leases == nil {
		p.leases = map[string]*Lease{}
	}

	p.leases[e.id] = &e

	if v, ok := p.targets[e.target]; ok {
		v.used++
	}
}

func (p *Pool) drop(id string) {
	e, ok := p.leases[id]
	if !ok {
		return
	}

	delete(p.leases, id)

	if v, ok := p.targets[e.target]; ok {
		v.used--
	}
}

// decide serves the demands that wait, in order, and asks for batch leases back for the online demands that get none.
func (p *Pool) decide(now time.Time) Actions {
	var a Actions

	if free := p.free(now); free > 0 {
		a.grants = p.grant(free, now)
	}

	if n := p.online(); n > 0 {
		a.yields = p.yield(n, now)
	}

	return a
}

// free returns the slots of the targets that may get new work.
func (p *Pool) free(now time.Time) int {
	n := 0

	for _, v := range p.targets {
		if !v.until.After(now) {
			n += max(0, v.target.slots-v.used)
		}
	}

	return n
}

// grant gives free slots to the demands that wait. It ends with the last slot, as a backlog of batch items can be
// thousands of demands long.
func (p *Pool) grant(free int, now time.Time) []Lease {
	var l []Lease

	granted := map[string]bool{}

	for _, d := range p.order(now) {
		if free == 0 || d.class == Batch && p.paused(now) {
			break
		}

		v := p.choose(d, now)
		if v == nil {
			continue
		}

		e := Lease{id: d.id, holder: d.holder, target: v.target.name, class: d.class, due: d.due, needs: d.needs, since: now}
		p.add(e)
		v.use(d.holder)

		l = append(l, e)
		granted[d.id] = true
		free--

		if v.suspect() {
			v.hold(now.Add(suspectPause))
		}
	}

	if len(l) > 0 {
		p.waiting = slices.DeleteFunc(p.waiting, func(d *Demand) bool { return granted[d.id] })
	}

	return l
}

// online returns the number of online demands that wait. They stand before the batch ones.
func (p *Pool) online() int {
	n, _ := slices.BinarySearchFunc(p.waiting, Batch, func(d *Demand, c Class) int { return cmp.Compare(d.class, c) })

	return n
}

// paused reports whether batch work gets no slots, as some were asked back a moment ago.
func (p *Pool) paused(now time.Time) bool { return now.Sub(p.pressed) < batchPause }

// order returns the demands that wait in the order in which they are served.
func (p *Pool) order(now time.Time) []*Demand {
	l := make([]*Demand, 0, len(p.waiting))

	for _, late := range []bool{false, true} {
		for _, d := range p.waiting {
			if d.late(now) == late {
				l = append(l, d)
			}
		}
	}

	return l
}

// choose returns the target for a demand: a preferred one, then one of its own failure domain, then one that its holder
// has an idle connection to, then the one with the smallest share of its slots in use. A suspect target is tried only when
// no other one is free.
func (p *Pool) choose(d *Demand, now time.Time) *place {
	var best *place

	if d.class == Batch && p.paused(now) {
		return nil
	}

	for _, v := range p.targets {
		if v.used >= v.target.slots || v.until.After(now) || slices.Contains(d.avoid, v.target.name) {
			continue
		}

		if best == nil || v.before(best, d) {
			best = v
		}
	}

	return best
}

func (v *place) before(o *place, d *Demand) bool {
	if a, b := v.target.name == d.prefer, o.target.name == d.prefer; a != b {
		return a
	}

	if a, b := v.suspect(), o.suspect(); a != b {
		return b
	}

	if a, b := v.target.domain == d.domain, o.target.domain == d.domain; a != b {
		return a
	}

	if a, b := v.warm[d.holder].count > 0, o.warm[d.holder].count > 0; a != b {
		return a
	}

	if a, b := v.used*o.target.slots, o.used*v.target.slots; a != b {
		return a < b
	}

	return v.target.name < o.target.name
}

// late reports whether the work of a batch lease cannot be done by its due time any more.
func (l Lease) late(now time.Time) bool { return l.since.Add(l.needs).After(l.due) || now.After(l.due) }

// yield returns batch leases to be given back, those that are late anyway and then the least urgent first, so that as
// many are on their way back as online demands wait.
func (p *Pool) yield(n int, now time.Time) []Lease {
	var l []*Lease

	for _, e := range p.leases {
		if e.class != Batch {
			continue
		}

		if e.yielding {
			n--
		} else if v, ok := p.targets[e.target]; ok && !v.suspect() {
			l = append(l, e)
		}
	}

	slices.SortFunc(l, func(a, b *Lease) int {
		if x, y := a.late(now), b.late(now); x != y {
			if x {
				return -1
			}

			return 1
		}

		return cmp.Or(b.due.Compare(a.due), cmp.Compare(a.id, b.id))
	})

	var r []Lease

	if len(l) > 0 && n > 0 {
		p.pressed = now
	}

	for _, e := range l[:max(0, min(n, len(l)))] {
		e.yielding = true
		r = append(r, *e)
	}

	return r
}
