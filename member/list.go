package member

import (
	"math"
	"slices"
	"sync"
	"time"
)

// list is the last list of VMs, from the platform or from a peer.
type list struct {
	mu        sync.Mutex
	entries   []Listed
	sum       uint64
	confirmed time.Time
	known     bool
}

// Observe takes the platform's list, which lags. It adds addresses to contact and marks VMs as leaving; it never
// makes a daemon live and never takes leaving back. age is the time since the platform confirmed the list.
func (t *Table) Observe(now time.Time, l []Listed, age time.Duration) {
	if t.list.set(now, l, age) {
		t.version.Add(1)
	}

	t.unlist(l)

	for _, v := range l {
		switch {
		case v.Target:
			if v.Leaving && !t.Departing(v.VM, v.Address) {
				t.Depart(now, v.VM, v.Address)
			}
		case v.Domain == t.settings.Domain:
			t.observe(now, v)
		}
	}
}

// observe takes the list's entry of a daemon of this failure domain. The list has no incarnations, so while it
// may lag, an entry that says leaving is taken to be about the incarnation that is known to have left.
func (t *Table) observe(now time.Time, v Listed) {
	if v.VM == t.settings.VM {
		return
	}

	h := t.shard(v.VM)

	h.mu.Lock()
	e := h.peers[v.VM]

	if e == nil {
		if !v.Leaving {
			h.mu.Unlock()

			return
		}

		e = &entry{}
		h.peers[v.VM] = e
	}

	e.listed = v.Leaving
	c := e.change
	late := e.left != 0 && c.Incarnation > e.left && now.Sub(e.joined) < lateList
	h.mu.Unlock()

	if v.Leaving && c.Incarnation != 0 && c.State != Leaving && !late {
		c.State = Leaving
		t.apply(now, c, true)
	}
}

// unlist takes note of the VMs that are no longer on the list.
func (t *Table) unlist(l []Listed) {
	on := map[string]bool{}
	for _, v := range l {
		on[v.VM] = true
	}

	for i := range t.shards {
		h := &t.shards[i]

		h.mu.Lock()
		for vm, e := range h.peers {
			e.listed = e.listed && on[vm]
		}
		h.mu.Unlock()
	}
}

// set reports whether the list differs from the last one.
func (l *list) set(now time.Time, v []Listed, age time.Duration) bool {
	var sum uint64

	for _, e := range v {
		var n uint64
		if e.Leaving {
			n = 1
		}

		sum ^= hash(e.VM, e.Address+"/"+e.Domain, n)
	}

	l.mu.Lock()
	defer l.mu.Unlock()

	changed := !l.known || l.sum != sum
	l.entries, l.sum, l.confirmed, l.known = slices.Clone(v), sum, now.Add(-age), true

	return changed
}

// digest returns 0 when there is no list.
func (l *list) digest(now time.Time) (uint64, uint32) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if !l.known {
		return 0, 0
	}

	return l.sum | 1, uint32(min(max(now.Sub(l.confirmed).Milliseconds(), 0), math.MaxUint32)) //nolint:gosec // bounded
}

// ListAge returns the time since the platform confirmed the list; false when there is none.
func (t *Table) ListAge(now time.Time) (time.Duration, bool) {
	t.list.mu.Lock()
	defer t.list.mu.Unlock()

	return now.Sub(t.list.confirmed), t.list.known
}

// Confirm takes a peer's word that the platform confirmed the same list more recently.
func (t *Table) Confirm(now time.Time, m Message) {
	age := time.Duration(m.ListAge) * time.Millisecond

	t.list.mu.Lock()
	defer t.list.mu.Unlock()

	if c := now.Add(-age); t.list.known && m.List == t.list.sum|1 && c.After(t.list.confirmed) {
		t.list.confirmed = c
	}
}

// Newer reports whether a message's sender has a different list that the platform confirmed more recently, by
// more than the given time.
func (t *Table) Newer(now time.Time, m Message, by time.Duration) bool {
	d, age := t.list.digest(now)

	switch {
	case m.Domain != t.settings.Domain || m.List == 0 || m.List == d:
		return false
	case d == 0:
		return true
	default:
		return time.Duration(age-min(age, m.ListAge))*time.Millisecond > by
	}
}

func (l *list) daemons(domain string) []Listed {
	l.mu.Lock()
	defer l.mu.Unlock()

	var r []Listed

	for _, e := range l.entries {
		if !e.Target && e.Domain == domain {
			r = append(r, e)
		}
	}

	return r
}

// others returns the daemons of other failure domains.
func (l *list) others(domain string) []Listed {
	l.mu.Lock()
	defer l.mu.Unlock()

	var r []Listed

	for _, e := range l.entries {
		if !e.Target && e.Domain != domain {
			r = append(r, e)
		}
	}

	return r
}
