package member

import (
	"cmp"
	"slices"
	"time"
)

// probeMessage returns the message of a probe. If a full sync is due, the message requests one and carries all states
// itself.
func (t *Table) probeMessage(now time.Time, vm string) Message {
	full := t.probes.consumeSyncRequest(now)
	m := t.heartbeatMessage(now, vm, full)
	m.Full = full

	return m
}

// heartbeatMessage returns a heartbeat to a daemon, with all states if full is set. If the receiver is known in another
// state than Live, the message always includes that state, so that the receiver can refute it.
func (t *Table) heartbeatMessage(now time.Time, vm string, full bool) Message {
	m := t.messageHeader(now)

	if full {
		m.Changes = t.changesForSync(now)
		m.Departures, _ = t.leavingTargets.departuresForSync(now)

		return m
	}

	m.Changes, m.Departures = t.queue.dequeue()

	if e, ok := t.lookup(vm); ok && e.change.Incarnation != 0 && e.change.State != Live && !slices.Contains(m.Changes, e.change) {
		m.Changes = append(m.Changes, e.change)
	}

	return m
}

// Heartbeat returns a heartbeat to a daemon outside the schedule of probes: for a check on behalf of another daemon, or
// to announce a change at once. It never requests a full sync.
func (t *Table) Heartbeat(now time.Time, vm string) Message {
	return t.heartbeatMessage(now, vm, false)
}

// messageHeader returns a message without changes and departures.
func (t *Table) messageHeader(now time.Time) Message {
	_, departed := t.leavingTargets.departuresForSync(now)
	d, age := t.list.digest(now)

	return Message{
		Domain: t.settings.Domain, From: t.Self(), Config: t.config.Load(), Table: t.digest(), Departed: departed,
		List: d, ListAge: age,
	}
}

// changesForSync returns the states of the other daemons that a full sync carries, sorted by VM. Daemons that have been
// leaving for longer than maxSyncedLeavingAge are left out.
func (t *Table) changesForSync(now time.Time) []Change {
	var l []Change

	for i := range t.shards {
		h := &t.shards[i]

		h.mu.Lock()
		for _, e := range h.peers {
			if e.change.Incarnation != 0 && (e.change.State != Leaving || now.Sub(e.stateSince) < maxSyncedLeavingAge) {
				l = append(l, e.change)
			}
		}
		h.mu.Unlock()
	}

	slices.SortFunc(l, func(a, b Change) int { return cmp.Compare(a.VM, b.VM) })

	return l[:min(len(l), maxSyncEntries)]
}
