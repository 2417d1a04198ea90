package mesh

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/agategap/agategap/shard"
)

const (
	// RenewEvery is the mean time between two records by which a daemon announces itself. At 340 daemons it makes about
	// three appends a second.
	RenewEvery = 2 * time.Minute
	// lapseAfter is the time without a new record after which a daemon is not listed any more. It covers several
	// records, also when the log is down for some minutes.
	lapseAfter = 5 * RenewEvery
)

// Record is what a daemon announces of itself in the platform's log. A codec fills the fields.
type Record struct {
	Peer     Peer   `msgpack:"peer"`
	Region   string `msgpack:"region"`   // region of the failure domain
	Operator string `msgpack:"operator"` // IP number and port for operators
}

// Roster has the records of all daemons. Those of VMs that are gone lapse, as nobody else takes them back. The zero
// value is empty and ready to use. It is safe for concurrent use.
type Roster struct {
	shards [tableShards]rosterShard

	mu       sync.Mutex
	readable time.Time // since when the log can be read
}

type rosterShard struct {
	mu      sync.Mutex
	records map[string]listed
}

// listed is a record with the time at which it was read.
type listed struct {
	record Record
	read   time.Time
}

func (r *Roster) shard(vm string) *rosterShard { return &r.shards[shard.Index(vm, tableShards)] }

// Put takes the record of a daemon.
func (r *Roster) Put(v Record, now time.Time) {
	h := r.shard(v.Peer.VM)

	h.mu.Lock()
	defer h.mu.Unlock()

	if h.records == nil {
		h.records = map[string]listed{}
	}

	h.records[v.Peer.VM] = listed{record: v, read: now}
}

// Remove takes note that the record of a VM is gone.
func (r *Roster) Remove(vm string) {
	h := r.shard(vm)

	h.mu.Lock()
	defer h.mu.Unlock()

	delete(h.records, vm)
}

// Outage records whether the log is available. Daemons cannot renew their records while it is not.
func (r *Roster) Outage(down bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if down || r.readable.IsZero() {
		r.readable = now
	}
}

func (r *Roster) since() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.readable
}

// Listed returns the records that have not lapsed, in order of VM.
func (r *Roster) Listed(now time.Time) []Record { return r.list(now, false) }

// Lapsed returns the records of daemons that have not announced themselves for long although the log was available.
func (r *Roster) Lapsed(now time.Time) []Record { return r.list(now, true) }

func (r *Roster) list(now time.Time, lapsed bool) []Record {
	var l []Record

	readable := now.Sub(r.since())

	for i := range r.shards {
		h := &r.shards[i]

		h.mu.Lock()
		for _, v := range h.records {
			if lapsed == (min(readable, now.Sub(v.read)) > lapseAfter) {
				l = append(l, v.record)
			}
		}
		h.mu.Unlock()
	}

	slices.SortFunc(l, func(a, b Record) int { return cmp.Compare(a.Peer.VM, b.Peer.VM) })

	return l
}
