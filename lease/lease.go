// Package lease decides what a holder may do under a lease that may end while the holder is paused, and from when
// another may take it over. Times are readings of one process's monotonic clock and are never compared between
// processes.
package lease

import "time"

// Terms are the times of a lease.
type Terms struct {
	duration time.Duration
	maxPause    time.Duration
	maxSendTime     time.Duration
}

// NewTerms returns terms: the time without renewal after which the lease ends; the longest pause that a holder is
// expected to survive, which an observer adds; and the longest time that sending one order may take.
func NewTerms(duration, pause, send time.Duration) Terms {
	return Terms{duration: duration, maxPause: pause, maxSendTime: send}
}

// Lease is a lease as its holder sees it. The zero value is not held.
type Lease struct {
	token int64
	terms Terms
	requestedAt time.Time
	replaced bool
}

// New returns the lease whose record was replayed at offset token and is in force. asked is the time before the
// append was sent: the log may have taken the record at any time after it, so the lease is counted from there.
func New(token int64, asked time.Time, t Terms) Lease {
	return Lease{token: token, terms: t, requestedAt: asked}
}

// Token returns the fencing token, which every order to a target carries.
func (h *Lease) Token() int64 { return h.token }

// Renew counts the lease again from asked, the time before the confirmed renewal was sent. A renewal that is older
// than the last one, or that comes after the lease was replaced, has no effect.
func (h *Lease) Renew(asked time.Time) {
	if asked.After(h.requestedAt) {
		h.requestedAt = asked
	}
}

// HandleReplacement reports that the replay reached a lease record at offset token in its place.
func (h *Lease) HandleReplacement(token int64) {
	if token > h.token {
		h.replaced = true
	}
}

// Remaining returns the time for which the lease certainly lasts; at most 0 when it may have ended.
func (h *Lease) Remaining(now time.Time) time.Duration {
	if h.token == 0 || h.replaced {
		return 0
	}

	return h.terms.duration - now.Sub(h.requestedAt)
}

// CanSend reports whether an order that is sent at time now arrives while the lease lasts. It is asked immediately
// before each send, so that a holder that was paused finds out.
func (h *Lease) CanSend(now time.Time) bool { return h.Remaining(now) > h.terms.maxSendTime }

// Observer is a lease as another process sees it. The zero value has seen none.
type Observer struct {
	token    int64
	renewals int
	terms    Terms
	changedAt     time.Time
}

// Observe reports the lease in force at time now, with the number of its renewals. The count starts again when either
// has changed. A reader learns of a renewal after the holder asked for it, so the watch ends later than the lease.
func (w *Observer) Observe(now time.Time, token int64, renewals int, t Terms) {
	if token != w.token || renewals != w.renewals || w.changedAt.IsZero() {
		w.token, w.renewals, w.terms, w.changedAt = token, renewals, t, now
	}
}

// Token returns the fencing token of the lease; a takeover record names it.
func (w *Observer) Token() int64 { return w.token }

// EarliestTakeover returns the time from which a takeover may be recorded.
func (w *Observer) EarliestTakeover() time.Time { return w.changedAt.Add(w.terms.duration + w.terms.maxPause) }

// CanTakeOver reports whether a takeover may be recorded at time now.
func (w *Observer) CanTakeOver(now time.Time) bool { return w.token == 0 || !now.Before(w.EarliestTakeover()) }
