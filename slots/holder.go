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
	holderShards = 16
	// askWithin is the time for the owner's answer to a demand, which is given at once. A slower owner is replaced.
	askWithin = 100 * time.Millisecond
	// reportLeast is the time between two reports of what a daemon holds, while there are few daemons. reportPerPeer
	// lengthens it with their number, so that an owner takes at most 200 reports a second from up to 160 daemons.
	// reportMost keeps it well below the silence after which a holder's leases are released.
	reportLeast   = 100 * time.Millisecond
	reportPerPeer = 5 * time.Millisecond
	reportMost    = 800 * time.Millisecond
	// reportWithin bounds a report.
	reportWithin = 250 * time.Millisecond
	// reportTo is the number of candidates that get reports, so that the next owner knows what is in use.
	reportTo = 2
	// askAgain is the time after which a demand that waits is repeated, in case its grant was lost or the owner changed.
	askAgain = 400 * time.Millisecond
	// askAgainBatch is the same for batch items, which may wait in thousands.
	askAgainBatch = 2 * time.Second
	// mostAsks bounds the daemons that one demand is taken to in a row.
	mostAsks = 4
	// batchWait bounds the wait of a batch item for a slot; after it the item asks again.
	batchWait = 30 * time.Second
)

// Peers knows the other daemons.
type Peers interface {
	Self() mesh.Peer
	LivePeers(now time.Time) []mesh.Peer
	RankedPeers(duty string, now time.Time) []mesh.Peer
	MarkFailed(vm string)
}

// Finder finds a target that may get work.
type Finder interface {
	Find(name string, now time.Time) (fleet.Target, bool)
}

// Holder asks owners for slots and keeps what this daemon holds. It is a filter.Router.
type Holder struct {
	peers  Peers
	caller Caller
	owner  *Owner
	finder Finder
	prefix string
	serial atomic.Int64
	shards [holderShards]holderShard

	mu       sync.Mutex
	services map[string]bool
}

// holderShard has demands that wait and leases.
type holderShard struct {
	mu      sync.Mutex
	waiting map[string]chan string
	leases  map[string]*slot
}

// NewHolder returns the controller. o is the owner within this daemon.
func NewHolder(p Peers, c Caller, o *Owner, f Finder) *Holder {
	s := p.Self()
	h := &Holder{
		peers: p, caller: c, owner: o, finder: f, services: map[string]bool{},
		prefix: s.VM + "/" + strconv.FormatInt(s.Start, 36) + "/", //nolint:mnd // base of the number
	}
	o.SetReceiver(h)

	return h
}

func (h *Holder) shard(id string) *holderShard { return &h.shards[shard.Index(id, holderShards)] }

// Acquire returns a slot of a target of the request's service that is not among the excluded names.
func (h *Holder) Acquire(ctx context.Context, r *filter.Request, exclude []string) (filter.Slot, error) {
	service := r.TargetService()
	h.use(service)

	w := r.Want()
	wait := w.Wait()

	if r.Class() == filter.Batch {
		wait = batchWait
	}

	x, stop := context.WithTimeout(ctx, wait)
	defer stop()

	q := DemandMessage{
		Service: service, Batch: r.Class() == filter.Batch, Rank: r.Route().Priority(),
		DueMS: time.Until(w.Due()).Milliseconds(), NeedsMS: w.Needs().Milliseconds(), Avoid: exclude, Prefer: r.Prefer(),
	}

	if w.Refusable() {
		q.MostMS = max(1, wait.Milliseconds())
	}

	for {
		s, err := h.acquire(x, q)
		if err != nil {
			return nil, refusal(ctx, r)
		}

		t, ok := h.finder.Find(s.name, time.Now())
		if ok {
			s.target = filter.NewTarget(t.Name(), t.Address())

			return s, nil
		}

		// The owner has not heard yet that the target is leaving.
		h.release(s, pool.Unused)
		q.Avoid = append(q.Avoid[:len(q.Avoid):len(q.Avoid)], s.name)
	}
}

