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

// Demand is a request that asks for a slot.
type Demand struct {
	id, holder, domain string
	class              Class
	rank               int
	due                time.Time
	needs              time.Duration
	patience           time.Duration
	avoid              []string
	prefer             string
}

// NewDemand returns a demand of a daemon in a failure domain. Demands of a class are served by rank, then in the order
// in which they are due.
func NewDemand(id, holder, domain string, c Class, rank int, due time.Time) Demand {
	return Demand{id: id, holder: holder, domain: domain, class: c, rank: rank, due: due}
}

// Avoiding returns a copy that is not to be served by some targets.
func (d Demand) Avoiding(names []string) Demand {
	d.avoid = names

	return d
}

// Needing returns a copy that takes some time from its start to its end. A batch item that cannot be done by its due
// time any more comes behind those that can.
func (d Demand) Needing(t time.Duration) Demand {
	d.needs = t

	return d
}

// Within returns a copy that is refused when its wait for a slot is expected to exceed some time.
func (d Demand) Within(t time.Duration) Demand {
	d.patience = t

	return d
}

// late reports whether a batch item cannot be done by its due time any more.
func (d *Demand) late(now time.Time) bool { return d.class == Batch && now.Add(d.needs).After(d.due) }

// Preferring returns a copy that goes to a target when it has a free slot.
func (d Demand) Preferring(name string) Demand {
	d.prefer = name

	return d
}

// ID returns the identifier, unique among all daemons.
func (d Demand) ID() string { return d.id }

// Lease is a slot that a daemon holds.
type Lease struct {
	id, holder, target string
	class              Class
	due                time.Time
	needs              time.Duration
	since              time.Time
	yielding           bool
}

// NewLease returns a lease as its holder reports it, whose work needs some more time.
func NewLease(id, holder, target string, c Class, due time.Time, needs time.Duration) Lease {
	return Lease{id: id, holder: holder, target: target, class: c, due: due, needs: needs}
}

// ID returns the identifier of the demand.
func (l Lease) ID() string { return l.id }

// Holder returns the daemon that holds the slot.
func (l Lease) Holder() string { return l.holder }

// Target returns the name of the target.
func (l Lease) Target() string { return l.target }
