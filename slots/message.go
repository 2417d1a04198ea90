package slots

// The messages between the slot holders of a service and its slot owner. They are encoded as MessagePack, and a codec
// sets the fields. Times are relative, as the clocks of VMs differ.

// AskArgs is a slot request. Rank is its priority, and Avoid and Prefer are names of targets.
type AskArgs struct {
	Service string   `msgpack:"service"`
	ID      string   `msgpack:"id"`
	Holder  string   `msgpack:"holder"`  // VM that requests the slot
	Address string   `msgpack:"address"` // address of the holder, to which notices are sent
	Domain  string   `msgpack:"domain"`
	Batch   bool     `msgpack:"batch"`
	Rank    int      `msgpack:"rank"`
	DueMS   int64    `msgpack:"due_ms"`   // time left until the due time
	NeedsMS int64    `msgpack:"needs_ms"` // run time of the work; 0 if unknown
	Late    bool     `msgpack:"late"`     // online: the objective cannot be met any more
	MostMS  int64    `msgpack:"most_ms"`  // expected wait above which the request is refused; 0 if it never is
	Avoid   []string `msgpack:"avoid"`
	Prefer  string   `msgpack:"prefer"`
	Parts   []string `msgpack:"parts"`   // identifiers of the parts of the prompt
	Request string   `msgpack:"request"` // identifier of the request, the same for all of its attempts
}

// AskReply has the target of the granted slot. Target is empty if the request waits or is refused.
type AskReply struct {
	Target  string `msgpack:"target"`
	Refused bool   `msgpack:"refused"` // the expected wait is too long
	// Quarantined has parts of the prompt under which targets crash, so that the request is rejected for another
	// QuarantinedMS; empty if there are none.
	Quarantined   []string `msgpack:"quarantined"`
	QuarantinedMS int64    `msgpack:"quarantined_ms"`
	Trial         bool     `msgpack:"trial"` // the request tries quarantined parts
}

// WithdrawArgs ends the wait of a slot request.
type WithdrawArgs struct {
	Service string `msgpack:"service"`
	ID      string `msgpack:"id"`
}

// ReleaseArgs ends a lease.
type ReleaseArgs struct {
	Service string `msgpack:"service"`
	ID      string `msgpack:"id"`
	Target  string `msgpack:"target"`
	Fault   uint8  `msgpack:"fault"` // a pool.Fault
	// Parts are the parts of the prompt that Prompt, a filter.PromptOutcome, is about.
	Parts  []string `msgpack:"parts"`
	Prompt uint8    `msgpack:"prompt"`
	// Request, Start, Events and AgeMS are set with suspect parts: the identifier of the request, the start of the
	// target's process in Unix milliseconds, and the events and the age of the attempt at its end.
	Request string `msgpack:"request"`
	Start   int64  `msgpack:"start"`
	Events  int    `msgpack:"events"`
	AgeMS   int64  `msgpack:"age_ms"`
	Sent    bool   `msgpack:"sent"` // the request may have reached the target
}

// SoundArgs says that a response got beyond its beginning on the parts of a prompt.
type SoundArgs struct {
	Service string   `msgpack:"service"`
	Parts   []string `msgpack:"parts"`
}

// ReportArgs lists all leases of a daemon for one service.
type ReportArgs struct {
	Service string         `msgpack:"service"`
	Holder  string         `msgpack:"holder"`
	Address string         `msgpack:"address"`
	Leases  []LeaseMessage `msgpack:"leases"`
}

// LeaseMessage is a lease. Notices set only ID and Target.
type LeaseMessage struct {
	ID     string `msgpack:"id"`
	Target string `msgpack:"target"`
	Batch  bool   `msgpack:"batch"`
	DueMS  int64  `msgpack:"due_ms"`   // time left until the due time
	Needs  int64  `msgpack:"needs_ms"` // time left until the expected end of the work
}

// NoticeArgs are the arguments of Holder.Notice: which waiting requests of the holder were granted, and which of its
// leases are preempted.
type NoticeArgs struct {
	Service string         `msgpack:"service"`
	Grants  []LeaseMessage `msgpack:"grants"`
	Yields  []string       `msgpack:"yields"` // identifiers of preempted leases
}

// Empty is the reply of methods that return nothing.
type Empty struct{}
