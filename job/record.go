package job

// The records of a batch job. They are wire messages: a codec fills their fields.

// Open announces a job. Its items follow in Items records; it is accepted by Submit.
type Open struct {
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

// Items carries a run of items.
type Items struct {
	Job   string `msgpack:"job"`
	First int    `msgpack:"first"` // index of the first item, from 0
	Items []Item `msgpack:"items"`
}

// Submit accepts a job. It counts only when all items were carried before it.
type Submit struct {
	Job string `msgpack:"job"`
}

// Lease grants a shard of items to a failure domain. The offset of the record is its fencing token.
type Lease struct {
	Job        string `msgpack:"job"`
	Shard      int    `msgpack:"shard"`       // from 0
	Domain     string `msgpack:"domain"`      // failure domain
	Holder     string `msgpack:"holder"`      // VM and incarnation of the daemon that runs the shard
	DurationMS int64  `msgpack:"duration_ms"` // time without renewal after which the grantor may replace it
	Replaces   int64  `msgpack:"replaces"`    // offset of the lease that it replaces; 0 for none
}

// Start marks items as about to be dispatched. It precedes the dispatch of items that may not run twice.
type Start struct {
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

// Try says how often a pending item was attempted without success.
type Try struct {
	Index    uint32 `msgpack:"index"`
	Attempts int    `msgpack:"attempts"`
}

// Progress reports ended items of a shard and renews its lease.
type Progress struct {
	Job     string   `msgpack:"job"`
	Shard   int      `msgpack:"shard"`
	Lease   int64    `msgpack:"lease"` // offset of the lease
	Results []Result `msgpack:"results"`
	Tries   []Try    `msgpack:"tries"` // attempts so far, so that the bound holds across takeovers
}

// Cancel stops a job. It fences every lease, start and progress after it.
type Cancel struct {
	Job     string `msgpack:"job"`
	Account string `msgpack:"account"`
}

// Amend changes a running job.
type Amend struct {
	Job        string `msgpack:"job"`
	Account    string `msgpack:"account"`
	Priority   *int   `msgpack:"priority"`
	DeadlineMS *int64 `msgpack:"deadline_ms"`
}
