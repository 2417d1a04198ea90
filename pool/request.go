package pool

import "time"

// Target is a target of a service, with its failure domain and its number of slots.
type Target struct {
	name, domain string
	slots        int
}

// NewTarget returns a target in a failure domain with a number of slots.
func NewTarget(name, domain string, slots int) Target {
	return Target{name: name, domain: domain, slots: slots}
}

// SlotRequest is a request of a daemon for one slot of any target of the service.
type SlotRequest struct {
	id, holder, domain string
	class              Class
	priority           int
	due                time.Time
	runTime            time.Duration
	maxWait            time.Duration
	excluded           []string
	preferred          string
	late               bool
	askedAt            time.Time // when the holder last sent the request
}

// NewSlotRequest returns a slot request of holder, a daemon in a failure domain. The id is unique among all daemons.
// Requests of a class are served by priority, 0 first, and then by due time.
func NewSlotRequest(id, holder, domain string, c Class, priority int, due time.Time) SlotRequest {
	return SlotRequest{id: id, holder: holder, domain: domain, class: c, priority: priority, due: due}
}

// WithExcludedTargets returns a copy that gets no slot of the named targets.
func (r SlotRequest) WithExcludedTargets(names []string) SlotRequest {
	r.excluded = names

	return r
}

// WithRunTime returns a copy with the time that the work takes from its start to its end; 0 if unknown. A batch item
// that can no longer be done by its due time is served after those that can.
func (r SlotRequest) WithRunTime(t time.Duration) SlotRequest {
	r.runTime = t

	return r
}

// AsLate returns a copy of an online request that cannot meet its objective any more. It is served after the online
// requests that can.
func (r SlotRequest) AsLate() SlotRequest {
	r.late = true

	return r
}

// WithMaxWait returns a copy that is refused if its expected wait for a slot exceeds t. Zero means that it is never
// refused.
func (r SlotRequest) WithMaxWait(t time.Duration) SlotRequest {
	r.maxWait = t

	return r
}

// isLate reports whether a batch item can no longer be done by its due time.
func (r *SlotRequest) isLate(now time.Time) bool {
	return r.class == Batch && now.Add(r.runTime).After(r.due)
}

// WithPreferredTarget returns a copy that gets a slot of the named target if one is free there.
func (r SlotRequest) WithPreferredTarget(name string) SlotRequest {
	r.preferred = name

	return r
}

// ID returns the identifier, unique among all daemons.
func (r SlotRequest) ID() string { return r.id }

// Lease is a granted slot with its holder.
type Lease struct {
	id, holder, target string
	class              Class
	due                time.Time
	runTime            time.Duration // counted from since
	since              time.Time
	preemptedAt        time.Time // when its holder was first told to release it; zero if it was not
	remindedAt         time.Time // when its holder was last told so
}

// NewLease returns a lease as its holder reports it. The runTime is what is left of the work.
func NewLease(id, holder, target string, c Class, due time.Time, runTime time.Duration) Lease {
	return Lease{id: id, holder: holder, target: target, class: c, due: due, runTime: runTime}
}

// ID returns the identifier of the slot request.
func (l Lease) ID() string { return l.id }

// Holder returns the daemon that holds the slot.
func (l Lease) Holder() string { return l.holder }

// Target returns the name of the target.
func (l Lease) Target() string { return l.target }
