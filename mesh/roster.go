package mesh

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/agategap/agategap/shard"
)

const (
	// RenewInterval is the mean time between two records by which a daemon announces itself. At 340 daemons it makes about
	// three appends a second.
	RenewInterval = 2 * time.Minute
	// recordTTL is the time without a new record after which a daemon is not listed any more. It covers several
	// records, also when the log is down for some minutes.
	recordTTL = 5 * RenewInterval
)

// Record is what a daemon announces of itself in the platform's log. A codec fills the fields.
type Record struct {
	Peer     Peer   `msgpack:"peer"`
	Region   string `msgpack:"region"`   // region of the failure domain
	Operator string `msgpack:"operator"` // IP number and port for operators
}

// Registry has the records of all daemons. Those of VMs that are gone lapse, as nobody else takes them back. The zero
// value is empty and ready to use. It is safe for concurrent use.
type Registry struct {
	shards [tableShards]registryShard

	mu       sync.Mutex
	logReadableSince time.Time // since when the log can be read
}

type registryShard struct {
	mu      sync.Mutex
	records map[string]registeredRecord
}

// registeredRecord is a record with the time at which it was read.
type registeredRecord struct {
	record Record
	readAt   time.Time
}

func (r *Registry) shard(vm string) *registryShard { return &r.shards[shard.Index(vm, tableShards)] }

// Put takes the record of a daemon.
func (r *Registry) Put(v Record, now time.Time) {
	h := r.shard(v.Peer.VM)

	h.mu.Lock()
	defer h.mu.Unlock()

	if h.records == nil {
		h.records = map[string]registeredRecord{}
	}

	h.records[v.Peer.VM] = registeredRecord{record: v, readAt: now}
}

// Remove takes note that the record of a VM is gone.
func (r *Registry) Remove(vm string) {
	h := r.shard(vm)

	h.mu.Lock()
	defer h.mu.Unlock()

	delete(h.records, vm)
}

// SetLogDown records whether the log is available. Daemons cannot renew their records while it is not.
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

// Records returns the records that have not lapsed, in order of VM.
func (r *Registry) Records(now time.Time) []Record { return r.filterRecords(now, false) }

// ExpiredRecords returns the records of daemons that have not announced themselves for long although the log was available.
func (r *Registry) ExpiredRecords(now time.Time) []Record { return r.filterRecords(now, true) }

func (r *Registry) filterRecords(now time.Time, lapsed bool) []Record {
	var l []Record

	readable := now.Sub(r.readableSince())

	for i := range r.shards {
		h := &r.shards[i]

		h.mu.Lock()
		for _, v := range h.records {
			if lapsed == (min(readable, now.Sub(v.readAt)) > recordTTL) {
				l = append(l, v.record)
			}
		}
		h.mu.Unlock()
	}

	slices.SortFunc(l, func(a, b Record) int { return cmp.Compare(a.Peer.VM, b.Peer.VM) })

	return l
}
