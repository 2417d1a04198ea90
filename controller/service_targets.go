package controller

import "github.com/agategap/agategap/filter"

// TargetsOf returns the targets of a service in all failure domains, for the lookup of requests. Leaving targets are
// included, as one of them may have run the request.
func (t *Targets) TargetsOf(service string) []filter.Target {
	var l []filter.Target

	for _, m := range t.VMs() {
		if m.IsTarget() && m.Service() == service {
			l = append(l, filter.NewTarget(m.Name(), m.Address()))
		}
	}

	return l
}
