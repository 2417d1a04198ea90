package answers

import "github.com/agategap/agategap/tomlfile"

// Questionnaire has the answers of an operations team about its work, in TOML. Its fields are exported for the codec.
type Questionnaire struct {
	Team     string          `toml:"team"`     // name of the team or tier
	Platform PlatformAnswers `toml:"platform"` // platform on which the work runs
	Shortage ShortageAnswers `toml:"shortage"` // use of capacity when it is short
	Callers  []CallerAnswers `toml:"callers"`
	Targets  []TargetAnswers `toml:"targets"`
	Flows    []FlowAnswers   `toml:"flows"`
}

// PlatformAnswers describe the platform and its failure domains.
type PlatformAnswers struct {
	FailureDomains    []string          `toml:"failure_domains"`      // names of the failure domains
	EntryVMsPerDomain int               `toml:"entry_vms_per_domain"` // entry VMs in each failure domain
	DomainDelay       tomlfile.Duration `toml:"domain_delay"`         // one-way network delay between failure domains
	LogRetention      tomlfile.Duration `toml:"log_retention"`        // time for which the log keeps records
	LongestPause      tomlfile.Duration `toml:"longest_pause"`        // longest pause of a VM after which it continues to run
}

// ShortageAnswers limit the use of capacity when it is short.
type ShortageAnswers struct {
	OtherDomains float64 `toml:"other_domains"`   // greatest share of a flow's requests that other failure domains may serve
	Repeats      float64 `toml:"repeats"`         // greatest share of repeated attempts in the requests
	SlowTargets  float64 `toml:"slow_targets"`    // greatest share of targets that may be ejected as slow
	LateBatches  float64 `toml:"batches_at_risk"` // share of slots for batch work that is at risk of missing its deadline
}

// CallerAnswers describe a caller, which becomes an account.
type CallerAnswers struct {
	Name        string   `toml:"name"`
	KeyHashes   []string `toml:"key_hashes"`  // SHA-256 hashes of the bearer keys, in hex
	Concurrency int      `toml:"concurrency"` // greatest number of requests in flight at one daemon; 0 for no limit
}

// TargetAnswers describe a group of targets that run the same service.
type TargetAnswers struct {
	Name          string            `toml:"name"`         // name of the service in the platform's list of VMs
	Kind          string            `toml:"kind"`         // "engine" or "plain"
	Count         int               `toml:"count"`        // number of targets in all failure domains
	FirstToken    tomlfile.Duration `toml:"first_token"`  // shortest time to the first token, or to the response of a plain service
	PerToken      tomlfile.Duration `toml:"per_token"`    // shortest time between tokens
	ItemsInFlight int               `toml:"in_flight"`    // requests that one target runs at the same time
	TellsIfRan    bool              `toml:"tells_if_ran"` // a target can report whether it ran the request with an identifier
}

// FlowAnswers describe one flow of work. Each becomes a service.
type FlowAnswers struct {
	Name            string            `toml:"name"`             // name of the service that callers use
	Targets         string            `toml:"targets"`          // name of its targets
	Form            string            `toml:"form"`             // "online" or "batch"
	Deadline        tomlfile.Duration `toml:"deadline"`         // deadline of one request or one batch item
	Window          tomlfile.Duration `toml:"window"`           // time in which all items of a batch job are to finish
	Items           int               `toml:"items"`            // number of items of the largest batch job
	BodyBytes       int               `toml:"body_bytes"`       // body size of the largest request or batch item
	AnswerTokens    int               `toml:"answer_tokens"`    // usual length of a response; 0 for plain services
	MayRepeat       bool              `toml:"may_repeat"`       // the work may run more than once
	CallerWaits     bool              `toml:"caller_waits"`     // the caller waits for the result and sends the work again when none comes
	Hedge           *bool             `toml:"hedge"`            // send a second attempt when the first is slow; decided by the other answers if absent
	DuringLogOutage string            `toml:"during_outage"`    // "refuse" or "hold" recorded work while the log is down
	ResultsReadable tomlfile.Duration `toml:"results_readable"` // time for which results are readable
	CancelWithin    tomlfile.Duration `toml:"cancel_within"`    // longest time for which a cancelled job may run in a failure domain that is cut off
	Harm            HarmAnswers       `toml:"harm"`
}

// HarmAnswers rate the harm to callers if work is late, lost or duplicated: "none", "minor" or "severe".
type HarmAnswers struct {
	Late       string `toml:"late"`
	Lost       string `toml:"lost"`
	Duplicated string `toml:"duplicated"`
	Notes      string `toml:"notes"` // description of the harm for human readers
}
