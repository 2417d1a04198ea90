package slots

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/agategap/agategap/filter"
	"github.com/agategap/agategap/fleet"
	"github.com/agategap/agategap/internal/serve/quarantine"
	"github.com/agategap/agategap/internal/serve/urgency"
	"github.com/agategap/agategap/mesh"
	"github.com/agategap/agategap/outcome"
	"github.com/agategap/agategap/pool"
	"github.com/agategap/agategap/shard"
)

const (
	holderShardCount = 16
	// slotRequestTimeout bounds the reply of an owner to a slot request. Owners reply at once, so a slower one counts as
	// failed.
	slotRequestTimeout = 100 * time.Millisecond
	// minReportInterval is the time between two reports of the leases of a daemon while there are few daemons. It grows
	// with their number by reportIntervalPerPeer, so that the owner of a service gets at most 200 reports a second from
	// up to 160 daemons. maxReportInterval keeps it well below the time without reports after which package pool removes
	// the leases of a holder.
	minReportInterval     = 100 * time.Millisecond
	reportIntervalPerPeer = 5 * time.Millisecond
	maxReportInterval     = 800 * time.Millisecond
	// messageTimeout bounds the calls for reports, releases and withdrawals.
	messageTimeout = 250 * time.Millisecond
	// reportRecipientCount is the number of daemons that get reports, in the order of their rank. The second one then
	// knows which slots are in use when it becomes the owner.
	reportRecipientCount = 2
	// requestRepeatInterval is the time after which a waiting request is repeated, in case the notice of its grant was
	// lost or the owner has changed.
	requestRepeatInterval = 400 * time.Millisecond
	// batchRequestRepeatInterval is the same for batch items, thousands of which may be waiting.
	batchRequestRepeatInterval = 2 * time.Second
	// maxOwnerAttempts is the maximum number of daemons to which a slot request is sent, one after the other, until one
	// replies.
	maxOwnerAttempts = 4
	// maxBatchWait bounds the wait of a batch item for a slot. Then Acquire fails, and the item requests a slot again.
	maxBatchWait = 30 * time.Second
)

// Peers is the membership as this daemon sees it.
type Peers interface {
	Self() mesh.Peer
	// LivePeers returns the other live daemons.
	LivePeers(now time.Time) []mesh.Peer
	// RankedPeers returns the daemons that may own a service, the owner first.
	RankedPeers(service string, now time.Time) []mesh.Peer
	// MarkFailed records that a daemon did not reply to a call. It is not live until it replies again.
	MarkFailed(vm string)
}

// TargetFinder looks up a target by its name. It finds only targets that may get work.
type TargetFinder interface {
	Find(name string, now time.Time) (fleet.Target, bool)
}

// Holder requests slots from the slot owners and keeps the leases of this daemon. It is a filter.Router and safe for
// concurrent use.
type Holder struct {
	peers        Peers
	client       PeerClient
	owner        *Owner
	targetFinder TargetFinder
	quarantine   Quarantine
	idPrefix     string // of slot requests; differs between daemons and their incarnations
	lastID       atomic.Int64
	shards       [holderShardCount]holderShard

	mu       sync.Mutex
	services map[string]bool // all services for which slots were requested; their leases are reported
}

// holderShard has waiting requests and leases by the identifier of the request. The channel of a waiting request takes
// the name of the target when a notice grants a slot.
type holderShard struct {
	mu      sync.Mutex
	waiting map[string]chan string
	leases  map[string]*lease
}

// NewHolder returns the holder of this daemon and makes it receive the notices of o, the owner in the same process.
func NewHolder(p Peers, c PeerClient, o *Owner, f TargetFinder) *Holder {
	s := p.Self()
	h := &Holder{
		peers: p, client: c, owner: o, targetFinder: f, quarantine: o.quarantine, services: map[string]bool{},
		idPrefix: s.VM + "/" + strconv.FormatInt(s.Start, 36) + "/", //nolint:mnd // base of the number
	}
	o.SetNoticeReceiver(h)

	return h
}

func (h *Holder) shard(id string) *holderShard { return &h.shards[shard.Index(id, holderShardCount)] }

// Acquire waits for a slot of any target of the request's service except the excluded ones. The error is an
// *outcome.Error with effect NotRun.
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
		Late: w.IsLate(),
	}

	if d := w.AdmissibleWait(); d > 0 {
		q.MostMS = max(1, d.Milliseconds())
	}

	p := newPrompt(service, r.PromptParts())
	q.Parts, q.Request = p.Parts(), r.ID()

	for {
		// The owner has to know the items that wait for a trial.
		if e, ok := h.quarantine.Find(p); ok && e.Remaining() > 0 && !q.Batch {
			return nil, h.quarantinedError(e)
		}

		s, err := h.requestSlot(x, q)

		var u *quarantinedPromptError
		if errors.As(err, &u) {
			return nil, h.quarantinedError(u.entry)
		}

		if err != nil {
			return nil, noSlotError(ctx, r)
		}

		// The prompt may have been quarantined while the request waited.
		if e, ok := h.quarantine.Find(p); ok && !s.trial {
			h.release(s, filter.Observation{}.WithFault(pool.Unused))

			return nil, h.quarantinedError(e)
		}

		t, ok := h.targetFinder.Find(s.targetName, time.Now())
		if ok {
			s.target, s.request = filter.NewTarget(t.Name(), t.Address()).WithStart(t.Start()), r.ID()

			return s, nil
		}

		// The owner does not know yet that the target is leaving.
		h.release(s, filter.Observation{}.WithFault(pool.Unused))
		q.Avoid = append(q.Avoid[:len(q.Avoid):len(q.Avoid)], s.targetName)
	}
}

