package member

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// remoteDomains is what is known of the daemons of other failure domains beyond the platform's list.
type remoteDomains struct {
	mu      sync.Mutex
	domains map[string]*remoteDomain
	lastExchange   map[string]time.Time // last exchange with a failure domain
	unresponsive  map[string]bool      // VMs that did not answer an exchange
}

type remoteDomain struct {
	region string
	digest uint64
	lastReply     time.Time
	live   []Change
}

// remoteMessage returns a heartbeat to another failure domain.
func (t *Table) remoteMessage(now time.Time, full bool) Message {
	m := t.messageHeader(now)
	m.Region = t.settings.Region

	if full {
		m.Changes = t.changes(inView)
	}

	return m
}

// nextExchange returns an exchange with a random daemon of the failure domain that was asked longest ago.
func (s *remoteDomains) nextExchange(now time.Time, t *Table, r *rand.Rand) (Request, bool) {
	l := s.peers(t)
	if len(l) == 0 {
		return Request{}, false
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	slices.SortFunc(l, func(a, b Peer) int {
		return cmp.Or(s.lastExchange[a.domain].Compare(s.lastExchange[b.domain]), cmp.Compare(a.domain, b.domain), cmp.Compare(a.vm, b.vm))
	})

	if s.lastExchange == nil {
		s.lastExchange = map[string]time.Time{}
	}

	s.lastExchange[l[0].domain] = now

	v, ok := s.newExchange(now, t, l, l[0].domain, r)
	if !ok { // nobody answered the last time
		s.unresponsive = nil
		v, ok = s.newExchange(now, t, l, l[0].domain, r)
	}

	return v, ok
}

// newExchange returns an exchange with a random daemon of a failure domain that has not been silent. The caller holds the
// lock.
func (s *remoteDomains) newExchange(now time.Time, t *Table, l []Peer, domain string, r *rand.Rand) (Request, bool) {
	l = slices.DeleteFunc(slices.Clone(l), func(p Peer) bool { return p.domain != domain || s.unresponsive[p.vm] })
	if len(l) == 0 {
		return Request{}, false
	}

	p := l[r.IntN(len(l))]

	return Request{kind: Exchange, vm: p.vm, address: p.address, message: t.remoteMessage(now, false)}, true
}

// handleFailure takes the absence of an answer, and returns an exchange with another daemon of the same failure domain. Without
// it, a failure domain that has lost many daemons would not be heard of for long.
func (s *remoteDomains) handleFailure(now time.Time, t *Table, from Request, r *rand.Rand) []Request {
	l := s.peers(t)

	s.mu.Lock()
	defer s.mu.Unlock()

	if s.unresponsive == nil {
		s.unresponsive = map[string]bool{}
	}

	s.unresponsive[from.vm] = true

	i := slices.IndexFunc(l, func(p Peer) bool { return p.vm == from.vm })
	if i < 0 {
		return nil
	}

	if v, ok := s.newExchange(now, t, l, l[i].domain, r); ok {
		return []Request{v}
	}

	return nil
}

// handleReply takes the word of another failure domain. When its live daemons changed it asks for all of them.
func (s *remoteDomains) handleReply(now time.Time, t *Table, from Request, m Message) []Request {
	s.mu.Lock()
	defer s.mu.Unlock()

	delete(s.unresponsive, from.vm)

	d := s.domains[m.Domain]

	switch {
	case from.message.Full:
		if s.domains == nil {
			s.domains = map[string]*remoteDomain{}
		}

		s.domains[m.Domain] = &remoteDomain{region: m.Region, digest: m.Table, lastReply: now, live: append(m.Changes, m.From)}
		t.version.Add(1)
	case d != nil && d.digest == m.Table:
		d.lastReply = now
	default:
		from.message.Full = true

		return []Request{from}
	}

	return nil
}

// peers returns the daemons of other failure domains: by their own word while it is recent, else by the
// platform's list. A daemon that the list shows as leaving is left out in both cases.
func (s *remoteDomains) peers(t *Table) []Peer {
	listed, newest := t.list.remoteDaemons(t.settings.Domain), t.lastTick()
	leaving := map[string]bool{}

	for _, v := range listed {
		leaving[v.VM] = v.Leaving
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	var l []Peer

	recent := map[string]bool{}

	for n, d := range s.domains {
		if newest.Sub(d.lastReply) > maxRemoteAge {
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

	return t.probes.lastTick
}
