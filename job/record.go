package job

// The types of this file are the records of a batch job and its state in snapshots. Their fields are exported for the
// codec.

// OpenRecord opens a job. Its items follow in records of type ItemsRecord, and a SubmitRecord accepts it.
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
	MaxAttempts int    `msgpack:"max_attempts"` // attempts after which an item ends as failed
	Priority    int    `msgpack:"priority"`     // higher runs first
	DeadlineMS  int64  `msgpack:"deadline_ms"`  // Unix time in milliseconds
	RetainMS    int64  `msgpack:"retain_ms"`    // how long results stay readable after the end
}

// Item is one request of a job.
type Item struct {
	CustomID string `msgpack:"custom_id"` // caller's identifier, unique in the job
	Body     []byte `msgpack:"body"`      // request body
}

// ItemsRecord has consecutive items of a job. It takes effect only if it belongs to the submission that opened the job,
// so that the items of two submissions under one key cannot mix.
type ItemsRecord struct {
	Job    string `msgpack:"job"`
	Digest string `msgpack:"digest"` // digest of the submission, as in OpenRecord
	First  int    `msgpack:"first"`  // index of the first of the items, from 0
	Items  []Item `msgpack:"items"`
}

// SubmitRecord accepts a job. It takes effect only after the records of all items and only if it belongs to the
// submission that opened the job.
type SubmitRecord struct {
	Job    string `msgpack:"job"`
	Digest string `msgpack:"digest"` // digest of the submission, as in OpenRecord
}

// LeaseRecord grants a shard of items to a daemon. The offset of the record is the fencing token of the lease.
type LeaseRecord struct {
	Job        string `msgpack:"job"`
	Shard      int    `msgpack:"shard"`       // from 0
	Domain     string `msgpack:"domain"`      // failure domain of the daemon that runs the shard
	Holder     string `msgpack:"holder"`      // VM and incarnation of the daemon that runs the shard
	DurationMS int64  `msgpack:"duration_ms"` // time without renewal after which the lease may be replaced
	Replaces   int64  `msgpack:"replaces"`    // offset of the lease record that it replaces; 0 for none
}

// StartRecord marks items as about to be dispatched. It is appended before items that may not run twice are dispatched.
type StartRecord struct {
	Job   string `msgpack:"job"`
	Shard int    `msgpack:"shard"`
	Lease int64  `msgpack:"lease"` // offset of the lease record
	Items []byte `msgpack:"items"` // serialized roaring bitmap of item indexes
}

// Effect says how an item ended.
type Effect uint8

const (
	// Done means that the item ran and has a result.
	Done Effect = iota + 1
	// Failed means that the item will never succeed, has used up its attempts, or has a result above MaxResultBytes.
	Failed
	// Unknown means that the item was dispatched, must not be dispatched again, and its effect could not be determined.
	Unknown
)

// String returns the name of the effect in results; "pending" for 0.
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

// Result is the result of the item at an index of the job.
type Result struct {
	Index    uint32 `msgpack:"index"`
	Effect   Effect `msgpack:"effect"`
	Status   int    `msgpack:"status"`   // status of the target's response
	Body     []byte `msgpack:"body"`     // body of the target's response
	Reason   string `msgpack:"reason"`   // why the item failed
	Attempts int    `msgpack:"attempts"` // number of attempts
}

// ItemAttempts has the number of attempts at the pending item at an index of the job.
type ItemAttempts struct {
	Index    uint32 `msgpack:"index"`
	Attempts int    `msgpack:"attempts"`
}

// ProgressRecord records results and attempts of a shard and renews its lease.
type ProgressRecord struct {
	Job     string         `msgpack:"job"`
	Shard   int            `msgpack:"shard"`
	Lease   int64          `msgpack:"lease"` // offset of the lease record
	Results []Result       `msgpack:"results"`
	Tries   []ItemAttempts `msgpack:"tries"`   // so that MaxAttempts counts attempts of all holders of the shard
	Release bool           `msgpack:"release"` // the holder has stopped; the lease ends with this record
	Unsent  []uint32       `msgpack:"unsent"`  // items with a start record that the holder did not send; only with Release
}

// CancelRecord cancels a job. Later LeaseRecords, StartRecords and ProgressRecords of the job have no effect.
type CancelRecord struct {
	Job     string `msgpack:"job"`
	Account string `msgpack:"account"`
}

// AmendRecord changes the priority or the deadline of a job that has not ended. A nil field leaves the value as it is;
// the deadline is a Unix time in milliseconds.
type AmendRecord struct {
	Job        string `msgpack:"job"`
	Account    string `msgpack:"account"`
	Priority   *int   `msgpack:"priority"`
	DeadlineMS *int64 `msgpack:"deadline_ms"`
}

// Snapshot is the state of a job without its items and results. The bitmaps Carried, Started and Ended have the indexes
// of the items that are stored, have a start record, and have ended. Leases has the latest lease of each shard that had
// one.
type Snapshot struct {
	Open     OpenRecord      `msgpack:"open"`
	State    State           `msgpack:"state"`
	OpenedMS int64           `msgpack:"opened_ms"` // log time of the OpenRecord, Unix milliseconds
	EndedMS  int64           `msgpack:"ended_ms"`  // log time of the end, Unix milliseconds; 0 before it
	Carried  []byte          `msgpack:"carried"`   // serialized roaring bitmap, as are Started and Ended
	Tries    map[uint32]int  `msgpack:"tries"`     // numbers of attempts at pending items by index
	Started  []byte          `msgpack:"started"`
	Ended    []byte          `msgpack:"ended"`
	Leases   []LeaseSnapshot `msgpack:"leases"`
}

// LeaseSnapshot is the state of the latest lease on a shard; Offset is the offset of its record.
type LeaseSnapshot struct {
	Lease    LeaseRecord `msgpack:"lease"`
	Offset   int64       `msgpack:"offset"`
	Renewals int         `msgpack:"renewals"`
	Released bool        `msgpack:"released"`
}

// ResultsRecord has results of a job in a snapshot.
type ResultsRecord struct {
	Job     string   `msgpack:"job"`
	Results []Result `msgpack:"results"`
}
