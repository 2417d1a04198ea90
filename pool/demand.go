package pool

import "time"

// Target is a target of the service as the pool needs it.
type Target struct {
	name, domain string
	slots        int
}

// NewTarget returns a target in a failure domain with a number of slots.
func NewTarget(name, domain string, slots int) Target {
	return Target{name: name, domain: domain, slots: slots}
}

// SlotRequest is a request that asks for a slot.
type SlotRequest struct {
	id, holder, domain string
	class              Class
	priority               int
	due                time.Time
	runTime              time.Duration
	maxWait           time.Duration
	excluded              []string
	preferred             string
}

// NewSlotRequest returns a demand of a daemon in a failure domain. Demands of a class are served by rank, then in the order
// in which they are due.
func NewSlotRequest(id, holder, domain string, c Class, rank int, due time.Time) SlotRequest {
	return SlotRequest{id: id, holder: holder, domain: domain, class: c, priority: rank, due: due}
}

// WithExcludedTargets returns a copy that is not to be served by some targets.
func (d SlotRequest) WithExcludedTargets(names []string) SlotRequest {
	d.excluded = names

	return d
}

// WithRunTime returns a copy that takes some time from its start to its end. A batch item that cannot be done by its due
// time any more comes behind those that can.
func (d SlotRequest) WithRunTime(t time.Duration) SlotRequest {
	d.runTime = t

	return d
}

// WithMaxWait returns a copy that is refused when its wait for a slot is expected to exceed some time.
func (d SlotRequest) WithMaxWait(t time.Duration) SlotRequest {
	d.maxWait = t

	return d
}

// isLate reports whether a batch item cannot be done by its due time any more.
func (d *SlotRequest) isLate(now time.Time) bool { return d.class == Batch && now.Add(d.runTime).After(d.due) }

// WithPreferredTarget returns a copy that goes to a target when it has a free slot.
func (d SlotRequest) WithPreferredTarget(name string) SlotRequest {
	d.preferred = name

	return d
}

// ID returns the identifier, unique among all daemons.
func (d SlotRequest) ID() string { return d.id }

// Lease is a slot that a daemon holds.
type Lease struct {
	id, holder, target string
	class              Class
	due                time.Time
	runTime              time.Duration
	since              time.Time
	preempted           bool
}

// NewLease returns a lease as its holder reports it, whose work needs some more time.
func NewLease(id, holder, target string, c Class, due time.Time, needs time.Duration) Lease {
	return Lease{id: id, holder: holder, target: target, class: c, due: due, runTime: needs}
}

// ID returns the identifier of the demand.
func (l Lease) ID() string { return l.id }

// Holder returns the daemon that holds the slot.
func (l Lease) Holder() string { return l.holder }

// Target returns the name of the target.
func (l Lease) Target() string { return l.target }
