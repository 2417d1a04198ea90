package member

import (
	"math"
	"slices"
	"sync"
	"time"
)

// vmList is the last list of VMs that this daemon got from the platform or from a peer.
type vmList struct {
	mu          sync.Mutex
	vms         []ListedVM
	checksum    uint64    // XOR of the hashes of the entries
	confirmedAt time.Time // when the platform last confirmed the list
	received    bool
}

// ObserveList takes the platform's list of VMs, which is updated with a delay. It adds addresses to contact and marks
// VMs as leaving. It never makes a daemon live and never reverts a VM from leaving. age is the time since the platform
// confirmed the list.
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

// observeDaemon takes the list's entry of a daemon of this failure domain. The list has no incarnations. While the list
// may be out of date, a leaving entry is therefore attributed to the incarnation that is known to have left, not to its
// successor.
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
	outdated := e.maxLeftIncarnation != 0 && c.Incarnation > e.maxLeftIncarnation && now.Sub(e.incarnationSince) < maxListLag
	h.mu.Unlock()

	if v.Leaving && c.Incarnation != 0 && c.State != Leaving && !outdated {
		c.State = Leaving
		t.apply(now, c, true)
	}
}

// clearListedLeaving clears the leaving flag of VMs that are no longer on the list, so that their entries can expire.
func (t *Table) clearListedLeaving(l []ListedVM) {
	isListed := map[string]bool{}
	for _, v := range l {
		isListed[v.VM] = true
	}

	for i := range t.shards {
		h := &t.shards[i]

		h.mu.Lock()
		for vm, e := range h.peers {
			e.listedLeaving = e.listedLeaving && isListed[vm]
		}
		h.mu.Unlock()
	}
}

// set replaces the list and reports whether it differs from the previous one.
func (l *vmList) set(now time.Time, v []ListedVM, age time.Duration) bool {
	var checksum uint64

	for _, e := range v {
		var n uint64
		if e.Leaving {
			n = 1
		}

		checksum ^= hash(e.VM, e.Address+"/"+e.Domain, n)
	}

	l.mu.Lock()
	defer l.mu.Unlock()

	changed := !l.received || l.checksum != checksum
	l.vms, l.checksum, l.confirmedAt, l.received = slices.Clone(v), checksum, now.Add(-age), true

	return changed
}

// digest returns the digest of the list and the time since it was confirmed, in milliseconds. The digest is 0 if and
// only if there is no list.
func (l *vmList) digest(now time.Time) (uint64, uint32) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if !l.received {
		return 0, 0
	}

	return l.checksum | 1, uint32(min(max(now.Sub(l.confirmedAt).Milliseconds(), 0), math.MaxUint32)) //nolint:gosec // bounded
}

// ListAge returns the time since the platform confirmed the list; false if there is no list.
func (t *Table) ListAge(now time.Time) (time.Duration, bool) {
	t.list.mu.Lock()
	defer t.list.mu.Unlock()

	return now.Sub(t.list.confirmedAt), t.list.received
}

// ConfirmList updates the time of confirmation if the sender of a message has the same list and the platform confirmed
// it more recently there.
func (t *Table) ConfirmList(now time.Time, m Message) {
	age := time.Duration(m.ListAge) * time.Millisecond

	t.list.mu.Lock()
	defer t.list.mu.Unlock()

	if c := now.Add(-age); t.list.received && m.List == t.list.checksum|1 && c.After(t.list.confirmedAt) {
		t.list.confirmedAt = c
	}
}

// HasNewerList reports whether the sender of a message has a different list that the platform confirmed more than
// minDifference later than the local one, or any list while there is no local one. It is false for senders in other
// failure domains.
func (t *Table) HasNewerList(now time.Time, m Message, minDifference time.Duration) bool {
	d, age := t.list.digest(now)

	switch {
	case m.Domain != t.settings.Domain || m.List == 0 || m.List == d:
		return false
	case d == 0:
		return true
	default:
		return time.Duration(age-min(age, m.ListAge))*time.Millisecond > minDifference
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
