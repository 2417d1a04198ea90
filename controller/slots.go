package controller

import (
	"context"
	"sync"
	"time"

	"github.com/agategap/agategap/balance"
	"github.com/agategap/agategap/outcome"
	"github.com/agategap/agategap/sched"
	"github.com/agategap/agategap/shard"
)

// SlotPeers knows the daemons and the failure domains of targets.
type SlotPeers interface {
	Peers() []Peer
	Domain(target string) (string, bool)
}

// SlotCaller calls other daemons.
type SlotCaller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// SlotSettings are the bounds that the configuration in force sets.
type SlotSettings interface {
	// AtRiskShare returns the share of slots for batch work whose deadline is at risk.
	AtRiskShare() float64
}

const (
	// slotLeaseTTL is the time after which a slot that is not renewed returns to its queue.
	slotLeaseTTL = 3 * time.Second
	// maxRenewWait is the time that a renewal waits at the owner for a preemption.
	maxRenewWait = time.Second
	// ownerReplyTimeout is how much longer than asked an owner may take to answer before it counts as gone.
	ownerReplyTimeout = time.Second
	// ownerRetryDelay is the time without calls to an owner that did not answer.
	ownerRetryDelay = time.Second
	// maxOwnerWait bounds the wait for a slot at one owner.
	maxOwnerWait = 10 * time.Second
	// expireInterval is the time between two looks for demands and grants whose time is over.
	expireInterval = 20 * time.Millisecond
	// ownerCheckTicks is the number of ticks between two looks for targets whose owner has changed.
	ownerCheckTicks = 10
	// localSlotLimit is the limit of a daemon at a target whose owner does not answer.
	localSlotLimit = 2
	// minRetryAfter is the shortest delay that a rejection advises.
	minRetryAfter = 100 * time.Millisecond

	slotShardCount = 32
)

// Slots owns the slots of targets and holds slots of other owners.
type Slots struct {
	self     Peer
	peers    SlotPeers
	caller   SlotCaller
	settings SlotSettings
	clock    func() time.Time
	ownerless    bool // grants every slot itself, for policies without owners

	shards [slotShardCount]slotShard
	asOwner    ownerState
	asHolder   holderState
	wg     sync.WaitGroup
}

// slotShard has the queues of some targets and the last reported loads of others.
type slotShard struct {
	mu     sync.Mutex
	queues map[string]*sched.Queue // of targets that this daemon owns
	localQueues  map[string]*sched.Queue // of targets whose owner does not answer
	loads  map[string]sched.Load
}

// NewSlots returns the controller of a daemon. alone makes it grant every slot itself, with limits that only this
// daemon's requests count against.
func NewSlots(self Peer, p SlotPeers, c SlotCaller, s SlotSettings, clock func() time.Time, alone bool) *Slots {
	return &Slots{self: self, peers: p, caller: c, settings: s, clock: clock, ownerless: alone}
}

// Run ends demands and grants whose time is over, and follows changes of owners, until ctx ends.
func (s *Slots) Run(ctx context.Context) error {
	t := time.NewTicker(expireInterval)
	defer t.Stop()

	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			s.stopSessions()

			return nil
		case <-t.C:
		}

		for _, q := range s.allQueues() {
			s.applyActions(q.Expire(s.clock()))
		}

		if n%ownerCheckTicks == 0 {
			s.refreshLeases(ctx)
		}
	}
}

// Acquire waits for a slot of a target: from its owner, or from a small local limit when no owner answers.
func (s *Slots) Acquire(ctx context.Context, target string, d sched.SlotRequest) (balance.SlotLease, error) {
	o, ok := s.findOwner(target)

	switch {
	case s.ownerless || ok && o.VM() == s.self.VM():
		return s.acquireLocal(ctx, target, d, s.ownedQueue(target), s.ownerless)
	case ok && !s.asHolder.isUnresponsive(o.Address(), s.clock()):
		p, err := s.acquireRemote(ctx, o, target, d)
		if err == nil || ctx.Err() != nil || outcome.Is(err, outcome.Overloaded) {
			return p, err
		}
	}

	return s.acquireLocal(ctx, target, d, s.localQueue(target), true)
}

