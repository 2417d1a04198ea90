package job

import (
	"cmp"
	"time"
)

// AttemptOutcome says what one attempt at an item showed.
type AttemptOutcome uint8

const (
	// Succeeded means that the item has a result.
	Succeeded AttemptOutcome = iota + 1
	// NotRun means that nothing was sent, so that it does not count as an attempt.
	NotRun
	// TargetFailed means that the target failed. An idempotent item may be attempted again.
	TargetFailed
	// Rejected means that the target will never accept the item.
	Rejected
	// Uncertain means that the item was sent and its effect is not known.
	Uncertain
)

// Task is one attempt at an item.
type Task struct {
	shard *LeasedShard
	item  ShardItem
	retries  int
}

// Ref returns the shard.
func (t Task) Ref() ShardRef { return t.shard.Ref() }

// Lease returns the offset of the shard's lease.
func (t Task) Lease() int64 { return t.shard.Lease }

// Index returns the item's index in the job.
func (t Task) Index() uint32 { return t.item.Index }

// Body returns the request body.
func (t Task) Body() []byte { return t.item.Body }

// Account returns the account that owns the job.
func (t Task) Account() string { return t.shard.Account }

// Service returns the service that runs the item.
func (t Task) Service() string { return t.shard.Service }

// Path returns the path at the target.
func (t Task) Path() string { return t.shard.Path }

// Idempotent reports whether the item may be run again.
func (t Task) Idempotent() bool { return t.shard.Idempotent }

// Deadline returns the job's deadline in force when the task was handed out.
func (t Task) Deadline() time.Time { return time.UnixMilli(t.shard.DeadlineMS) }

// ShouldLookUp reports whether the item may have been dispatched before, so that it is looked up and not run.
func (t Task) ShouldLookUp() bool { return t.item.Started }

// Urgency orders tasks of several holders.
type Urgency struct {
	priority int
	deadline int64
}

// Before reports whether r is run before o: the higher priority first, then the earlier deadline.
func (r Urgency) Before(o Urgency) bool {
	return cmp.Or(cmp.Compare(o.priority, r.priority), cmp.Compare(r.deadline, o.deadline)) < 0
}
