package member

import (
	"cmp"
	"slices"
	"time"
)

// probeMessage returns the message of a probe, which is a full exchange when one is due.
func (t *Table) probeMessage(now time.Time, vm string) Message {
	full := t.probes.consumeSyncRequest(now)
	m := t.heartbeatMessage(now, vm, full)
	m.Full = full

	return m
}

// heartbeatMessage returns a heartbeat to a daemon. It always has what is known of the receiver, unless that is live, so
// that the receiver can refute it.
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

// Heartbeat returns a message to a daemon, for a check on behalf of another.
func (t *Table) Heartbeat(now time.Time, vm string) Message { return t.heartbeatMessage(now, vm, false) }

func (t *Table) messageHeader(now time.Time) Message {
	_, departed := t.leavingTargets.departuresForSync(now)
	d, age := t.list.digest(now)

	return Message{
		Domain: t.settings.Domain, From: t.Self(), Config: t.config.Load(), Table: t.digest(), Departed: departed,
		List: d, ListAge: age,
	}
}

// changesForSync returns what a full exchange carries of the other daemons.
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
