// Package journal defines the records of accepted work and replays the log stream of one partition into the state of
// its work and jobs. Only the order of the entries in the log decides between conflicting records, so that every daemon
// that replays the same entries computes the same state. Package store feeds it from the log.
package journal

import (
	"slices"
	"sync"
	"time"

	"github.com/agategap/agategap/job"
)

// Entry is a group of records at its offset in the log.
type Entry struct {
	offset int64
	at     time.Time
	group  Group
}

// NewEntry returns an entry. Offsets start at 1; at is the log time of the append.
func NewEntry(offset int64, at time.Time, g Group) Entry {
	return Entry{offset: offset, at: at, group: g}
}

// Offset returns the entry's offset.
func (e Entry) Offset() int64 { return e.offset }

// Group returns the group that was appended.
func (e Entry) Group() Group { return e.group }

// At returns the log time of the append.
func (e Entry) At() time.Time { return e.at }

// Key identifies work by its account and the account's idempotency key.
type Key struct {
	account string
	key     string
}

// NewKey returns the key of an account's work.
func NewKey(account, key string) Key { return Key{account: account, key: key} }

// Account returns the account.
func (k Key) Account() string { return k.account }

// Key returns the idempotency key.
func (k Key) Key() string { return k.key }

// String returns a form that is unique per account and key, for sharding.
func (k Key) String() string { return k.account + "\x00" + k.key }

// Work is the replayed state of one accepted request.
type Work struct {
	accept        AcceptRecord
	claim         ClaimRecord
	claimedAt     time.Time
	claimReplaced bool // a claim of this work was replaced, so a target may have received the request
	result        CompleteRecord
	ended         bool
	endedAt       time.Time
}

// AcceptRecord returns the record that accepted the work.
func (w Work) AcceptRecord() AcceptRecord { return w.accept }

// ClaimID returns the identifier of the claim in force; empty if there is none.
func (w Work) ClaimID() string { return w.claim.ID }

// Holder returns the VM and incarnation that holds the claim in force; empty if there is none.
func (w Work) Holder() string { return w.claim.Holder }

// ClaimedAt returns the log time of the claim in force; zero if there is none.
func (w Work) ClaimedAt() time.Time { return w.claimedAt }

// IsEnded reports whether the work has a completion.
func (w Work) IsEnded() bool { return w.ended }

// Result returns the completion; its zero value before the work has ended.
func (w Work) Result() CompleteRecord { return w.result }

func (w Work) isExpired(now time.Time) bool { return w.ended && now.After(w.expiry()) }

func (w Work) expiry() time.Time {
	return w.endedAt.Add(time.Duration(w.accept.RetainMS) * time.Millisecond)
}

// Partition is the replayed state of one partition. It is safe for concurrent use: each partition is a shard of the
// store with its own lock. The zero value is an empty partition.
type Partition struct {
	mu          sync.Mutex
	offset      int64
	logTime     time.Time
	work        map[Key]*Work
	jobs        map[string]*job.Job
	writers     map[string]writerState
	evictedUpTo int64 // writers whose last group is at or below this offset were evicted; 0 for none
	expiries    expiryIndex
}

// writerState has the number and the offset of the last group that was applied from a writer.
type writerState struct {
	number uint64
	offset int64
}

// maxWriters bounds the writers whose last group number is kept. A daemon is a new writer after each restart; with 340
// daemons and 260 restarts a day the bound is reached after more than two days.
const maxWriters = 1024

// Apply replays one entry and returns its changes in order. An entry at or below the last replayed offset has no
// effect. The records of a group whose number is not above the last one of its writer have no effect either.
func (p *Partition) Apply(e Entry) []Change {
	p.mu.Lock()
	defer p.mu.Unlock()

	if e.offset <= p.offset {
		return nil
	}

	p.initMaps()
	p.offset = e.offset

	// The log time is kept in milliseconds, like the times of the log and of snapshots, so that a restored partition
	// has the same log time.
	if at := time.UnixMilli(e.at.UnixMilli()); at.After(p.logTime) {
		p.logTime = at
		p.expireEachMinute()
	}

	if !p.admitGroup(e) {
		return nil
	}

	var c []Change
	for _, r := range e.group.Records {
		c = append(c, p.apply(r)...)
	}

	return c
}

// admitGroup reports whether a group is to be applied, and stores its number. A duplicate of an applied group is not.
// Neither is a group of an unknown writer that was formed before the last eviction of writers, as it may be a duplicate
// of a group of an evicted writer.
func (p *Partition) admitGroup(e Entry) bool {
	w, known := p.writers[e.group.Writer]
	if e.group.Number <= w.number || !known && e.group.Base < p.evictedUpTo {
		return false
	}

	p.writers[e.group.Writer] = writerState{number: e.group.Number, offset: e.offset}

	if len(p.writers) > maxWriters {
		p.evictWriters()
	}

	return true
}

// evictWriters removes the quarter of the writers whose last groups are the oldest.
func (p *Partition) evictWriters() {
	l := make([]int64, 0, len(p.writers))
	for _, w := range p.writers {
		l = append(l, w.offset)
	}

	slices.Sort(l)
	p.evictedUpTo = l[len(l)/4]

	for n, w := range p.writers {
		if w.offset <= p.evictedUpTo {
			delete(p.writers, n)
		}
	}
}

// Skip advances the partition past an entry that cannot be decoded.
func (p *Partition) Skip(offset int64) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.offset = max(p.offset, offset)
}

// Offset returns the offset of the last replayed or skipped entry; 0 for an empty partition.
func (p *Partition) Offset() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.offset
}

// Len returns the number of keys with work, including expired work that was not removed yet.
func (p *Partition) Len() int {
	p.mu.Lock()
	defer p.mu.Unlock()

	return len(p.work)
}

// LastGroupNumber returns the number of the last group that was applied from a writer; 0 for an unknown writer.
func (p *Partition) LastGroupNumber(writer string) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.writers[writer].number
}

// LogTime returns the latest log time of the replayed entries; zero before the first one. Retention is measured
// against it.
func (p *Partition) LogTime() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.logTime
}

// Lookup returns the work under a key; false if there is none or its retention is over.
func (p *Partition) Lookup(k Key) (Work, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()

	w, ok := p.work[k]
	if !ok || w.isExpired(p.logTime) {
		return Work{}, false
	}

	return *w, true
}

// UnendedWork returns the accepted work without a completion, in no particular order.
func (p *Partition) UnendedWork() []Work {
	p.mu.Lock()
	defer p.mu.Unlock()

	var l []Work

	for _, w := range p.work {
		if !w.ended {
			l = append(l, *w)
		}
	}

	return l
}

// ViewJob calls f with a job while the partition is locked, and reports whether the job exists. f must not retain the
// job or call methods of the partition.
func (p *Partition) ViewJob(id string, f func(j *job.Job)) bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	j, ok := p.jobs[id]
	if !ok || j.IsExpired(p.logTime) {
		return false
	}

	f(j)

	return true
}

// ViewJobs calls f with every job while the partition is locked, with the same rules for f as ViewJob.
func (p *Partition) ViewJobs(f func(j *job.Job)) {
	p.mu.Lock()
	defer p.mu.Unlock()

	for _, j := range p.jobs {
		if !j.IsExpired(p.logTime) {
			f(j)
		}
	}
}

func (p *Partition) initMaps() {
	if p.work == nil {
		p.work = map[Key]*Work{}
		p.jobs = map[string]*job.Job{}
		p.writers = map[string]writerState{}
	}
}
