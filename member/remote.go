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

// pick returns an exchange with a random daemon of another failure domain.
func (s *remote) pick(now time.Time, t *Table, r *rand.Rand) (Send, bool) {
	var l []Peer

	for _, p := range s.view(t) {
		if p.domain != t.settings.Domain {
			l = append(l, p)
		}
	}

	if len(l) == 0 {
		return Send{}, false
	}

	slices.SortFunc(l, func(a, b Peer) int { return cmp.Compare(a.vm, b.vm) })

	p := l[r.IntN(len(l))]

	return Send{kind: Exchange, vm: p.vm, address: p.address, message: t.remoteMessage(now, false)}, true
}

// answered takes the word of another failure domain. When its live daemons changed it asks for all of them.
func (s *remote) answered(now time.Time, t *Table, from Send, m Message) []Send {
	s.mu.Lock()
	defer s.mu.Unlock()

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
