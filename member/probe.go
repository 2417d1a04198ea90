package member

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// probes is the schedule of probes.
type probes struct {
	mu       sync.Mutex
	next     time.Time // next probe
	heal     time.Time // next probe outside the view
	exchange time.Time // next exchange with another failure domain
	synced   time.Time // last full exchange that was asked for
	first    time.Time // first tick
	ticked   time.Time
	sync     bool     // the next probe asks for everything
	order    []string // daemons still to be probed in this round
	pending  map[string]*pending
}

// pending is a daemon that did not answer and is being checked by others.
type pending struct {
	remaining int
}

// Tick returns what is due: probes, and exchanges with other failure domains. It is to be called several times
// per probe interval.
func (t *Table) Tick(now time.Time, r *rand.Rand) []Send {
	was := t.probes.starting()

	if gap := t.probes.tick(now, t.bounds.probe); gap > 0 {
		t.forgive(gap)
	}

	if was && !t.probes.starting() {
		t.version.Add(1)
	}

	t.expire(now)
	t.departed.forget(now)

	var l []Send

	probe, heal, exchange := t.probes.due(now, t.bounds, r)
	if probe {
		if vm := t.probes.pick(t.names(inView), r); vm != "" {
			l = append(l, t.probe(now, vm))
		} else {
			heal = true
		}
	}

	if heal {
		if s, ok := t.outside(now, r); ok {
			l = append(l, s)
		}
	}

	if exchange {
		if s, ok := t.remote.pick(now, t, r); ok {
			l = append(l, s)
		}
	}

	return l
}

// tick returns how long this process was paused, 0 when it was not.
func (p *probes) tick(now time.Time, interval time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()

	gap := now.Sub(p.ticked)
	first := p.ticked.IsZero()
	p.ticked = now

	if first {
		p.first = now
	}

	if first || gap < pauseFactor*interval {
		return 0
	}

	p.pending = nil

	return gap
}

// starting reports whether the daemon has just started.
func (p *probes) starting() bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.ticked.Sub(p.first) < startup
}

// due returns which activities are due. Each starts at a random point, so that daemons that start together do
// not send together.
func (p *probes) due(now time.Time, b Bounds, r *rand.Rand) (probe, heal, exchange bool) {
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

	return each(&p.next, b.probe), each(&p.heal, healFactor*b.probe), each(&p.exchange, b.remote)
}

// pick returns the next daemon of a random order, in which every daemon comes once per round. That bounds the
// time until a daemon is probed.
func (p *probes) pick(names []string, r *rand.Rand) string {
	p.mu.Lock()
	defer p.mu.Unlock()

	for range 2 {
		for len(p.order) > 0 {
			n := p.order[0]
			p.order = p.order[1:]

			if slices.Contains(names, n) {
				return n
			}
		}

		p.order = slices.Clone(names)
		r.Shuffle(len(p.order), func(i, j int) { p.order[i], p.order[j] = p.order[j], p.order[i] })
	}

	return ""
}

func (t *Table) names(f func(c Change) bool) []string {
	l := t.known(f)
	n := make([]string, len(l))

	for i, c := range l {
		n[i] = c.VM
	}

	return n
}

// forgive moves the suspicions by a time in which this process did not run and could not hear refutations.
func (t *Table) forgive(gap time.Duration) {
	for i := range t.shards {
		h := &t.shards[i]

		h.mu.Lock()
		for _, e := range h.peers {
			if e.change.State == Suspect {
				e.since = e.since.Add(gap)
			}
		}
		h.mu.Unlock()
	}
}

