package job

import (
	"cmp"
	"slices"
	"time"
)

// ShardRequest is the request of a daemon for job shards to run.
type ShardRequest struct {
	domain, holder string
	capacity       int
	heldShards     map[ShardRef]bool
	refusedJobs    map[string]bool
}

// NewShardRequest returns the request of a holder, a VM and incarnation, in a failure domain. capacity is the number of
// items that it can accept now, heldShards are the shards that it runs, refusedJobs the jobs whose shards it does not
// accept.
func NewShardRequest(domain, holder string, capacity int, heldShards []ShardRef, refusedJobs []string) ShardRequest {
	q := ShardRequest{domain: domain, holder: holder, capacity: capacity, heldShards: map[ShardRef]bool{}, refusedJobs: map[string]bool{}}

	for _, r := range heldShards {
		q.heldShards[r] = true
	}

	for _, r := range refusedJobs {
		q.refusedJobs[r] = true
	}

	return q
}

// Candidate is a shard with pending items, with its lease and the properties of its job that decide about a grant.
type Candidate struct {
	ref       ShardRef
	itemCount int
	priority  int
	deadline  time.Time
	lease     Lease
	leased    bool
}

// Ref returns the reference to the shard.
func (c Candidate) Ref() ShardRef { return c.ref }

// ReplacedOffset returns the offset of the latest lease, which a new lease replaces; 0 if there was none.
func (c Candidate) ReplacedOffset() int64 { return c.lease.offset }

// Candidates returns the shards with pending items of a running job: all that had a lease and at most maxUnleased
// others.
func (j *Job) Candidates(maxUnleased int) []Candidate {
	if j.state != Running {
		return nil
	}

	var l []Candidate

	for shard, n := range j.pendingCounts {
		v, leased := j.leases[shard]
		if n == 0 || !leased && maxUnleased <= 0 {
			continue
		}

		if !leased {
			maxUnleased--
		}

		l = append(l, Candidate{
			ref: ShardRef{Job: j.ID(), Shard: shard}, itemCount: n, priority: j.Priority(), deadline: j.Deadline(), lease: v, leased: leased,
		})
	}

	return l
}

// Offer is a shard that may be granted.
type Offer struct {
	Candidate

	resend bool
}

// IsResend reports whether the requester already has the lease in force but does not run the shard, as it has not
// received the reply with it. The shard is then sent again under the same lease.
func (o Offer) IsResend() bool { return o.resend }

// Grantor decides which shards the writer of a partition grants. It measures the time without renewal of a lease on the
// writer's monotonic clock, from when it first observed the lease or its latest renewal. It is not safe for concurrent
// use. The zero value is ready to use.
type Grantor struct {
	observations map[ShardRef]leaseObservation
	reserved     map[ShardRef]time.Time
	requests     map[string]recentRequest
}

// leaseObservation has a lease and its number of renewals, and the time at which this number was first observed.
type leaseObservation struct {
	lease    int64 // offset of the lease record
	renewals int
	at       time.Time
}

type recentRequest struct {
	domain   string
	capacity int
	at       time.Time
}

const (
	// reservationTTL is how long a chosen shard is not offered to other requests while its lease record is appended.
	reservationTTL = 5 * time.Second
	// requestTTL is how long a request counts for the shares of the failure domains. It is above the longest time
	// between two requests of a daemon.
	requestTTL = 12 * time.Second
)

// Offers returns the candidates that may be granted to the request at time now: shards without a lease or with a
// released one, shards whose lease was not renewed for longer than its duration plus maxPause, and shards whose lease
// the requester has without running them (see Offer.IsResend). c has to have every leased shard with pending items of
// the partition, as the observations of other shards are dropped.
func (g *Grantor) Offers(now time.Time, c []Candidate, q ShardRequest, maxPause time.Duration) []Offer {
	var l []Offer

	observations := make(map[ShardRef]leaseObservation, len(g.observations))

	for _, v := range c {
		o := Offer{Candidate: v, resend: v.leased && !v.lease.IsReleased() && v.lease.Holder() == q.holder}

		if v.leased {
			observations[v.ref] = g.observe(now, v)
		}

		if g.canOffer(now, o, observations[v.ref], q, maxPause) {
			l = append(l, o)
		}
	}

	g.observations = observations

	return l
}

