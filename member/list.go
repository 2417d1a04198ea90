package member

import (
	"math"
	"slices"
	"sync"
	"time"
)

// vmList is the last list of VMs, from the platform or from a peer.
type vmList struct {
	mu        sync.Mutex
	vms   []ListedVM
	checksum       uint64
	confirmedAt time.Time
	received     bool
}

// ObserveList takes the platform's list, which lags. It adds addresses to contact and marks VMs as leaving; it never
// makes a daemon live and never takes leaving back. age is the time since the platform confirmed the list.
func (t *Table) ObserveList(now time.Time, l []ListedVM, age time.Duration) {
	if t.list.set(now, l, age) {
		t.version.Add(1)
	}

	t.clearListedLeaving(l)

	for _, v := range l {
		switch {
		case v.Target:
			if v.Leaving && !t.IsTargetLeaving(v.VM, v.Address) {
				t.MarkTargetLeaving(now, v.VM, v.Address)
			}
		case v.Domain == t.settings.Domain:
			t.observeDaemon(now, v)
		}
	}
}

// observeDaemon takes the list's entry of a daemon of this failure domain. The list has no incarnations, so while it
// may lag, an entry that says leaving is taken to be about the incarnation that is known to have left.
func (t *Table) observeDaemon(now time.Time, v ListedVM) {
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

		e = &peerEntry{}
		h.peers[v.VM] = e
	}

	e.listedLeaving = v.Leaving
	c := e.change
	late := e.highestLeft != 0 && c.Incarnation > e.highestLeft && now.Sub(e.incarnationSince) < maxListLag
	h.mu.Unlock()

	if v.Leaving && c.Incarnation != 0 && c.State != Leaving && !late {
		c.State = Leaving
		t.apply(now, c, true)
	}
}

// clearListedLeaving takes note of the VMs that are no longer on the list.
func (t *Table) clearListedLeaving(l []ListedVM) {
	on := map[string]bool{}
	for _, v := range l {
		on[v.VM] = true
	}

	for i := range t.shards {
		h := &t.shards[i]

		h.mu.Lock()
		for vm, e := range h.peers {
			e.listedLeaving = e.listedLeaving && on[vm]
		}
		h.mu.Unlock()
	}
}

// set reports whether the list differs from the last one.
func (l *vmList) set(now time.Time, v []ListedVM, age time.Duration) bool {
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

	changed := !l.received || l.checksum != sum
	l.vms, l.checksum, l.confirmedAt, l.received = slices.Clone(v), sum, now.Add(-age), true

	return changed
}

// digest returns 0 when there is no list.
func (l *vmList) digest(now time.Time) (uint64, uint32) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if !l.received {
		return 0, 0
	}

	return l.checksum | 1, uint32(min(max(now.Sub(l.confirmedAt).Milliseconds(), 0), math.MaxUint32)) //nolint:gosec // bounded
}

// ListAge returns the time since the platform confirmed the list; false when there is none.
func (t *Table) ListAge(now time.Time) (time.Duration, bool) {
	t.list.mu.Lock()
	defer t.list.mu.Unlock()

	return now.Sub(t.list.confirmedAt), t.list.received
}

// ConfirmList takes a peer's word that the platform confirmed the same list more recently.
func (t *Table) ConfirmList(now time.Time, m Message) {
	age := time.Duration(m.ListAge) * time.Millisecond

	t.list.mu.Lock()
	defer t.list.mu.Unlock()

	if c := now.Add(-age); t.list.received && m.List == t.list.checksum|1 && c.After(t.list.confirmedAt) {
		t.list.confirmedAt = c
	}
}

// HasNewerList reports whether a message's sender has a different list that the platform confirmed more recently, by
// more than the given time.
func (t *Table) HasNewerList(now time.Time, m Message, by time.Duration) bool {
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

func (l *vmList) localDaemons(domain string) []ListedVM {
	l.mu.Lock()
	defer l.mu.Unlock()

	var r []ListedVM

	for _, e := range l.vms {
		if !e.Target && e.Domain == domain {
			r = append(r, e)
		}
	}

	return r
}

// remoteDaemons returns the daemons of other failure domains.
func (l *vmList) remoteDaemons(domain string) []ListedVM {
	l.mu.Lock()
	defer l.mu.Unlock()

	var r []ListedVM

	for _, e := range l.vms {
		if !e.Target && e.Domain != domain {
			r = append(r, e)
		}
	}

	return r
}
