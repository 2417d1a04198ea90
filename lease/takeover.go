package lease

import "time"

// Step is what a new holder has to do next with a target.
type Step uint8

const (
	// Wait means that the old holder may still send requests.
	Wait Step = iota + 1
	// ReadState means that the state of the target must be read before the first request.
	ReadState
	// Send means that requests may be sent.
	Send
)

// Takeover tracks the steps that a new holder has to take for one target after it has taken a lease over from another
// holder.
type Takeover struct {
	enforcesFencing bool
	waitUntil       time.Time
	stateRead       bool // the state of the target was read after waitUntil
}

// NewTakeover returns the takeover of a target from the holder of the observed lease. enforcesFencing says that the
// target rejects requests with an outdated fencing token. For other targets the new holder waits until the duration of
// the old lease and the maximum pause of its holder have passed, and then reads the state of the target.
func NewTakeover(old Observer, enforcesFencing bool) Takeover {
	return Takeover{enforcesFencing: enforcesFencing, waitUntil: old.EarliestTakeover()}
}

// Next returns the next step at time now and, for Wait, the time until which to wait.
func (t *Takeover) Next(now time.Time) (Step, time.Time) {
	switch {
	case t.enforcesFencing:
		return Send, time.Time{}
	case now.Before(t.waitUntil):
		return Wait, t.waitUntil
	case !t.stateRead:
		return ReadState, time.Time{}
	default:
		return Send, time.Time{}
	}
}

// MarkRead is called when the state of the target was read at time now. A read while the old holder may still send
// requests does not count.
func (t *Takeover) MarkRead(now time.Time) {
	t.stateRead = t.stateRead || !now.Before(t.waitUntil)
}

// CanSend reports whether a request may be sent at time now under lease l. A target that ignores fencing tokens gets
// only idempotent requests, as a request of the old holder may still be on its way.
func (t *Takeover) CanSend(now time.Time, l *Lease, idempotent bool) bool {
	s, _ := t.Next(now)

	return s == Send && l.CanSend(now) && (t.enforcesFencing || idempotent)
}
