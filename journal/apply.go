package journal

import (
	"time"

	"github.com/agategap/agategap/job"
)

// ChangeKind identifies the effect of a replayed record.
type ChangeKind uint8

// The kinds of change. Records that open a job, store its items or mark items as started report no change, and neither
// do records without effect.
const (
	WorkAccepted ChangeKind = iota + 1
	WorkClaimed
	WorkReleased
	WorkEnded
	JobAccepted
	JobLeased
	JobProgressed
	JobCancelled
	JobAmended
)

// Change is one effect of a replayed record on a piece of work or on a job.
type Change struct {
	kind  ChangeKind
	key   Key
	job   string
	shard int
}

// Kind returns what changed.
func (c Change) Kind() ChangeKind { return c.kind }

// Key returns the key of the work that changed; its zero value for a job.
func (c Change) Key() Key { return c.key }

// Job returns the identifier of the job that changed; empty for work.
func (c Change) Job() string { return c.job }

// Shard returns the index of the job shard; it is only set for JobLeased and JobProgressed.
func (c Change) Shard() int { return c.shard }

func (p *Partition) apply(r Record) []Change {
	switch {
	case r.Accept != nil:
		return p.applyAccept(*r.Accept)
	case r.Claim != nil:
		return p.applyClaim(*r.Claim)
	case r.Release != nil:
		return p.applyRelease(*r.Release)
	case r.Complete != nil:
		return p.applyComplete(*r.Complete)
	default:
		return p.applyJob(r)
	}
}

// applyAccept adds work, unless unexpired work has the same key.
func (p *Partition) applyAccept(r AcceptRecord) []Change {
	k := NewKey(r.Account, r.Key)
	if w, ok := p.work[k]; ok && !w.isExpired(p.logTime) {
		return nil
	}

	p.work[k] = &Work{accept: r}

	return []Change{{kind: WorkAccepted, key: k}}
}

// applyClaim puts a claim on work in force. The record has to name the claim that it replaces, or none if none is in
// force. A claim on work that is not idempotent is never replaced.
func (p *Partition) applyClaim(r ClaimRecord) []Change {
	k := NewKey(r.Account, r.Key)

	w, ok := p.work[k]
	if !ok || w.ended || w.claim.ID != r.Replaces || r.ID == "" {
		return nil
	}

	if w.claim.ID != "" && !w.accept.Idempotent {
		return nil
	}

	w.claimReplaced = w.claimReplaced || w.claim.ID != ""
	w.claim, w.claimedAt = r, p.logTime

	return []Change{{kind: WorkClaimed, key: k}}
}

// applyRelease ends a claim and removes its work, which was not run. Asynchronous work stays accepted, as any daemon
// may run it, and so does work that the holder of a replaced claim may have sent to a target.
func (p *Partition) applyRelease(r ReleaseRecord) []Change {
	k := NewKey(r.Account, r.Key)

	w, ok := p.work[k]
	if !ok || w.ended || r.Claim == "" || w.claim.ID != r.Claim {
		return nil
	}

	if w.accept.Async || w.claimReplaced {
		w.claim, w.claimedAt = ClaimRecord{}, time.Time{}
	} else {
		delete(p.work, k)
	}

	return []Change{{kind: WorkReleased, key: k}}
}

// applyComplete ends work with the first completion by its claim. For idempotent work the claim may also be a replaced
// one.
func (p *Partition) applyComplete(r CompleteRecord) []Change {
	k := NewKey(r.Account, r.Key)

	w, ok := p.work[k]
	if !ok || w.ended || r.Effect < Done || r.Effect > Unknown {
		return nil
	}

	if claimed := w.claim.ID != "" || w.claimReplaced; !claimed || w.claim.ID != r.Claim && !w.accept.Idempotent {
		return nil
	}

	w.complete(r, p.logTime)
	p.expiries.add(k, w.expiry())

	return []Change{{kind: WorkEnded, key: k}}
}

// complete sets the completion of w and frees the request body, which is no longer needed.
func (w *Work) complete(r CompleteRecord, at time.Time) {
	w.result, w.ended, w.endedAt = r, true, at
	w.accept.Body = nil
}

func (p *Partition) applyJob(r Record) []Change {
	switch {
	case r.Open != nil:
		p.applyOpen(*r.Open)

		return nil
	case r.Items != nil:
		if j := p.jobs[r.Items.Job]; j != nil {
			j.ApplyItems(*r.Items)
		}

		return nil
	case r.Submit != nil:
		j := p.jobs[r.Submit.Job]

		return changeIf(j != nil && j.ApplySubmit(*r.Submit, p.logTime), Change{kind: JobAccepted, job: r.Submit.Job})
	case r.Lease != nil:
		j := p.jobs[r.Lease.Job]

		return changeIf(j != nil && j.ApplyLease(*r.Lease, p.offset), Change{kind: JobLeased, job: r.Lease.Job, shard: r.Lease.Shard})
	case r.Start != nil:
		if j := p.jobs[r.Start.Job]; j != nil {
			j.ApplyStart(*r.Start)
		}

		return nil
	case r.Progress != nil:
		j := p.jobs[r.Progress.Job]

		return changeIf(j != nil && j.ApplyProgress(*r.Progress, p.logTime) > 0, Change{kind: JobProgressed, job: r.Progress.Job, shard: r.Progress.Shard})
	case r.Cancel != nil:
		j := p.jobs[r.Cancel.Job]

		return changeIf(j != nil && j.ApplyCancel(*r.Cancel, p.logTime), Change{kind: JobCancelled, job: r.Cancel.Job})
	case r.Amend != nil:
		j := p.jobs[r.Amend.Job]

		return changeIf(j != nil && j.ApplyAmend(*r.Amend), Change{kind: JobAmended, job: r.Amend.Job})
	default:
		return nil
	}
}

// applyOpen adds a job, unless an unexpired job has the same identifier or the number of items is out of range.
func (p *Partition) applyOpen(o job.OpenRecord) {
	if j, ok := p.jobs[o.Job]; ok && !j.IsExpired(p.logTime) || o.Items < 0 || o.Items > MaxJobItems {
		return
	}

	p.jobs[o.Job] = job.NewAt(o, p.logTime)
}

// MaxJobItems is the largest number of items of one job. An OpenRecord with more has no effect.
const MaxJobItems = 150_000

func changeIf(ok bool, c Change) []Change {
	if !ok {
		return nil
	}

	return []Change{c}
}
