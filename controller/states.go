package controller

import (
	"context"
	"sync"
	"time"
)

// LeavingChecker asks a target whether it is leaving.
type LeavingChecker interface {
	IsLeaving(ctx context.Context, address string) (bool, error)
}

// LeavingMarker says which keys are this daemon's, and takes the word of targets that are leaving.
type LeavingMarker interface {
	IsFirstRanked(key string) bool
	IsTargetLeaving(vm, address string) bool
	MarkTargetLeaving(vm, address string)
}

const (
	// leavingCheckInterval is the time between two questions to a target. With about two targets per daemon it costs
	// some 300 bytes a second.
	leavingCheckInterval = 2 * time.Second
	leavingCheckTimeout  = time.Second
)

// LeavingMonitor asks the engines that this daemon owns whether they are leaving. What it learns passes to the others by
// gossip, so one daemon per target asks.
type LeavingMonitor struct {
	targets *Targets
	checker   LeavingChecker
	marker   LeavingMarker
	domain  string
}

// NewLeavingMonitor returns the controller of a failure domain.
func NewLeavingMonitor(t *Targets, s LeavingChecker, o LeavingMarker, domain string) *LeavingMonitor {
	return &LeavingMonitor{targets: t, checker: s, marker: o, domain: domain}
}

// Run asks until ctx ends.
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
			// No answer says nothing.
			if l, err := s.checker.IsLeaving(x, m.Address()); err == nil && l {
				s.marker.MarkTargetLeaving(m.Name(), m.Address())
			}
		})
	}

	g.Wait()
}
