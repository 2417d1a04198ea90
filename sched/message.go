package sched

// The messages between a slot holder and the slot owner of a target. Times are relative, as the clocks of VMs differ.

// AcquireArgs is a slot request for a target.
type AcquireArgs struct {
	Target string             `msgpack:"target"`
	Demand SlotRequestMessage `msgpack:"demand"`
	WaitUS int64              `msgpack:"wait"` // bound on the wait, as in SlotRequest.WithMaxWait
}

// SlotRequestMessage is a slot request, or a lease that its holder renews. Keep means that the lease is not preempted.
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

// AcquireReply is the result of a slot request, which is either granted or rejected.
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

// RenewArgs renews all leases that a daemon holds from one owner. The call returns when one of them is preempted, or
// after the wait.
type RenewArgs struct {
	Holder string               `msgpack:"holder"`
	Slots  []SlotRequestMessage `msgpack:"slots"`
	WaitUS int64                `msgpack:"wait"`
}

// RenewReply lists the preempted leases, which the holder has to release.
type RenewReply struct {
	Preempted []string `msgpack:"preempted"`
}

// ReleaseArgs ends a lease or withdraws a slot request. The times and tokens are an Observation.
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
