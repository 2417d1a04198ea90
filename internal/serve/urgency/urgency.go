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
	// MaxRetryAfter bounds the time after which a refused caller is asked to return. It is long because a caller that
	// returns during the overload takes the slot of a new one, which then has to return as well.
	MaxRetryAfter = 1600 * time.Millisecond
	// maxShareOfPatience bounds the same time as a share of the time that the caller has left. Callers wait for up to a
	// third of it.
	maxShareOfPatience = 0.32
	// refusedMargin is added to MaxRetryAfter for the way of the refusal and of the next attempt.
	refusedMargin = 150 * time.Millisecond
	// retryAfterSpread is the random part of the time after which a refused caller returns. It keeps callers that are
	// refused together from returning together.
	retryAfterSpread = 0.25
	// admissionShare is the share of the bound on the slot wait from which on a new request is refused at once if it is
	// expected to wait that long. The expected wait is an estimate; close to the bound, many requests would wait and be
	// refused after all, or be late by a little.
	admissionShare = 0.67
	// restartPeriod is the time after the start of a daemon in which callers that have waited had lost their daemon. In
	// that time, no caller returns that was refused, if all daemons started together.
	restartPeriod = 2 * time.Second
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

// AdmissibleWait returns the expected wait above which a request is refused at once; 0 if it never is.
func (u Urgency) AdmissibleWait() time.Duration {
	switch {
	case !u.failFast:
		return 0
	case u.late:
		return u.maxWait
	default:
		return max(1, time.Duration(admissionShare*float64(u.maxWait)))
	}
}

// RetryAfter returns when a refused caller should return that has left to wait. x is random and uniform between 0 and 1.
func RetryAfter(left time.Duration, x float64) time.Duration {
	d := min(MaxRetryAfter, time.Duration(maxShareOfPatience*float64(max(0, left))))

	return d - time.Duration(x*retryAfterSpread*float64(d))
}

// Online describes an online request that needs a slot.
type Online struct {
	arrived, deadline time.Time
	objective, waited time.Duration
	daemonAge         time.Duration // time since the start of the daemon; 0 if it does not matter
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

// WithDaemonAge returns a copy that arrived at a daemon which had been running for d.
func (o Online) WithDaemonAge(d time.Duration) Online {
	o.daemonAge = d

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
// that has waited for longer than a refusal explains, or came back right after a restart, is late.
func (o Online) At(now time.Time) Urgency {
	due := o.arrived.Add(o.objective)

	switch {
	case o.emitted:
		return Urgency{due: now, maxWait: maxResumeWait}
	case o.objective == 0:
		return ForDeadline(o.deadline)
	case o.isLate():
		wait := min(maxLateWait, o.deadline.Sub(now)-o.objective)

		return Urgency{due: o.deadline, maxWait: max(minRetryWait, wait), failFast: !o.offered, late: true}
	}

	wait := due.Add(-o.objective / startReserveDivisor).Sub(now)
	if o.offered {
		wait = max(minRetryWait, wait)
	}

	return Urgency{due: due.Add(-o.waited), maxWait: wait, failFast: !o.offered}
}

func (o Online) isLate() bool {
	if o.waited <= o.objective {
		return false
	}

	return o.waited > MaxRetryAfter+refusedMargin || o.daemonAge > 0 && o.daemonAge < restartPeriod
}
