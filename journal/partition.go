// Package journal replays the records of one partition of accepted work. The log's offset is the only
// arbiter: every daemon that replays the same entries computes the same state.
package journal

import (
	"slices"
	"sync"
	"time"

	"github.com/agategap/agategap/job"
)

// Entry is a group as the log holds it.
type Entry struct {
	offset int64
	at     time.Time
	group  Group
}

// NewEntry returns the group at an offset, appended at the log's time. Offsets start at 1.
func NewEntry(offset int64, at time.Time, g Group) Entry {
	return Entry{offset: offset, at: at, group: g}
}

// Offset returns the entry's offset.
func (e Entry) Offset() int64 { return e.offset }

// Group returns the entry's content.
func (e Entry) Group() Group { return e.group }

// At returns the log's time of the append.
func (e Entry) At() time.Time { return e.at }

// Key names work: an account and its idempotency key.
type Key struct {
	account string
	key     string
}

// NewKey returns the name of an account's work.
func NewKey(account, key string) Key { return Key{account: account, key: key} }

// Account returns the account.
func (k Key) Account() string { return k.account }

// Key returns the idempotency key.
func (k Key) Key() string { return k.key }

// String returns a form that is unique per account and key, for sharding.
func (k Key) String() string { return k.account + "\x00" + k.key }

// Work is the state of accepted work.
type Work struct {
	accept    AcceptRecord
	claim     ClaimRecord
	claimedAt time.Time
	claimReplaced  bool // a claim of this work was replaced, so a target may have received it
	result    CompleteRecord
	ended     bool
	endedAt   time.Time
}

// AcceptRecord returns the record that accepted the work.
func (w Work) AcceptRecord() AcceptRecord { return w.accept }

// ClaimID returns the identifier of the claim in force; empty for none.
func (w Work) ClaimID() string { return w.claim.ID }

// Holder returns the VM and incarnation that holds the claim.
func (w Work) Holder() string { return w.claim.Holder }

// ClaimedAt returns the log's time of the claim in force.
func (w Work) ClaimedAt() time.Time { return w.claimedAt }

// IsEnded reports whether a completion is in force.
func (w Work) IsEnded() bool { return w.ended }

// Result returns the completion in force; its zero value before the end.
func (w Work) Result() CompleteRecord { return w.result }

func (w Work) isExpired(now time.Time) bool { return w.ended && now.After(w.expiry()) }

func (w Work) expiry() time.Time {
	return w.endedAt.Add(time.Duration(w.accept.RetainMS) * time.Millisecond)
}

// Partition is the replayed state of one partition. It is safe for concurrent use; it is a shard of the
// store and has its own lock. The zero value is an empty partition.
type Partition struct {
	mu      sync.Mutex
	offset  int64
	logTime      time.Time
	work    map[Key]*Work
	jobs    map[string]*job.Job
	writers map[string]writerState
	evictedUpTo int64
	expiries     expiryIndex
}

// writerState is the last group that replay took from a writer.
type writerState struct {
	number uint64
	offset int64
}

// maxWriters bounds the writers whose last number is kept. A daemon is one writer per run; at 260 restarts a day
// among 340 daemons the bound is reached after more than two days.
const maxWriters = 1024

// Apply replays one entry and returns what changed, in order. An entry at or below the last offset, or a
// group whose number its writer has already reached or passed, has no effect.
func (p *Partition) Apply(e Entry) []Change {
	p.mu.Lock()
	defer p.mu.Unlock()

	if e.offset <= p.offset {
		return nil
	}

	p.initMaps()
	p.offset = e.offset

	// The log gives times in milliseconds, and so do snapshots.
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

// admitGroup reports whether a group counts, and notes its number. A second copy does not count. Nor does a group of an
// unknown writer that was formed before the last writer was forgotten, as it may be a second copy.
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

// evictWriters forgets the quarter of the writers that have been idle longest.
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

// Skip advances the partition past an entry that cannot be decoded, without effect.
func (p *Partition) Skip(offset int64) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.offset = max(p.offset, offset)
}

// Offset returns the offset of the last replayed entry.
func (p *Partition) Offset() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.offset
}

// Len returns the number of pieces of work.
func (p *Partition) Len() int {
	p.mu.Lock()
	defer p.mu.Unlock()

	return len(p.work)
}

// LastGroupNumber returns the last group number seen from a writer.
func (p *Partition) LastGroupNumber(writer string) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.writers[writer].number
}

// LogTime returns the log's time of the last replayed entry.
func (p *Partition) LogTime() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.logTime
}

// Lookup returns the work recorded under a key, until its retention is over.
func (p *Partition) Lookup(k Key) (Work, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()

	w, ok := p.work[k]
	if !ok || w.isExpired(p.logTime) {
		return Work{}, false
	}

	return *w, true
}

// UnendedWork returns accepted work without a completion.
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

// ViewJob calls f with the job of an identifier while the partition is locked, and reports whether there is
// one. f must not keep the job.
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

// ViewJobs calls f with every job while the partition is locked. f must not keep the job.
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
