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

// holderState is the state of this daemon as slot holder: its leases, and a session with each owner that it requests
// slots from.
type holderState struct {
	shards [slotShardCount]leaseShard

	mu                sync.Mutex
	sessions          map[string]*ownerSession
	unresponsiveUntil map[string]time.Time // by address of the owner
	stopped           bool
}

type leaseShard struct {
	mu     sync.Mutex
	leases map[sched.LeaseID]*slotLease
}

// ownerSession keeps a renewal pending at one slot owner. It lasts while this daemon holds leases of the owner or waits
// for one.
type ownerSession struct {
	address  string
	useCount int           // waiting slot requests; guarded by holderState.mu
	wake     chan struct{} // not used
	failed   chan struct{} // closed when the owner does not reply
	stop     context.CancelFunc
}

// slotLease is a slot that this daemon holds or waits for.
type slotLease struct {
	slots       *Slots
	target      string
	request     sched.SlotRequest
	localQueue  *sched.Queue // queue of a slot that only this daemon counts; else nil
	preempted   chan struct{}
	preemptOnce sync.Once
	granted     atomic.Bool // a slot that is not granted yet must not be reported to an owner as held

	mu      sync.Mutex
	address string // of the owner; empty if this daemon is the owner
}

// Preempted returns a channel that is closed when the owner preempts the lease.
func (p *slotLease) Preempted() <-chan struct{} { return p.preempted }

// Release returns the slot to its owner, with what the work showed of the target. It does not wait for the owner.
func (p *slotLease) Release(o sched.Observation) {
	s := p.slots
	s.asHolder.remove(p)

	if p.localQueue != nil {
		s.applyActions(p.localQueue.Release(s.clock(), p.request.ID(), o))

		return
	}

	a := p.ownerAddress()
	if a == "" { // this daemon is the owner, or has become it
		s.applyActions(s.ownedQueue(p.target).Release(s.clock(), p.request.ID(), o))

		return
	}

	s.wg.Go(func() { s.releaseRemote(a, p.target, p.request.ID(), o) })
}

func (p *slotLease) ownerAddress() string {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.address
}

func (p *slotLease) setOwnerAddress(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.address = address
}

func (h *holderState) shard(id sched.LeaseID) *leaseShard {
	return &h.shards[shard.Index(string(id), slotShardCount)]
}

func (h *holderState) add(s *Slots, target, address string, d sched.SlotRequest, q *sched.Queue) *slotLease {
	p := &slotLease{slots: s, target: target, address: address, request: d, localQueue: q, preempted: make(chan struct{})}
	v := h.shard(d.ID())

	v.mu.Lock()
	defer v.mu.Unlock()

	if v.leases == nil {
		v.leases = map[sched.LeaseID]*slotLease{}
	}

	v.leases[d.ID()] = p

	return p
}

func (h *holderState) remove(p *slotLease) {
	v := h.shard(p.request.ID())

	v.mu.Lock()
	defer v.mu.Unlock()

	delete(v.leases, p.request.ID())
}

func (h *holderState) preempt(id sched.LeaseID) {
	v := h.shard(id)

	v.mu.Lock()
	defer v.mu.Unlock()

	if p := v.leases[id]; p != nil {
		p.preemptOnce.Do(func() { close(p.preempted) })
	}
}

// grantedLeases returns the leases of granted slots, in no particular order.
func (h *holderState) grantedLeases() []*slotLease {
	var l []*slotLease

	for i := range h.shards {
		v := &h.shards[i]

		v.mu.Lock()
		for _, p := range v.leases {
			if p.granted.Load() {
				l = append(l, p)
			}
		}
		v.mu.Unlock()
	}

	return l
}

func (h *holderState) isUnresponsive(address string, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	return now.Before(h.unresponsiveUntil[address])
}

// acquireSession returns the session with an owner, starting it if needed, and increments its use count.
func (s *Slots) acquireSession(address string) *ownerSession {
	h := &s.asHolder

	h.mu.Lock()
	defer h.mu.Unlock()

	if v := h.sessions[address]; v != nil {
		v.useCount++

		return v
	}

	if h.sessions == nil {
		h.sessions, h.unresponsiveUntil = map[string]*ownerSession{}, map[string]time.Time{}
	}

	x, stop := context.WithCancel(context.Background())
	v := &ownerSession{address: address, useCount: 1, wake: make(chan struct{}, 1), failed: make(chan struct{}), stop: stop}

	if h.stopped {
		stop()
	}

	h.sessions[address] = v

	s.wg.Go(func() { s.renewLoop(x, v) })

	return v
}

// releaseSession decrements the use count of a session.
func (s *Slots) releaseSession(v *ownerSession) {
	s.asHolder.mu.Lock()
	defer s.asHolder.mu.Unlock()

	v.useCount--
}

// removeIfUnused removes a session whose use count is 0 and reports whether it did. The caller then stops renewing.
func (s *Slots) removeIfUnused(v *ownerSession) bool {
	s.asHolder.mu.Lock()
	defer s.asHolder.mu.Unlock()

	if v.useCount > 0 {
		return false
	}

	delete(s.asHolder.sessions, v.address)

	return true
}

// failSession removes a session whose owner does not reply and wakes the slot requests that wait for it.
func (s *Slots) failSession(v *ownerSession) {
	s.asHolder.mu.Lock()
	defer s.asHolder.mu.Unlock()

	s.asHolder.unresponsiveUntil[v.address] = s.clock().Add(ownerRetryDelay)
	delete(s.asHolder.sessions, v.address)
	close(v.failed)
}