// refusal returns the error of a request that got no slot.
func refusal(ctx context.Context, r *filter.Request) error {
	if ctx.Err() != nil {
		return outcome.New(outcome.DeadlineExceeded, outcome.NotRun, "no slot became free in time").WithCause(context.Cause(ctx))
	}

	return outcome.New(outcome.Overloaded, outcome.NotRun, "all slots of service %q are taken", r.TargetService()).
		WithRetryAfter(time.Second)
}

func (h *Holder) use(service string) {
	h.mu.Lock()
	defer h.mu.Unlock()

	h.services[service] = true
}

// errRefused means that a demand would wait for too long.
var errRefused = errors.New("the wait for a slot would be too long")

// acquire takes a demand to the owner, and to the next one when that fails, until it is granted or ctx ends.
func (h *Holder) acquire(ctx context.Context, q DemandMessage) (*slot, error) {
	self := h.peers.Self()
	q.ID = h.prefix + strconv.FormatInt(h.serial.Add(1), 36) //nolint:mnd // base of the number
	q.Holder, q.Address, q.Domain = self.VM, self.Address, self.Domain

	c := make(chan string, 1)
	due := time.Now().Add(time.Duration(q.DueMS) * time.Millisecond)
	k := h.shard(q.ID)

	k.mu.Lock()
	if k.waiting == nil {
		k.waiting, k.leases = map[string]chan string{}, map[string]*slot{}
	}
	k.waiting[q.ID] = c
	k.mu.Unlock()

	again := askAgain
	if q.Batch {
		again = askAgainBatch
	}

	for {
		q.DueMS = time.Until(due).Milliseconds()
		owner, a := h.ask(ctx, q)
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
			return h.hold(q, owner, target, due), nil
		}

		if ctx.Err() != nil {
			h.withdraw(q, owner, c)

			return nil, ctx.Err()
		}
	}
}

// ask asks the owner of a service, and the next candidate when it does not answer. It returns the one that answered.
func (h *Holder) ask(ctx context.Context, q DemandMessage) (mesh.Peer, DemandReply) {
	self := h.peers.Self()
	tried := map[string]bool{}

	for range mostAsks {
		o := h.candidate(q.Service, tried)

		var a DemandReply

		if o.VM == self.VM {
			_ = h.owner.Ask(q, &a)

			return o, a
		}

		x, stop := context.WithTimeout(ctx, askWithin)
		err := h.caller.Call(x, o.Address, "Slot.Ask", q, &a)

		stop()

		if err == nil {
			return o, a
		}

		if ctx.Err() != nil {
			return o, DemandReply{} // a late answer can still be written into a
		}

		tried[o.VM] = true
		h.peers.MarkFailed(o.VM)
		h.sendRelease(o, ReleaseMessage{Service: q.Service, ID: q.ID, Fault: uint8(pool.Unused)})
	}

	var a DemandReply

	_ = h.owner.Ask(q, &a)

	return self, a
}

// candidate returns the first choice that was not tried.
func (h *Holder) candidate(service string, tried map[string]bool) mesh.Peer {
	for _, p := range h.peers.RankedPeers(service, time.Now()) {
		if !tried[p.VM] {
			return p
		}
	}

	return h.peers.Self()
}

// hold records a granted slot.
func (h *Holder) hold(q DemandMessage, owner mesh.Peer, target string, due time.Time) *slot {
	s := &slot{holder: h, id: q.ID, service: q.Service, name: target, batch: q.Batch, owner: owner, due: due, end: time.Now().Add(time.Duration(q.NeedsMS) * time.Millisecond), yield: make(chan struct{})}
	k := h.shard(q.ID)

	k.mu.Lock()
	defer k.mu.Unlock()

	delete(k.waiting, q.ID)
	k.leases[q.ID] = s

	return s
}

