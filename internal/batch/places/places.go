// Package places divides the places for active items of one daemon among services, so that items that cannot run leave
// places to others. It does no input or output.
package places

import (
	"sync"
	"time"
)

const (
	// demandTime is the time for which a service counts after an item of it was refused a place.
	demandTime = time.Second
	// minShare is the least number of places of a service, so that half of it leaves one to items that make progress.
	minShare = 2
)

// Places bounds the items of each service that hold a place. A service may use an equal share of all places, counted
// over the services that use or request places. Items whose last attempt made no progress may use half of the
// share of their service. The zero value has only the least share for each service. Places is safe for concurrent use.
type Places struct {
	total int

	mu       sync.Mutex
	services map[string]*usage
}

// usage is the use of places by a service.
type usage struct {
	used         int
	unproductive int       // of used, held by items without progress
	requestedAt  time.Time // last request of a place
}

// New returns total places. Several services that become active one after the other may use more in all, until the first
// ones have released those beyond their share.
func New(total int) *Places { return &Places{total: total} }

// Place is a place that an item holds. The zero value is no place.
type Place struct {
	places       *Places
	service      string
	unproductive bool
}

// Take returns a place for an item of a service, and whether there is one. unproductive says that the last attempt of the
// item made no progress.
func (p *Places) Take(service string, unproductive bool, now time.Time) (Place, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.services == nil {
		p.services = map[string]*usage{}
	}

	u, ok := p.services[service]
	if !ok {
		u = &usage{}
		p.services[service] = u
	}

	u.requestedAt = now

	share := max(minShare, p.total/p.countServices(now))
	if u.used >= share || unproductive && u.unproductive >= share/2 { //nolint:mnd // half of the share
		return Place{}, false
	}

	u.used++

	if unproductive {
		u.unproductive++
	}

	return Place{places: p, service: service, unproductive: unproductive}, true
}

// countServices returns the number of services that use or request places, and forgets the others.
func (p *Places) countServices(now time.Time) int {
	for k, u := range p.services {
		if u.used == 0 && now.Sub(u.requestedAt) > demandTime {
			delete(p.services, k)
		}
	}

	return len(p.services)
}

// Release gives a place back. It has no effect on the zero value.
func (c *Place) Release() {
	p := c.places
	if p == nil {
		return
	}

	p.mu.Lock()
	defer p.mu.Unlock()

	u := p.services[c.service]
	u.used--

	if c.unproductive {
		u.unproductive--
	}

	*c = Place{}
}
