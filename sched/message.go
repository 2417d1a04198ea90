package sched

// Messages between a daemon and the owner of a target. Times are lengths, as the clocks of VMs differ.

// AcquireArgs asks for a slot.
type AcquireArgs struct {
	Target string      `msgpack:"target"`
	Demand SlotRequestMessage `msgpack:"demand"`
	WaitUS int64       `msgpack:"wait"` // bound on the wait, as in Demand.WithMaxWait
}

// SlotRequestMessage is a demand, or a slot that a daemon holds.
type SlotRequestMessage struct {
	Target      string `msgpack:"target"`
	ID          string `msgpack:"id"`
	Holder      string `msgpack:"holder"`
	Account     string `msgpack:"account"`
	Class       uint8  `msgpack:"class"`
	RemainingUS int64  `msgpack:"remaining"` // time to the deadline; 0 if there is none
	Tokens      int    `msgpack:"tokens"`
	Long        bool   `msgpack:"long"`
	Keep        bool   `msgpack:"keep"`
}

// AcquireReply is the answer to a demand.
type AcquireReply struct {
	Granted      bool        `msgpack:"granted"`
	RetryAfterUS int64       `msgpack:"retry_after"`
	Load         LoadMessage `msgpack:"load"`
}

// LoadMessage is the load of a target's queue.
type LoadMessage struct {
	Online  int `msgpack:"online"`
	Batch   int `msgpack:"batch"`
	Waiting int `msgpack:"waiting"`
	Limit   int `msgpack:"limit"`
}

// RenewArgs renews all slots that a daemon holds from one owner. The call returns when one of them is preempted, or
// after the wait.
type RenewArgs struct {
	Holder string        `msgpack:"holder"`
	Slots  []SlotRequestMessage `msgpack:"slots"`
	WaitUS int64         `msgpack:"wait"`
}

// RenewReply lists the slots to give back.
type RenewReply struct {
	Preempted []string `msgpack:"preempted"`
}

// ReleaseArgs gives a slot back, or withdraws a demand.
type ReleaseArgs struct {
	Target  string `msgpack:"target"`
	ID      string `msgpack:"id"`
	FirstUS int64  `msgpack:"first"`
	PerUS   int64  `msgpack:"per"`
	TotalUS int64  `msgpack:"total"`
	Tokens  int    `msgpack:"tokens"`
	OK      bool   `msgpack:"ok"`
}

// ReleaseReply has the load after the release.
type ReleaseReply struct {
	Load LoadMessage `msgpack:"load"`
}
