package config

import "github.com/agategap/agategap/tomlfile"

// Document is a configuration as operators publish it, in TOML. Its fields are exported for the codec.
type Document struct {
	Partitions int             `toml:"partitions" comment:"partitions of the journal; cannot be changed"`
	Bounds     BoundSettings   `toml:"bounds"`
	Batch      BatchSettings   `toml:"batch"`
	Accounts   []AccountRecord `toml:"accounts"`
	Services   []ServiceRecord `toml:"services"`
	Targets    []TargetRecord  `toml:"targets"`
}

// BoundSettings are the bounds on retries, spilling to other failure domains, ejection of targets and waiting.
type BoundSettings struct {
	SpillShare   float64           `toml:"spill_share"`   // greatest share of a service's requests that other failure domains may serve
	RetryShare   float64           `toml:"retry_share"`   // greatest share of retries and hedges in the requests
	SlowShare    float64           `toml:"slow_share"`    // greatest share of a service's targets that may be ejected as slow
	RecordWait   tomlfile.Duration `toml:"record_wait"`   // longest time that work waits for the log before it is refused
	LeavingBound tomlfile.Duration `toml:"leaving_bound"` // time after which a leaving target gets no new requests
}

// BatchSettings are the settings of batch jobs.
type BatchSettings struct {
	ShardItems     int               `toml:"shard_items"`      // items of one shard of a job
	MaxAttempts    int               `toml:"max_attempts"`     // attempts after which an item ends as failed
	Lease          tomlfile.Duration `toml:"lease"`            // time without a renewal after which the lease on a shard expires for its holder
	PauseBound     tomlfile.Duration `toml:"pause_bound"`      // longest pause that a lease holder is expected to survive; another daemon gets the shard after lease and pause_bound
	CutoffRunBound tomlfile.Duration `toml:"cutoff_run_bound"` // time for which a failure domain keeps running items without the log
	AtRiskShare    float64           `toml:"at_risk_share"`    // share of slots for batch work that is at risk of missing its deadline
	Retain         tomlfile.Duration `toml:"retain"`           // retention of the results of a job
}

// AccountRecord is an account, to which callers belong by their bearer keys.
type AccountRecord struct {
	Name        string   `toml:"name"`
	KeyHashes   []string `toml:"key_hashes"`  // SHA-256 hashes of the bearer keys, in hex
	Concurrency int      `toml:"concurrency"` // greatest number of requests in flight at one daemon; 0 for no limit
}

// ServiceRecord has the settings of a service.
type ServiceRecord struct {
	Name          string            `toml:"name"`
	Targets       string            `toml:"targets"`        // service of the platform whose targets run it, which is also the model name at engines; Name if empty
	Kind          string            `toml:"kind"`           // "engine" or "plain"
	Idempotent    bool              `toml:"idempotent"`     // work may run more than once
	Record        bool              `toml:"record"`         // work is recorded in the log before it is sent to a target
	HoldOnOutage  bool              `toml:"hold_on_outage"` // hold recorded work while the log is down instead of refusing it
	Deadline      tomlfile.Duration `toml:"deadline"`       // deadline of a request without one, and the longest that a caller may set
	MaxAttempts   int               `toml:"max_attempts"`   // greatest number of attempts that are sent to a target; 1 if not idempotent
	Hedge         bool              `toml:"hedge"`          // send a second attempt if the first is slow; only if idempotent
	IdleBound     tomlfile.Duration `toml:"idle_bound"`     // longest time without an event within a response
	Lookup        bool              `toml:"lookup"`         // targets can report whether they ran the request with an identifier
	RetainResults tomlfile.Duration `toml:"retain_results"` // time for which recorded results are readable
}

// TargetRecord overrides settings of a target. The address of a target comes from the platform's list of VMs.
type TargetRecord struct {
	Name          string `toml:"name"`
	ChecksFencing bool   `toml:"checks_fencing"` // the target refuses requests with an old fencing token
}

// Version is a published configuration as it is encoded in the log and in messages between daemons.
type Version struct {
	ID     string `msgpack:"id"`       // unique identifier of the publication
	BaseOn int64  `msgpack:"based_on"` // number of the version that it is based on; 0 for the first version
	Author string `msgpack:"author"`   // name of the operator who published it
	Text   []byte `msgpack:"text"`     // the document in TOML
}
