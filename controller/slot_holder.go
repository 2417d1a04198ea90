package controller

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/agategap/agategap/balance"
	"github.com/agategap/agategap/outcome"
	"github.com/agategap/agategap/sched"
	"github.com/agategap/agategap/shard"
)

// heldSide is what a requester keeps: the slots that it holds, and a session with each owner that it asks.
type heldSide struct {
	shards [slotShards]permitShard

	mu       sync.Mutex
	sessions map[string]*session
	down     map[string]time.Time
	stopped  bool
}

type permitShard struct {
	mu      sync.Mutex
	permits map[sched.LeaseID]*permit
}

// session is a requester's standing renewal with one owner. It lives while the requester holds slots of the owner or
// waits for some.
type session struct {
	address string
	uses    int           // guarded by the lock of the sessions
	wake    chan struct{} // has a value when a slot came that the next renewal should list
	failed  chan struct{} // closed when the owner does not answer
	stop    context.CancelFunc
}

// permit is a slot that this daemon holds.
type permit struct {
	slots     *Slots
	target    string
	demand    sched.SlotRequest
	queue     *sched.Queue // of slots that only this daemon counts, or nil
	preempted chan struct{}
	once      sync.Once
	granted   atomic.Bool // a slot that is still waited for must not be reported as held

	mu      sync.Mutex
	address string // of the owner; empty when this daemon granted the slot
}

// Preempted is closed when the owner wants the slot back.
func (p *permit) Preempted() <-chan struct{} { return p.preempted }

// Release gives the slot back.
func (p *permit) Release(o sched.Observation) {
	s := p.slots
	s.held.remove(p)

	if p.queue != nil {
		s.carryOut(p.queue.Release(s.clock(), p.demand.ID(), o))

		return
	}

	a := p.owner()
	if a == "" { // this daemon has become the owner
		s.carryOut(s.queue(p.target).Release(s.clock(), p.demand.ID(), o))

		return
	}

	s.wg.Go(func() { s.releaseRemote(a, p.target, p.demand.ID(), o) })
}

func (p *permit) owner() string {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.address
}

func (p *permit) setOwner(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.address = address
}

func (h *heldSide) shard(id sched.LeaseID) *permitShard {
	return &h.shards[shard.Index(string(id), slotShards)]
}

func (h *heldSide) add(s *Slots, target, address string, d sched.SlotRequest, q *sched.Queue) *permit {
	p := &permit{slots: s, target: target, address: address, demand: d, queue: q, preempted: make(chan struct{})}
	v := h.shard(d.ID())

	v.mu.Lock()
	defer v.mu.Unlock()

	if v.permits == nil {
		v.permits = map[sched.LeaseID]*permit{}
	}

	v.permits[d.ID()] = p

	return p
}

func (h *heldSide) remove(p *permit) {
	v := h.shard(p.demand.ID())

	v.mu.Lock()
	defer v.mu.Unlock()

	delete(v.permits, p.demand.ID())
}

func (h *heldSide) preempt(id sched.LeaseID) {
	v := h.shard(id)

	v.mu.Lock()
	defer v.mu.Unlock()

	if p := v.permits[id]; p != nil {
		p.once.Do(func() { close(p.preempted) })
	}
}

// all returns the slots held, in no order.
func (h *heldSide) all() []*permit {
	var l []*permit

	for i := range h.shards {
		v := &h.shards[i]

		v.mu.Lock()
		for _, p := range v.permits {
			if p.granted.Load() {
				l = append(l, p)
			}
		}
		v.mu.Unlock()
	}

	return l
}

func (h *heldSide) isDown(address string, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	return now.Before(h.down[address])
}

// join returns the session with an owner and counts a use of it.
func (s *Slots) join(address string) *session {
	h := &s.held

	h.mu.Lock()
	defer h.mu.Unlock()

	if v := h.sessions[address]; v != nil {
		v.uses++

		return v
	}

	if h.sessions == nil {
		h.sessions, h.down = map[string]*session{}, map[string]time.Time{}
	}

	x, stop := context.WithCancel(context.Background())
	v := &session{address: address, uses: 1, wake: make(chan struct{}, 1), failed: make(chan struct{}), stop: stop}

	if h.stopped {
		stop()
	}

	h.sessions[address] = v

	s.wg.Go(func() { s.renew(x, v) })

	return v
}

// leave ends a use of a session.
func (s *Slots) leave(v *session) {
	s.held.mu.Lock()
	defer s.held.mu.Unlock()

	v.uses--
}

// idle ends a session without uses. The caller stops renewing when it reports true.
func (s *Slots) idle(v *session) bool {
	s.held.mu.Lock()
	defer s.held.mu.Unlock()

	if v.uses > 0 {
		return false
	}

	delete(s.held.sessions, v.address)

	return true
}

// fail ends a session whose owner does not answer.
func (s *Slots) fail(v *session) {
	s.held.mu.Lock()
	defer s.held.mu.Unlock()

	s.held.down[v.address] = s.clock().Add(ownerDown)
	delete(s.held.sessions, v.address)
	close(v.failed)
}

