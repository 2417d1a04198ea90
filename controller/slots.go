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

// SlotPeers gives the daemons that may own targets, and the failure domain of each target.
type SlotPeers interface {
	Peers() []Peer
	// TargetDomain returns the failure domain of a target; false if the target is not known.
	TargetDomain(target string) (string, bool)
}

// SlotClient calls net/rpc methods of other daemons.
type SlotClient interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// SlotSettings gives the settings of slots from the configuration in force.
type SlotSettings interface {
	// AtRiskShare returns the share of a target's slots that is for batch work whose deadline is at risk.
	AtRiskShare() float64
}

const (
	// slotLeaseTTL is the time after which a slot lease expires if it is not renewed.
	slotLeaseTTL = 3 * time.Second
	// maxRenewWait bounds the time that a renewal waits at the slot owner for a preemption.
	maxRenewWait = time.Second
	// ownerReplyTimeout is the time that a slot owner has for its reply, in addition to the wait that the call asks for.
	// After that it counts as unresponsive.
	ownerReplyTimeout = time.Second
	// ownerRetryDelay is the time for which an unresponsive owner is not called.
	ownerRetryDelay = time.Second
	// maxOwnerWait bounds the wait of a slot request at one owner.
	maxOwnerWait = 10 * time.Second
	// expireInterval is the period at which slot requests and leases are checked for expiry.
	expireInterval = 20 * time.Millisecond
	// ownerCheckTicks is the number of expiry checks between two checks for targets whose owner has changed.
	ownerCheckTicks = 10
	// localSlotLimit is the number of slots that this daemon grants itself at a target whose owner is unresponsive.
	localSlotLimit = 2
	// minRetryAfter is the shortest retry delay in a rejection.
	minRetryAfter = 100 * time.Millisecond

	slotShardCount = 32
)

// Slots is the slot owner of some targets and the slot holder of leases that it or other owners granted. It is safe for
// concurrent use.
type Slots struct {
	self      Peer
	peers     SlotPeers
	client    SlotClient
	settings  SlotSettings
	clock     func() time.Time
	ownerless bool // this daemon grants all its slots itself, for policies without slot owners

	shards   [slotShardCount]slotShard
	asOwner  ownerState
	asHolder holderState
	wg       sync.WaitGroup
}

// slotShard has the queues and loads of the targets that hash to it.
type slotShard struct {
	mu          sync.Mutex
	queues      map[string]*sched.Queue // of targets that this daemon owns
	localQueues map[string]*sched.Queue // of targets whose owner is unresponsive
	loads       map[string]sched.Load   // last load that the owner reported
}

// NewSlots returns the controller of the daemon self. If ownerless is set, it grants every slot itself, with limits that
// count only the requests of this daemon.
func NewSlots(self Peer, p SlotPeers, c SlotClient, s SlotSettings, clock func() time.Time, ownerless bool) *Slots {
	return &Slots{self: self, peers: p, client: c, settings: s, clock: clock, ownerless: ownerless}
}

// Run expires slot requests and leases, renews the leases that this daemon holds and follows changes of owners, until
// ctx ends.
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

// Acquire waits for a slot of a target. The target's owner grants it, or this daemon itself within localSlotLimit if no
// owner replies.
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

// Load returns the last known load of a target; its zero value if none is known.
func (s *Slots) Load(target string) sched.Load {
	h := s.shard(target)

	h.mu.Lock()
	defer h.mu.Unlock()

	if q := h.queues[target]; q != nil && h.loads[target] == (sched.Load{}) {
		return q.Load()
	}

	return h.loads[target]
}

// OwnedLoads returns the loads of the targets whose slots this daemon grants, by target.
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

// findOwner returns the slot owner of a target: the first-ranked daemon of the target's failure domain. It returns false
// if the target or its owner is not known.
func (s *Slots) findOwner(target string) (Peer, bool) {
	domain, ok := s.peers.TargetDomain(target)
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

func (s *Slots) shard(target string) *slotShard {
	return &s.shards[shard.Index(target, slotShardCount)]
}

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

// localQueue returns the queue of the slots that this daemon grants itself at a target whose owner is unresponsive.
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

// recordLoad stores the load of a target that its owner reported.
func (s *Slots) recordLoad(target string, m sched.LoadMessage) {
	h := s.shard(target)

	h.mu.Lock()
	defer h.mu.Unlock()

	if h.loads == nil {
		h.loads = map[string]sched.Load{}
	}

	h.loads[target] = sched.NewLoad(m.Online, m.Batch, m.Waiting, m.Limit)
}

// noSlotError returns the error of a rejected slot request. after is the retry delay that the queue suggests.
func noSlotError(target string, after time.Duration) error {
	return outcome.New(outcome.Overloaded, outcome.NotRun, "target %q has no free slot in time", target).
		WithRetryAfter(max(minRetryAfter, after))
}
