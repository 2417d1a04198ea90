// Package slots has the controllers for the slots of targets. For each service one daemon, the slot owner, grants the
// slots of all targets, so that it can order all work. The owner is the first-ranked live daemon; equals are ranked by
// rendezvous hashing. As a slot holder, each daemon requests slots from the owners and reports its leases, so that the
// next owner can take over at once. Package daemon uses it for requests that are routed by host and path.
package slots

import (
	"context"
	"sync"
	"time"

	"github.com/agategap/agategap/filter"
	"github.com/agategap/agategap/fleet"
	"github.com/agategap/agategap/pool"
	"github.com/agategap/agategap/shard"
)

const (
	// ownerShardCount is the number of shards over which the pools of services are spread.
	ownerShardCount = 8
	// poolUpdateInterval is the time between two updates of all pools. An update sets the targets, grants the slots of
	// targets whose pause has ended, and removes the leases of holders that have stopped reporting.
	poolUpdateInterval = 25 * time.Millisecond
	// idleUpdateInterval is the same while no pool has leases or waiting requests, as in most daemons.
	idleUpdateInterval = 500 * time.Millisecond
	// noticeTimeout bounds a notice. A holder that misses a grant repeats its request.
	noticeTimeout = 500 * time.Millisecond
	// takeoverBatchDelay is the time for which a daemon that has just become the owner of a service grants no slots for
	// batch work. Within it, the holders report their leases, and daemons that start together agree on one owner.
	takeoverBatchDelay = maxReportInterval
)

// PeerClient calls net/rpc methods of other daemons by their address.
type PeerClient interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Targets returns the targets of a service that may get work.
type Targets interface {
	UsableTargets(service string, now time.Time) []fleet.Target
	// Version returns a number that changes whenever the result of UsableTargets does.
	Version(now time.Time) int64
}

// NoticeReceiver receives the notices for this daemon.
type NoticeReceiver interface {
	Notice(q NoticeArgs, _ *Empty) error
}

// Owner grants slots of services. It serves requests for any service, as the holders choose the owner. Its
// methods Ask, Withdraw, Release, Sound and Report are called by net/rpc and by the Holder in the same process. It is safe for
// concurrent use.
type Owner struct {
	client         PeerClient
	targets        Targets
	address        string // of this daemon
	noticeReceiver NoticeReceiver
	quarantine     Quarantine
	requested      chan struct{} // a slot was requested; ends the wait of an idle Run
	shards         [ownerShardCount]ownerShard
}

type ownerShard struct {
	mu       sync.Mutex
	services map[string]*servicePool
}

// servicePool is the pool of a service with the addresses of its holders.
type servicePool struct {
	pool      pool.Pool
	version   int64 // Targets.Version of the targets in the pool; used by Run only
	mu        sync.Mutex
	addresses map[string]string // by holder
}

// NewOwner returns the owner of the daemon at the address self. Notices to that address go to the NoticeReceiver.
func NewOwner(c PeerClient, t Targets, self string) *Owner {
	return &Owner{client: c, targets: t, address: self, requested: make(chan struct{}, 1), quarantine: noQuarantine{}}
}

// SetQuarantine sets what decides about the prompts of requests, for this owner and for the holder of the same daemon.
// Call it before NewHolder.
func (o *Owner) SetQuarantine(q Quarantine) { o.quarantine = q }

// SetNoticeReceiver sets the receiver of the notices for this daemon. Call it before the first slot request.
func (o *Owner) SetNoticeReceiver(r NoticeReceiver) { o.noticeReceiver = r }

// servicePool returns the pool of a service and creates it on first use.
func (o *Owner) servicePool(name string) *servicePool {
	h := &o.shards[shard.Index(name, ownerShardCount)]

	h.mu.Lock()
	defer h.mu.Unlock()

	s, ok := h.services[name]
	if !ok {
		if h.services == nil {
			h.services = map[string]*servicePool{}
		}

		s = &servicePool{addresses: map[string]string{}}
		s.pool.SetTargets(o.usableTargets(name))
		s.pool.DelayBatch(time.Now().Add(takeoverBatchDelay))
		h.services[name] = s
	}

	return s
}

