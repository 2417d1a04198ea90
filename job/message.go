package job

// The messages about jobs between daemons. They are wire messages: a codec fills their fields.

// ShardRef names a shard of a job.
type ShardRef struct {
	Job   string `msgpack:"job"`
	Shard int    `msgpack:"shard"`
}

// LeasedShard is a leased shard as its holder gets it.
type LeasedShard struct {
	Job         string      `msgpack:"job"`
	Shard       int         `msgpack:"shard"`
	Lease       int64       `msgpack:"lease"`       // offset of the lease
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

// Ref returns the shard's name.
func (s LeasedShard) Ref() ShardRef { return ShardRef{Job: s.Job, Shard: s.Shard} }

// ShardItem is a pending item of a leased shard.
type ShardItem struct {
	Index    uint32 `msgpack:"index"`
	Body     []byte `msgpack:"body"`
	Attempts int    `msgpack:"attempts"` // attempts under earlier leases
	Started  bool   `msgpack:"started"`  // may have been dispatched and must not be again
}

// Report tells the writer what became of items of a leased shard, and renews the lease.
type Report struct {
	Job     string   `msgpack:"job"`
	Shard   int      `msgpack:"shard"`
	Lease   int64    `msgpack:"lease"` // offset of the lease
	Results []Result `msgpack:"results"`
	Tries   []ItemAttempts    `msgpack:"tries"`
	Unsent  []uint32 `msgpack:"unsent"`  // as in Progress
	Release bool     `msgpack:"release"` // the holder has stopped and the shard may be granted at once
}

// Ref returns the shard's name.
func (r Report) Ref() ShardRef { return ShardRef{Job: r.Job, Shard: r.Shard} }

// Renewal answers a report.
type Renewal struct {
	Holds      bool  `msgpack:"holds"`     // the lease is in force and the job runs
	Cancelled  bool  `msgpack:"cancelled"` // the job was cancelled
	Priority   int   `msgpack:"priority"`  // in force, after amendments
	DeadlineMS int64 `msgpack:"deadline_ms"`
}

// Status is the state of a job as a whole.
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

// ItemResult is the result of an item with the caller's identifier.
type ItemResult struct {
	CustomID string `msgpack:"custom_id"`
	Result   Result `msgpack:"result"`
}
