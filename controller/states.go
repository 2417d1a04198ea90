package controller

import (
	"context"
	"sync"
	"time"
)

// TargetState asks a target whether it is leaving.
type TargetState interface {
	IsLeaving(ctx context.Context, address string) (bool, error)
}

// Owner says which keys are this daemon's, and takes the word of targets that are leaving.
type Owner interface {
	Owns(key string) bool
	Departing(vm, address string) bool
	Depart(vm, address string)
}

const (
	// stateInterval is the time between two questions to a target. With about two targets per daemon it costs
	// some 300 bytes a second.
	stateInterval = 2 * time.Second
	stateTimeout  = time.Second
)

// States asks the engines that this daemon owns whether they are leaving. What it learns passes to the others by
// gossip, so one daemon per target asks.
type States struct {
	targets *Targets
	state   TargetState
	owner   Owner
	domain  string
}

// NewStates returns the controller of a failure domain.
func NewStates(t *Targets, s TargetState, o Owner, domain string) *States {
	return &States{targets: t, state: s, owner: o, domain: domain}
}

// Run asks until ctx ends.
func (s *States) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		s.ask(ctx)
		sleep(ctx, stateInterval)
	}

	return nil
}

func (s *States) ask(ctx context.Context) {
	x, stop := context.WithTimeout(ctx, stateTimeout)
	defer stop()

	var g sync.WaitGroup

	for _, m := range s.targets.Machines() {
		if !m.Target() || m.Plain() || m.Domain() != s.domain || !s.owner.Owns(m.Name()) || s.owner.Departing(m.Name(), m.Address()) {
			continue
		}

		g.Go(func() {
			// No answer says nothing.
			if l, err := s.state.IsLeaving(x, m.Address()); err == nil && l {
				s.owner.Depart(m.Name(), m.Address())
			}
		})
	}

	g.Wait()
}