func (o *Owner) usableTargets(service string) []pool.Target {
	var l []pool.Target
	for _, t := range o.targets.UsableTargets(service, time.Now()) {
		l = append(l, pool.NewTarget(t.Name(), t.Domain(), t.Slots()))
	}

	return l
}

func (s *servicePool) setAddress(holder, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.addresses[holder] = address
}

func (s *servicePool) holderAddress(holder string) string {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.addresses[holder]
}

// Ask grants or refuses a slot request, or lets it wait. A notice tells the holder when a waiting request is granted.
func (o *Owner) Ask(q AskArgs, a *AskReply) error {
	s := o.servicePool(q.Service)
	s.setAddress(q.Holder, q.Address)

	n := o.quarantine.Admit(newPrompt(q.Service, q.Parts), newApplicant(q))
	if e, ok := n.Rejected(); ok {
		a.Quarantined, a.QuarantinedMS = e.Parts(), max(1, e.Remaining().Milliseconds())

		return nil
	}

	a.Trial = n.IsTrial()

	select {
	case o.requested <- struct{}{}:
	default:
	}

	now := time.Now()
	c, rank, due := pool.Online, q.Rank, now.Add(time.Duration(q.DueMS)*time.Millisecond)

	switch {
	case a.Trial: // others wait for the result, so that it goes first and is not preempted
		rank, due = 0, now
	case q.Batch:
		c = pool.Batch
	}

	r := pool.NewSlotRequest(q.ID, q.Holder, q.Domain, c, rank, due).
		WithExcludedTargets(q.Avoid).WithPreferredTarget(q.Prefer).WithRunTime(time.Duration(q.NeedsMS) * time.Millisecond).
		WithMaxWait(time.Duration(q.MostMS) * time.Millisecond)
	if q.Late {
		r = r.AsLate()
	}

	l := s.pool.Request(r, now)
	a.Refused = l.IsRefused()

	for _, g := range l.Granted() {
		if g.ID() == q.ID {
			a.Target = g.Target()
		}
	}

	o.sendNotices(q.Service, s, l, q.ID)

	return nil
}

// Withdraw ends a slot request that its holder has given up.
func (o *Owner) Withdraw(q WithdrawArgs, _ *Empty) error {
	o.quarantine.EndTrial(q.Service, q.ID, false)

	s := o.servicePool(q.Service)
	o.sendNotices(q.Service, s, s.pool.Withdraw(q.ID, time.Now()), "")

	return nil
}

// Release ends a lease, and records what its request has shown about the parts of its prompt.
func (o *Owner) Release(q ReleaseArgs, _ *Empty) error {
	p := newPrompt(q.Service, q.Parts)

	switch filter.PromptOutcome(q.Prompt) {
	case filter.PromptSound:
		o.quarantine.MarkSound(p)
	case filter.PromptSuspect:
		o.quarantine.AddCrash(p, newCrash(q))
	case filter.PromptUntested:
		o.quarantine.EndTrial(q.Service, q.ID, q.Sent)
	}

	s := o.servicePool(q.Service)
	o.sendNotices(q.Service, s, s.pool.Release(q.ID, q.Target, pool.Fault(q.Fault), time.Now()), "")

	return nil
}

// Sound records the parts of a prompt on which a response got beyond its beginning. The lease goes on.
func (o *Owner) Sound(q SoundArgs, _ *Empty) error {
	o.quarantine.MarkSound(newPrompt(q.Service, q.Parts))

	return nil
}

// Report reconciles the leases of a holder with the list that it sends.
func (o *Owner) Report(q ReportArgs, _ *Empty) error {
	s := o.servicePool(q.Service)
	s.setAddress(q.Holder, q.Address)

	now := time.Now()
	l := make([]pool.Lease, 0, len(q.Leases))

	for _, e := range q.Leases {
		c := pool.Online
		if e.Batch {
			c = pool.Batch
		}

		l = append(l, pool.NewLease(
			e.ID, q.Holder, e.Target, c, now.Add(time.Duration(e.DueMS)*time.Millisecond),
			time.Duration(e.Needs)*time.Millisecond))
	}

	o.sendNotices(q.Service, s, s.pool.Report(q.Holder, l, now), "")

	return nil
}

