// Package job defines the records of batch jobs, replays them into the state of a job, and decides which daemon runs
// which shard of items and what that daemon does next. Every daemon that replays the same records computes the same
// state; nothing here reads a clock. Package journal replays the records, package controller executes the decisions.
package job

import (
	"math"
	"time"

	"github.com/RoaringBitmap/roaring/v2"
)

// State is the state of a job as a whole.
type State uint8

const (
	// Opening means that the items are still being appended to the log.
	Opening State = iota
	// Running means that the job is accepted and has pending items.
	Running
	// Finished means that every item has ended.
	Finished
	// Cancelled means that a CancelRecord was replayed before the last item ended.
	Cancelled
)

// String returns the name of the state in responses to callers.
func (s State) String() string {
	return [...]string{"opening", "running", "finished", "cancelled"}[s]
}

// Job is the replayed state of one job. It is not safe for concurrent use; its partition's lock guards it. The bitmaps
// have item indexes: stored those whose items were replayed, started those with a start record, and ended those with a
// result.
type Job struct {
	open          OpenRecord
	state         State
	items         []Item
	stored        *roaring.Bitmap
	started       *roaring.Bitmap
	ended         *roaring.Bitmap
	results       map[uint32]Result
	counts        [Unknown + 1]int
	leases        map[int]Lease
	pendingCounts []int
	attempts      map[uint32]int

	openedAt time.Time
	endedAt  time.Time
}

// Lease is the latest lease on a shard. It is in force until it is released or replaced or its job ends.
type Lease struct {
	record   LeaseRecord
	offset   int64
	renewals int
	released bool
}

// Offset returns the offset of the lease record, which is the lease's fencing token.
func (l Lease) Offset() int64 { return l.offset }

// Domain returns the failure domain that runs the shard.
func (l Lease) Domain() string { return l.record.Domain }

// Holder returns the daemon that runs the shard.
func (l Lease) Holder() string { return l.record.Holder }

// Renewals returns the number of progress records that renewed the lease. A Grantor restarts its
// measurement of the lease duration when the number changes.
func (l Lease) Renewals() int { return l.renewals }

// IsReleased reports whether the holder has released the lease.
func (l Lease) IsReleased() bool { return l.released }

// Duration returns the time without renewal after which the lease may be replaced.
func (l Lease) Duration() time.Duration {
	return time.Duration(l.record.DurationMS) * time.Millisecond
}

// New returns the job that o opens. It has no opening time, so that it does not expire in state Opening.
func New(o OpenRecord) *Job { return NewAt(o, time.Time{}) }

// NewAt returns the job that o opens at a log time.
func NewAt(o OpenRecord, at time.Time) *Job {
	o.ShardItems = max(1, o.ShardItems)

	j := &Job{
		openedAt: at,

		open:     o,
		items:    make([]Item, o.Items),
		stored:   roaring.New(),
		started:  roaring.New(),
		ended:    roaring.New(),
		results:  map[uint32]Result{},
		leases:   map[int]Lease{},
		attempts: map[uint32]int{},
	}

	for shard := range j.ShardCount() {
		first, end := j.ShardBounds(shard)
		j.pendingCounts = append(j.pendingCounts, end-first)
	}

	return j
}

// ID returns the job identifier.
func (j *Job) ID() string { return j.open.Job }

// Account returns the account that owns the job.
func (j *Job) Account() string { return j.open.Account }

// Digest returns the digest of the submitted body and settings, in hex.
func (j *Job) Digest() string { return j.open.Digest }

// Service returns the service that runs the items.
func (j *Job) Service() string { return j.open.Service }

// Path returns the path of every item at the target.
func (j *Job) Path() string { return j.open.Path }

// Idempotent reports whether items may be run again.
func (j *Job) Idempotent() bool { return j.open.Idempotent }

// Priority returns the priority after amendments; a higher one runs first.
func (j *Job) Priority() int { return j.open.Priority }

// MaxAttempts returns the number of attempts after which an item ends as failed, at least 1.
func (j *Job) MaxAttempts() int { return max(1, j.open.MaxAttempts) }

// Deadline returns the deadline after amendments.
func (j *Job) Deadline() time.Time { return time.UnixMilli(j.open.DeadlineMS) }

// State returns the state of the job as a whole.
func (j *Job) State() State { return j.state }

// ItemCount returns the number of items.
func (j *Job) ItemCount() int { return j.open.Items }

