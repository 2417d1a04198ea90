package answers

import "github.com/agategap/agategap/tomlfile"

// Questionnaire is what an operations team answers about its work, in TOML. A codec fills the fields.
type Questionnaire struct {
	Team     string          `toml:"team"`     // name of the team or tier
	Platform PlatformAnswers `toml:"platform"` // the place where the work runs
	Shortage ShortageAnswers `toml:"shortage"` // shares when capacity is short
	Callers  []CallerAnswers `toml:"callers"`
	Targets  []TargetAnswers `toml:"targets"`
	Flows    []FlowAnswers   `toml:"flows"`
}

// PlatformAnswers describe the platform.
type PlatformAnswers struct {
	FailureDomains    []string          `toml:"failure_domains"`      // names
	EntryVMsPerDomain int               `toml:"entry_vms_per_domain"` // entry VMs in each failure domain
	DomainDelay       tomlfile.Duration `toml:"domain_delay"`         // delay between failure domains, one way
	LogRetention      tomlfile.Duration `toml:"log_retention"`        // how long the log keeps records
	LongestPause      tomlfile.Duration `toml:"longest_pause"`        // longest pause of a VM that is expected to end
}

// ShortageAnswers say who gives way to whom.
type ShortageAnswers struct {
	OtherDomains float64 `toml:"other_domains"`   // share of a flow's requests that other failure domains may serve
	Repeats      float64 `toml:"repeats"`         // repeated attempts as a share of requests
	SlowTargets  float64 `toml:"slow_targets"`    // share of targets that may be set aside as slow
	LateBatches  float64 `toml:"batches_at_risk"` // share of slots for batch work that would miss its deadline
}

// CallerAnswers describe a customer.
type CallerAnswers struct {
	Name        string   `toml:"name"`
	KeyHashes   []string `toml:"key_hashes"`  // SHA-256 of the bearer keys, hex
	Concurrency int      `toml:"concurrency"` // requests in flight at one daemon; 0 for no limit
}

// TargetAnswers describe one kind of back end.
type TargetAnswers struct {
	Name          string            `toml:"name"`         // service in the platform's list
	Kind          string            `toml:"kind"`         // "engine" or "plain"
	Count         int               `toml:"count"`        // targets in all failure domains
	FirstToken    tomlfile.Duration `toml:"first_token"`  // shortest time to a first token, or to the answer of a plain service
	PerToken      tomlfile.Duration `toml:"per_token"`    // shortest time between tokens
	ItemsInFlight int               `toml:"in_flight"`    // requests that one target runs at a time
	TellsIfRan    bool              `toml:"tells_if_ran"` // a target can say whether it ran a request identifier
}

// FlowAnswers describe one flow of work. Each becomes a service.
type FlowAnswers struct {
	Name            string            `toml:"name"`             // service name that callers use
	Targets         string            `toml:"targets"`          // name of its targets
	Form            string            `toml:"form"`             // "online" or "batch"
	Deadline        tomlfile.Duration `toml:"deadline"`         // time for one request or one item
	Window          tomlfile.Duration `toml:"window"`           // time for a whole batch job
	Items           int               `toml:"items"`            // largest batch job
	BodyBytes       int               `toml:"body_bytes"`       // largest request or item
	AnswerTokens    int               `toml:"answer_tokens"`    // usual length of an answer; 0 for plain services
	MayRepeat       bool              `toml:"may_repeat"`       // the work may run more than once
	CallerWaits     bool              `toml:"caller_waits"`     // the caller waits for the result and sends the work again when none comes
	Hedge           *bool             `toml:"hedge"`            // send a second attempt when the first is slow; absent leaves it to the other answers
	DuringLogOutage string            `toml:"during_outage"`    // "refuse" or "hold" recorded work while the log is down
	ResultsReadable tomlfile.Duration `toml:"results_readable"` // how long results stay readable
	CancelWithin    tomlfile.Duration `toml:"cancel_within"`    // longest time that a cancelled job may go on where it cannot be reached
	Harm            HarmAnswers       `toml:"harm"`
}

// HarmAnswers say what happens to callers. Each is "none", "minor" or "severe".
type HarmAnswers struct {
	Late       string `toml:"late"`
	Lost       string `toml:"lost"`
	Duplicated string `toml:"duplicated"`
	Notes      string `toml:"notes"` // what the harm is, for readers
}
