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
	// ownerShards is the number of shards of the pools; services are spread over them.
	ownerShards = 8
	// ownerTick is the time between two passes over the pools, in which pauses end and silent daemons are dropped.
	ownerTick = 25 * time.Millisecond
	// noticeWithin bounds a notice. A holder that misses one asks again.
	noticeWithin = 500 * time.Millisecond
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

// Receiver takes notices for this daemon.
type Receiver interface {
	Notice(q NoticeMessage, _ *Empty) error
}

// Owner hands out the slots of the services that other daemons ask it for. Whether it is the first choice is for those
// who ask to decide.
type Owner struct {
	caller   Caller
	targets  Targets
	self     string
	receiver Receiver
	shards   [ownerShards]ownerShard
}

type ownerShard struct {
	mu       sync.Mutex
	services map[string]*owned
}

// owned is the pool of a service with the addresses of the daemons that use it.
type owned struct {
	pool      pool.Pool
	version   int64 // of the targets in the pool; used by Run only
	mu        sync.Mutex
	addresses map[string]string
}

// NewOwner returns the controller of a daemon that takes notices at the address self.
func NewOwner(c Caller, t Targets, self string) *Owner {
	return &Owner{caller: c, targets: t, self: self}
}

// SetReceiver sets what takes notices for this daemon. It is to be called before the first demand.
func (o *Owner) SetReceiver(r Receiver) { o.receiver = r }

func (o *Owner) service(name string) *owned {
	h := &o.shards[shard.Index(name, ownerShards)]

	h.mu.Lock()
	defer h.mu.Unlock()

	s, ok := h.services[name]
	if !ok {
		if h.services == nil {
			h.services = map[string]*owned{}
		}

		s = &owned{addresses: map[string]string{}}
		s.pool.SetTargets(o.places(name))
		h.services[name] = s
	}

	return s
}

func (o *Owner) places(service string) []pool.Target {
	var l []pool.Target
	for _, t := range o.targets.UsableTargets(service, time.Now()) {
		l = append(l, pool.NewTarget(t.Name(), t.Domain(), t.Slots()))
	}

	return l
}

func (s *owned) address(holder, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.addresses[holder] = address
}

func (s *owned) addressOf(holder string) string {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.addresses[holder]
}

// Ask hands out a slot, or lets the demand wait for a notice.
func (o *Owner) Ask(q DemandMessage, a *DemandReply) error {
	s := o.service(q.Service)
	s.address(q.Holder, q.Address)

	c := pool.Online
	if q.Batch {
		c = pool.Batch
	}

	now := time.Now()
	d := pool.NewDemand(q.ID, q.Holder, q.Domain, c, q.Rank, now.Add(time.Duration(q.DueMS)*time.Millisecond)).
		Avoiding(q.Avoid).Preferring(q.Prefer).Needing(time.Duration(q.NeedsMS) * time.Millisecond).
		Within(time.Duration(q.MostMS) * time.Millisecond)
	l := s.pool.Ask(d, now)
	a.Refused = l.Refused()

	for _, g := range l.Grants() {
		if g.ID() == q.ID {
			a.Target = g.Target()
		}
	}

	o.deliver(q.Service, s, l, q.ID)

	return nil
}

// Withdraw ends a demand that waits.
func (o *Owner) Withdraw(q WithdrawMessage, _ *Empty) error {
	o.service(q.Service).pool.Withdraw(q.ID)

	return nil
}

// Release takes a slot back.
func (o *Owner) Release(q ReleaseMessage, _ *Empty) error {
	s := o.service(q.Service)
	o.deliver(q.Service, s, s.pool.Release(q.ID, q.Target, pool.Fault(q.Fault), time.Now()), "")

	return nil
}

// Report takes the list of slots that a daemon holds.
func (o *Owner) Report(q ReportMessage, _ *Empty) error {
	s := o.service(q.Service)
	s.address(q.Holder, q.Address)

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

	o.deliver(q.Service, s, s.pool.Report(q.Holder, l, now), "")

	return nil
}

// deliver sends what was decided to those whom it concerns. except is a demand that is answered directly.
func (o *Owner) deliver(service string, s *owned, a pool.Actions, except string) {
	now := time.Now()
	m := map[string]*NoticeMessage{}

	notice := func(holder string) *NoticeMessage {
		n, ok := m[holder]
		if !ok {
			n = &NoticeMessage{Service: service}
			m[holder] = n
		}

		return n
	}

	for _, g := range a.Grants() {
		if g.ID() != except {
			n := notice(g.Holder())
			n.Grants = append(n.Grants, LeaseMessage{ID: g.ID(), Target: g.Target()})
		}
	}

	for _, y := range a.Yields() {
		n := notice(y.Holder())
		n.Yields = append(n.Yields, y.ID())
	}

	for h, n := range m {
		address := s.addressOf(h)
		if address == o.self {
			_ = o.receiver.Notice(*n, nil)

			continue
		}

		go o.send(service, s, address, *n, now)
	}
}

// send delivers a notice. Slots of a notice that did not arrive are taken back.
func (o *Owner) send(service string, s *owned, address string, n NoticeMessage, now time.Time) {
	ctx, stop := context.WithDeadline(context.Background(), now.Add(noticeWithin))
	defer stop()

	if o.caller.Call(ctx, address, "Holder.Notice", n, &Empty{}) == nil {
		return
	}

	for _, g := range n.Grants {
		o.deliver(service, s, s.pool.Release(g.ID, g.Target, pool.Unused, time.Now()), "")
	}
}

// Run keeps the pools up to date until ctx ends.
func (o *Owner) Run(ctx context.Context) error {
	t := time.NewTicker(ownerTick)
	defer t.Stop()

	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil
		}

		v := o.targets.Version(time.Now())

		for n, s := range o.all() {
			if s.version != v {
				s.pool.SetTargets(o.places(n))
				s.version = v
			}

			o.deliver(n, s, s.pool.Expire(time.Now()), "")
		}
	}
}

func (o *Owner) all() map[string]*owned {
	m := map[string]*owned{}

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

	for n, s := range o.all() {
		used, all := s.pool.Usage()
		m[n] = Usage{used: used, all: all, online: s.pool.Waiting(pool.Online), batch: s.pool.Waiting(pool.Batch)}
	}

	return m
}

// Usage is the load of a service.
type Usage struct {
	used, all, online, batch int
}

// Slots returns the slots in use and in all.
func (u Usage) Slots() (used, all int) { return u.used, u.all }

// Waiting returns the online and batch demands that wait.
func (u Usage) Waiting() (online, batch int) { return u.online, u.batch }
