// Package lease decides until when the holder of a lease may send requests to targets, even if its process is paused
// while the lease expires, and from when another process may take the lease over. All times are readings of the
// monotonic clock of one process; they are never compared between processes.
package lease

import "time"

// Terms has the durations on which the holder and the observers of a lease agree.
type Terms struct {
	duration    time.Duration
	maxPause    time.Duration
	maxSendTime time.Duration
}

// NewTerms returns the terms of a lease that ends after duration without a renewal. maxPause is the longest pause that
// the process of a holder is expected to survive. Observers add it to the duration, as the holder may be paused between
// the check of its lease and its send. maxSendTime is the longest time that sending one request may take.
func NewTerms(duration, maxPause, maxSendTime time.Duration) Terms {
	return Terms{duration: duration, maxPause: maxPause, maxSendTime: maxSendTime}
}

// Lease is a lease as its holder sees it. The zero value is not held.
type Lease struct {
	token       int64
	terms       Terms
	requestedAt time.Time
	replaced    bool
}

// New returns the lease whose record was replayed at offset token and is in force. requestedAt is a time before the
// append of the record was sent. The lease starts there, as the log may have accepted the record at any time after it.
func New(token int64, requestedAt time.Time, t Terms) Lease {
	return Lease{token: token, terms: t, requestedAt: requestedAt}
}

// Token returns the fencing token, which every request to a target carries.
func (l *Lease) Token() int64 { return l.token }

// Renew restarts the lease at requestedAt, a time before the confirmed renewal was sent. A renewal that is older than
// the last one, or that comes after the lease was replaced, has no effect.
func (l *Lease) Renew(requestedAt time.Time) {
	if requestedAt.After(l.requestedAt) {
		l.requestedAt = requestedAt
	}
}

// HandleReplacement is called when the replay has reached a lease record at offset token that replaces this lease.
func (l *Lease) HandleReplacement(token int64) {
	if token > l.token {
		l.replaced = true
	}
}

// Remaining returns the time for which the lease is certain to last; 0 or less if it may have ended or was replaced.
func (l *Lease) Remaining(now time.Time) time.Duration {
	if l.token == 0 || l.replaced {
		return 0
	}

	return l.terms.duration - now.Sub(l.requestedAt)
}

// CanSend reports whether a request that is sent at time now arrives before the lease ends. It must be called right
// before each send, so that a holder that was paused notices that its lease may have ended.
func (l *Lease) CanSend(now time.Time) bool { return l.Remaining(now) > l.terms.maxSendTime }

// Observer measures from when the lease of another process may be taken over. The zero value has observed no lease.
type Observer struct {
	token     int64
	renewals  int
	terms     Terms
	changedAt time.Time
}

// Observe is called with the lease that is in force at time now and the number of its renewals. If either has changed,
// the observed duration starts again at now. It ends after the holder's own lease, as an observer learns of a renewal
// after the holder has requested it.
func (o *Observer) Observe(now time.Time, token int64, renewals int, t Terms) {
	if token != o.token || renewals != o.renewals || o.changedAt.IsZero() {
		o.token, o.renewals, o.terms, o.changedAt = token, renewals, t, now
	}
}

// Token returns the fencing token of the observed lease, which a takeover record refers to.
func (o *Observer) Token() int64 { return o.token }

// EarliestTakeover returns the time from which a takeover may be recorded.
func (o *Observer) EarliestTakeover() time.Time {
	return o.changedAt.Add(o.terms.duration + o.terms.maxPause)
}

// CanTakeOver reports whether a takeover may be recorded at time now. If no lease was observed, it always may.
func (o *Observer) CanTakeOver(now time.Time) bool {
	return o.token == 0 || !now.Before(o.EarliestTakeover())
}
