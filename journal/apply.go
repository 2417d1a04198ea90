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
		return p.accept(*r.Accept)
	case r.Claim != nil:
		return p.claim(*r.Claim)
	case r.Release != nil:
		return p.release(*r.Release)
	case r.Complete != nil:
		return p.complete(*r.Complete)
	default:
		return p.applyJob(r)
	}
}

func (p *Partition) accept(r Accept) []Change {
	k := NewKey(r.Account, r.Key)
	if w, ok := p.work[k]; ok && !w.expired(p.at) {
		return nil
	}

	p.work[k] = &Work{accept: r}

	return []Change{{kind: WorkAccepted, key: k}}
}

func (p *Partition) claim(r Claim) []Change {
	k := NewKey(r.Account, r.Key)

	w, ok := p.work[k]
	if !ok || w.ended || w.claim.ID != r.Replaces || r.ID == "" {
		return nil
	}

	if w.claim.ID != "" && !w.accept.Idempotent {
		return nil
	}

	w.replaced = w.replaced || w.claim.ID != ""
	w.claim, w.claimedAt = r, p.at

	return []Change{{kind: WorkClaimed, key: k}}
}

// release gives a claim back. Work that any daemon may run stays accepted, and so does work that the holder of a
// replaced claim may have sent to a target.
func (p *Partition) release(r Release) []Change {
	k := NewKey(r.Account, r.Key)

	w, ok := p.work[k]
	if !ok || w.ended || r.Claim == "" || w.claim.ID != r.Claim {
		return nil
	}

	if w.accept.Async || w.replaced {
		w.claim, w.claimedAt = Claim{}, time.Time{}
	} else {
		delete(p.work, k)
	}

	return []Change{{kind: WorkReleased, key: k}}
}

// complete ends work. Idempotent work takes the first completion of any claim, also of one that was replaced.
func (p *Partition) complete(r Complete) []Change {
	k := NewKey(r.Account, r.Key)

	w, ok := p.work[k]
	if !ok || w.ended || r.Effect < Done || r.Effect > Unknown {
		return nil
	}

	if held := w.claim.ID != "" || w.replaced; !held || w.claim.ID != r.Claim && !w.accept.Idempotent {
		return nil
	}

	w.end(r, p.at)
	p.due.add(k, w.expiry())

	return []Change{{kind: WorkEnded, key: k}}
}

// end puts a completion in force. The request body is not needed any more.
func (w *Work) end(r Complete, at time.Time) {
	w.result, w.ended, w.endedAt = r, true, at
	w.accept.Body = nil
}

func (p *Partition) applyJob(r Record) []Change {
	switch {
	case r.Open != nil:
		p.openJob(*r.Open)

		return nil
	case r.Items != nil:
		if j := p.jobs[r.Items.Job]; j != nil {
			j.Carry(*r.Items)
		}

		return nil
	case r.Submit != nil:
		j := p.jobs[r.Submit.Job]

		return changed(j != nil && j.Accept(*r.Submit, p.at), Change{kind: JobAccepted, job: r.Submit.Job})
	case r.Lease != nil:
		j := p.jobs[r.Lease.Job]

		return changed(j != nil && j.Grant(*r.Lease, p.offset), Change{kind: JobLeased, job: r.Lease.Job, shard: r.Lease.Shard})
	case r.Start != nil:
		if j := p.jobs[r.Start.Job]; j != nil {
			j.Start(*r.Start)
		}

		return nil
	case r.Progress != nil:
		j := p.jobs[r.Progress.Job]

		return changed(j != nil && j.Progress(*r.Progress, p.at) > 0, Change{kind: JobProgressed, job: r.Progress.Job, shard: r.Progress.Shard})
	case r.Cancel != nil:
		j := p.jobs[r.Cancel.Job]

		return changed(j != nil && j.Cancel(*r.Cancel, p.at), Change{kind: JobCancelled, job: r.Cancel.Job})
	case r.Amend != nil:
		j := p.jobs[r.Amend.Job]

		return changed(j != nil && j.Amend(*r.Amend), Change{kind: JobAmended, job: r.Amend.Job})
	default:
		return nil
	}
}

// openJob starts a job, or keeps the one that the identifier already names.
func (p *Partition) openJob(o job.Open) {
	if j, ok := p.jobs[o.Job]; ok && !j.Expired(p.at) || o.Items < 0 || o.Items > MaxItems {
		return
	}

	p.jobs[o.Job] = job.NewAt(o, p.at)
}

// MaxItems bounds the items of one job.
const MaxItems = 150_000

func changed(ok bool, c Change) []Change {
	if !ok {
		return nil
	}

	return []Change{c}
}