// Item returns item i. Its body is nil once the item or the job has ended.
func (j *Job) Item(i int) Item { return j.items[i] }

// Count returns the number of items that ended with effect e.
func (j *Job) Count(e Effect) int { return j.counts[e] }

// PendingCount returns the number of items that have not ended.
func (j *Job) PendingCount() int { return j.open.Items - int(j.ended.GetCardinality()) } //nolint:gosec // at most Items

// Result returns the result of item i; false if the item is pending.
func (j *Job) Result(i int) (Result, bool) {
	r, ok := j.results[uint32(i)] //nolint:gosec // an item index

	return r, ok
}

// ShardCount returns the number of shards.
func (j *Job) ShardCount() int { return (j.open.Items + j.open.ShardItems - 1) / j.open.ShardItems }

// ShardBounds returns the index of the first item of a shard and the one after its last.
func (j *Job) ShardBounds(shard int) (first, end int) {
	first = shard * j.open.ShardItems

	return first, min(first+j.open.ShardItems, j.open.Items)
}

// PendingItems returns the indexes of the pending items of a shard in order.
func (j *Job) PendingItems(shard int) []int {
	var l []int

	first, end := j.ShardBounds(shard)
	for i := first; i < end; i++ {
		if !j.ended.ContainsInt(i) {
			l = append(l, i)
		}
	}

	return l
}

// ShardPendingCount returns the number of pending items of a shard.
func (j *Job) ShardPendingCount(shard int) int { return j.pendingCounts[shard] }

// Attempts returns the number of reported attempts at pending item i; 0 for an item that has ended.
func (j *Job) Attempts(i int) int { return j.attempts[uint32(i)] } //nolint:gosec // an item index

// StartedCount returns the number of items that start records mark. Only items that may not run twice have start
// records.
func (j *Job) StartedCount() int { return int(j.started.GetCardinality()) } //nolint:gosec // at most Items

// IsStarted reports whether a start record marks item i, so that it may have been dispatched under this or an earlier
// lease.
func (j *Job) IsStarted(i int) bool { return j.started.ContainsInt(i) }

// Lease returns the latest lease on a shard, which may be released; false if there was none.
func (j *Job) Lease(shard int) (Lease, bool) {
	g, ok := j.leases[shard]

	return g, ok
}

// EndedAt returns the log time at which the job finished or was cancelled; zero before.
func (j *Job) EndedAt() time.Time { return j.endedAt }

// openingTTL is the time after which a job that was not accepted expires. A submission takes minutes at most; without
// a limit, a job whose submission is never completed would stay in memory and in every snapshot.
const openingTTL = time.Hour

// IsExpired reports whether at log time now the retention of the results is over, or openingTTL has passed without the
// job being accepted.
func (j *Job) IsExpired(now time.Time) bool {
	if j.state == Opening {
		return !j.openedAt.IsZero() && now.Sub(j.openedAt) > openingTTL
	}

	return !j.endedAt.IsZero() && now.Sub(j.endedAt) > time.Duration(j.open.RetainMS)*time.Millisecond
}

// ApplyItems stores the items of r that are not stored yet. It has no effect if r is of another submission than the one
// that opened the job, if the job is already accepted, or if r exceeds the items of the job.
func (j *Job) ApplyItems(r ItemsRecord) {
	if j.state != Opening || r.Digest != j.open.Digest || r.First < 0 || r.First > j.open.Items-len(r.Items) {
		return
	}

	for i, it := range r.Items {
		if n := r.First + i; !j.stored.ContainsInt(n) {
			j.items[n] = it
			j.stored.AddInt(n)
		}
	}
}

// HasAllItems reports whether all items are stored.
func (j *Job) HasAllItems() bool { return int(j.stored.GetCardinality()) == j.open.Items } //nolint:gosec // at most Items

// ApplySubmit accepts the job like Accept, if r is of the submission that opened the job.
func (j *Job) ApplySubmit(r SubmitRecord, at time.Time) bool {
	return r.Digest == j.open.Digest && j.Accept(at)
}

// Accept accepts the job if all items are stored, and reports whether it did.
func (j *Job) Accept(at time.Time) bool {
	if j.state != Opening || !j.HasAllItems() {
		return false
	}

	j.state = Running
	j.finishIfDone(at)

	return true
}

