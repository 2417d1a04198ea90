package controller

import (
	"context"
	"sync"
	"time"

	"github.com/agategap/agategap/balance"
	"github.com/agategap/agategap/sched"
	"github.com/agategap/agategap/shard"
)

// ownerState is the state of this daemon as slot owner: the calls that wait for a decision, and the preemptions to
// return with the next renewal of their slot holder.
type ownerState struct {
	waiters     [slotShardCount]waiterShard
	preemptions preemptionQueues
}

// waiterShard has the waiting calls whose lease identifiers hash to it. Each channel takes one decision without
// blocking.
type waiterShard struct {
	mu    sync.Mutex
	chans map[sched.LeaseID]chan sched.Action
}

type preemptionQueues struct {
	mu       sync.Mutex
	byHolder map[string]*preemptionQueue
}

// preemptionQueue has the preempted leases of one slot holder. wake has a value if leases were added since its last
// receive.
type preemptionQueue struct {
	mu        sync.Mutex
	preempted []sched.LeaseID
	wake      chan struct{}
}

func (m *preemptionQueues) forHolder(holder string) *preemptionQueue {
	m.mu.Lock()
	defer m.mu.Unlock()

	if m.byHolder == nil {
		m.byHolder = map[string]*preemptionQueue{}
	}

	b := m.byHolder[holder]
	if b == nil {
		b = &preemptionQueue{wake: make(chan struct{}, 1)}
		m.byHolder[holder] = b
	}

	return b
}

func (b *preemptionQueue) enqueue(id sched.LeaseID) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.preempted = append(b.preempted, id)

	select {
	case b.wake <- struct{}{}:
	default:
	}
}

func (b *preemptionQueue) dequeueAll() []string {
	b.mu.Lock()
	defer b.mu.Unlock()

	var l []string
	for _, id := range b.preempted {
		l = append(l, string(id))
	}

	b.preempted = nil

	return l
}

func (o *ownerState) addWaiter(id sched.LeaseID) chan sched.Action {
	h := &o.waiters[shard.Index(string(id), slotShardCount)]
	c := make(chan sched.Action, 1)

	h.mu.Lock()
	defer h.mu.Unlock()

	if h.chans == nil {
		h.chans = map[sched.LeaseID]chan sched.Action{}
	}

	h.chans[id] = c

	return c
}

// notifyWaiter passes a to the call that waits for the decision on a slot request, if it still waits.
func (o *ownerState) notifyWaiter(id sched.LeaseID, a sched.Action) {
	h := &o.waiters[shard.Index(string(id), slotShardCount)]

	h.mu.Lock()
	defer h.mu.Unlock()

	if c := h.chans[id]; c != nil {
		delete(h.chans, id)
		c <- a
	}
}

// applyActions passes the decisions of a queue to the waiting calls, and its preemptions to the slot holders.
func (s *Slots) applyActions(l []sched.Action) {
	for _, a := range l {
		if a.Kind() != sched.Preempt {
			s.asOwner.notifyWaiter(a.ID(), a)

			continue
		}

		if a.Holder() == s.self.VM() {
			s.asHolder.preempt(a.ID())
		} else {
			s.asOwner.preemptions.forHolder(a.Holder()).enqueue(a.ID())
		}
	}
}

// requestSlot passes a slot request to a queue and waits for the decision. When ctx ends first it withdraws the request
// and returns the zero Action, or the decision that was made in the meantime.
func (s *Slots) requestSlot(ctx context.Context, q *sched.Queue, d sched.SlotRequest) sched.Action {
	if w := d.MaxWait(); w == 0 || w > maxOwnerWait {
		d = d.WithMaxWait(maxOwnerWait)
	}

	c := s.asOwner.addWaiter(d.ID())
	s.applyActions(q.Request(s.clock(), d))

	select {
	case a := <-c:
		return a
	case <-ctx.Done():
		s.asOwner.notifyWaiter(d.ID(), sched.Action{})
		s.applyActions(q.Release(s.clock(), d.ID(), sched.Observation{}))

		return <-c
	}
}

