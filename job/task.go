package job

import (
	"cmp"
	"time"
)

// AttemptOutcome is the outcome of one attempt at an item.
type AttemptOutcome uint8

const (
	// Succeeded means that the item has a result.
	Succeeded AttemptOutcome = iota + 1
	// NotRun means that the attempt does not count and the item is tried again: it was not sent, or its target had no
	// room, or it was preempted.
	NotRun
	// TargetFailed means that the target failed. An idempotent item may be attempted again.
	TargetFailed
	// Rejected means that the target will never accept the item, so that it is not attempted again.
	Rejected
	// Uncertain means that the item was sent and its effect is not known. An idempotent item may be attempted again.
	Uncertain
)

// Task is one attempt at an item.
type Task struct {
	shard   *LeasedShard
	item    ShardItem
	retries int
}

// Ref returns the reference to the item's shard.
func (t Task) Ref() ShardRef { return t.shard.Ref() }

// Lease returns the offset of the lease under which the item is run.
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

// Deadline returns the deadline of the job as it was known when Holder.Next returned the task.
func (t Task) Deadline() time.Time { return time.UnixMilli(t.shard.DeadlineMS) }

// ShouldLookUp reports whether the item may have been dispatched under an earlier lease and must not run twice. Its
// effect is then looked up at the targets instead of sending it.
func (t Task) ShouldLookUp() bool { return t.item.Started }

// Urgency orders the tasks of several holders.
type Urgency struct {
	priority int
	deadline int64 // Unix time in milliseconds
}

// Before reports whether a task of urgency u runs before one of urgency o: the higher priority runs first, then the
// earlier deadline.
func (u Urgency) Before(o Urgency) bool {
	return cmp.Or(cmp.Compare(o.priority, u.priority), cmp.Compare(u.deadline, o.deadline)) < 0
}
