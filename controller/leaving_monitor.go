package controller

import (
	"context"
	"sync"
	"time"
)

// LeavingChecker asks the target at an address whether it is leaving.
type LeavingChecker interface {
	IsLeaving(ctx context.Context, address string) (bool, error)
}

// LeavingMarker selects the daemon that checks a target, and records targets that are leaving.
type LeavingMarker interface {
	// IsFirstRanked reports whether this daemon is first-ranked for a key in its failure domain.
	IsFirstRanked(key string) bool
	IsTargetLeaving(vm, address string) bool
	MarkTargetLeaving(vm, address string)
}

const (
	// leavingCheckInterval is the period at which a target is checked. With about two targets per daemon the checks
	// take some 300 bytes a second.
	leavingCheckInterval = 2 * time.Second
	leavingCheckTimeout  = time.Second
)

// LeavingMonitor checks whether the engines of this failure domain are leaving. Only the daemon that is first-ranked
// for an engine checks it; the others learn the result by gossip. Plain services are not checked, as they would take
// the check for a call.
type LeavingMonitor struct {
	targets *Targets
	checker LeavingChecker
	marker  LeavingMarker
	domain  string
}

// NewLeavingMonitor returns a monitor of the engines of a failure domain. It checks those in the list of t.
func NewLeavingMonitor(t *Targets, s LeavingChecker, o LeavingMarker, domain string) *LeavingMonitor {
	return &LeavingMonitor{targets: t, checker: s, marker: o, domain: domain}
}

// Run checks the targets until ctx ends.
func (s *LeavingMonitor) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		s.checkTargets(ctx)
		sleep(ctx, leavingCheckInterval)
	}

	return nil
}

func (s *LeavingMonitor) checkTargets(ctx context.Context) {
	x, stop := context.WithTimeout(ctx, leavingCheckTimeout)
	defer stop()

	var g sync.WaitGroup

	for _, m := range s.targets.VMs() {
		if !m.IsTarget() || m.IsPlain() || m.Domain() != s.domain || !s.marker.IsFirstRanked(m.Name()) || s.marker.IsTargetLeaving(m.Name(), m.Address()) {
			continue
		}

		g.Go(func() {
			// A failed check does not show whether the target is leaving.
			if l, err := s.checker.IsLeaving(x, m.Address()); err == nil && l {
				s.marker.MarkTargetLeaving(m.Name(), m.Address())
			}
		})
	}

	g.Wait()
}
