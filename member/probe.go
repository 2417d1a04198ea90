package member

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// probeSchedule is the schedule of probes.
type probeSchedule struct {
	mu       sync.Mutex
	nextProbe     time.Time // next probe
	nextHealProbe     time.Time // next probe outside the view
	nextExchange time.Time // next exchange with another failure domain
	lastSync   time.Time // last full exchange that was asked for
	firstTick    time.Time // first tick
	lastTick   time.Time
	syncRequested     bool     // the next probe asks for everything
	round    []string // daemons still to be probed in this round
	pendingChecks  map[string]*pendingCheck
}

// pendingCheck is a daemon that did not answer and is being checked by others.
type pendingCheck struct {
	remainingChecks int
}

// Tick returns what is due: probes, and exchanges with other failure domains. It is to be called several times
// per probe interval.
func (t *Table) Tick(now time.Time, r *rand.Rand) []Request {
	was := t.probes.isStarting()

	if gap := t.probes.tick(now, t.bounds.probeInterval); gap > 0 {
		t.extendSuspicions(gap)
	}

	if was && !t.probes.isStarting() {
		t.version.Add(1)
	}

	t.removeExpired(now)
	t.leavingTargets.removeExpired(now)

	var l []Request

	probe, heal, exchange := t.probes.due(now, t.bounds, r)
	if probe {
		if vm := t.probes.nextPeer(t.peerNames(inView), r); vm != "" {
			l = append(l, t.newProbe(now, vm))
		} else {
			heal = true
		}
	}

	if heal {
		if s, ok := t.newHealProbe(now, r); ok {
			l = append(l, s)
		}
	}

	if exchange {
		if s, ok := t.remoteDomains.nextExchange(now, t, r); ok {
			l = append(l, s)
		}
	}

	return l
}

// tick returns how long this process was paused, 0 when it was not.
func (p *probeSchedule) tick(now time.Time, interval time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()

	gap := now.Sub(p.lastTick)
	first := p.lastTick.IsZero()
	p.lastTick = now

	if first {
		p.firstTick = now
	}

	if first || gap < pauseIntervals*interval {
		return 0
	}

	p.pendingChecks = nil

	return gap
}

// isStarting reports whether the daemon has just started.
func (p *probeSchedule) isStarting() bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.lastTick.Sub(p.firstTick) < startupGracePeriod
}

// due returns which activities are due. Each starts at a random point, so that daemons that start together do
// not send together.
func (p *probeSchedule) due(now time.Time, b Bounds, r *rand.Rand) (probe, heal, exchange bool) {
	p.mu.Lock()
	defer p.mu.Unlock()

	each := func(next *time.Time, interval time.Duration) bool {
		if next.IsZero() {
			*next = now.Add(time.Duration(r.Int64N(int64(interval) + 1)))
		}

		if now.Before(*next) {
			return false
		}

		*next = next.Add(interval)
		if next.Before(now) {
			*next = now.Add(interval)
		}

		return true
	}

	return each(&p.nextProbe, b.probeInterval), each(&p.nextHealProbe, healProbeIntervals*b.probeInterval), each(&p.nextExchange, b.exchangeInterval)
}

// nextPeer returns the next daemon of a random order, in which every daemon comes once per round. That bounds the
// time until a daemon is probed.
func (p *probeSchedule) nextPeer(names []string, r *rand.Rand) string {
	p.mu.Lock()
	defer p.mu.Unlock()

	for range 2 {
		for len(p.round) > 0 {
			n := p.round[0]
			p.round = p.round[1:]

			if slices.Contains(names, n) {
				return n
			}
		}

		p.round = slices.Clone(names)
		r.Shuffle(len(p.round), func(i, j int) { p.round[i], p.round[j] = p.round[j], p.round[i] })
	}

	return ""
}

func (t *Table) peerNames(f func(c Change) bool) []string {
	l := t.changes(f)
	n := make([]string, len(l))

	for i, c := range l {
		n[i] = c.VM
	}

	return n
}

// extendSuspicions moves the suspicions by a time in which this process did not run and could not hear refutations.
func (t *Table) extendSuspicions(gap time.Duration) {
	for i := range t.shards {
		h := &t.shards[i]

		h.mu.Lock()
		for _, e := range h.peers {
			if e.change.State == Suspect {
				e.stateSince = e.stateSince.Add(gap)
			}
		}
		h.mu.Unlock()
	}
}

// removeExpired removes daemons whose suspicion was not refuted and forgets old entries.
func (t *Table) removeExpired(now time.Time) {
	var removed []Change

	for i := range t.shards {
		h := &t.shards[i]

		h.mu.Lock()
		for vm, e := range h.peers {
			age := now.Sub(e.stateSince)

			switch {
			case e.change.State == Suspect && age >= t.bounds.suspectTimeout:
				c := e.change
				c.State = Removed
				removed = append(removed, c)
			case e.change.State == Removed && age >= removedRetention && (e.highestLeft == 0 || age >= leavingRetention),
				e.change.State == Leaving && age >= leavingRetention && !e.listedLeaving,
				e.change.Incarnation == 0 && !e.listedLeaving:
				delete(h.peers, vm)
			}
		}
		h.mu.Unlock()
	}

	slices.SortFunc(removed, func(a, b Change) int { return cmp.Compare(a.VM, b.VM) })

	for _, c := range removed {
		t.apply(now, c, true)
	}
}