// noSlotError returns the error for a request that got no slot: its context has ended, or all slots are in use.
func noSlotError(ctx context.Context, r *filter.Request) error {
	if ctx.Err() != nil {
		return outcome.New(outcome.DeadlineExceeded, outcome.NotRun, "no slot became free in time").
			WithCause(context.Cause(ctx))
	}

	return outcome.New(outcome.Overloaded, outcome.NotRun, "all slots of service %q are taken", r.TargetService()).
		WithRetryAfter(urgency.RetryAfter(time.Until(r.Deadline()), rand.Float64())) //nolint:gosec // spreads callers
}

// addService makes Run report the leases of a service.
func (h *Holder) addService(service string) {
	h.mu.Lock()
	defer h.mu.Unlock()

	h.services[service] = true
}

// errRefused means that the owner refused a request because its expected wait exceeds its maximum.
var errRefused = errors.New("the expected wait for a slot is too long")

// requestSlot requests a slot from the owner, repeatedly, until it is granted or refused or ctx ends.
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

	interval := requestRepeatInterval
	if q.Batch {
		interval = batchRequestRepeatInterval
	}

	for {
		q.DueMS = time.Until(due).Milliseconds()
		owner, a := h.sendSlotRequest(ctx, q)
		target := a.Target

		if len(a.Quarantined) > 0 {
			h.withdraw(q, owner, c)

			return nil, &quarantinedPromptError{entry: quarantine.NewEntry(
				q.Service, a.Quarantined, time.Duration(a.QuarantinedMS)*time.Millisecond)}
		}

		if a.Refused {
			h.withdraw(q, owner, c)

			return nil, errRefused
		}

		if target == "" {
			select {
			case target = <-c:
			case <-time.After(interval):
			case <-ctx.Done():
			}
		}

		if target != "" {
			q.Batch = q.Batch && !a.Trial

			s := h.recordLease(q, owner, target, due)
			s.trial = a.Trial

			return s, nil
		}

		if ctx.Err() != nil {
			h.withdraw(q, owner, c)

			return nil, ctx.Err()
		}
	}
}

// sendSlotRequest sends a slot request to the owner of the service. A daemon that does not reply is marked as failed,
// and the request goes to the next one. After maxOwnerAttempts, the owner in this process decides. It returns the
// daemon that replied, or the last one with an empty reply if ctx ended.
func (h *Holder) sendSlotRequest(ctx context.Context, q AskArgs) (mesh.Peer, AskReply) {
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
		err := h.client.Call(x, o.Address, "Slot.Ask", q, &a)

		stop()

		if err == nil {
			return o, a
		}

		if ctx.Err() != nil {
			return o, AskReply{} // a late reply may still be written to a
		}

		tried[o.VM] = true
		h.peers.MarkFailed(o.VM)
		// The daemon may have granted a slot without its reply getting here.
		h.sendRelease(o, ReleaseArgs{Service: q.Service, ID: q.ID, Fault: uint8(pool.Unused)})
	}

	var a AskReply

	_ = h.owner.Ask(q, &a)

	return self, a
}

// findOwner returns the first-ranked daemon for a service that is not excluded, or this daemon if there is none.
func (h *Holder) findOwner(service string, excluded map[string]bool) mesh.Peer {
	for _, p := range h.peers.RankedPeers(service, time.Now()) {
		if !excluded[p.VM] {
			return p
		}
	}

	return h.peers.Self()
}

// recordLease ends the wait of a request and records its lease.
func (h *Holder) recordLease(q AskArgs, owner mesh.Peer, target string, due time.Time) *lease {
	s := &lease{
		holder: h, id: q.ID, service: q.Service, targetName: target, batch: q.Batch, owner: owner, due: due,
		expectedEnd: time.Now().Add(time.Duration(q.NeedsMS) * time.Millisecond), preempted: make(chan struct{}), parts: q.Parts,
	}
	k := h.shard(q.ID)

	k.mu.Lock()
	defer k.mu.Unlock()

	delete(k.waiting, q.ID)
	k.leases[q.ID] = s

	return s
}

// withdraw ends the wait of a request. A slot that has been granted in the meantime is released.
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

// sendMessage calls a method of another daemon. It ignores errors, as the next report makes up for a lost message.
func (h *Holder) sendMessage(p mesh.Peer, method string, q any) {
	ctx, stop := context.WithTimeout(context.Background(), messageTimeout)
	defer stop()

	_ = h.client.Call(ctx, p.Address, method, q, &Empty{})
}

func (h *Holder) sendRelease(owner mesh.Peer, q ReleaseArgs) {
	if owner.VM == h.peers.Self().VM {
		_ = h.owner.Release(q, nil)

		return
	}

	go h.sendMessage(owner, "Slot.Release", q)
}

// Notice handles the grants and preemptions of an owner. It is called by net/rpc and by the owner of this daemon.
func (h *Holder) Notice(q NoticeArgs, _ *Empty) error {
	for _, g := range q.Grants {
		k := h.shard(g.ID)

		k.mu.Lock()
		if c, ok := k.waiting[g.ID]; ok { // otherwise withdrawn; the owner learns that from the next report
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

// Run reports the leases of this daemon to the owners until ctx ends. It returns nil.
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
				l = append(l, LeaseMessage{
					ID: s.id, Target: s.targetName, Batch: s.batch, DueMS: time.Until(s.due).Milliseconds(),
					Needs: max(0, time.Until(s.expectedEnd).Milliseconds()),
				})
			}
		}
		k.mu.Unlock()
	}

	return l
}
