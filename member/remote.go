package member

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// remote is what is known of the daemons of other failure domains beyond the platform's list.
type remote struct {
	mu      sync.Mutex
	domains map[string]*remoteDomain
	asked   map[string]time.Time // last exchange with a failure domain
	silent  map[string]bool      // VMs that did not answer an exchange
}

type remoteDomain struct {
	region string
	digest uint64
	at     time.Time
	live   []Change
}

// remoteMessage returns a heartbeat to another failure domain.
func (t *Table) remoteMessage(now time.Time, full bool) Message {
	m := t.header(now)
	m.Region = t.settings.Region

	if full {
		m.Changes = t.known(inView)
	}

	return m
}

// pick returns an exchange with a random daemon of the failure domain that was asked longest ago.
func (s *remote) pick(now time.Time, t *Table, r *rand.Rand) (Send, bool) {
	l := s.view(t)
	if len(l) == 0 {
		return Send{}, false
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	slices.SortFunc(l, func(a, b Peer) int {
		return cmp.Or(s.asked[a.domain].Compare(s.asked[b.domain]), cmp.Compare(a.domain, b.domain), cmp.Compare(a.vm, b.vm))
	})

	if s.asked == nil {
		s.asked = map[string]time.Time{}
	}

	s.asked[l[0].domain] = now

	v, ok := s.choose(now, t, l, l[0].domain, r)
	if !ok { // nobody answered the last time
		s.silent = nil
		v, ok = s.choose(now, t, l, l[0].domain, r)
	}

	return v, ok
}

// choose returns an exchange with a random daemon of a failure domain that has not been silent. The caller holds the
// lock.
func (s *remote) choose(now time.Time, t *Table, l []Peer, domain string, r *rand.Rand) (Send, bool) {
	l = slices.DeleteFunc(slices.Clone(l), func(p Peer) bool { return p.domain != domain || s.silent[p.vm] })
	if len(l) == 0 {
		return Send{}, false
	}

	p := l[r.IntN(len(l))]

	return Send{kind: Exchange, vm: p.vm, address: p.address, message: t.remoteMessage(now, false)}, true
}

// failed takes the absence of an answer, and returns an exchange with another daemon of the same failure domain. Without
// it, a failure domain that has lost many daemons would not be heard of for long.
func (s *remote) failed(now time.Time, t *Table, from Send, r *rand.Rand) []Send {
	l := s.view(t)

	s.mu.Lock()
	defer s.mu.Unlock()

	if s.silent == nil {
		s.silent = map[string]bool{}
	}

	s.silent[from.vm] = true

	i := slices.IndexFunc(l, func(p Peer) bool { return p.vm == from.vm })
	if i < 0 {
		return nil
	}

	if v, ok := s.choose(now, t, l, l[i].domain, r); ok {
		return []Send{v}
	}

	return nil
}

// answered takes the word of another failure domain. When its live daemons changed it asks for all of them.
func (s *remote) answered(now time.Time, t *Table, from Send, m Message) []Send {
	s.mu.Lock()
	defer s.mu.Unlock()

	delete(s.silent, from.vm)

	d := s.domains[m.Domain]

	switch {
	case from.message.Full:
		if s.domains == nil {
			s.domains = map[string]*remoteDomain{}
		}

		s.domains[m.Domain] = &remoteDomain{region: m.Region, digest: m.Table, at: now, live: append(m.Changes, m.From)}
		t.version.Add(1)
	case d != nil && d.digest == m.Table:
		d.at = now
	default:
		from.message.Full = true

		return []Send{from}
	}

	return nil
}

// view returns the daemons of other failure domains: by their own word while it is recent, else by the
// platform's list. A daemon that the list shows as leaving is left out in both cases.
func (s *remote) view(t *Table) []Peer {
	listed, newest := t.list.others(t.settings.Domain), t.lastTick()
	leaving := map[string]bool{}

	for _, v := range listed {
		leaving[v.VM] = v.Leaving
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	var l []Peer

	recent := map[string]bool{}

	for n, d := range s.domains {
		if newest.Sub(d.at) > remoteAge {
			continue
		}

		recent[n] = true

		for _, c := range d.live {
			if inView(c) && !leaving[c.VM] {
				l = append(l, Peer{vm: c.VM, address: c.Address, domain: n, region: d.region, incarnation: c.Incarnation, state: c.State})
			}
		}
	}

	for _, v := range listed {
		if !recent[v.Domain] && !v.Leaving {
			l = append(l, Peer{vm: v.VM, address: v.Address, domain: v.Domain, region: v.Region, state: Live})
		}
	}

	return l
}

// lastTick returns the time of the last tick.
func (t *Table) lastTick() time.Time {
	t.probes.mu.Lock()
	defer t.probes.mu.Unlock()

	return t.probes.ticked
}
