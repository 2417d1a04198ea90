package journal

import "time"

// NewWork returns the state of work that another follower of the partition reported.
func NewWork(a AcceptRecord, c ClaimRecord, claimedAt time.Time, r CompleteRecord, ended bool) Work {
	return Work{accept: a, claim: c, claimedAt: claimedAt, result: r, ended: ended}
}

// ClaimRecord returns the claim in force; its zero value for none.
func (w Work) ClaimRecord() ClaimRecord { return w.claim }

// WorkStep says what the writer of a partition does with work that nobody may be running.
type WorkStep uint8

const (
	// NoStep means that the work has ended, or that its holder still has time.
	NoStep WorkStep = iota
	// Run means that the work is claimed and dispatched for the first time.
	Run
	// Rerun means that the claim is replaced and the work is dispatched again.
	Rerun
	// Resolve means that the work may have been dispatched and must not be again: it is looked up or ends as unknown.
	Resolve
)

// NextStep returns what to do at time now. gone says that the claim's holder is not among the daemons any more. spare
// is the time that a holder gets after the deadline, and after the claim plus the service's own deadline, as
// work that was taken over late is given its time anew.
func (w Work) NextStep(now time.Time, gone bool, perClaim, spare time.Duration) WorkStep {
	if w.ended {
		return NoStep
	}

	again := w.accept.Idempotent && (w.accept.Async || len(w.accept.Body) > 0)

	if w.claim.ID == "" {
		return w.nextUnclaimedStep(again)
	}

	end := time.UnixMilli(w.accept.DeadlineMS)
	if c := w.claimedAt.Add(perClaim); c.After(end) {
		end = c
	}

	if !gone && now.Before(end.Add(spare)) {
		return NoStep
	}

	if again {
		return Rerun
	}

	return Resolve
}

// nextUnclaimedStep returns what to do with accepted work without a claim. Work whose claim was replaced before the last one
// was given back stays accepted, and any daemon may run it, as only work that may run again has its claim replaced.
func (w Work) nextUnclaimedStep(again bool) WorkStep {
	switch {
	case again && w.claimReplaced, w.accept.Async:
		return Run
	case w.claimReplaced:
		return Resolve
	default:
		return NoStep
	}
}