// ApplyLease puts the lease of record r, which is at an offset of the log, in force. It has no effect unless the job is
// running and r replaces the latest lease on the shard, or none if there was none. It reports whether it took effect.
func (j *Job) ApplyLease(r LeaseRecord, offset int64) bool {
	if j.state != Running || r.Shard < 0 || r.Shard >= j.ShardCount() || j.leases[r.Shard].offset != r.Replaces {
		return false
	}

	j.leases[r.Shard] = Lease{record: r, offset: offset}

	return true
}

// ApplyStart marks items of the shard as started, which means that they may have been dispatched, and reports whether
// it did. It has no effect if the lease of r is not in force. Items of other shards stay unmarked.
func (j *Job) ApplyStart(r StartRecord) bool {
	if !j.hasLease(r.Shard, r.Lease) {
		return false
	}

	b := roaring.New()
	if err := b.UnmarshalBinary(r.Items); err != nil {
		return false
	}

	first, end := j.ShardBounds(r.Shard)
	b.RemoveRange(0, uint64(first))                      //nolint:gosec // an item index
	b.RemoveRange(uint64(end), uint64(math.MaxUint32)+1) //nolint:gosec // an item index
	j.started.Or(b)

	return true
}

// ApplyProgress renews or releases the lease, stores the results of items that have not ended, and returns their
// number. It has no effect if the lease of r is not in force. The first result of an item is final.
func (j *Job) ApplyProgress(r ProgressRecord, at time.Time) int {
	if !j.hasLease(r.Shard, r.Lease) {
		return 0
	}

	g := j.leases[r.Shard]
	g.renewals++
	g.released = r.Release
	j.leases[r.Shard] = g

	n := 0
	first, end := j.ShardBounds(r.Shard)

	// Unsent items only count in the record that releases the lease: a duplicate of that record has no effect, so that
	// it cannot undo a later start by the same holder.
	for _, u := range r.Unsent {
		if i := int(u); r.Release && i >= first && i < end {
			j.started.Remove(u)
		}
	}

	for _, t := range r.Tries {
		if i := int(t.Index); i >= first && i < end && !j.ended.ContainsInt(i) {
			j.attempts[t.Index] = max(j.attempts[t.Index], t.Attempts)
		}
	}

	for _, v := range r.Results {
		i := int(v.Index)
		if i < first || i >= end || v.Effect < Done || v.Effect > Unknown || !j.ended.CheckedAdd(v.Index) {
			continue
		}

		j.results[v.Index] = v
		j.counts[v.Effect]++
		j.items[i].Body = nil
		j.pendingCounts[r.Shard]--
		delete(j.attempts, v.Index)

		n++
	}

	j.finishIfDone(at)

	return n
}

// ApplyCancel cancels the job and reports whether it did. It has no effect for another account or after the end.
func (j *Job) ApplyCancel(r CancelRecord, at time.Time) bool {
	if r.Account != j.open.Account || j.state == Finished || j.state == Cancelled {
		return false
	}

	j.state = Cancelled
	j.endedAt = at
	j.dropBodies()

	return true
}

// ApplyAmend changes the priority and the deadline of a job that has not ended, as far as r has them, and reports
// whether it did. It has no effect for another account.
func (j *Job) ApplyAmend(r AmendRecord) bool {
	if r.Account != j.open.Account || j.state > Running {
		return false
	}

	if r.Priority != nil {
		j.open.Priority = *r.Priority
	}

	if r.DeadlineMS != nil {
		j.open.DeadlineMS = *r.DeadlineMS
	}

	return true
}

// EncodeIndexes returns item indexes as the serialized roaring bitmap of a StartRecord.
func EncodeIndexes(indexes []int) ([]byte, error) {
	b := roaring.New()
	for _, i := range indexes {
		b.AddInt(i)
	}

	return b.ToBytes()
}

// HasLease reports whether the lease at an offset is in force on a shard of a running job. It has to be checked after
// the replay of a start record, because the start record of a lease that is not in force has no effect.
func (j *Job) HasLease(shard int, lease int64) bool { return j.hasLease(shard, lease) }

func (j *Job) hasLease(shard int, lease int64) bool {
	g, ok := j.leases[shard]

	return ok && !g.released && j.state == Running && g.offset == lease
}

func (j *Job) finishIfDone(at time.Time) {
	if j.state == Running && j.PendingCount() == 0 {
		j.state = Finished
		j.endedAt = at
		j.dropBodies()
	}
}

// dropBodies frees the request bodies of a job that runs no more items. It keeps results and custom identifiers.
func (j *Job) dropBodies() {
	for i := range j.items {
		j.items[i].Body = nil
	}
}
