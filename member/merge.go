package member

import (
	"errors"
	"fmt"
	"sync/atomic"
	"time"
)

var (
	// ErrStale means that the sender has been replaced by a newer incarnation.
	ErrStale = errors.New("message from a replaced incarnation")
	// ErrMalformed means that a field of a message is missing or out of range.
	ErrMalformed = errors.New("malformed message")
	// ErrOversized means that a message has more changes or departures than a full sync may carry.
	ErrOversized = errors.New("oversized message")
)

// counts are the counters that Counts returns.
type counts struct {
	stale, malformed, oversized, received, suspected, removed, refuted atomic.Int64
}

// Counts returns counters since the start: of received messages by result, and of changes of the state of daemons.
func (t *Table) Counts() map[string]int64 {
	return map[string]int64{
		"stale":     t.counts.stale.Load(),
		"malformed": t.counts.malformed.Load(),
		"oversized": t.counts.oversized.Load(),
		"received":  t.counts.received.Load(),
		"suspected": t.counts.suspected.Load(),
		"removed":   t.counts.removed.Load(),
		"refuted":   t.counts.refuted.Load(),
	}
}

// Receive applies a heartbeat and returns the reply. A rejected message only increments a counter; its error is
// ErrStale, ErrMalformed or ErrOversized.
func (t *Table) Receive(now time.Time, m Message) (Message, error) {
	if err := t.accept(m); err != nil {
		return Message{}, err
	}

	if m.Domain != t.settings.Domain {
		t.mergeDepartures(now, m.Departures)

		return t.remoteMessage(now, m.Full), nil
	}

	t.merge(now, m)

	return t.heartbeatMessage(now, m.From.VM, m.Full), nil
}

// accept validates a message and counts it by result.
func (t *Table) accept(m Message) error {
	err := t.validate(m)

	switch {
	case errors.Is(err, ErrOversized):
		t.counts.oversized.Add(1)
	case errors.Is(err, ErrMalformed):
		t.counts.malformed.Add(1)
	case errors.Is(err, ErrStale):
		t.counts.stale.Add(1)
	default:
		t.counts.received.Add(1)
	}

	return err
}

func (t *Table) validate(m Message) error {
	if len(m.Changes) > maxSyncEntries || len(m.Departures) > maxSyncEntries {
		return fmt.Errorf("%w: %d changes and %d departures", ErrOversized, len(m.Changes), len(m.Departures))
	}

	if m.Domain == "" || len(m.Domain) > maxNameBytes || len(m.Region) > maxNameBytes || m.Config < 0 {
		return fmt.Errorf("%w: invalid failure domain, region or configuration version", ErrMalformed)
	}

	for _, c := range append([]Change{m.From}, m.Changes...) {
		if !t.isValidIdentity(c.VM, c.Address) || c.Incarnation == 0 || c.State < Live || c.State > Leaving {
			return fmt.Errorf("%w: invalid change of %.40q", ErrMalformed, c.VM)
		}
	}

	for _, d := range m.Departures {
		if !t.isValidIdentity(d.VM, d.Address) || d.Since <= 0 {
			return fmt.Errorf("%w: invalid departure of %.40q", ErrMalformed, d.VM)
		}
	}

	if e, ok := t.lookup(m.From.VM); ok && m.Domain == t.settings.Domain && m.From.Incarnation < e.change.Incarnation {
		return fmt.Errorf("%w: %s", ErrStale, m.From.VM)
	}

	return nil
}

func (t *Table) isValidIdentity(vm, address string) bool {
	return vm != "" && len(vm) <= maxNameBytes && address != "" && len(address) <= maxNameBytes &&
		(t.settings.Valid == nil || t.settings.Valid(address))
}

func (t *Table) merge(now time.Time, m Message) {
	t.apply(now, m.From, false)

	for _, c := range m.Changes {
		t.apply(now, c, false)
	}

	t.mergeDepartures(now, m.Departures)
	t.probes.compareDigests(now, m, t)
}

