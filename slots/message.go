package slots

// The messages between the daemons that use the slots of a service and the daemon that hands them out. A codec fills
// the fields.

// DemandMessage asks for a slot.
type DemandMessage struct {
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

// DemandReply names the target of the slot; none when the demand waits.
type DemandReply struct {
	Target  string `msgpack:"target"`
	Refused bool   `msgpack:"refused"` // the wait would be too long
}

// WithdrawMessage ends a demand that waits.
type WithdrawMessage struct {
	Service string `msgpack:"service"`
	ID      string `msgpack:"id"`
}

// ReleaseMessage gives a slot back.
type ReleaseMessage struct {
	Service string `msgpack:"service"`
	ID      string `msgpack:"id"`
	Target  string `msgpack:"target"`
	Fault   uint8  `msgpack:"fault"` // a pool.Fault
}

// ReportMessage lists all slots of a service that a daemon holds.
type ReportMessage struct {
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

// NoticeMessage tells a daemon what was decided about its demands and leases.
type NoticeMessage struct {
	Service string         `msgpack:"service"`
	Grants  []LeaseMessage `msgpack:"grants"`
	Yields  []string       `msgpack:"yields"` // identifiers of leases that are to be given back
}

// Empty is a reply without content.
type Empty struct{}
