package slots

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/agategap/agategap/filter"
	"github.com/agategap/agategap/fleet"
	"github.com/agategap/agategap/mesh"
	"github.com/agategap/agategap/outcome"
	"github.com/agategap/agategap/pool"
	"github.com/agategap/agategap/shard"
)

const (
	holderShardCount = 16
	// slotRequestTimeout is the time for the owner's answer to a demand, which is given at once. A slower owner is replaced.
	slotRequestTimeout = 100 * time.Millisecond
	// minReportInterval is the time between two reports of what a daemon holds, while there are few daemons. reportPerPeer
	// lengthens it with their number, so that an owner takes at most 200 reports a second from up to 160 daemons.
	// reportMost keeps it well below the silence after which a holder's leases are released.
	minReportInterval   = 100 * time.Millisecond
	reportIntervalPerPeer = 5 * time.Millisecond
	maxReportInterval    = 800 * time.Millisecond
	// messageTimeout bounds a report.
	messageTimeout = 250 * time.Millisecond
	// reportRecipientCount is the number of candidates that get reports, so that the next owner knows what is in use.
	reportRecipientCount = 2
	// requestRepeatInterval is the time after which a demand that waits is repeated, in case its grant was lost or the owner changed.
	requestRepeatInterval = 400 * time.Millisecond
	// batchRequestRepeatInterval is the same for batch items, which may wait in thousands.
	batchRequestRepeatInterval = 2 * time.Second
	// maxOwnerAttempts bounds the daemons that one demand is taken to in a row.
	maxOwnerAttempts = 4
	// maxBatchWait bounds the wait of a batch item for a slot; after it the item asks again.
	maxBatchWait = 30 * time.Second
)

// Peers knows the other daemons.
type Peers interface {
	Self() mesh.Peer
	LivePeers(now time.Time) []mesh.Peer
	RankedPeers(duty string, now time.Time) []mesh.Peer
	MarkFailed(vm string)
}

// TargetFinder finds a target that may get work.
type TargetFinder interface {
	Find(name string, now time.Time) (fleet.Target, bool)
}

// Holder asks owners for slots and keeps what this daemon holds. It is a filter.Router.
type Holder struct {
	peers  Peers
	caller Caller
	owner  *Owner
	targetFinder TargetFinder
	idPrefix string
	lastID atomic.Int64
	shards [holderShardCount]holderShard

	mu       sync.Mutex
	services map[string]bool
}

// holderShard has demands that wait and leases.
type holderShard struct {
	mu      sync.Mutex
	waiting map[string]chan string
	leases  map[string]*lease
}

// NewHolder returns the controller. o is the owner within this daemon.
func NewHolder(p Peers, c Caller, o *Owner, f TargetFinder) *Holder {
	s := p.Self()
	h := &Holder{
		peers: p, caller: c, owner: o, targetFinder: f, services: map[string]bool{},
		idPrefix: s.VM + "/" + strconv.FormatInt(s.Start, 36) + "/", //nolint:mnd // base of the number
	}
	o.SetNoticeReceiver(h)

	return h
}

func (h *Holder) shard(id string) *holderShard { return &h.shards[shard.Index(id, holderShardCount)] }

// Acquire returns a slot of a target of the request's service that is not among the excluded names.
func (h *Holder) Acquire(ctx context.Context, r *filter.Request, exclude []string) (filter.Slot, error) {
	service := r.TargetService()
	h.addService(service)

	w := r.Urgency()
	wait := w.MaxWait()

	if r.Class() == filter.Batch {
		wait = maxBatchWait
	}

	x, stop := context.WithTimeout(ctx, wait)
	defer stop()

	q := AskArgs{
		Service: service, Batch: r.Class() == filter.Batch, Rank: r.Route().Priority(),
		DueMS: time.Until(w.Due()).Milliseconds(), NeedsMS: w.RunTime().Milliseconds(), Avoid: exclude, Prefer: r.PreferredTarget(),
	}

	if w.ShouldFailFast() {
		q.MostMS = max(1, wait.Milliseconds())
	}

	for {
		s, err := h.requestSlot(x, q)
		if err != nil {
			return nil, noSlotError(ctx, r)
		}

		t, ok := h.targetFinder.Find(s.targetName, time.Now())
		if ok {
			s.target = filter.NewTarget(t.Name(), t.Address())

			return s, nil
		}

		// The owner has not heard yet that the target is leaving.
		h.release(s, pool.Unused)
		q.Avoid = append(q.Avoid[:len(q.Avoid):len(q.Avoid)], s.targetName)
	}
}