// renewLoop keeps one renewal pending at the owner while the session is in use or has leases, so that preemptions arrive
// with the reply.
func (s *Slots) renewLoop(ctx context.Context, v *ownerSession) {
	defer v.stop()

	for {
		var l []sched.SlotRequestMessage

		now := s.clock()

		for _, p := range s.asHolder.grantedLeases() {
			if p.localQueue == nil && p.ownerAddress() == v.address {
				l = append(l, newSlotRequestMessage(p.target, p.request, now))
			}
		}

		if len(l) == 0 && s.removeIfUnused(v) {
			return
		}

		x, stop := context.WithTimeout(ctx, maxRenewWait+ownerReplyTimeout)

		var r sched.RenewReply

		err := s.client.Call(x, v.address, "Slot.Renew", sched.RenewArgs{Holder: s.self.VM(), Slots: l, WaitUS: maxRenewWait.Microseconds()}, &r)

		stop()

		if err != nil {
			s.failSession(v)

			return
		}

		for _, id := range r.Preempted {
			s.asHolder.preempt(sched.LeaseID(id))
		}
	}
}

// acquireRemote waits for a slot of a target that the daemon o owns.
func (s *Slots) acquireRemote(ctx context.Context, o Peer, target string, d sched.SlotRequest) (balance.SlotLease, error) {
	d = d.WithHolder(s.self.VM())
	v := s.acquireSession(o.Address())

	defer s.releaseSession(v)

	p := s.asHolder.add(s, target, o.Address(), d, nil)
	done := make(chan acquireResult, 1)

	s.wg.Go(func() { done <- s.callAcquire(o.Address(), target, d) })

	select {
	case r := <-done:
		if r.err == nil && r.reply.Granted {
			p.granted.Store(true)

			return p, nil
		}

		s.asHolder.remove(p)

		if r.err != nil {
			return nil, r.err
		}

		return nil, noSlotError(target, time.Duration(r.reply.RetryAfterUS)*time.Microsecond)
	case <-ctx.Done():
	case <-v.failed:
	}

	s.asHolder.remove(p)
	s.wg.Go(func() { s.withdraw(o.Address(), target, d, done) })

	return nil, outcome.New(outcome.NoTarget, outcome.NotRun, "the owner of target %q does not answer", target)
}

type acquireResult struct {
	reply sched.AcquireReply
	err   error
}

func (s *Slots) callAcquire(address, target string, d sched.SlotRequest) acquireResult {
	x, stop := context.WithTimeout(context.Background(), maxOwnerWait+ownerReplyTimeout)
	defer stop()

	var r sched.AcquireReply

	a := sched.AcquireArgs{Target: target, Demand: newSlotRequestMessage(target, d, s.clock()), WaitUS: d.MaxWait().Microseconds()}
	if d.MaxWait() < 0 {
		a.WaitUS = -1 // a negative wait below a microsecond would become 0, which means no bound
	}

	// After an error the call may still write to r, so r is not read then.
	if err := s.client.Call(x, address, "Slot.Acquire", a, &r); err != nil {
		return acquireResult{err: err}
	}

	s.recordLoad(target, r.Load)

	return acquireResult{reply: r}
}

// withdraw withdraws a slot request whose caller no longer waits. It releases the slot again after the reply, as the
// owner may have granted the request after the first release.
func (s *Slots) withdraw(address, target string, d sched.SlotRequest, done <-chan acquireResult) {
	s.releaseRemote(address, target, d.ID(), sched.Observation{})

	if r := <-done; r.err == nil && r.reply.Granted {
		s.releaseRemote(address, target, d.ID(), sched.Observation{})
	}
}

func (s *Slots) releaseRemote(address, target string, id sched.LeaseID, o sched.Observation) {
	x, stop := context.WithTimeout(context.Background(), ownerReplyTimeout)
	defer stop()

	a := sched.ReleaseArgs{
		Target: target, ID: string(id), FirstUS: o.FirstToken().Microseconds(), PerUS: o.PerToken().Microseconds(),
		TotalUS: o.Total().Microseconds(), Tokens: o.Tokens(), OK: o.OK(),
	}

	var r sched.ReleaseReply
	// If the release is lost, the lease expires at the owner.
	if s.client.Call(x, address, "Slot.Release", a, &r) == nil {
		s.recordLoad(target, r.Load)
	}
}

// refreshLeases renews the leases that this daemon granted itself, and ensures that there is a session with the owner of
// each other lease. The owner may have changed, or the last session may have failed.
func (s *Slots) refreshLeases(ctx context.Context) {
	now := s.clock()

	for _, p := range s.asHolder.grantedLeases() {
		if p.localQueue != nil {
			s.applyActions(p.localQueue.Renew(now, p.request))

			continue
		}

		o, ok := s.findOwner(p.target)

		switch {
		case !ok:
		case o.VM() == s.self.VM():
			p.setOwnerAddress("")
			s.applyActions(s.ownedQueue(p.target).Renew(now, p.request))
		default:
			p.setOwnerAddress(o.Address())

			if ctx.Err() == nil && !s.asHolder.isUnresponsive(o.Address(), now) {
				s.releaseSession(s.acquireSession(o.Address()))
			}
		}
	}
}

// stopSessions stops all sessions. A session that is started later stops at once.
func (s *Slots) stopSessions() {
	s.asHolder.mu.Lock()
	s.asHolder.stopped = true

	for _, v := range s.asHolder.sessions {
		v.stop()
	}
	s.asHolder.mu.Unlock()
}
