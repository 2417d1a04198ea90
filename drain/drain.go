// Package drain decides the phases of a graceful shutdown of a daemon. It takes the time as an argument and does no
// input or output.
package drain

import (
	"sync"
	"time"
)

// Phase is a phase of a daemon's operation and shutdown. Phases only advance.
type Phase uint8

const (
	// Serving means that no shutdown was requested.
	Serving Phase = iota
	// Waiting means that the daemon reports not ready but serves requests that still arrive, until the load balancer has
	// noticed.
	Waiting
	// HandingOver means that the daemon hands owned targets and leases over to other daemons while it serves requests.
	HandingOver
	// Finishing means that the daemon accepts no new requests and finishes those in flight.
	Finishing
	// Done means that the process may exit.
	Done
)

// String returns the name of the phase in snake case.
func (p Phase) String() string {
	return [...]string{"serving", "waiting", "handing_over", "finishing", "done"}[min(p, Done)]
}

// handoverDivisor limits the handover to a quarter of the timeout of the shutdown, so that most of it is left for
// requests in flight.
const handoverDivisor = 4

// Shutdown is the shutdown of one daemon. It is safe for concurrent use.
type Shutdown struct {
	notReadyDelay, timeout time.Duration

	mu         sync.Mutex
	phase      Phase
	startedAt  time.Time
	phaseStartedAt time.Time // start of the current phase
}

// New returns a shutdown that has not started. notReadyDelay is the time from not ready to the handover, and is cut to
// half of timeout, which bounds the whole shutdown.
func New(notReadyDelay, timeout time.Duration) *Shutdown {
	return &Shutdown{notReadyDelay: min(notReadyDelay, timeout/2), timeout: timeout}
}

// Phase returns the current phase.
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
		s.phase, s.startedAt, s.phaseStartedAt = Waiting, now, now
	}
}

// Advance moves on while the current phase is over, and returns the current phase and the time at which it ends at the
// latest. handedOver and finished say whether the work of HandingOver and Finishing is done.
func (s *Shutdown) Advance(now time.Time, handedOver, finished bool) (Phase, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()

	for s.isPhaseOver(now, handedOver, finished) {
		s.phase++
		s.phaseStartedAt = now
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
		if t := s.phaseStartedAt.Add(s.timeout / handoverDivisor); t.Before(last) {
			return t
		}

		return last
	default:
		return last
	}
}