// Load returns the last known load of a target.
func (s *Slots) Load(target string) sched.Load {
	h := s.shard(target)

	h.mu.Lock()
	defer h.mu.Unlock()

	if q := h.queues[target]; q != nil && h.loads[target] == (sched.Load{}) {
		return q.Load()
	}

	return h.loads[target]
}

// OwnedLoads returns the targets whose slots this daemon grants, with their loads.
func (s *Slots) OwnedLoads() map[string]sched.Load {
	m := map[string]sched.Load{}

	for i := range s.shards {
		h := &s.shards[i]

		h.mu.Lock()
		for t, q := range h.queues {
			m[t] = q.Load()
		}
		h.mu.Unlock()
	}

	return m
}

// findOwner returns the daemon that grants a target's slots, the first choice among the daemons of the target's failure
// domain.
func (s *Slots) findOwner(target string) (Peer, bool) {
	domain, ok := s.peers.Domain(target)
	if !ok {
		return Peer{}, false
	}

	byVM := map[string]Peer{}
	names := []string{}

	if domain == s.self.Domain() {
		byVM[s.self.VM()] = s.self
		names = append(names, s.self.VM())
	}

	for _, p := range s.peers.Peers() {
		if _, known := byVM[p.VM()]; !known && p.Domain() == domain {
			byVM[p.VM()] = p
			names = append(names, p.VM())
		}
	}

	o, ok := byVM[shard.First(target, names)]

	return o, ok
}

func (s *Slots) shard(target string) *slotShard { return &s.shards[shard.Index(target, slotShardCount)] }

// ownedQueue returns the queue of a target that this daemon owns.
func (s *Slots) ownedQueue(target string) *sched.Queue {
	h := s.shard(target)

	h.mu.Lock()
	defer h.mu.Unlock()

	if h.queues[target] == nil {
		if h.queues == nil {
			h.queues = map[string]*sched.Queue{}
		}

		h.queues[target] = sched.NewQueue(sched.NewSettings(slotLeaseTTL, s.settings.AtRiskShare()))
	}

	delete(h.loads, target)

	return h.queues[target]
}

// localQueue returns the queue of this daemon's own slots at a target whose owner does not answer.
func (s *Slots) localQueue(target string) *sched.Queue {
	h := s.shard(target)

	h.mu.Lock()
	defer h.mu.Unlock()

	if h.localQueues[target] == nil {
		if h.localQueues == nil {
			h.localQueues = map[string]*sched.Queue{}
		}

		h.localQueues[target] = sched.NewQueue(sched.NewSettings(slotLeaseTTL, s.settings.AtRiskShare()).WithFixedLimit(localSlotLimit))
	}

	return h.localQueues[target]
}

func (s *Slots) allQueues() []*sched.Queue {
	var l []*sched.Queue

	for i := range s.shards {
		h := &s.shards[i]

		h.mu.Lock()
		for _, q := range h.queues {
			l = append(l, q)
		}

		for _, q := range h.localQueues {
			l = append(l, q)
		}
		h.mu.Unlock()
	}

	return l
}

// recordLoad takes a load that an owner reported.
func (s *Slots) recordLoad(target string, m sched.LoadMessage) {
	h := s.shard(target)

	h.mu.Lock()
	defer h.mu.Unlock()

	if h.loads == nil {
		h.loads = map[string]sched.Load{}
	}

	h.loads[target] = sched.NewLoad(m.Online, m.Batch, m.Waiting, m.Limit)
}

// noSlotError returns the error of a rejected demand.
func noSlotError(target string, after time.Duration) error {
	return outcome.New(outcome.Overloaded, outcome.NotRun, "target %q has no free slot in time", target).
		WithRetryAfter(max(minRetryAfter, after))
}
