package journal

import "time"

// NewWork returns the state of work that another follower of its partition has reported. The state does not say whether
// an earlier claim was replaced.
func NewWork(a AcceptRecord, c ClaimRecord, claimedAt time.Time, r CompleteRecord, ended bool) Work {
	return Work{accept: a, claim: c, claimedAt: claimedAt, result: r, ended: ended}
}

// ClaimRecord returns the claim in force; its zero value if there is none.
func (w Work) ClaimRecord() ClaimRecord { return w.claim }

// WorkStep is what the writer of a partition does next with accepted work that possibly no daemon runs.
type WorkStep uint8

const (
	// NoStep means that there is nothing to do: the work has ended, its holder still has time to end it, or it is a
	// synchronous request without a claim, which is left to its caller.
	NoStep WorkStep = iota
	// Run means that the work has no claim and is claimed and dispatched.
	Run
	// Rerun means that the claim is replaced and the work is dispatched again.
	Rerun
	// Resolve means that the work may have been dispatched and must not be dispatched again. Its effect is looked up at
	// the targets; if they do not know it, the work ends as Unknown.
	Resolve
)

// NextStep returns what to do with the work at time now. holderRemoved says that the holder of the claim is no longer
// one of the daemons. Otherwise the holder keeps its claim until gracePeriod after the deadline of the work, or until
// gracePeriod after the claim plus runTime if that is later, so that work that is claimed late gets its full run time.
// runTime is the timeout of the service.
func (w Work) NextStep(now time.Time, holderRemoved bool, runTime, gracePeriod time.Duration) WorkStep {
	if w.ended {
		return NoStep
	}

	canRerun := w.accept.Idempotent && (w.accept.Async || len(w.accept.Body) > 0)

	if w.claim.ID == "" {
		return w.nextUnclaimedStep(canRerun)
	}

	deadline := time.UnixMilli(w.accept.DeadlineMS)
	if c := w.claimedAt.Add(runTime); c.After(deadline) {
		deadline = c
	}

	if !holderRemoved && now.Before(deadline.Add(gracePeriod)) {
		return NoStep
	}

	if canRerun {
		return Rerun
	}

	return Resolve
}

// nextUnclaimedStep returns what to do with accepted work without a claim. Synchronous work stays accepted after a
// release only if an earlier claim was replaced. Any daemon may then run it, as only the claims of idempotent work are
// replaced, or resolves it if its body was not recorded.
func (w Work) nextUnclaimedStep(canRerun bool) WorkStep {
	switch {
	case canRerun && w.claimReplaced, w.accept.Async:
		return Run
	case w.claimReplaced:
		return Resolve
	default:
		return NoStep
	}
}
