// Package slots has the controllers of the slots of targets. For each service one daemon, the owner, hands out the
// slots of all its targets, so that it orders all work; the owner is the first choice of a rendezvous hash among the
// live daemons. The other daemons report what they hold, so that the next owner can go on at once.
package slots

import (
	"context"
	"sync"
	"time"

	"github.com/agategap/agategap/fleet"
	"github.com/agategap/agategap/pool"
	"github.com/agategap/agategap/shard"
)

const (
	// ownerShardCount is the number of shards of the pools; services are spread over them.
	ownerShardCount = 8
	// poolUpdateInterval is the time between two passes over the pools, in which pauses end and silent daemons are dropped.
	poolUpdateInterval = 25 * time.Millisecond
	// noticeTimeout bounds a notice. A holder that misses one asks again.
	noticeTimeout = 500 * time.Millisecond
)

// Caller calls methods of other daemons.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Targets knows the targets that may get work.
type Targets interface {
	UsableTargets(service string, now time.Time) []fleet.Target
	// Version returns a number that differs when Usable does.
	Version(now time.Time) int64
}

// NoticeReceiver takes notices for this daemon.
type NoticeReceiver interface {
	Notice(q NoticeArgs, _ *Empty) error
}

// Owner hands out the slots of the services that other daemons ask it for. Whether it is the first choice is for those
// who ask to decide.
type Owner struct {
	caller   Caller
	targets  Targets
	address     string
	noticeReceiver NoticeReceiver
	shards   [ownerShardCount]ownerShard
}

type ownerShard struct {
	mu       sync.Mutex
	services map[string]*servicePool
}

// servicePool is the pool of a service with the addresses of the daemons that use it.
type servicePool struct {
	pool      pool.Pool
	version   int64 // of the targets in the pool; used by Run only
	mu        sync.Mutex
	addresses map[string]string
}

// NewOwner returns the controller of a daemon that takes notices at the address self.
func NewOwner(c Caller, t Targets, self string) *Owner {
	return &Owner{caller: c, targets: t, address: self}
}

// SetNoticeReceiver sets what takes notices for this daemon. It is to be called before the first demand.
func (o *Owner) SetNoticeReceiver(r NoticeReceiver) { o.noticeReceiver = r }

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

// Ask hands out a slot, or lets the demand wait for a notice.
func (o *Owner) Ask(q AskArgs, a *AskReply) error {
	s := o.servicePool(q.Service)
	s.setAddress(q.Holder, q.Address)

	c := pool.Online
	if q.Batch {
		c = pool.Batch
	}

	now := time.Now()
	d := pool.NewSlotRequest(q.ID, q.Holder, q.Domain, c, q.Rank, now.Add(time.Duration(q.DueMS)*time.Millisecond)).
		WithExcludedTargets(q.Avoid).WithPreferredTarget(q.Prefer).WithRunTime(time.Duration(q.NeedsMS) * time.Millisecond).
		WithMaxWait(time.Duration(q.MostMS) * time.Millisecond)
	l := s.pool.Request(d, now)
	a.Refused = l.IsRefused()

	for _, g := range l.Granted() {
		if g.ID() == q.ID {
			a.Target = g.Target()
		}
	}

	o.sendNotices(q.Service, s, l, q.ID)

	return nil
}

// Withdraw ends a demand that waits.
func (o *Owner) Withdraw(q WithdrawArgs, _ *Empty) error {
	o.servicePool(q.Service).pool.Withdraw(q.ID)

	return nil
}

// Release takes a slot back.
func (o *Owner) Release(q ReleaseArgs, _ *Empty) error {
	s := o.servicePool(q.Service)
	o.sendNotices(q.Service, s, s.pool.Release(q.ID, q.Target, pool.Fault(q.Fault), time.Now()), "")

	return nil
}

// Report takes the list of slots that a daemon holds.
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
			e.ID, q.Holder, e.Target, c, now.Add(time.Duration(e.DueMS)*time.Millisecond), time.Duration(e.Needs)*time.Millisecond))
	}

	o.sendNotices(q.Service, s, s.pool.Report(q.Holder, l, now), "")

	return nil
}

// sendNotices sends what was decided to those whom it concerns. except is a demand that is answered directly.
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

	for _, y := range a.Preempted() {
		n := notice(y.Holder())
		n.Yields = append(n.Yields, y.ID())
	}

	for h, n := range m {
		address := s.holderAddress(h)
		if address == o.address {
			_ = o.noticeReceiver.Notice(*n, nil)

			continue
		}

		go o.sendNotice(service, s, address, *n, now)
	}
}

// sendNotice delivers a notice. Slots of a notice that did not arrive are taken back.
func (o *Owner) sendNotice(service string, s *servicePool, address string, n NoticeArgs, now time.Time) {
	ctx, stop := context.WithDeadline(context.Background(), now.Add(noticeTimeout))
	defer stop()

	if o.caller.Call(ctx, address, "Holder.Notice", n, &Empty{}) == nil {
		return
	}

	for _, g := range n.Grants {
		o.sendNotices(service, s, s.pool.Release(g.ID, g.Target, pool.Unused, time.Now()), "")
	}
}

// Run keeps the pools up to date until ctx ends.
func (o *Owner) Run(ctx context.Context) error {
	t := time.NewTicker(poolUpdateInterval)
	defer t.Stop()

	for {
		select {
		case <-t.C:
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

// Usage returns the slots in use, the slots in all and the demands that wait, for each service that this daemon has
// handed slots out for.
func (o *Owner) Usage() map[string]Usage {
	m := map[string]Usage{}

	for n, s := range o.servicePools() {
		used, all := s.pool.Usage()
		m[n] = Usage{used: used, total: all, waitingOnline: s.pool.Waiting(pool.Online), waitingBatch: s.pool.Waiting(pool.Batch)}
	}

	return m
}

// Usage is the load of a service.
type Usage struct {
	used, total, waitingOnline, waitingBatch int
}

// Slots returns the slots in use and in all.
func (u Usage) Slots() (used, all int) { return u.used, u.total }

// Waiting returns the online and batch demands that wait.
func (u Usage) Waiting() (online, batch int) { return u.waitingOnline, u.waitingBatch }