func (g *Grantor) canOffer(now time.Time, o Offer, s leaseObservation, q ShardRequest, maxPause time.Duration) bool {
	if o.leased && !o.resend && !o.lease.IsReleased() && now.Sub(s.at) <= o.lease.Duration()+maxPause {
		return false
	}

	if q.refusedJobs[o.ref.Job] || o.resend && q.heldShards[o.ref] {
		return false
	}

	t, ok := g.reserved[o.ref]

	return !ok || now.Sub(t) > reservationTTL
}

// observe returns the observation of a candidate's lease: the earlier one if neither the lease nor its number of
// renewals has changed, else a new one at time now.
func (g *Grantor) observe(now time.Time, c Candidate) leaseObservation {
	s, ok := g.observations[c.ref]
	if !ok || s.lease != c.lease.Offset() || s.renewals != c.lease.Renewals() {
		return leaseObservation{lease: c.lease.Offset(), renewals: c.lease.Renewals(), at: now}
	}

	return s
}

// RecordRenewal restarts the duration of lease v on shard r after a report of its holder. Offers alone would not
// observe it, as a report without results may have no progress record.
func (g *Grantor) RecordRenewal(now time.Time, r ShardRef, v Lease) {
	if g.observations == nil {
		g.observations = map[ShardRef]leaseObservation{}
	}

	g.observations[r] = leaseObservation{lease: v.Offset(), renewals: v.Renewals(), at: now}
}

// Choose returns the offers to grant, the highest priority first, then the earliest deadline, until their items reach
// the capacity of the request. A chosen shard that is not resent is not offered again for reservationTTL or until
// EndReservation is called. A failure domain gets at most its share of the offers, rounded up and so at least one. The
// shares are proportional to the capacities that the domains requested within requestTTL.
func (g *Grantor) Choose(now time.Time, l []Offer, q ShardRequest) []Offer {
	g.recordRequest(now, q)

	l = slices.Clone(l)
	slices.SortFunc(l, func(a, b Offer) int {
		return cmp.Or(
			cmp.Compare(b.priority, a.priority), a.deadline.Compare(b.deadline),
			cmp.Compare(a.ref.Job, b.ref.Job), cmp.Compare(a.ref.Shard, b.ref.Shard),
		)
	})

	var c []Offer

	maxOffers, items := g.domainShare(len(l), q.domain), 0

	for _, o := range l {
		if items >= q.capacity || len(c) >= maxOffers {
			break
		}

		c = append(c, o)
		items += o.itemCount

		if !o.resend {
			g.reserve(now, o.ref)
		}
	}

	return c
}

// EndReservation ends the reservation of a shard once the append of its lease record has succeeded or failed.
func (g *Grantor) EndReservation(r ShardRef) { delete(g.reserved, r) }

func (g *Grantor) reserve(now time.Time, r ShardRef) {
	if g.reserved == nil {
		g.reserved = map[ShardRef]time.Time{}
	}

	g.reserved[r] = now
}

func (g *Grantor) recordRequest(now time.Time, q ShardRequest) {
	if g.requests == nil {
		g.requests = map[string]recentRequest{}
	}

	for h, v := range g.requests {
		if now.Sub(v.at) > requestTTL {
			delete(g.requests, h)
		}
	}

	g.requests[q.holder] = recentRequest{domain: q.domain, capacity: max(0, q.capacity), at: now}
}

// domainShare returns how many of n offers a failure domain may get, rounded up.
func (g *Grantor) domainShare(n int, domain string) int {
	domainCapacity, totalCapacity := 0, 0

	for _, v := range g.requests {
		totalCapacity += v.capacity

		if v.domain == domain {
			domainCapacity += v.capacity
		}
	}

	if totalCapacity == 0 {
		return 0
	}

	return (n*domainCapacity + totalCapacity - 1) / totalCapacity
}
