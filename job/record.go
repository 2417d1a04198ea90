package job

// The records of a batch job. They are wire messages: a codec fills their fields.

// OpenRecord announces a job. Its items follow in Items records; it is accepted by Submit.
type OpenRecord struct {
	Job         string `msgpack:"job"`          // job identifier, derived from account and idempotency key
	Account     string `msgpack:"account"`      // account that owns the job
	Key         string `msgpack:"key"`          // idempotency key of the submission
	Digest      string `msgpack:"digest"`       // digest of the submitted body and settings, hex
	Service     string `msgpack:"service"`      // service that runs the items
	Path        string `msgpack:"path"`         // path of every item at the target
	Idempotent  bool   `msgpack:"idempotent"`   // items may be run again
	Items       int    `msgpack:"items"`        // number of items
	ShardItems  int    `msgpack:"shard_items"`  // items in a shard, at least 1
	MaxAttempts int    `msgpack:"max_attempts"` // attempts before an item ends as failed
	Priority    int    `msgpack:"priority"`     // higher runs first
	DeadlineMS  int64  `msgpack:"deadline_ms"`  // Unix time in milliseconds
	RetainMS    int64  `msgpack:"retain_ms"`    // how long results stay readable after the end
}

// Item is one piece of work of a job.
type Item struct {
	CustomID string `msgpack:"custom_id"` // caller's identifier, unique in the job
	Body     []byte `msgpack:"body"`      // request body
}

// ItemsRecord carries a run of items. It counts only for the submission that opened the job, so that two submissions
// under one key cannot mix their items.
type ItemsRecord struct {
	Job    string `msgpack:"job"`
	Digest string `msgpack:"digest"` // digest of the submission, as in Open
	First  int    `msgpack:"first"`  // index of the first item, from 0
	Items  []Item `msgpack:"items"`
}

// SubmitRecord accepts a job. It counts only when all items were carried before it, and only for the submission that
// opened the job.
type SubmitRecord struct {
	Job    string `msgpack:"job"`
	Digest string `msgpack:"digest"` // digest of the submission, as in Open
}

// LeaseRecord grants a shard of items to a failure domain. The offset of the record is its fencing token.
type LeaseRecord struct {
	Job        string `msgpack:"job"`
	Shard      int    `msgpack:"shard"`       // from 0
	Domain     string `msgpack:"domain"`      // failure domain
	Holder     string `msgpack:"holder"`      // VM and incarnation of the daemon that runs the shard
	DurationMS int64  `msgpack:"duration_ms"` // time without renewal after which the grantor may replace it
	Replaces   int64  `msgpack:"replaces"`    // offset of the lease that it replaces; 0 for none
}

// StartRecord marks items as about to be dispatched. It precedes the dispatch of items that may not run twice.
type StartRecord struct {
	Job   string `msgpack:"job"`
	Shard int    `msgpack:"shard"`
	Lease int64  `msgpack:"lease"` // offset of the lease
	Items []byte `msgpack:"items"` // serialized roaring bitmap of item indexes
}

// Effect says how an item ended.
type Effect uint8

const (
	// Done means that the item ran and has a result.
	Done Effect = iota + 1
	// Failed means that the item can never be done, or used up its attempts.
	Failed
	// Unknown means that the item was dispatched once and its effect could not be found out.
	Unknown
)

// String returns the name used in results.
func (e Effect) String() string {
	switch e {
	case Done:
		return "done"
	case Failed:
		return "failed"
	case Unknown:
		return "unknown"
	default:
		return "pending"
	}
}

// Result is the end of one item.
type Result struct {
	Index    uint32 `msgpack:"index"`
	Effect   Effect `msgpack:"effect"`
	Status   int    `msgpack:"status"`   // status of the target's answer
	Body     []byte `msgpack:"body"`     // target's answer
	Reason   string `msgpack:"reason"`   // why the item failed
	Attempts int    `msgpack:"attempts"` // attempts made
}

// ItemAttempts says how often a pending item was attempted without success.
type ItemAttempts struct {
	Index    uint32 `msgpack:"index"`
	Attempts int    `msgpack:"attempts"`
}

// ProgressRecord reports ended items of a shard and renews its lease.
type ProgressRecord struct {
	Job     string   `msgpack:"job"`
	Shard   int      `msgpack:"shard"`
	Lease   int64    `msgpack:"lease"` // offset of the lease
	Results []Result `msgpack:"results"`
	Tries   []ItemAttempts    `msgpack:"tries"`   // attempts so far, so that the bound holds across takeovers
	Release bool     `msgpack:"release"` // the holder has stopped; the lease ends with this record
	Unsent  []uint32 `msgpack:"unsent"`  // started items that the holder did not send; only with Release
}

// CancelRecord stops a job. It fences every lease, start and progress after it.
type CancelRecord struct {
	Job     string `msgpack:"job"`
	Account string `msgpack:"account"`
}

// AmendRecord changes a running job.
type AmendRecord struct {
	Job        string `msgpack:"job"`
	Account    string `msgpack:"account"`
	Priority   *int   `msgpack:"priority"`
	DeadlineMS *int64 `msgpack:"deadline_ms"`
}

// Snapshot is the state of a job in a snapshot, without its items and results.
type Snapshot struct {
	Open     OpenRecord           `msgpack:"open"`
	State    State          `msgpack:"state"`
	OpenedMS int64          `msgpack:"opened_ms"` // log's time of the open record, Unix milliseconds
	EndedMS  int64          `msgpack:"ended_ms"`  // log's time of the end, Unix milliseconds; 0 before it
	Carried  []byte         `msgpack:"carried"`   // serialized roaring bitmaps of item indexes
	Tries    map[uint32]int `msgpack:"tries"`     // attempts made on items that have not ended
	Started  []byte         `msgpack:"started"`
	Ended    []byte         `msgpack:"ended"`
	Leases   []LeaseSnapshot   `msgpack:"leases"`
}

// LeaseSnapshot is a lease in force in a snapshot.
type LeaseSnapshot struct {
	Lease    LeaseRecord `msgpack:"lease"`
	Offset   int64 `msgpack:"offset"`
	Renewals int   `msgpack:"renewals"`
	Released bool  `msgpack:"released"`
}

// ResultsRecord carries results of a job in a snapshot.
type ResultsRecord struct {
	Job     string   `msgpack:"job"`
	Results []Result `msgpack:"results"`
}
