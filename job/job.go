// Package job replays the records of one batch job. Every daemon that replays the same records computes
// the same state; nothing here reads a clock.
package job

import (
	"math"
	"time"

	"github.com/RoaringBitmap/roaring/v2"
)

// State is the state of a job as a whole.
type State uint8

const (
	// Opening means that items are still being carried into the log.
	Opening State = iota
	// Running means that the job is accepted and has pending items.
	Running
	// Finished means that every item ended.
	Finished
	// Cancelled means that a cancel record came before the last item ended.
	Cancelled
)

// String returns the name used in answers to callers.
func (s State) String() string {
	return [...]string{"opening", "running", "finished", "cancelled"}[s]
}

// Job is the replayed state of one job. It is not safe for concurrent use; its partition's lock guards it.
type Job struct {
	open    OpenRecord
	state   State
	items   []Item
	stored *roaring.Bitmap
	started *roaring.Bitmap
	ended   *roaring.Bitmap
	results map[uint32]Result
	counts  [Unknown + 1]int
	leases  map[int]Lease
	pendingCounts    []int
	attempts   map[uint32]int

	openedAt time.Time
	endedAt  time.Time
}

// Lease is the lease in force on a shard.
type Lease struct {
	record   LeaseRecord
	offset   int64
	renewals int
	released bool
}

// Offset returns the lease's offset, which is its fencing token.
func (g Lease) Offset() int64 { return g.offset }

// Domain returns the failure domain that runs the shard.
func (g Lease) Domain() string { return g.record.Domain }

// Holder returns the daemon that runs the shard.
func (g Lease) Holder() string { return g.record.Holder }

// Renewals returns the number of progress records that renewed the lease. An observer that sees it change starts
// the lease's duration again.
func (g Lease) Renewals() int { return g.renewals }

// IsReleased reports whether the holder has given the lease back.
func (g Lease) IsReleased() bool { return g.released }

// Duration returns the time without renewal after which the lease may be replaced.
func (g Lease) Duration() time.Duration {
	return time.Duration(g.record.DurationMS) * time.Millisecond
}

// New returns the job that o opens, with no time of opening.
func New(o OpenRecord) *Job { return NewAt(o, time.Time{}) }

// NewAt returns the job that o opens at the log's time at.
func NewAt(o OpenRecord, at time.Time) *Job {
	o.ShardItems = max(1, o.ShardItems)

	j := &Job{
		openedAt: at,

		open:    o,
		items:   make([]Item, o.Items),
		stored: roaring.New(),
		started: roaring.New(),
		ended:   roaring.New(),
		results: map[uint32]Result{},
		leases:  map[int]Lease{},
		attempts:   map[uint32]int{},
	}

	for s := range j.ShardCount() {
		first, end := j.ShardBounds(s)
		j.pendingCounts = append(j.pendingCounts, end-first)
	}

	return j
}

// ID returns the job identifier.
func (j *Job) ID() string { return j.open.Job }

// Account returns the account that owns the job.
func (j *Job) Account() string { return j.open.Account }

// Digest returns the digest of the submission.
func (j *Job) Digest() string { return j.open.Digest }

// Service returns the service that runs the items.
func (j *Job) Service() string { return j.open.Service }

// Path returns the path of every item at the target.
func (j *Job) Path() string { return j.open.Path }

// Idempotent reports whether items may be run again.
func (j *Job) Idempotent() bool { return j.open.Idempotent }

// Priority returns the priority in force.
func (j *Job) Priority() int { return j.open.Priority }

// MaxAttempts returns the attempts before an item ends as failed.
func (j *Job) MaxAttempts() int { return max(1, j.open.MaxAttempts) }

// Deadline returns the deadline in force.
func (j *Job) Deadline() time.Time { return time.UnixMilli(j.open.DeadlineMS) }

// State returns the state of the job as a whole.
func (j *Job) State() State { return j.state }

// ItemCount returns the number of items.
func (j *Job) ItemCount() int { return j.open.Items }

// Item returns item i.
func (j *Job) Item(i int) Item { return j.items[i] }

// Count returns the number of items that ended with effect e.
func (j *Job) Count(e Effect) int { return j.counts[e] }

// PendingCount returns the number of items that have not ended.
func (j *Job) PendingCount() int { return j.open.Items - int(j.ended.GetCardinality()) } //nolint:gosec // at most Items

// Result returns the result of item i.
func (j *Job) Result(i int) (Result, bool) {
	r, ok := j.results[uint32(i)] //nolint:gosec // an item index

	return r, ok
}

// ShardCount returns the number of shards.
func (j *Job) ShardCount() int { return (j.open.Items + j.open.ShardItems - 1) / j.open.ShardItems }

