// Package urgency decides how urgently a request needs a slot of a target, and how long it may wait for one. It takes
// the time as an argument and does no input or output.
package urgency

import "time"

const (
	// startReserveDivisor divides the objective into the share that is reserved for the time from the slot to the first
	// event, which is a few tens of milliseconds on engines whose objective is a few hundred.
	startReserveDivisor = 4
	// minRetryWait is the least bound on the slot wait of a request that was offered to a target before. Such a request
	// may wait beyond its objective.
	minRetryWait = 100 * time.Millisecond
	// maxDefaultWait bounds the slot wait of requests whose route has no objective.
	maxDefaultWait = time.Second
	// maxResumeWait bounds the slot wait of a stream that broke off. Callers close a stream after a pause of 2 s.
	maxResumeWait = 2 * time.Second
	// maxLateWait bounds the slot wait of a request that cannot be on time any more. It uses slots that are left over, and
	// its caller may have no further attempt.
	maxLateWait = 1500 * time.Millisecond
	// MaxRetryAfter bounds the time after which a refused caller is asked to return. A caller that has waited for longer
	// was not only refused: it got no response from a daemon or a connection. It is shorter than callers wait for a
	// connection.
	MaxRetryAfter = 850 * time.Millisecond
	// refusedMargin is added to MaxRetryAfter for the way of the refusal and of the next attempt.
	refusedMargin = 100 * time.Millisecond
)

// Urgency says how urgently a request needs a slot.
type Urgency struct {
	due      time.Time
	maxWait  time.Duration
	runTime  time.Duration
	failFast bool
	late     bool
}

// ForItem returns the urgency of a batch item that is due at due and takes runTime; 0 if that is not known.
func ForItem(due time.Time, runTime time.Duration) Urgency {
	return Urgency{due: due, runTime: runTime}
}

// ForDeadline returns the urgency of a request without an objective.
func ForDeadline(deadline time.Time) Urgency {
	return Urgency{due: deadline, maxWait: maxDefaultWait}
}

// Due returns the time by which the work meets its objective: the end of a batch item, or the first event of an online
// request. Without an objective it is the deadline.
func (u Urgency) Due() time.Time { return u.due }

// MaxWait returns the bound on the wait for a slot. It is 0 for batch items, whose wait the router bounds.
func (u Urgency) MaxWait() time.Duration { return u.maxWait }

// RunTime returns the expected time from the start of the work to its end; 0 if it is not known.
func (u Urgency) RunTime() time.Duration { return u.runTime }

// ShouldFailFast reports whether a request that would have to wait for longer than MaxWait should be rejected at once.
func (u Urgency) ShouldFailFast() bool { return u.failFast }

// IsLate reports whether an online request cannot meet its objective any more. It is served after those that can.
func (u Urgency) IsLate() bool { return u.late }

// Online describes an online request that needs a slot.
type Online struct {
	arrived, deadline time.Time
	objective, waited time.Duration
	offered, emitted  bool
}

// NewOnline returns a request that arrived at this daemon at arrived, with the objective for its first event; 0 if it
// has none.
func NewOnline(arrived, deadline time.Time, objective time.Duration) Online {
	return Online{arrived: arrived, deadline: deadline, objective: objective}
}

// WithWaited returns a copy whose caller had waited for d before it arrived at this daemon.
func (o Online) WithWaited(d time.Duration) Online {
	o.waited = d

	return o
}

// AsOffered returns a copy that was offered to a target before.
func (o Online) AsOffered() Online {
	o.offered = true

	return o
}

// AsEmitted returns a copy of which the caller has received a part of the response.
func (o Online) AsEmitted() Online {
	o.emitted = true

	return o
}

// At returns the urgency of the request at now. A stream that broke off is due at once, ahead of all other requests. A
// request that was not offered to a target yet waits only while it can still meet its objective. The objective of a
// caller that was refused counts from its return, and it is served before those that come for the first time. A caller
// that has waited for longer than a refusal explains is late.
func (o Online) At(now time.Time) Urgency {
	due := o.arrived.Add(o.objective)

	switch {
	case o.emitted:
		return Urgency{due: now, maxWait: maxResumeWait}
	case o.objective == 0:
		return ForDeadline(o.deadline)
	case o.waited > max(o.objective, MaxRetryAfter+refusedMargin):
		wait := min(maxLateWait, o.deadline.Sub(now)-o.objective)

		return Urgency{due: o.deadline, maxWait: max(minRetryWait, wait), failFast: !o.offered, late: true}
	}

	wait := due.Add(-o.objective / startReserveDivisor).Sub(now)
	if o.offered {
		wait = max(minRetryWait, wait)
	}

	return Urgency{due: due.Add(-o.waited), maxWait: wait, failFast: !o.offered}
}