// sendNotices sends one notice to each holder that is affected by actions. It leaves out the grant of the request with
// the identifier except, which the holder gets with the reply to Ask.
func (o *Owner) sendNotices(service string, s *servicePool, a pool.Actions, except string) {
	now := time.Now()
	m := map[string]*NoticeArgs{}

	notice := func(holder string) *NoticeArgs {
		n, ok := m[holder]
		if !ok {
			n = &NoticeArgs{Service: service}
			m[holder] = n
		}

		return n
	}

	for _, g := range a.Granted() {
		if g.ID() != except {
			n := notice(g.Holder())
			n.Grants = append(n.Grants, LeaseMessage{ID: g.ID(), Target: g.Target()})
		}
	}

	for _, e := range a.Preempted() {
		n := notice(e.Holder())
		n.Yields = append(n.Yields, e.ID())
	}

	for h, n := range m {
		address := s.holderAddress(h)
		if address == o.address {
			_ = o.noticeReceiver.Notice(*n, nil)

			continue
		}

		go o.sendNotice(service, s, h, address, *n, now)
	}
}

// sendNotice delivers a notice to another daemon. If that fails, the slots that it grants are released, and the waiting
// requests of the daemon are dropped, which would be granted next.
func (o *Owner) sendNotice(service string, s *servicePool, holder, address string, n NoticeArgs, now time.Time) {
	ctx, stop := context.WithDeadline(context.Background(), now.Add(noticeTimeout))
	defer stop()

	if o.client.Call(ctx, address, "Holder.Notice", n, &Empty{}) == nil {
		return
	}

	s.pool.DropWaiting(holder)

	for _, g := range n.Grants {
		o.sendNotices(service, s, s.pool.Release(g.ID, g.Target, pool.Unused, time.Now()), "")
	}
}

// Run updates the targets of the pools and expires leases until ctx ends. It returns nil.
func (o *Owner) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		interval, requested := poolUpdateInterval, (<-chan struct{})(nil)
		if o.isIdle() {
			interval, requested = idleUpdateInterval, o.requested
		}

		select {
		case <-time.After(interval):
		case <-requested:
		case <-ctx.Done():
			return nil
		}

		v := o.targets.Version(time.Now())

		for n, s := range o.servicePools() {
			if s.version != v {
				s.pool.SetTargets(o.usableTargets(n))
				s.version = v
			}

			o.sendNotices(n, s, s.pool.Expire(time.Now()), "")
		}
	}

	return nil
}

// isIdle reports whether no pool has leases or waiting requests.
func (o *Owner) isIdle() bool {
	for _, s := range o.servicePools() {
		if used, _ := s.pool.Usage(); used > 0 || s.pool.Waiting(pool.Online)+s.pool.Waiting(pool.Batch) > 0 {
			return false
		}
	}

	return true
}

func (o *Owner) servicePools() map[string]*servicePool {
	m := map[string]*servicePool{}

	for i := range o.shards {
		h := &o.shards[i]

		h.mu.Lock()
		for n, s := range h.services {
			m[n] = s
		}
		h.mu.Unlock()
	}

	return m
}

// Usage returns the load of each service for which this daemon has had calls of slot holders.
func (o *Owner) Usage() map[string]Usage {
	m := map[string]Usage{}

	for n, s := range o.servicePools() {
		used, total := s.pool.Usage()
		m[n] = Usage{
			used: used, total: total,
			waitingOnline: s.pool.Waiting(pool.Online), waitingBatch: s.pool.Waiting(pool.Batch),
		}
	}

	return m
}

// Usage is the load of a service.
type Usage struct {
	used, total, waitingOnline, waitingBatch int
}

// Slots returns the number of used slots and of all slots.
func (u Usage) Slots() (used, total int) { return u.used, u.total }

// Waiting returns the numbers of waiting online and batch requests.
func (u Usage) Waiting() (online, batch int) { return u.waitingOnline, u.waitingBatch }
