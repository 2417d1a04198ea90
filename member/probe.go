package member

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// probeSchedule decides when to send which requests, and tracks the peers that are being checked.
type probeSchedule struct {
	mu            sync.Mutex
	nextProbe     time.Time // next probe inside the view
	nextHealProbe time.Time // next probe outside the view
	nextExchange  time.Time // next exchange with another failure domain
	lastSync      time.Time // last request of a full exchange
	firstTick     time.Time // start of the startup grace period
	lastTick      time.Time
	syncRequested bool     // the next probe requests a full exchange
	round         []string // daemons still to be probed in this round
	pendingChecks map[string]*pendingCheck
}

// pendingCheck is the check of a daemon that did not reply to a probe.
type pendingCheck struct {
	remainingChecks int
}

// Tick returns the requests that are due: probes, and exchanges with other failure domains. It also removes daemons
// whose suspicion was not refuted in time. The caller calls it several times per probe interval.
func (t *Table) Tick(now time.Time, r *rand.Rand) []Request {
	wasStarting := t.probes.isStarting()

	if gap := t.probes.tick(now, t.bounds.probeInterval); gap > 0 {
		t.extendSuspicions(gap)
	}

	if wasStarting && !t.probes.isStarting() {
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

// tick records a tick and returns how long this process was paused before it, or 0. A pause discards all pending
// checks.
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

// isStarting reports whether the daemon is within its startup grace period.
func (p *probeSchedule) isStarting() bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.lastTick.Sub(p.firstTick) < startupGracePeriod
}

// due reports which kinds of requests are due. The first of each kind is due at a random time within its interval, so
// that daemons that start together do not send together.
func (p *probeSchedule) due(now time.Time, b Bounds, r *rand.Rand) (probe, heal, exchange bool) {
	p.mu.Lock()
	defer p.mu.Unlock()

	isDue := func(next *time.Time, interval time.Duration) bool {
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

	return isDue(&p.nextProbe, b.probeInterval), isDue(&p.nextHealProbe, healProbeIntervals*b.probeInterval),
		isDue(&p.nextExchange, b.exchangeInterval)
}

// nextPeer returns the next daemon to probe, or "" if names is empty. Every round probes each daemon once in random
// order, which bounds the time until a daemon is probed.
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

func (t *Table) peerNames(accept func(c Change) bool) []string {
	l := t.changes(accept)
	n := make([]string, len(l))

	for i, c := range l {
		n[i] = c.VM
	}

	return n
}

// extendSuspicions postpones the end of all suspicions by the time for which this process was paused, as it could not
// receive refutations in that time.
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

// removeExpired marks daemons as removed whose suspicion was not refuted in time, and deletes entries after their
// retention.
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
			case e.change.State == Removed && age >= removedRetention && (e.maxLeftIncarnation == 0 || age >= leavingRetention),
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

// newHealProbe returns a probe of a random daemon outside the view: a removed one, one of the platform's list, or an
// address of the settings.
func (t *Table) newHealProbe(now time.Time, r *rand.Rand) (Request, bool) {
	var l []Request

	viewVMs := map[string]bool{t.settings.VM: true}
	viewAddresses := map[string]bool{t.settings.Address: true}

	for _, c := range t.changes(func(Change) bool { return true }) {
		viewVMs[c.VM], viewAddresses[c.Address] = inView(c), inView(c)

		if c.State == Removed {
			l = append(l, Request{vm: c.VM, address: c.Address})
		}
	}

	for _, v := range t.list.localDaemons(t.settings.Domain) {
		if !viewVMs[v.VM] && !v.Leaving { // a removed VM may have been replaced at another address
			l = append(l, Request{vm: v.VM, address: v.Address})
		}
	}

	for _, a := range t.settings.Seeds {
		if !viewAddresses[a] {
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

// compareDigests has the next probe request a full exchange if the sender's digests differ from the local ones, at most
// once in minSyncInterval.
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

// consumeSyncRequest reports whether a message is to request a full exchange, and clears the request.
func (p *probeSchedule) consumeSyncRequest(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	if !p.syncRequested {
		return false
	}

	p.syncRequested, p.lastSync = false, now

	return true
}

// HandleReply applies the reply to a Probe or an Exchange and returns the requests that follow from it. The error is
// that of a rejected message.
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

// HandleFailure handles a Probe or an Exchange without a reply. If the receiver of a Probe is in the view, it returns
// checks of the receiver by other peers. Without any peer to ask, the receiver becomes suspected at once. For an
// Exchange, it returns one with another daemon of the same failure domain.
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

// HandleCheckResult takes the result of a Check. replied is also false if the peer that was asked did not reply.
func (t *Table) HandleCheckResult(now time.Time, s Request, replied bool) {
	if t.probes.finishCheck(s.subject, replied) {
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

// finishCheck records the result of one check, and reports whether it was the last one and all failed.
func (p *probeSchedule) finishCheck(vm string, replied bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	v := p.pendingChecks[vm]
	if v == nil {
		return false
	}

	v.remainingChecks--
	if replied || v.remainingChecks == 0 {
		delete(p.pendingChecks, vm)

		return !replied
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