// withdraw ends a demand. A grant that comes at the same moment is given back.
func (h *Holder) withdraw(q DemandMessage, owner mesh.Peer, c chan string) {
	k := h.shard(q.ID)

	k.mu.Lock()
	delete(k.waiting, q.ID)
	k.mu.Unlock()

	select {
	case t := <-c:
		h.sendRelease(owner, ReleaseMessage{Service: q.Service, ID: q.ID, Target: t, Fault: uint8(pool.Unused)})

		return
	default:
	}

	w := WithdrawMessage{Service: q.Service, ID: q.ID}
	if owner.VM == h.peers.Self().VM {
		_ = h.owner.Withdraw(w, nil)

		return
	}

	go h.call(owner, "Slot.Withdraw", w)
}

// call sends a message whose loss the next report makes up for.
func (h *Holder) call(p mesh.Peer, method string, q any) {
	ctx, stop := context.WithTimeout(context.Background(), reportWithin)
	defer stop()

	_ = h.caller.Call(ctx, p.Address, method, q, &Empty{})
}

func (h *Holder) sendRelease(owner mesh.Peer, q ReleaseMessage) {
	if owner.VM == h.peers.Self().VM {
		_ = h.owner.Release(q, nil)

		return
	}

	go h.call(owner, "Slot.Release", q)
}

func (h *Holder) release(s *slot, f pool.Fault) {
	k := h.shard(s.id)

	k.mu.Lock()
	delete(k.leases, s.id)
	k.mu.Unlock()

	q := ReleaseMessage{Service: s.service, ID: s.id, Target: s.name, Fault: uint8(f)}
	h.sendRelease(s.owner, q)

	// An owner that took over knows the slot from reports.
	if o := h.candidate(s.service, nil); o.VM != s.owner.VM {
		h.sendRelease(o, q)
	}
}

// Notice takes what an owner decided.
func (h *Holder) Notice(q NoticeMessage, _ *Empty) error {
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
			s.give()
		}
	}

	return nil
}

// Run reports what this daemon holds until ctx ends.
func (h *Holder) Run(ctx context.Context) error {
	for {
		n := len(h.peers.LivePeers(time.Now()))

		select {
		case <-time.After(min(reportMost, max(reportLeast, time.Duration(n)*reportPerPeer))):
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
			h.report(s)
		}
	}
}

func (h *Holder) report(service string) {
	self := h.peers.Self()
	q := ReportMessage{Service: service, Holder: self.VM, Address: self.Address, Leases: h.held(service)}

	l := h.peers.RankedPeers(service, time.Now())
	for _, p := range l[:min(reportTo, len(l))] {
		if p.VM == self.VM {
			_ = h.owner.Report(q, nil)

			continue
		}

		go h.call(p, "Slot.Report", q)
	}
}

func (h *Holder) held(service string) []LeaseMessage {
	l := []LeaseMessage{}

	for i := range h.shards {
		k := &h.shards[i]

		k.mu.Lock()
		for _, s := range k.leases {
			if s.service == service {
				l = append(l, LeaseMessage{ID: s.id, Target: s.name, Batch: s.batch, DueMS: time.Until(s.due).Milliseconds(), Needs: max(0, time.Until(s.end).Milliseconds())})
			}
		}
		k.mu.Unlock()
	}

	return l
}

// slot is a slot that this daemon holds.
type slot struct {
	holder  *Holder
	id      string
	service string
	name    string
	batch   bool
	owner   mesh.Peer
	due     time.Time
	end     time.Time // when the work is expected to end
	target  filter.Target
	yield   chan struct{}
	once    sync.Once
	ended   sync.Once
}

// Target returns the target.
func (s *slot) Target() filter.Target { return s.target }

// Preempted is closed when the owner wants the slot back.
func (s *slot) Preempted() <-chan struct{} { return s.yield }

// Release gives the slot back.
func (s *slot) Release(o filter.Observation) {
	s.ended.Do(func() { s.holder.release(s, o.Fault()) })
}

func (s *slot) give() { s.once.Do(func() { close(s.yield) }) }