// renew keeps one renewal pending at the owner while the session has uses, so that preemptions arrive as its answer.
func (s *Slots) renew(ctx context.Context, v *session) {
	defer v.stop()

	for {
		var l []sched.SlotRequestMessage

		now := s.clock()

		for _, p := range s.held.all() {
			if p.queue == nil && p.owner() == v.address {
				l = append(l, heldMessage(p.target, p.demand, now))
			}
		}

		if len(l) == 0 && s.idle(v) {
			return
		}

		x, stop := context.WithTimeout(ctx, renewWait+answerBound)

		var r sched.RenewReply

		err := s.caller.Call(x, v.address, "Slot.Renew", sched.RenewArgs{Holder: s.self.VM(), Slots: l, WaitUS: renewWait.Microseconds()}, &r)

		stop()

		if err != nil {
			s.fail(v)

			return
		}

		for _, id := range r.Preempted {
			s.held.preempt(sched.LeaseID(id))
		}
	}
}

// acquireRemote waits for a slot of another daemon's target.
func (s *Slots) acquireRemote(ctx context.Context, o Peer, target string, d sched.SlotRequest) (balance.SlotLease, error) {
	d = d.WithHolder(s.self.VM())
	v := s.join(o.Address())

	defer s.leave(v)

	p := s.held.add(s, target, o.Address(), d, nil)
	done := make(chan remoteAnswer, 1)

	s.wg.Go(func() { done <- s.callAcquire(o.Address(), target, d) })

	select {
	case r := <-done:
		if r.err == nil && r.reply.Granted {
			p.granted.Store(true)

			return p, nil
		}

		s.held.remove(p)

		if r.err != nil {
			return nil, r.err
		}

		return nil, errBusy(target, time.Duration(r.reply.RetryAfterUS)*time.Microsecond)
	case <-ctx.Done():
	case <-v.failed:
	}

	s.held.remove(p)
	s.wg.Go(func() { s.withdraw(o.Address(), target, d, done) })

	return nil, outcome.New(outcome.NoTarget, outcome.NotRun, "the owner of target %q does not answer", target)
}

type remoteAnswer struct {
	reply sched.AcquireReply
	err   error
}

func (s *Slots) callAcquire(address, target string, d sched.SlotRequest) remoteAnswer {
	x, stop := context.WithTimeout(context.Background(), ownWait+answerBound)
	defer stop()

	var r sched.AcquireReply

	a := sched.AcquireArgs{Target: target, Demand: heldMessage(target, d, s.clock()), WaitUS: d.MaxWait().Microseconds()}
	if d.MaxWait() < 0 {
		a.WaitUS = -1 // a shorter time would count as no bound
	}

	// After an error the reply may still be written to.
	if err := s.caller.Call(x, address, "Slot.Acquire", a, &r); err != nil {
		return remoteAnswer{err: err}
	}

	s.note(target, r.Load)

	return remoteAnswer{reply: r}
}

// withdraw gives up a demand whose answer is not waited for, whether it waits at the owner or was granted.
func (s *Slots) withdraw(address, target string, d sched.SlotRequest, done <-chan remoteAnswer) {
	s.releaseRemote(address, target, d.ID(), sched.Observation{})

	if r := <-done; r.err == nil && r.reply.Granted {
		s.releaseRemote(address, target, d.ID(), sched.Observation{})
	}
}

func (s *Slots) releaseRemote(address, target string, id sched.LeaseID, o sched.Observation) {
	x, stop := context.WithTimeout(context.Background(), answerBound)
	defer stop()

	a := sched.ReleaseArgs{
		Target: target, ID: string(id), FirstUS: o.FirstToken().Microseconds(), PerUS: o.PerToken().Microseconds(),
		TotalUS: o.Total().Microseconds(), Tokens: o.Tokens(), OK: o.OK(),
	}

	var r sched.ReleaseReply
	// A release that is lost is made up for by the time limit of the grant.
	if s.caller.Call(x, address, "Slot.Release", a, &r) == nil {
		s.note(target, r.Load)
	}
}

// follow renews this daemon's own slots, and sees to it that there is a session with the owner of each other slot: the
// owner may have changed, or the last session may have failed.
func (s *Slots) follow(ctx context.Context) {
	now := s.clock()

	for _, p := range s.held.all() {
		if p.queue != nil {
			s.carryOut(p.queue.Renew(now, p.demand))

			continue
		}

		o, ok := s.owner(p.target)

		switch {
		case !ok:
		case o.VM() == s.self.VM():
			p.setOwner("")
			s.carryOut(s.queue(p.target).Renew(now, p.demand))
		default:
			p.setOwner(o.Address())

			if ctx.Err() == nil && !s.held.isDown(o.Address(), now) {
				s.leave(s.join(o.Address()))
			}
		}
	}
}

// stop ends all sessions.
func (s *Slots) stop() {
	s.held.mu.Lock()
	s.held.stopped = true

	for _, v := range s.held.sessions {
		v.stop()
	}
	s.held.mu.Unlock()
}
