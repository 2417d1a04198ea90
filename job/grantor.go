package job

import (
	"cmp"
	"slices"
	"time"
)

// ShardRequest is what a daemon asks for.
type ShardRequest struct {
	domain, holder string
	capacity       int
	heldShards           map[ShardRef]bool
	refusedJobs        map[string]bool
}

// NewShardRequest returns the demand of a holder in a failure domain that can run a number of items now. held are the
// shards that it runs, refused the jobs that it does not take.
func NewShardRequest(domain, holder string, capacity int, held []ShardRef, refused []string) ShardRequest {
	d := ShardRequest{domain: domain, holder: holder, capacity: capacity, heldShards: map[ShardRef]bool{}, refusedJobs: map[string]bool{}}

	for _, r := range held {
		d.heldShards[r] = true
	}

	for _, r := range refused {
		d.refusedJobs[r] = true
	}

	return d
}

// Candidate is a shard with pending items, as the job has it.
type Candidate struct {
	ref      ShardRef
	itemCount    int
	priority int
	deadline time.Time
	lease    Lease
	leased   bool
}

// Ref returns the shard.
func (c Candidate) Ref() ShardRef { return c.ref }

// ReplacedOffset returns the offset of the lease in force, which a new lease replaces; 0 for none.
func (c Candidate) ReplacedOffset() int64 { return c.lease.offset }

// Candidates returns the shards with pending items of a running job: every leased one and up to a number of others.
func (j *Job) Candidates(free int) []Candidate {
	if j.state != Running {
		return nil
	}

	var l []Candidate

	for s, n := range j.pendingCounts {
		g, leased := j.leases[s]
		if n == 0 || !leased && free <= 0 {
			continue
		}

		if !leased {
			free--
		}

		l = append(l, Candidate{
			ref: ShardRef{Job: j.ID(), Shard: s}, itemCount: n, priority: j.Priority(), deadline: j.Deadline(), lease: g, leased: leased,
		})
	}

	return l
}

// Offer is a shard that may be granted.
type Offer struct {
	Candidate

	resend bool
}

// IsResend reports whether the lease in force is the asker's own, whose grant it has not received.
func (o Offer) IsResend() bool { return o.resend }

// Grantor decides which shards the writer of a partition grants. It measures the time without renewal on the
// writer's monotonic clock, from the first time that it saw the lease or its last renewal. It is not safe for
// concurrent use. The zero value is ready to use.
type Grantor struct {
	observations   map[ShardRef]leaseObservation
	reserved map[ShardRef]time.Time
	requests  map[string]recentRequest
}

// leaseObservation is what the grantor saw of a lease.
type leaseObservation struct {
	lease    int64
	renewals int
	at       time.Time
}

type recentRequest struct {
	domain   string
	capacity int
	at       time.Time
}

const (
	// reservationTTL is how long a chosen shard is kept from other demands while its lease is appended.
	reservationTTL = 5 * time.Second
	// requestTTL is how long a demand counts for the shares between failure domains. It is above the longest
	// time between two demands of a daemon.
	requestTTL = 12 * time.Second
)

// Offers returns the candidates that may be granted at time now: shards without a lease or whose lease was given
// back, shards whose lease was not renewed for its duration plus the pause bound, and shards that the asker holds without knowing it. c has every
// leased shard with pending items of the partition; what was seen of others is forgotten.
func (g *Grantor) Offers(now time.Time, c []Candidate, d ShardRequest, pause time.Duration) []Offer {
	var l []Offer

	seen := make(map[ShardRef]leaseObservation, len(g.observations))

	for _, v := range c {
		o := Offer{Candidate: v, resend: v.leased && !v.lease.IsReleased() && v.lease.Holder() == d.holder}

		if v.leased {
			seen[v.ref] = g.observe(now, v)
		}

		if g.canOffer(now, o, seen[v.ref], d, pause) {
			l = append(l, o)
		}
	}

	g.observations = seen

	return l
}

func (g *Grantor) canOffer(now time.Time, o Offer, s leaseObservation, d ShardRequest, pause time.Duration) bool {
	if o.leased && !o.resend && !o.lease.IsReleased() && now.Sub(s.at) <= o.lease.Duration()+pause {
		return false
	}

	if d.refusedJobs[o.ref.Job] || o.resend && d.heldShards[o.ref] {
		return false
	}

	t, ok := g.reserved[o.ref]

	return !ok || now.Sub(t) > reservationTTL
}

// observe returns what was seen of the lease in force. A lease or a renewal that was not seen before counts from now.
func (g *Grantor) observe(now time.Time, c Candidate) leaseObservation {
	s, ok := g.observations[c.ref]
	if !ok || s.lease != c.lease.Offset() || s.renewals != c.lease.Renewals() {
		return leaseObservation{lease: c.lease.Offset(), renewals: c.lease.Renewals(), at: now}
	}

	return s
}

// RecordRenewal notes a report of the holder of the lease in force, which may have no record.
func (g *Grantor) RecordRenewal(now time.Time, r ShardRef, v Lease) {
	if g.observations == nil {
		g.observations = map[ShardRef]leaseObservation{}
	}

	g.observations[r] = leaseObservation{lease: v.Offset(), renewals: v.Renewals(), at: now}
}

// Choose returns the offers to grant, the highest priority first, then the earliest deadline. A failure domain gets
// at most its share of the offers, by the capacity that the domains asked for recently, and at least one.
func (g *Grantor) Choose(now time.Time, l []Offer, d ShardRequest) []Offer {
	g.recordRequest(now, d)

	l = slices.Clone(l)
	slices.SortFunc(l, func(a, b Offer) int {
		return cmp.Or(
			cmp.Compare(b.priority, a.priority), a.deadline.Compare(b.deadline),
			cmp.Compare(a.ref.Job, b.ref.Job), cmp.Compare(a.ref.Shard, b.ref.Shard),
		)
	})

	var c []Offer

	most, items := g.domainShare(len(l), d.domain), 0

	for _, o := range l {
		if items >= d.capacity || len(c) >= most {
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

// EndReservation ends the reservation of a shard whose lease was appended or refused.
func (g *Grantor) EndReservation(r ShardRef) { delete(g.reserved, r) }

func (g *Grantor) reserve(now time.Time, r ShardRef) {
	if g.reserved == nil {
		g.reserved = map[ShardRef]time.Time{}
	}

	g.reserved[r] = now
}

func (g *Grantor) recordRequest(now time.Time, d ShardRequest) {
	if g.requests == nil {
		g.requests = map[string]recentRequest{}
	}

	for h, v := range g.requests {
		if now.Sub(v.at) > requestTTL {
			delete(g.requests, h)
		}
	}

	g.requests[d.holder] = recentRequest{domain: d.domain, capacity: max(0, d.capacity), at: now}
}

// domainShare returns the number of n offers that a failure domain may take, rounded up.
func (g *Grantor) domainShare(n int, domain string) int {
	own, all := 0, 0

	for _, v := range g.requests {
		all += v.capacity

		if v.domain == domain {
			own += v.capacity
		}
	}

	if all == 0 {
		return 0
	}

	return (n*own + all - 1) / all
}
