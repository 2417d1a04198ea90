package mesh

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/agategap/agategap/shard"
)

const (
	// RenewInterval is the mean interval at which a daemon renews its record in the log. At 340 daemons this is about
	// three appends a second.
	RenewInterval = 2 * time.Minute
	// recordTTL is the time without renewal after which a record expires. It covers several renewals, even if the log is
	// down for some minutes.
	recordTTL = 5 * RenewInterval
)

// Record is what a daemon announces about itself in the platform's log. It is a stored record.
type Record struct {
	Peer     Peer   `msgpack:"peer"`
	Region   string `msgpack:"region"`   // region of the failure domain
	Operator string `msgpack:"operator"` // IP address and port for operators
}

// Registry has the records of all daemons. Records expire, because a removed VM does not remove its own record. The
// zero value is empty and ready to use. It is safe for concurrent use.
type Registry struct {
	shards [tableShardCount]registryShard

	mu               sync.Mutex
	logReadableSince time.Time // time from which the log has been readable; zero before the first call of SetLogDown
}

type registryShard struct {
	mu      sync.Mutex
	records map[string]registeredRecord
}

// registeredRecord is a record with the time at which it was read from the log.
type registeredRecord struct {
	record Record
	readAt time.Time
}

func (r *Registry) shard(vm string) *registryShard {
	return &r.shards[shard.Index(vm, tableShardCount)]
}

// Put adds or replaces the record of a daemon, read at the given time.
func (r *Registry) Put(v Record, now time.Time) {
	h := r.shard(v.Peer.VM)

	h.mu.Lock()
	defer h.mu.Unlock()

	if h.records == nil {
		h.records = map[string]registeredRecord{}
	}

	h.records[v.Peer.VM] = registeredRecord{record: v, readAt: now}
}

// Remove removes the record of a VM.
func (r *Registry) Remove(vm string) {
	h := r.shard(vm)

	h.mu.Lock()
	defer h.mu.Unlock()

	delete(h.records, vm)
}

// SetLogDown tells the registry whether the log can be read. Daemons cannot renew their records while it is down, so
// that no record expires until the log has been readable for recordTTL.
func (r *Registry) SetLogDown(down bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if down || r.logReadableSince.IsZero() {
		r.logReadableSince = now
	}
}

func (r *Registry) readableSince() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.logReadableSince
}

// Records returns the records that have not expired, sorted by VM.
func (r *Registry) Records(now time.Time) []Record { return r.filterRecords(now, false) }

// ExpiredRecords returns the records that were not renewed within recordTTL although the log was readable, sorted by
// VM.
func (r *Registry) ExpiredRecords(now time.Time) []Record { return r.filterRecords(now, true) }

// filterRecords returns either the expired records or the others, sorted by VM. A record expires recordTTL after it was
// read or the log became readable, whichever is later.
func (r *Registry) filterRecords(now time.Time, expired bool) []Record {
	var l []Record

	readable := now.Sub(r.readableSince())

	for i := range r.shards {
		h := &r.shards[i]

		h.mu.Lock()
		for _, v := range h.records {
			if expired == (min(readable, now.Sub(v.readAt)) > recordTTL) {
				l = append(l, v.record)
			}
		}
		h.mu.Unlock()
	}

	slices.SortFunc(l, func(a, b Record) int { return cmp.Compare(a.Peer.VM, b.Peer.VM) })

	return l
}
