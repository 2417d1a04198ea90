// Package drain decides the phases of a graceful shutdown of a daemon. It takes the time as an argument and does no
// input or output.
package drain

import (
	"sync"
	"time"
)

// Phase is a phase of a daemon, from serving to the end of its shutdown. Phases only advance, in the order of the
// constants.
type Phase uint8

const (
	// Serving means that no shutdown was requested.
	Serving Phase = iota
	// Waiting means that the daemon reports not ready but serves requests that still arrive, until the load balancer has
	// noticed.
	Waiting
	// HandingOver means that the daemon hands the targets that it owns and its leases over to other daemons, while it
	// still serves requests.
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

// handoverDivisor limits the handover to a quarter of the timeout of the shutdown, so that most of the time is left for
// requests in flight.
const handoverDivisor = 4

// Shutdown is the shutdown of one daemon. It is safe for concurrent use.
type Shutdown struct {
	notReadyDelay, timeout time.Duration

	mu             sync.Mutex
	phase          Phase
	startedAt      time.Time
	phaseStartedAt time.Time
}

// New returns a shutdown that has not started. notReadyDelay is the length of the phase Waiting, and is cut to half of
// timeout. timeout bounds the whole shutdown.
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

// Advance moves on while the current phase is over, and returns the phase reached and the time at which it ends at the
// latest. handedOver and finished say whether the work of HandingOver and Finishing is done. The time has no meaning
// for Serving.
func (s *Shutdown) Advance(now time.Time, handedOver, finished bool) (Phase, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()

	for s.isPhaseOver(now, handedOver, finished) {
		s.phase++
		s.phaseStartedAt = now
	}

	return s.phase, s.phaseDeadline()
}

// responseTime is the time at the end of a shutdown for the responses to requests that are still in flight.
const responseTime = 250 * time.Millisecond

// Admits reports whether a request that has to end by deadline may start. Once the load balancer had time to notice the
// shutdown, only requests that end before it are admitted, as they would be cut off otherwise.
func (s *Shutdown) Admits(deadline time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.phase <= Waiting || !deadline.After(s.lastRequestEnd())
}

// LastRequestEnd returns the time at which requests that are still in flight are cancelled, so that they get a response
// before the end of the shutdown. It has no meaning before the shutdown has started.
func (s *Shutdown) LastRequestEnd() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.lastRequestEnd()
}

func (s *Shutdown) lastRequestEnd() time.Time {
	return s.startedAt.Add(s.timeout - min(responseTime, s.timeout/2)) //nolint:mnd // half of a short shutdown
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

// phaseDeadline returns the time at which the current phase ends at the latest.
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
