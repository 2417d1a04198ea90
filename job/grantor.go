package job

import (
	"cmp"
	"slices"
	"time"
)

// Demand is what a daemon asks for.
type Demand struct {
	domain, holder string
	capacity       int
	held           map[Ref]bool
	refused        map[string]bool
}

// NewDemand returns the demand of a holder in a failure domain that can run a number of items now. held are the
// shards that it runs, refused the jobs that it does not take.
func NewDemand(domain, holder string, capacity int, held []Ref, refused []string) Demand {
	d := Demand{domain: domain, holder: holder, capacity: capacity, held: map[Ref]bool{}, refused: map[string]bool{}}

	for _, r := range held {
		d.held[r] = true
	}

	for _, r := range refused {
		d.refused[r] = true
	}

	return d
}

// Candidate is a shard with pending items, as the job has it.
type Candidate struct {
	ref      Ref
	items    int
	priority int
	deadline time.Time
	grant    Grant
	leased   bool
}

// Ref returns the shard.
func (c Candidate) Ref() Ref { return c.ref }

// Replaces returns the offset of the lease in force, which a new lease replaces; 0 for none.
func (c Candidate) Replaces() int64 { return c.grant.offset }

// Candidates returns the shards with pending items of a running job: every leased one and up to a number of others.
func (j *Job) Candidates(free int) []Candidate {
	if j.state != Running {
		return nil
	}

	var l []Candidate

	for s, n := range j.left {
		g, leased := j.leases[s]
		if n == 0 || !leased && free <= 0 {
			continue
		}

		if !leased {
			free--
		}

		l = append(l, Candidate{
			ref: Ref{Job: j.ID(), Shard: s}, items: n, priority: j.Priority(), deadline: j.Deadline(), grant: g, leased: leased,
		})
	}

	return l
}

// Offer is a shard that may be granted.
type Offer struct {
	Candidate

	again bool
}

// Again reports whether the lease in force is the asker's own, whose grant it has not received.
func (o Offer) Again() bool { return o.again }

// Grantor decides which shards the writer of a partition grants. It measures the time without renewal on the
// writer's monotonic clock, from the first time that it saw the lease or its last renewal. It is not safe for
// concurrent use. The zero value is ready to use.
type Grantor struct {
	sights   map[Ref]sight
	reserved map[Ref]time.Time
	demands  map[string]recent
}

// sight is what the grantor saw of a lease.
type sight struct {
	lease    int64
	renewals int
	at       time.Time
}

type recent struct {
	domain   string
	capacity int
	at       time.Time
}

const (
	// reserveTime is how long a chosen shard is kept from other demands while its lease is appended.
	reserveTime = 5 * time.Second
	// demandTime is how long a demand counts for the shares between failure domains. It is above the longest
	// time between two demands of a daemon.
	demandTime = 12 * time.Second
)

// Offers returns the candidates that may be granted at time now: shards without a lease or whose lease was given
// back, shards whose lease was not renewed for its duration plus the pause bound, and shards that the asker holds without knowing it. c has every
// leased shard with pending items of the partition; what was seen of others is forgotten.
func (g *Grantor) Offers(now time.Time, c []Candidate, d Demand, pause time.Duration) []Offer {
	var l []Offer

	seen := make(map[Ref]sight, len(g.sights))

	for _, v := range c {
		o := Offer{Candidate: v, again: v.leased && !v.grant.Released() && v.grant.Holder() == d.holder}

		if v.leased {
			seen[v.ref] = g.sight(now, v)
		}

		if g.offers(now, o, seen[v.ref], d, pause) {
			l = append(l, o)
		}
	}

	g.sights = seen

	return l
}

func (g *Grantor) offers(now time.Time, o Offer, s sight, d Demand, pause time.Duration) bool {
	if o.leased && !o.again && !o.grant.Released() && now.Sub(s.at) <= o.grant.Duration()+pause {
		return false
	}

	if d.refused[o.ref.Job] || o.again && d.held[o.ref] {
		return false
	}

	t, ok := g.reserved[o.ref]

	return !ok || now.Sub(t) > reserveTime
}

// sight returns what was seen of the lease in force. A lease or a renewal that was not seen before counts from now.
func (g *Grantor) sight(now time.Time, c Candidate) sight {
	s, ok := g.sights[c.ref]
	if !ok || s.lease != c.grant.Offset() || s.renewals != c.grant.Renewals() {
		return sight{lease: c.grant.Offset(), renewals: c.grant.Renewals(), at: now}
	}

	return s
}

// Renew notes a report of the holder of the lease in force, which may have no record.
func (g *Grantor) Renew(now time.Time, r Ref, v Grant) {
	if g.sights == nil {
		g.sights = map[Ref]sight{}
	}

	g.sights[r] = sight{lease: v.Offset(), renewals: v.Renewals(), at: now}
}

// Choose returns the offers to grant, the highest priority first, then the earliest deadline. A failure domain gets
// at most its share of the offers, by the capacity that the domains asked for recently, and at least one.
func (g *Grantor) Choose(now time.Time, l []Offer, d Demand) []Offer {
	g.demand(now, d)

	l = slices.Clone(l)
	slices.SortFunc(l, func(a, b Offer) int {
		return cmp.Or(
			cmp.Compare(b.priority, a.priority), a.deadline.Compare(b.deadline),
			cmp.Compare(a.ref.Job, b.ref.Job), cmp.Compare(a.ref.Shard, b.ref.Shard),
		)
	})

	var c []Offer

	most, items := g.share(len(l), d.domain), 0

	for _, o := range l {
		if items >= d.capacity || len(c) >= most {
			break
		}

		c = append(c, o)
		items += o.items

		if !o.again {
			g.reserve(now, o.ref)
		}
	}

	return c
}

// Settled ends the reservation of a shard whose lease was appended or refused.
func (g *Grantor) Settled(r Ref) { delete(g.reserved, r) }

func (g *Grantor) reserve(now time.Time, r Ref) {
	if g.reserved == nil {
		g.reserved = map[Ref]time.Time{}
	}

	g.reserved[r] = now
}

func (g *Grantor) demand(now time.Time, d Demand) {
	if g.demands == nil {
		g.demands = map[string]recent{}
	}

	for h, v := range g.demands {
		if now.Sub(v.at) > demandTime {
			delete(g.demands, h)
		}
	}

	g.demands[d.holder] = recent{domain: d.domain, capacity: max(0, d.capacity), at: now}
}

// share returns the number of n offers that a failure domain may take, rounded up.
func (g *Grantor) share(n int, domain string) int {
	own, all := 0, 0

	for _, v := range g.demands {
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
