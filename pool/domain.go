package pool

import "time"

const (
	// unreachableTargets is the number of targets of a failure domain that must be unreachable, without a success in the
	// failure domain in between, for the others there to be ejected as well. One target may just have crashed.
	unreachableTargets = 2
	// unreachableWindow is the time within which these failures have to be observed. Attempts end a few hundred
	// milliseconds after a failure domain is cut off.
	unreachableWindow = time.Second
)

// domainState has the observations of the targets of one failure domain.
type domainState struct {
	unreachable map[string]time.Time // when a target was unreachable, since the last success in the failure domain
}

// observeDomain records the fault of a target for its failure domain. Once the failure domain seems to be cut off, all
// its targets are ejected, so that requests do not find out one by one. The first success ends that for the targets that
// have not failed themselves.
func (p *Pool) observeDomain(v *targetState, f Fault, now time.Time) {
	switch f {
	case NoFault:
		if p.domains[v.target.domain] != nil {
			delete(p.domains, v.target.domain)
			p.restoreDomain(v.target.domain)
		}
	case Unreachable:
		if p.domains == nil {
			p.domains = map[string]*domainState{}
		}

		d := p.domains[v.target.domain]
		if d == nil {
			d = &domainState{unreachable: map[string]time.Time{}}
			p.domains[v.target.domain] = d
		}

		if d.isCutOff(v.target.name, now) {
			p.ejectDomain(v.target.domain, now)
		}
	}
}

// isCutOff records that a target was unreachable, and reports whether enough of them were lately.
func (d *domainState) isCutOff(target string, now time.Time) bool {
	d.unreachable[target] = now

	for n, t := range d.unreachable {
		if now.Sub(t) > unreachableWindow {
			delete(d.unreachable, n)
		}
	}

	return len(d.unreachable) >= unreachableTargets
}

// ejectDomain ejects the targets of a failure domain that are not ejected yet.
func (p *Pool) ejectDomain(domain string, now time.Time) {
	for _, v := range p.targets {
		if v.target.domain == domain && !v.isSuspect() {
			v.ejectedWithDomain = true
			v.pauseUntil(now.Add(minEjectionTime))
		}
	}
}

// restoreDomain makes the targets usable that were ejected because of others in their failure domain.
func (p *Pool) restoreDomain(domain string) {
	for _, v := range p.targets {
		if v.target.domain == domain && v.ejectedWithDomain {
			v.ejectedWithDomain, v.pausedUntil = false, time.Time{}
		}
	}
}
