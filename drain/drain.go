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

// handoverShare is the part of the whole time that the hand-over may take, so that requests in flight keep most.
const handoverShare = 4

// Shutdown is the shutdown of one daemon. It is safe for concurrent use.
type Shutdown struct {
	wait, most time.Duration

	mu      sync.Mutex
	phase   Phase
	started time.Time
	since   time.Time // start of the phase
}

// New returns a shutdown that has not started: the time between not ready and the hand-over, and the bound on the
// whole. The wait is at most half of the bound.
func New(wait, most time.Duration) *Shutdown { return &Shutdown{wait: min(wait, most/2), most: most} }

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
		s.phase, s.started, s.since = Waiting, now, now
	}
}

// Advance moves to the next phase when the present one is over, and returns the phase and the time at which it
// ends at the latest. handedOver and finished say whether the work of HandingOver and Finishing is done.
func (s *Shutdown) Advance(now time.Time, handedOver, finished bool) (Phase, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()

	for s.over(now, handedOver, finished) {
		s.phase++
		s.since = now
	}

	return s.phase, s.end()
}

func (s *Shutdown) over(now time.Time, handedOver, finished bool) bool {
	switch s.phase {
	case Serving, Done:
		return false
	case HandingOver:
		return handedOver || !now.Before(s.end())
	case Finishing:
		return finished || !now.Before(s.end())
	default:
		return !now.Before(s.end())
	}
}

func (s *Shutdown) end() time.Time {
	last := s.started.Add(s.most)

	switch s.phase {
	case Waiting:
		return s.started.Add(s.wait)
	case HandingOver:
		if t := s.since.Add(s.most / handoverShare); t.Before(last) {
			return t
		}

		return last
	default:
		return last
	}
}