// acquireLocal waits for a slot of a queue of this daemon. localOnly means that no other daemon counts the slot: its
// lease is renewed in q and is never reported to an owner.
func (s *Slots) acquireLocal(ctx context.Context, target string, d sched.SlotRequest, q *sched.Queue, localOnly bool) (balance.SlotLease, error) {
	d = d.WithHolder(s.self.VM())

	var localQueue *sched.Queue
	if localOnly {
		localQueue = q
	}

	p := s.asHolder.add(s, target, "", d, localQueue)

	a := s.requestSlot(ctx, q, d)
	if ctx.Err() != nil || a.Kind() != sched.Grant {
		s.asHolder.remove(p)

		if a.Kind() == sched.Grant {
			s.applyActions(q.Release(s.clock(), d.ID(), sched.Observation{}))
		}

		return nil, noSlotError(target, a.RetryAfter())
	}

	p.granted.Store(true)

	return p, nil
}

// SlotService is the net/rpc service of a slot owner with the methods Slot.Acquire, Slot.Renew and Slot.Release for
// other daemons. It is safe for concurrent use, and the errors of its methods are always nil.
type SlotService struct {
	slots *Slots
}

// Service returns the service to register as "Slot".
func (s *Slots) Service() SlotService { return SlotService{slots: s} }

// Acquire replies when the slot request is granted or rejected, which takes about maxOwnerWait at most.
func (v SlotService) Acquire(a sched.AcquireArgs, r *sched.AcquireReply) error {
	s := v.slots
	q := s.ownedQueue(a.Target)

	d := newSlotRequest(a.Demand, s.clock()).WithMaxWait(time.Duration(a.WaitUS) * time.Microsecond)
	o := s.requestSlot(context.Background(), q, d)

	r.Granted = o.Kind() == sched.Grant
	r.RetryAfterUS = o.RetryAfter().Microseconds()
	r.Load = newLoadMessage(q.Load())

	return nil
}

// Renew renews the leases of a slot holder. It replies when one of them is preempted, or after the wait, which
// maxRenewWait bounds.
func (v SlotService) Renew(a sched.RenewArgs, r *sched.RenewReply) error {
	s := v.slots
	now := s.clock()

	for _, m := range a.Slots {
		s.applyActions(s.ownedQueue(m.Target).Renew(now, newSlotRequest(m, now)))
	}

	b := s.asOwner.preemptions.forHolder(a.Holder)
	t := time.NewTimer(min(maxRenewWait, time.Duration(a.WaitUS)*time.Microsecond))

	defer t.Stop()

	select {
	case <-b.wake:
	case <-t.C:
	}

	r.Preempted = b.dequeueAll()

	return nil
}

// Release ends a slot lease or withdraws a slot request. It replies with the load after that.
func (v SlotService) Release(a sched.ReleaseArgs, r *sched.ReleaseReply) error {
	s := v.slots
	q := s.ownedQueue(a.Target)

	us := func(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
	o := sched.NewObservation(us(a.FirstUS), us(a.PerUS), us(a.TotalUS), a.Tokens, a.OK)

	s.applyActions(q.Release(s.clock(), sched.LeaseID(a.ID), o))
	s.asOwner.notifyWaiter(sched.LeaseID(a.ID), sched.Action{})
	r.Load = newLoadMessage(q.Load())

	return nil
}

func newLoadMessage(l sched.Load) sched.LoadMessage {
	return sched.LoadMessage{Online: l.Online(), Batch: l.Batch(), Waiting: l.Waiting(), Limit: l.Limit()}
}

func newSlotRequest(m sched.SlotRequestMessage, now time.Time) sched.SlotRequest {
	var t time.Time
	if m.RemainingUS != 0 {
		t = now.Add(time.Duration(m.RemainingUS) * time.Microsecond)
	}

	return sched.NewSlotRequest(sched.LeaseID(m.ID), m.Holder, m.Account, sched.Class(m.Class), t).WithSize(m.Tokens, m.Long).WithNonPreemptible(m.Keep)
}

func newSlotRequestMessage(target string, d sched.SlotRequest, now time.Time) sched.SlotRequestMessage {
	m := sched.SlotRequestMessage{
		Target: target, ID: string(d.ID()), Holder: d.Holder(), Account: d.Account(), Class: uint8(d.Class()),
		Tokens: d.Tokens(), Long: d.IsLong(), Keep: d.IsNonPreemptible(),
	}

	if !d.Deadline().IsZero() {
		m.RemainingUS = d.Deadline().Sub(now).Microseconds()
	}

	return m
}
