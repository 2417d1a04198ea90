package member

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// remoteDomains has the reports of other failure domains about their daemons. A recent report takes precedence over the
// platform's list.
type remoteDomains struct {
	mu           sync.Mutex
	domains      map[string]*remoteDomain // by failure domain
	lastExchange map[string]time.Time     // start of the last exchange, by failure domain
	unresponsive map[string]bool          // VMs that did not reply to an exchange
}

// remoteDomain is the last report of a failure domain.
type remoteDomain struct {
	region    string
	digest    uint64 // of its view
	lastReply time.Time
	live      []Change
}

// remoteMessage returns a heartbeat to another failure domain. If full is set, it has the other daemons of this failure
// domain that are in the view.
func (t *Table) remoteMessage(now time.Time, full bool) Message {
	m := t.messageHeader(now)
	m.Region = t.settings.Region

	if full {
		m.Changes = t.changes(inView)
	}

	return m
}

// nextExchange returns an exchange with a random daemon of the failure domain whose last exchange is the oldest.
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
	if !ok { // no daemon of the failure domain replied; try all of them again
		s.unresponsive = nil
		v, ok = s.newExchange(now, t, l, l[0].domain, r)
	}

	return v, ok
}

// newExchange returns an exchange with a random daemon of a failure domain, except for unresponsive ones. The caller
// holds the lock.
func (s *remoteDomains) newExchange(now time.Time, t *Table, l []Peer, domain string, r *rand.Rand) (Request, bool) {
	l = slices.DeleteFunc(slices.Clone(l), func(p Peer) bool { return p.domain != domain || s.unresponsive[p.vm] })
	if len(l) == 0 {
		return Request{}, false
	}

	p := l[r.IntN(len(l))]

	return Request{kind: Exchange, vm: p.vm, address: p.address, message: t.remoteMessage(now, false)}, true
}

// handleFailure handles an exchange without a reply, and returns an exchange with another daemon of the same failure
// domain. Otherwise it would take long to reach a failure domain that has lost many daemons.
func (s *remoteDomains) handleFailure(now time.Time, t *Table, failed Request, r *rand.Rand) []Request {
	l := s.peers(t)

	s.mu.Lock()
	defer s.mu.Unlock()

	if s.unresponsive == nil {
		s.unresponsive = map[string]bool{}
	}

	s.unresponsive[failed.vm] = true

	i := slices.IndexFunc(l, func(p Peer) bool { return p.vm == failed.vm })
	if i < 0 {
		return nil
	}

	if v, ok := s.newExchange(now, t, l, l[i].domain, r); ok {
		return []Request{v}
	}

	return nil
}

// handleReply applies the reply from another failure domain. If the digest of its live daemons changed, it returns the
// request again as a request for all of them.
func (s *remoteDomains) handleReply(now time.Time, t *Table, sent Request, m Message) []Request {
	s.mu.Lock()
	defer s.mu.Unlock()

	delete(s.unresponsive, sent.vm)

	d := s.domains[m.Domain]

	switch {
	case sent.message.Full:
		if s.domains == nil {
			s.domains = map[string]*remoteDomain{}
		}

		s.domains[m.Domain] = &remoteDomain{region: m.Region, digest: m.Table, lastReply: now, live: append(m.Changes, m.From)}
		t.version.Add(1)
	case d != nil && d.digest == m.Table:
		d.lastReply = now
	default:
		sent.message.Full = true

		return []Request{sent}
	}

	return nil
}

// peers returns the daemons of other failure domains: those that a failure domain reported, if the report is recent,
// and otherwise those of the platform's list. Daemons that the list shows as leaving are left out in both cases.
func (s *remoteDomains) peers(t *Table) []Peer {
	listed, now := t.list.remoteDaemons(t.settings.Domain), t.lastTick()
	leaving := map[string]bool{}

	for _, v := range listed {
		leaving[v.VM] = v.Leaving
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	var l []Peer

	recent := map[string]bool{}

	for n, d := range s.domains {
		if now.Sub(d.lastReply) > maxRemoteAge {
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