// noSlotError returns the error of a request that got no slot.
func noSlotError(ctx context.Context, r *filter.Request) error {
	if ctx.Err() != nil {
		return outcome.New(outcome.DeadlineExceeded, outcome.NotRun, "no slot became free in time").WithCause(context.Cause(ctx))
	}

	return outcome.New(outcome.Overloaded, outcome.NotRun, "all slots of service %q are taken", r.TargetService()).
		WithRetryAfter(time.Second)
}

func (h *Holder) addService(service string) {
	h.mu.Lock()
	defer h.mu.Unlock()

	h.services[service] = true
}

// errRefused means that a demand would wait for too long.
var errRefused = errors.New("the wait for a slot would be too long")

// requestSlot takes a demand to the owner, and to the next one when that fails, until it is granted or ctx ends.
func (h *Holder) requestSlot(ctx context.Context, q AskArgs) (*lease, error) {
	self := h.peers.Self()
	q.ID = h.idPrefix + strconv.FormatInt(h.lastID.Add(1), 36) //nolint:mnd // base of the number
	q.Holder, q.Address, q.Domain = self.VM, self.Address, self.Domain

	c := make(chan string, 1)
	due := time.Now().Add(time.Duration(q.DueMS) * time.Millisecond)
	k := h.shard(q.ID)

	k.mu.Lock()
	if k.waiting == nil {
		k.waiting, k.leases = map[string]chan string{}, map[string]*lease{}
	}
	k.waiting[q.ID] = c
	k.mu.Unlock()

	again := requestRepeatInterval
	if q.Batch {
		again = batchRequestRepeatInterval
	}

	for {
		q.DueMS = time.Until(due).Milliseconds()
		owner, a := h.askOwner(ctx, q)
		target := a.Target

		if a.Refused {
			h.withdraw(q, owner, c)

			return nil, errRefused
		}

		if target == "" {
			select {
			case target = <-c:
			case <-time.After(again):
			case <-ctx.Done():
			}
		}

		if target != "" {
			return h.recordLease(q, owner, target, due), nil
		}

		if ctx.Err() != nil {
			h.withdraw(q, owner, c)

			return nil, ctx.Err()
		}
	}
}

// askOwner asks the owner of a service, and the next candidate when it does not answer. It returns the one that answered.
func (h *Holder) askOwner(ctx context.Context, q AskArgs) (mesh.Peer, AskReply) {
	self := h.peers.Self()
	tried := map[string]bool{}

	for range maxOwnerAttempts {
		o := h.findOwner(q.Service, tried)

		var a AskReply

		if o.VM == self.VM {
			_ = h.owner.Ask(q, &a)

			return o, a
		}

		x, stop := context.WithTimeout(ctx, slotRequestTimeout)
		err := h.caller.Call(x, o.Address, "Slot.Ask", q, &a)

		stop()

		if err == nil {
			return o, a
		}

		if ctx.Err() != nil {
			return o, AskReply{} // a late answer can still be written into a
		}

		tried[o.VM] = true
		h.peers.MarkFailed(o.VM)
		h.sendRelease(o, ReleaseArgs{Service: q.Service, ID: q.ID, Fault: uint8(pool.Unused)})
	}

	var a AskReply

	_ = h.owner.Ask(q, &a)

	return self, a
}

// findOwner returns the first choice that was not tried.
func (h *Holder) findOwner(service string, tried map[string]bool) mesh.Peer {
	for _, p := range h.peers.RankedPeers(service, time.Now()) {
		if !tried[p.VM] {
			return p
		}
	}

	return h.peers.Self()
}

// recordLease records a granted slot.
func (h *Holder) recordLease(q AskArgs, owner mesh.Peer, target string, due time.Time) *lease {
	s := &lease{holder: h, id: q.ID, service: q.Service, targetName: target, batch: q.Batch, owner: owner, due: due, expectedEnd: time.Now().Add(time.Duration(q.NeedsMS) * time.Millisecond), preempted: make(chan struct{})}
	k := h.shard(q.ID)

	k.mu.Lock()
	defer k.mu.Unlock()

	delete(k.waiting, q.ID)
	k.leases[q.ID] = s

	return s
}

// withdraw ends a demand. A grant that comes at the same moment is given back.
func (h *Holder) withdraw(q AskArgs, owner mesh.Peer, c chan string) {
	k := h.shard(q.ID)

	k.mu.Lock()
	delete(k.waiting, q.ID)
	k.mu.Unlock()

	select {
	case t := <-c:
		h.sendRelease(owner, ReleaseArgs{Service: q.Service, ID: q.ID, Target: t, Fault: uint8(pool.Unused)})

		return
	default:
	}

	w := WithdrawArgs{Service: q.Service, ID: q.ID}
	if owner.VM == h.peers.Self().VM {
		_ = h.owner.Withdraw(w, nil)

		return
	}

	go h.sendMessage(owner, "Slot.Withdraw", w)
}

