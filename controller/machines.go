package controller

import "github.com/agategap/agategap/filter"

// TargetsOf returns the targets of a service in all failure domains, also those that are leaving, as one of them may
// have run a request.
func (t *Targets) TargetsOf(service string) []filter.Target {
	var l []filter.Target

	for _, m := range t.VMs() {
		if m.IsTarget() && m.Service() == service {
			l = append(l, filter.NewTarget(m.Name(), m.Address()))
		}
	}

	return l
}
