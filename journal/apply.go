package journal

import (
	"time"

	"github.com/agategap/agategap/job"
)

// ChangeKind says what a record changed.
type ChangeKind uint8

// Kinds of change.
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

// Change is one effect of a replayed record.
type Change struct {
	kind  ChangeKind
	key   Key
	job   string
	shard int
}

// Kind returns what changed.
func (c Change) Kind() ChangeKind { return c.kind }

// Key returns the work that changed.
func (c Change) Key() Key { return c.key }

// Job returns the identifier of the job that changed.
func (c Change) Job() string { return c.job }

// Shard returns the shard of a JobLeased or JobProgressed.
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

func (p *Partition) applyAccept(r AcceptRecord) []Change {
	k := NewKey(r.Account, r.Key)
	if w, ok := p.work[k]; ok && !w.isExpired(p.logTime) {
		return nil
	}

	p.work[k] = &Work{accept: r}

	return []Change{{kind: WorkAccepted, key: k}}
}

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

// applyRelease gives a claim back. Work that any daemon may run stays accepted, and so does work that the holder of a
// replaced claim may have sent to a target.
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

// applyComplete ends work. Idempotent work takes the first completion of any claim, also of one that was replaced.
func (p *Partition) applyComplete(r CompleteRecord) []Change {
	k := NewKey(r.Account, r.Key)

	w, ok := p.work[k]
	if !ok || w.ended || r.Effect < Done || r.Effect > Unknown {
		return nil
	}

	if held := w.claim.ID != "" || w.claimReplaced; !held || w.claim.ID != r.Claim && !w.accept.Idempotent {
		return nil
	}

	w.complete(r, p.logTime)
	p.expiries.add(k, w.expiry())

	return []Change{{kind: WorkEnded, key: k}}
}

// complete puts a completion in force. The request body is not needed any more.
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

// applyOpen starts a job, or keeps the one that the identifier already names.
func (p *Partition) applyOpen(o job.OpenRecord) {
	if j, ok := p.jobs[o.Job]; ok && !j.IsExpired(p.logTime) || o.Items < 0 || o.Items > MaxJobItems {
		return
	}

	p.jobs[o.Job] = job.NewAt(o, p.logTime)
}

// MaxJobItems bounds the items of one job.
const MaxJobItems = 150_000

func changeIf(ok bool, c Change) []Change {
	if !ok {
		return nil
	}

	return []Change{c}
}