// sendMessage sends a message whose loss the next report makes up for.
func (h *Holder) sendMessage(p mesh.Peer, method string, q any) {
	ctx, stop := context.WithTimeout(context.Background(), messageTimeout)
	defer stop()

	_ = h.caller.Call(ctx, p.Address, method, q, &Empty{})
}

func (h *Holder) sendRelease(owner mesh.Peer, q ReleaseArgs) {
	if owner.VM == h.peers.Self().VM {
		_ = h.owner.Release(q, nil)

		return
	}

	go h.sendMessage(owner, "Slot.Release", q)
}

func (h *Holder) release(s *lease, f pool.Fault) {
	k := h.shard(s.id)

	k.mu.Lock()
	delete(k.leases, s.id)
	k.mu.Unlock()

	q := ReleaseArgs{Service: s.service, ID: s.id, Target: s.targetName, Fault: uint8(f)}
	h.sendRelease(s.owner, q)

	// An owner that took over knows the slot from reports.
	if o := h.findOwner(s.service, nil); o.VM != s.owner.VM {
		h.sendRelease(o, q)
	}
}

// Notice takes what an owner decided.
func (h *Holder) Notice(q NoticeArgs, _ *Empty) error {
	for _, g := range q.Grants {
		k := h.shard(g.ID)

		k.mu.Lock()
		if c, ok := k.waiting[g.ID]; ok { // or else withdrawn, which the next report shows
			select {
			case c <- g.Target:
			default:
			}
		}
		k.mu.Unlock()
	}

	for _, id := range q.Yields {
		k := h.shard(id)

		k.mu.Lock()
		s, ok := k.leases[id]
		k.mu.Unlock()

		if ok {
			s.preempt()
		}
	}

	return nil
}

// Run reports what this daemon holds until ctx ends.
func (h *Holder) Run(ctx context.Context) error {
	for {
		n := len(h.peers.LivePeers(time.Now()))

		select {
		case <-time.After(min(maxReportInterval, max(minReportInterval, time.Duration(n)*reportIntervalPerPeer))):
		case <-ctx.Done():
			return nil
		}

		h.mu.Lock()
		l := make([]string, 0, len(h.services))
		for s := range h.services {
			l = append(l, s)
		}
		h.mu.Unlock()

		for _, s := range l {
			h.sendReport(s)
		}
	}
}

func (h *Holder) sendReport(service string) {
	self := h.peers.Self()
	q := ReportArgs{Service: service, Holder: self.VM, Address: self.Address, Leases: h.heldLeases(service)}

	l := h.peers.RankedPeers(service, time.Now())
	for _, p := range l[:min(reportRecipientCount, len(l))] {
		if p.VM == self.VM {
			_ = h.owner.Report(q, nil)

			continue
		}

		go h.sendMessage(p, "Slot.Report", q)
	}
}

func (h *Holder) heldLeases(service string) []LeaseMessage {
	l := []LeaseMessage{}

	for i := range h.shards {
		k := &h.shards[i]

		k.mu.Lock()
		for _, s := range k.leases {
			if s.service == service {
				l = append(l, LeaseMessage{ID: s.id, Target: s.targetName, Batch: s.batch, DueMS: time.Until(s.due).Milliseconds(), Needs: max(0, time.Until(s.expectedEnd).Milliseconds())})
			}
		}
		k.mu.Unlock()
	}

	return l
}

// lease is a slot that this daemon holds.
type lease struct {
	holder  *Holder
	id      string
	service string
	targetName    string
	batch   bool
	owner   mesh.Peer
	due     time.Time
	expectedEnd     time.Time // when the work is expected to end
	target  filter.Target
	preempted   chan struct{}
	preemptOnce    sync.Once
	releaseOnce   sync.Once
}

// Target returns the target.
func (s *lease) Target() filter.Target { return s.target }

// Preempted is closed when the owner wants the slot back.
func (s *lease) Preempted() <-chan struct{} { return s.preempted }

// Release gives the slot back.
func (s *lease) Release(o filter.Observation) {
	s.releaseOnce.Do(func() { s.holder.release(s, o.Fault()) })
}

func (s *lease) preempt() { s.preemptOnce.Do(func() { close(s.preempted) }) }