// ShardBounds returns the first item of shard s and the one after its last.
func (j *Job) ShardBounds(s int) (first, end int) {
	first = s * j.open.ShardItems

	return first, min(first+j.open.ShardItems, j.open.Items)
}

// PendingItems returns the pending items of shard s in order.
func (j *Job) PendingItems(s int) []int {
	var l []int

	first, end := j.ShardBounds(s)
	for i := first; i < end; i++ {
		if !j.ended.ContainsInt(i) {
			l = append(l, i)
		}
	}

	return l
}

// ShardPendingCount returns the number of pending items of shard s.
func (j *Job) ShardPendingCount(s int) int { return j.pendingCounts[s] }

// Attempts returns the attempts that were reported of pending item i.
func (j *Job) Attempts(i int) int { return j.attempts[uint32(i)] } //nolint:gosec // an item index

// DispatchedCount returns the number of items that were marked as about to be dispatched, which only items that may
// not run twice are.
func (j *Job) DispatchedCount() int { return int(j.started.GetCardinality()) } //nolint:gosec // at most Items

// IsStarted reports whether item i may already have been dispatched under an earlier lease.
func (j *Job) IsStarted(i int) bool { return j.started.ContainsInt(i) }

// Lease returns the lease in force on shard s.
func (j *Job) Lease(s int) (Lease, bool) {
	g, ok := j.leases[s]

	return g, ok
}

// EndedAt returns the log's time at which the job finished or was cancelled.
func (j *Job) EndedAt() time.Time { return j.endedAt }

// openingTTL is the time after which a job whose items were never all stored is forgotten. A submission takes
// minutes at most; without a bound an abandoned one would stay in memory and in every snapshot.
const openingTTL = time.Hour

// IsExpired reports whether the results' retention is over at the log's time now, or the job was never accepted.
func (j *Job) IsExpired(now time.Time) bool {
	if j.state == Opening {
		return !j.openedAt.IsZero() && now.Sub(j.openedAt) > openingTTL
	}

	return !j.endedAt.IsZero() && now.Sub(j.endedAt) > time.Duration(j.open.RetainMS)*time.Millisecond
}

// ApplyItems stores items that are not stored yet. Repeats have no effect.
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

// ApplySubmit accepts the job like Submit, if r is of the submission that opened it.
func (j *Job) ApplySubmit(r SubmitRecord, at time.Time) bool {
	return r.Digest == j.open.Digest && j.Accept(at)
}

// Accept accepts the job when all items are stored, and reports whether it did.
func (j *Job) Accept(at time.Time) bool {
	if j.state != Opening || !j.HasAllItems() {
		return false
	}

	j.state = Running
	j.finishIfDone(at)

	return true
}

// ApplyLease puts a lease in force at offset o if it replaces the one in force, and reports whether it did.
func (j *Job) ApplyLease(r LeaseRecord, o int64) bool {
	if j.state != Running || r.Shard < 0 || r.Shard >= j.ShardCount() || j.leases[r.Shard].offset != r.Replaces {
		return false
	}

	j.leases[r.Shard] = Lease{record: r, offset: o}

	return true
}

// ApplyStart marks items as dispatched, if the lease is in force.
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

// ApplyProgress stores results of items that have not ended, if the lease is in force, and returns their
// number. The first result of an item is its result for good.
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

	// The lease ends with the same record, so that a second copy cannot undo a later start of the same holder.
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

// ApplyCancel stops the job and reports whether it did.
func (j *Job) ApplyCancel(r CancelRecord, at time.Time) bool {
	if r.Account != j.open.Account || j.state == Finished || j.state == Cancelled {
		return false
	}

	j.state = Cancelled
	j.endedAt = at
	j.dropBodies()

	return true
}

// ApplyAmend changes priority and deadline of a job that has not ended, and reports whether it did.
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

// EncodeIndexes returns item indexes in the form that a Start record carries.
func EncodeIndexes(indexes []int) ([]byte, error) {
	b := roaring.New()
	for _, i := range indexes {
		b.AddInt(i)
	}

	return b.ToBytes()
}

// HasLease reports whether the lease at an offset is in force on shard s of a running job. A holder asks it after its
// own start record was replayed: a start record of a lease that is not in force has no effect.
func (j *Job) HasLease(s int, lease int64) bool { return j.hasLease(s, lease) }

func (j *Job) hasLease(s int, lease int64) bool {
	g, ok := j.leases[s]

	return ok && !g.released && j.state == Running && g.offset == lease
}

func (j *Job) finishIfDone(at time.Time) {
	if j.state == Running && j.PendingCount() == 0 {
		j.state = Finished
		j.endedAt = at
		j.dropBodies()
	}
}

// dropBodies frees the request bodies of a job that runs no more items. Results and custom identifiers stay.
func (j *Job) dropBodies() {
	for i := range j.items {
		j.items[i].Body = nil
	}
}
