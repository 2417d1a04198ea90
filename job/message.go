package job

// The types of this file are parts of the messages about jobs between daemons. Their fields are exported for the codec.

// ShardRef identifies a shard of a job.
type ShardRef struct {
	Job   string `msgpack:"job"`
	Shard int    `msgpack:"shard"`
}

// LeasedShard is a shard with its lease and the properties of its job, as the holder of the lease gets it.
type LeasedShard struct {
	Job         string      `msgpack:"job"`
	Shard       int         `msgpack:"shard"`
	Lease       int64       `msgpack:"lease"`       // offset of the lease record
	DurationMS  int64       `msgpack:"duration_ms"` // time without renewal after which the lease may be replaced
	Account     string      `msgpack:"account"`
	Service     string      `msgpack:"service"`
	Path        string      `msgpack:"path"`
	Idempotent  bool        `msgpack:"idempotent"`
	MaxAttempts int         `msgpack:"max_attempts"`
	Priority    int         `msgpack:"priority"`
	DeadlineMS  int64       `msgpack:"deadline_ms"`
	Items       []ShardItem `msgpack:"items"` // pending items
}

// Ref returns the reference to the shard.
func (s LeasedShard) Ref() ShardRef { return ShardRef{Job: s.Job, Shard: s.Shard} }

// ShardItem is a pending item of a leased shard.
type ShardItem struct {
	Index    uint32 `msgpack:"index"`
	Body     []byte `msgpack:"body"`
	Attempts int    `msgpack:"attempts"` // number of attempts under earlier leases
	Started  bool   `msgpack:"started"`  // may have been dispatched and must not be dispatched again
}

// Report has the results of a leased shard that are not confirmed yet and the new attempts at its pending items, and
// renews the lease. Its holder sends it to the writer of the partition.
type Report struct {
	Job     string         `msgpack:"job"`
	Shard   int            `msgpack:"shard"`
	Lease   int64          `msgpack:"lease"` // offset of the lease record
	Results []Result       `msgpack:"results"`
	Tries   []ItemAttempts `msgpack:"tries"`
	Unsent  []uint32       `msgpack:"unsent"`  // as in ProgressRecord
	Release bool           `msgpack:"release"` // the holder has stopped, so that the shard may be granted at once
}

// Ref returns the reference to the shard.
func (r Report) Ref() ShardRef { return ShardRef{Job: r.Job, Shard: r.Shard} }

// Renewal is the reply to a report or to the start of items. It says whether the lease is in force afterwards, and has
// the priority and the deadline after amendments.
type Renewal struct {
	Holds      bool  `msgpack:"holds"`     // the lease is in force and the job runs
	Cancelled  bool  `msgpack:"cancelled"` // the job was cancelled
	Priority   int   `msgpack:"priority"`
	DeadlineMS int64 `msgpack:"deadline_ms"` // Unix time in milliseconds
}

// Status has the state of a job and the numbers of its items by effect.
type Status struct {
	ID         string `msgpack:"id"`
	Account    string `msgpack:"account"`
	Digest     string `msgpack:"digest"`
	State      State  `msgpack:"state"`
	Service    string `msgpack:"service"`
	Priority   int    `msgpack:"priority"`
	DeadlineMS int64  `msgpack:"deadline_ms"`
	Items      int    `msgpack:"items"`
	Done       int    `msgpack:"done"`
	Failed     int    `msgpack:"failed"`
	Unknown    int    `msgpack:"unknown"`
	Pending    int    `msgpack:"pending"`
}

// ItemResult is the result of an item with the caller's identifier of the item.
type ItemResult struct {
	CustomID string `msgpack:"custom_id"`
	Result   Result `msgpack:"result"`
}
