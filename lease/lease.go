// Package lease decides what a holder may do under a lease that may end while the holder is paused, and from when
// another may take it over. Times are readings of one process's monotonic clock and are never compared between
// processes.
package lease

import "time"

// Terms are the times of a lease.
type Terms struct {
	duration time.Duration
	pause    time.Duration
	send     time.Duration
}

// NewTerms returns terms: the time without renewal after which the lease ends; the longest pause that a holder is
// expected to survive, which an observer adds; and the longest time that sending one order may take.
func NewTerms(duration, pause, send time.Duration) Terms {
	return Terms{duration: duration, pause: pause, send: send}
}

// Held is a lease as its holder sees it. The zero value is not held.
type Held struct {
	token int64
	terms Terms
	asked time.Time
	ended bool
}

// Take returns the lease whose record was replayed at offset token and is in force. asked is the time before the
// append was sent: the log may have taken the record at any time after it, so the lease is counted from there.
func Take(token int64, asked time.Time, t Terms) Held {
	return Held{token: token, terms: t, asked: asked}
}

// Token returns the fencing token, which every order to a target carries.
func (h *Held) Token() int64 { return h.token }

// Renew counts the lease again from asked, the time before the confirmed renewal was sent. A renewal that is older
// than the last one, or that comes after the lease was replaced, has no effect.
func (h *Held) Renew(asked time.Time) {
	if asked.After(h.asked) {
		h.asked = asked
	}
}

// Replaced reports that the replay reached a lease record at offset token in its place.
func (h *Held) Replaced(token int64) {
	if token > h.token {
		h.ended = true
	}
}

// Remaining returns the time for which the lease certainly lasts; at most 0 when it may have ended.
func (h *Held) Remaining(now time.Time) time.Duration {
	if h.token == 0 || h.ended {
		return 0
	}

	return h.terms.duration - now.Sub(h.asked)
}

// MaySend reports whether an order that is sent at time now arrives while the lease lasts. It is asked immediately
// before each send, so that a holder that was paused finds out.
func (h *Held) MaySend(now time.Time) bool { return h.Remaining(now) > h.terms.send }

// Watch is a lease as another process sees it. The zero value has seen none.
type Watch struct {
	token    int64
	renewals int
	terms    Terms
	seen     time.Time
}

// Seen reports the lease in force at time now, with the number of its renewals. The count starts again when either
// has changed. A reader learns of a renewal after the holder asked for it, so the watch ends later than the lease.
func (w *Watch) Seen(now time.Time, token int64, renewals int, t Terms) {
	if token != w.token || renewals != w.renewals || w.seen.IsZero() {
		w.token, w.renewals, w.terms, w.seen = token, renewals, t, now
	}
}

// Token returns the fencing token of the lease; a takeover record names it.
func (w *Watch) Token() int64 { return w.token }

// Earliest returns the time from which a takeover may be recorded.
func (w *Watch) Earliest() time.Time { return w.seen.Add(w.terms.duration + w.terms.pause) }

// MayTakeOver reports whether a takeover may be recorded at time now.
func (w *Watch) MayTakeOver(now time.Time) bool { return w.token == 0 || !now.Before(w.Earliest()) }