// apply applies a change if it supersedes the known state, and queues it for other daemons. observed means that this
// daemon detected the change itself or found it in the platform's list. If only a peer reports that a daemon of the
// view is removed, the daemon becomes suspected here instead: a daemon that was partitioned off removes all others and
// reports that when it returns.
func (t *Table) apply(now time.Time, c Change, observed bool) {
	if c.VM == t.settings.VM {
		t.refute(c)

		return
	}

	h := t.shard(c.VM)

	h.mu.Lock()
	changed, passOn := h.apply(now, &c, observed, &t.counts)
	h.mu.Unlock()

	if passOn {
		t.queue.addChange(c, t.viewSize())
	}

	if changed {
		t.version.Add(1)
	}
}

// apply applies a change if it supersedes the known state. Before, it may replace c.State: Removed by Suspect, or any
// state by Leaving. It reports whether the view changed, and whether the change was new and is to be passed on.
func (h *tableShard) apply(now time.Time, c *Change, observed bool, n *counts) (changed, passOn bool) {
	e := h.peers[c.VM]
	if e == nil {
		if len(h.peers) >= maxSyncEntries {
			return false, false
		}

		e = &peerEntry{}
		h.peers[c.VM] = e
	}

	if c.State == Removed && !observed && inView(e.change) {
		c.State = Suspect
	}

	// The list showed this VM as leaving before any incarnation of it was known.
	if c.Incarnation > e.maxLeftIncarnation && e.listedLeaving && e.maxLeftIncarnation == 0 {
		c.State = Leaving
	}

	if c.Incarnation <= e.maxLeftIncarnation {
		c.State = Leaving
	}

	if !supersedes(*c, e.change) {
		return false, false
	}

	wasInView := inView(e.change)
	changed = wasInView != inView(*c) || wasInView && (e.change.Incarnation != c.Incarnation || e.change.Address != c.Address)

	// Until its first incarnation is known, a listed daemon may be in the view as unconfirmed.
	changed = changed || e.change.Incarnation == 0

	if e.change.Incarnation != c.Incarnation {
		e.incarnationSince = now
	}

	if e.change.State != c.State || e.change.Incarnation != c.Incarnation {
		e.stateSince = now
		n.countState(c.State)
	}

	if c.State == Leaving {
		e.maxLeftIncarnation = max(e.maxLeftIncarnation, c.Incarnation)
	}

	e.change = *c

	return changed, true
}

func (n *counts) countState(s State) {
	switch s {
	case Suspect:
		n.suspected.Add(1)
	case Removed:
		n.removed.Add(1)
	}
}

// supersedes reports whether a takes precedence over b, which may be the zero value: by the higher incarnation, then by
// Leaving, then by the higher counter, then by the higher state.
func supersedes(a, b Change) bool {
	switch {
	case a.Incarnation != b.Incarnation:
		return a.Incarnation > b.Incarnation
	case a.State == Leaving || b.State == Leaving:
		return b.State != Leaving
	case a.Counter != b.Counter:
		return a.Counter > b.Counter
	default:
		return a.State > b.State
	}
}

// refute refutes a wrong report about this daemon by raising its incarnation or counter. A report that this incarnation
// is leaving is accepted.
func (t *Table) refute(c Change) {
	t.self.mu.Lock()
	o := &t.self.change
	before := *o

	switch {
	case c.Incarnation > o.Incarnation:
		// The clock of this VM is behind that of the previous incarnation.
		o.Incarnation, o.Counter = c.Incarnation+1, 0
	case c.Incarnation < o.Incarnation:
	case c.State == Leaving:
		o.State = Leaving
	case o.State == Live && (c.State != Live || c.Counter > o.Counter) && c.Counter >= o.Counter:
		o.Counter = c.Counter + 1
	}

	after := *o
	t.self.mu.Unlock()

	if after != before {
		t.counts.refuted.Add(1)
		t.queue.addChange(after, t.viewSize())
		t.version.Add(1)
	}
}
