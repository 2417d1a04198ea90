package slots

// The messages between the daemons that use the slots of a service and the daemon that hands them out. A codec fills
// the fields.

// AskArgs asks for a slot.
type AskArgs struct {
	Service string   `msgpack:"service"`
	ID      string   `msgpack:"id"`
	Holder  string   `msgpack:"holder"`  // VM that asks
	Address string   `msgpack:"address"` // where it takes notices
	Domain  string   `msgpack:"domain"`
	Batch   bool     `msgpack:"batch"`
	Rank    int      `msgpack:"rank"`
	DueMS   int64    `msgpack:"due_ms"`   // time from now
	NeedsMS int64    `msgpack:"needs_ms"` // time from the start of the work to its end; 0 when not known
	MostMS  int64    `msgpack:"most_ms"`  // expected wait above which the demand is refused; 0 for never
	Avoid   []string `msgpack:"avoid"`
	Prefer  string   `msgpack:"prefer"`
}

// AskReply names the target of the slot; none when the demand waits.
type AskReply struct {
	Target  string `msgpack:"target"`
	Refused bool   `msgpack:"refused"` // the wait would be too long
}

// WithdrawArgs ends a demand that waits.
type WithdrawArgs struct {
	Service string `msgpack:"service"`
	ID      string `msgpack:"id"`
}

// ReleaseArgs gives a slot back.
type ReleaseArgs struct {
	Service string `msgpack:"service"`
	ID      string `msgpack:"id"`
	Target  string `msgpack:"target"`
	Fault   uint8  `msgpack:"fault"` // a pool.Fault
}

// ReportArgs lists all slots of a service that a daemon holds.
type ReportArgs struct {
	Service string         `msgpack:"service"`
	Holder  string         `msgpack:"holder"`
	Address string         `msgpack:"address"`
	Leases  []LeaseMessage `msgpack:"leases"`
}

// LeaseMessage is a slot that a daemon holds.
type LeaseMessage struct {
	ID     string `msgpack:"id"`
	Target string `msgpack:"target"`
	Batch  bool   `msgpack:"batch"`
	DueMS  int64  `msgpack:"due_ms"`   // time from now
	Needs  int64  `msgpack:"needs_ms"` // time from now to the end of the work
}

// NoticeArgs tells a daemon what was decided about its demands and leases.
type NoticeArgs struct {
	Service string         `msgpack:"service"`
	Grants  []LeaseMessage `msgpack:"grants"`
	Yields  []string       `msgpack:"yields"` // identifiers of leases that are to be given back
}

// Empty is a reply without content.
type Empty struct{}
