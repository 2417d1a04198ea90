// Package drain decides the phases of a graceful shutdown. It takes the time as an argument.
package drain

import (
	"sync"
	"time"
)

// Phase is a part of the life of a daemon. Phases only advance.
type Phase uint8

const (
	// Serving means that no shutdown was asked for.
	Serving Phase = iota
	// Waiting means not ready, but serving what still arrives, until the balancer has noticed.
	Waiting
	// HandingOver means that owned targets and leases go to other daemons, while requests are served.
	HandingOver
	// Finishing means that nothing new is accepted and requests in flight are finished.
	Finishing
	// Done means that the process may exit.
	Done
)

// String returns the name of the phase in snake case.
func (p Phase) String() string {
	return [...]string{"serving", "waiting", "handing_over", "finishing", "done"}[min(p, Done)]
}

// handoverDivisor is the part of the whole time that the hand-over may take, so that requests in flight keep most.
const handoverDivisor = 4

// Shutdown is the shutdown of one daemon. It is safe for concurrent use.
type Shutdown struct {
	notReadyDelay, timeout time.Duration

	mu      sync.Mutex
	phase   Phase
	startedAt time.Time
	phaseStart   time.Time // start of the phase
}

// New returns a shutdown that has not started: the time between not ready and the hand-over, and the bound on the
// whole. The wait is at most half of the bound.
func New(wait, most time.Duration) *Shutdown { return &Shutdown{notReadyDelay: min(wait, most/2), timeout: most} }

// Phase returns the phase.
func (s *Shutdown) Phase() Phase {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.phase
}

// Start begins the shutdown. A second call has no effect.
func (s *Shutdown) Start(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.phase == Serving {
		s.phase, s.startedAt, s.phaseStart = Waiting, now, now
	}
}

// Advance moves to the next phase when the present one is over, and returns the phase and the time at which it
// ends at the latest. handedOver and finished say whether the work of HandingOver and Finishing is done.
func (s *Shutdown) Advance(now time.Time, handedOver, finished bool) (Phase, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()

	for s.isPhaseOver(now, handedOver, finished) {
		s.phase++
		s.phaseStart = now
	}

	return s.phase, s.phaseDeadline()
}

func (s *Shutdown) isPhaseOver(now time.Time, handedOver, finished bool) bool {
	switch s.phase {
	case Serving, Done:
		return false
	case HandingOver:
		return handedOver || !now.Before(s.phaseDeadline())
	case Finishing:
		return finished || !now.Before(s.phaseDeadline())
	default:
		return !now.Before(s.phaseDeadline())
	}
}

func (s *Shutdown) phaseDeadline() time.Time {
	last := s.startedAt.Add(s.timeout)

	switch s.phase {
	case Waiting:
		return s.startedAt.Add(s.notReadyDelay)
	case HandingOver:
		if t := s.phaseStart.Add(s.timeout / handoverDivisor); t.Before(last) {
			return t
		}

		return last
	default:
		return last
	}
}