func (t *Table) newProbe(now time.Time, vm string) Request {
	e, _ := t.lookup(vm)

	return Request{kind: Probe, vm: vm, address: e.change.Address, message: t.probeMessage(now, vm)}
}

// newHealProbe returns a probe of a daemon that is not in the view: a removed one, one of the platform's list, or an
// address from the settings.
func (t *Table) newHealProbe(now time.Time, r *rand.Rand) (Request, bool) {
	var l []Request

	live := map[string]bool{t.settings.VM: true}
	addresses := map[string]bool{t.settings.Address: true}

	for _, c := range t.changes(func(Change) bool { return true }) {
		live[c.VM], addresses[c.Address] = inView(c), inView(c)

		if c.State == Removed {
			l = append(l, Request{vm: c.VM, address: c.Address})
		}
	}

	for _, v := range t.list.localDaemons(t.settings.Domain) {
		if !live[v.VM] && !v.Leaving { // a removed VM may have been replaced at another address
			l = append(l, Request{vm: v.VM, address: v.Address})
		}
	}

	for _, a := range t.settings.Seeds {
		if !addresses[a] {
			l = append(l, Request{address: a})
		}
	}

	if len(l) == 0 {
		return Request{}, false
	}

	s := l[r.IntN(len(l))]
	s.kind = Probe
	s.message = t.probeMessage(now, s.vm)

	return s, true
}

// compareDigests asks for everything in the next probe when the digests differ.
func (p *probeSchedule) compareDigests(now time.Time, m Message, t *Table) {
	if _, d := t.leavingTargets.departuresForSync(now); m.Table == t.digest() && m.Departed == d {
		return
	}

	p.mu.Lock()
	defer p.mu.Unlock()

	if p.lastSync.IsZero() || now.Sub(p.lastSync) >= minSyncInterval {
		p.syncRequested = true
	}
}

// consumeSyncRequest reports whether a message is to ask for everything.
func (p *probeSchedule) consumeSyncRequest(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	if !p.syncRequested {
		return false
	}

	p.syncRequested, p.lastSync = false, now

	return true
}

// HandleReply takes the answer to a Probe or an Exchange.
func (t *Table) HandleReply(now time.Time, s Request, m Message) ([]Request, error) {
	if err := t.accept(m); err != nil {
		return nil, err
	}

	if m.Domain != t.settings.Domain {
		return t.remoteDomains.handleReply(now, t, s, m), nil
	}

	t.probes.clearCheck(m.From.VM)
	t.merge(now, m)

	return nil, nil
}

// HandleFailure takes the absence of an answer. For a daemon of the view it returns checks through other peers; without
// any peer to ask, the daemon is suspected at once.
func (t *Table) HandleFailure(now time.Time, s Request, r *rand.Rand) []Request {
	e, ok := t.lookup(s.vm)
	if s.message.Full {
		t.probes.requestSync()
	}

	if s.kind == Exchange {
		return t.remoteDomains.handleFailure(now, t, s, r)
	}

	if s.kind != Probe || !ok || !inView(e.change) {
		return nil
	}

	l := t.changes(func(c Change) bool { return c.State == Live && c.VM != s.vm })
	r.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
	l = l[:min(len(l), maxIndirectChecks)]

	if len(l) == 0 {
		t.suspect(now, s.vm, e.change.Incarnation)

		return nil
	}

	if !t.probes.startCheck(s.vm, len(l)) {
		return nil
	}

	c := make([]Request, len(l))
	for i, p := range l {
		c[i] = Request{
			kind: Check, vm: p.VM, address: p.Address, subject: s.vm, subjectAddress: e.change.Address,
			subjectIncarnation: e.change.Incarnation,
		}
	}

	return c
}

// HandleCheckResult takes the result of a Check; false too when the peer asked did not answer.
func (t *Table) HandleCheckResult(now time.Time, s Request, answered bool) {
	if t.probes.finishCheck(s.subject, answered) {
		t.suspect(now, s.subject, s.subjectIncarnation)
	}
}

func (t *Table) suspect(now time.Time, vm string, incarnation uint64) {
	e, ok := t.lookup(vm)
	if !ok || e.change.State != Live || e.change.Incarnation != incarnation {
		return
	}

	c := e.change
	c.State = Suspect
	t.apply(now, c, true)
}

func (p *probeSchedule) startCheck(vm string, n int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.pendingChecks[vm] != nil {
		return false
	}

	if p.pendingChecks == nil {
		p.pendingChecks = map[string]*pendingCheck{}
	}

	p.pendingChecks[vm] = &pendingCheck{remainingChecks: n}

	return true
}

// finishCheck reports whether the last check failed and none succeeded.
func (p *probeSchedule) finishCheck(vm string, answered bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	v := p.pendingChecks[vm]
	if v == nil {
		return false
	}

	v.remainingChecks--
	if answered || v.remainingChecks == 0 {
		delete(p.pendingChecks, vm)

		return !answered
	}

	return false
}

func (p *probeSchedule) clearCheck(vm string) {
	p.mu.Lock()
	defer p.mu.Unlock()

	delete(p.pendingChecks, vm)
}

func (p *probeSchedule) requestSync() {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.syncRequested = true
}
