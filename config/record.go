package config

import "github.com/agategap/agategap/tomlfile"

// Document is a configuration as operators publish it, in TOML. A codec fills the fields.
type Document struct {
	Partitions int             `toml:"partitions" comment:"partitions of the journal; cannot be changed"`
	Bounds     BoundSettings   `toml:"bounds"`
	Batch      BatchSettings   `toml:"batch"`
	Accounts   []AccountRecord `toml:"accounts"`
	Services   []ServiceRecord `toml:"services"`
	Targets    []TargetRecord  `toml:"targets"`
}

// BoundSettings bound what crosses the system.
type BoundSettings struct {
	SpillShare   float64           `toml:"spill_share"`   // share of a service's requests that other failure domains may serve
	RetryShare   float64           `toml:"retry_share"`   // retries and hedges as a share of requests
	SlowShare    float64           `toml:"slow_share"`    // share of a service's targets that may be set aside as slow
	RecordWait   tomlfile.Duration `toml:"record_wait"`   // time that work waits for the log before it is refused
	LeavingBound tomlfile.Duration `toml:"leaving_bound"` // time until a leaving target gets nothing new
}

// BatchSettings are the settings of batch jobs.
type BatchSettings struct {
	ShardItems     int               `toml:"shard_items"`      // items in a shard
	MaxAttempts    int               `toml:"max_attempts"`     // attempts before an item ends as failed
	Lease          tomlfile.Duration `toml:"lease"`            // time without renewal after which a shard passes on
	PauseBound     tomlfile.Duration `toml:"pause_bound"`      // longest pause that a holder is expected to survive
	CutoffRunBound tomlfile.Duration `toml:"cutoff_run_bound"` // time that a failure domain runs items without the log
	AtRiskShare    float64           `toml:"at_risk_share"`    // share of slots for batch work whose deadline is at risk
	Retain         tomlfile.Duration `toml:"retain"`           // how long results stay readable
}

// AccountRecord is an account of callers.
type AccountRecord struct {
	Name        string   `toml:"name"`
	KeyHashes   []string `toml:"key_hashes"`  // SHA-256 of the bearer keys, hex
	Concurrency int      `toml:"concurrency"` // requests in flight at one daemon; 0 for no limit
}

// ServiceRecord is a service.
type ServiceRecord struct {
	Name          string            `toml:"name"`
	Targets       string            `toml:"targets"`        // the platform's service whose targets run it, and the model that engines know; the name when empty
	Kind          string            `toml:"kind"`           // "engine" or "plain"
	Idempotent    bool              `toml:"idempotent"`     // work may be run again
	Record        bool              `toml:"record"`         // work is recorded before it is dispatched
	HoldOnOutage  bool              `toml:"hold_on_outage"` // hold work while the log is down instead of refusing it
	Deadline      tomlfile.Duration `toml:"deadline"`       // deadline when the caller gives none, and the longest one
	MaxAttempts   int               `toml:"max_attempts"`
	Hedge         bool              `toml:"hedge"`
	IdleBound     tomlfile.Duration `toml:"idle_bound"` // longest silence within an answer
	Lookup        bool              `toml:"lookup"`     // targets can say whether they ran a request identifier
	RetainResults tomlfile.Duration `toml:"retain_results"`
}

// TargetRecord overrides settings of a target. Addresses come from the platform's list.
type TargetRecord struct {
	Name          string `toml:"name"`
	ChecksFencing bool   `toml:"checks_fencing"` // the target refuses orders with an old fencing token
}

// Version is a configuration as the log holds it. It is a wire message.
type Version struct {
	ID     string `msgpack:"id"`       // unique identifier of the publication
	BaseOn int64  `msgpack:"based_on"` // version that it was based on; 0 for the first
	Author string `msgpack:"author"`   // operator
	Text   []byte `msgpack:"text"`     // the document
}
