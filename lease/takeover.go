package lease

import "time"

// Step is what a new holder does next with a target.
type Step uint8

const (
	// Wait means that the old holder may still send orders.
	Wait Step = iota + 1
	// ReadState means that the target's state must be read before the first order.
	ReadState
	// Send means that orders may be sent.
	Send
)

// Takeover is a new holder's way with one target after it took a lease over from another holder.
type Takeover struct {
	enforcesFencing bool
	waitUntil  time.Time
	stateRead   bool
}

// NewTakeover returns the takeover of a target from the holder of old. fences says that the target refuses orders
// with an old fencing token; for others the new holder waits until the old lease and the pause bound have passed.
func NewTakeover(old Observer, fences bool) Takeover {
	return Takeover{enforcesFencing: fences, waitUntil: old.EarliestTakeover()}
}

// Next returns the next step at time now, and for Wait the time of the step after it.
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

// MarkRead reports that the target's state was read at time now. A read while the old holder may still send orders
// does not count.
func (t *Takeover) MarkRead(now time.Time) {
	t.stateRead = t.stateRead || !now.Before(t.waitUntil)
}

// CanSend reports whether an order may be sent at time now under h. A target that ignores fencing tokens gets only
// orders that are safe to repeat, as an order of the old holder may still be on its way.
func (t *Takeover) CanSend(now time.Time, h *Lease, repeatable bool) bool {
	s, _ := t.Next(now)

	return s == Send && h.CanSend(now) && (t.enforcesFencing || repeatable)
}