// expire removes daemons whose suspicion was not refuted and forgets old entries.
func (t *Table) expire(now time.Time) {
	var removed []Change

	for i := range t.shards {
		h := &t.shards[i]

		h.mu.Lock()
		for vm, e := range h.peers {
			age := now.Sub(e.since)

			switch {
			case e.change.State == Suspect && age >= t.bounds.suspect:
				c := e.change
				c.State = Removed
				removed = append(removed, c)
			case e.change.State == Removed && age >= keepRemoved && (e.left == 0 || age >= keepLeaving),
				e.change.State == Leaving && age >= keepLeaving && !e.listed,
				e.change.Incarnation == 0 && !e.listed:
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

func (t *Table) probe(now time.Time, vm string) Send {
	e, _ := t.get(vm)

	return Send{kind: Probe, vm: vm, address: e.change.Address, message: t.heartbeat(now, vm)}
}

// outside returns a probe of a daemon that is not in the view: a removed one, one of the platform's list, or an
// address from the settings.
func (t *Table) outside(now time.Time, r *rand.Rand) (Send, bool) {
	var l []Send

	live := map[string]bool{t.settings.VM: true}
	addresses := map[string]bool{t.settings.Address: true}

	for _, c := range t.known(func(Change) bool { return true }) {
		live[c.VM], addresses[c.Address] = inView(c), inView(c)

		if c.State == Removed {
			l = append(l, Send{vm: c.VM, address: c.Address})
		}
	}

	for _, v := range t.list.daemons(t.settings.Domain) {
		if !live[v.VM] && !v.Leaving { // a removed VM may have been replaced at another address
			l = append(l, Send{vm: v.VM, address: v.Address})
		}
	}

	for _, a := range t.settings.Seeds {
		if !addresses[a] {
			l = append(l, Send{address: a})
		}
	}

	if len(l) == 0 {
		return Send{}, false
	}

	s := l[r.IntN(len(l))]
	s.kind = Probe
	s.message = t.heartbeat(now, s.vm)

	return s, true
}

// compare asks for everything in the next probe when the digests differ.
func (p *probes) compare(now time.Time, m Message, t *Table) {
	if _, d := t.departed.shared(now); m.Table == t.digest() && m.Departed == d {
		return
	}

	p.mu.Lock()
	defer p.mu.Unlock()

	if p.synced.IsZero() || now.Sub(p.synced) >= syncEvery {
		p.sync = true
	}
}

// takeSync reports whether a message is to ask for everything.
func (p *probes) takeSync(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	if !p.sync {
		return false
	}

	p.sync, p.synced = false, now

	return true
}

// Answered takes the answer to a Probe or an Exchange.
func (t *Table) Answered(now time.Time, s Send, m Message) ([]Send, error) {
	if err := t.accept(m); err != nil {
		return nil, err
	}

	if m.Domain != t.settings.Domain {
		return t.remote.answered(now, t, s, m), nil
	}

	t.probes.clear(m.From.VM)
	t.merge(now, m)

	return nil, nil
}

// Failed takes the absence of an answer. For a daemon of the view it returns checks through other peers; without
// any peer to ask, the daemon is suspected at once.
func (t *Table) Failed(now time.Time, s Send, r *rand.Rand) []Send {
	e, ok := t.get(s.vm)
	if s.message.Full {
		t.probes.resync()
	}

	if s.kind == Exchange {
		return t.remote.failed(now, t, s, r)
	}

	if s.kind != Probe || !ok || !inView(e.change) {
		return nil
	}

	l := t.known(func(c Change) bool { return c.State == Live && c.VM != s.vm })
	r.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
	l = l[:min(len(l), helpers)]

	if len(l) == 0 {
		t.suspect(now, s.vm, e.change.Incarnation)

		return nil
	}

	if !t.probes.start(s.vm, len(l)) {
		return nil
	}

	c := make([]Send, len(l))
	for i, p := range l {
		c[i] = Send{
			kind: Check, vm: p.VM, address: p.Address, subject: s.vm, subjectAddress: e.change.Address,
			subjectIdentity: e.change.Incarnation,
		}
	}

	return c
}

// Checked takes the result of a Check; false too when the peer asked did not answer.
func (t *Table) Checked(now time.Time, s Send, answered bool) {
	if t.probes.checked(s.subject, answered) {
		t.suspect(now, s.subject, s.subjectIdentity)
	}
}

func (t *Table) suspect(now time.Time, vm string, incarnation uint64) {
	e, ok := t.get(vm)
	if !ok || e.change.State != Live || e.change.Incarnation != incarnation {
		return
	}

	c := e.change
	c.State = Suspect
	t.apply(now, c, true)
}

func (p *probes) start(vm string, n int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.pending[vm] != nil {
		return false
	}

	if p.pending == nil {
		p.pending = map[string]*pending{}
	}

	p.pending[vm] = &pending{remaining: n}

	return true
}

// checked reports whether the last check failed and none succeeded.
func (p *probes) checked(vm string, answered bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	v := p.pending[vm]
	if v == nil {
		return false
	}

	v.remaining--
	if answered || v.remaining == 0 {
		delete(p.pending, vm)

		return !answered
	}

	return false
}

func (p *probes) clear(vm string) {
	p.mu.Lock()
	defer p.mu.Unlock()

	delete(p.pending, vm)
}

func (p *probes) resync() {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.sync = true
}
