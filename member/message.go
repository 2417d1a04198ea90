package member

// State is the known state of an incarnation of a daemon. Of two reports with equal incarnation and counter, the one
// with the higher state takes precedence.
type State uint8

const (
	// Live means that the daemon replies to probes.
	Live State = iota + 1
	// Suspect means that the daemon replied neither to this daemon nor to the peers that checked it. It stays in the view.
	Suspect
	// Removed means that a suspicion was not refuted in time. A higher counter refutes the removal.
	Removed
	// Leaving means that the VM is being removed. No counter refutes it, only a new incarnation.
	Leaving
)

// Change is the state of one daemon of the failure domain as reported by a daemon. It is a wire message.
type Change struct {
	_msgpack    struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	VM          string   // name of the VM
	Address     string   // IP:port for other daemons
	Incarnation uint64   // start of the process, Unix milliseconds; higher after a restart
	Counter     uint32   // number of refutations within the incarnation
	State       State
}

// Departure reports that a target is leaving. It is a wire message. The address tells the target apart from that of a
// later VM with the same name.
type Departure struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	VM       string   // name of the VM
	Address  string   // IP:port for requests
	Since    int64    // first report, Unix seconds
}

// Message is a heartbeat or the reply to one. It is a wire message.
type Message struct {
	_msgpack   struct{}    `msgpack:",as_array"` //nolint:unused // read by the codec
	Domain     string      // failure domain of the sender
	Region     string      // region of the sender; empty within a failure domain
	From       Change      // state of the sender
	Config     int64       // configuration version of the sender
	Table      uint64      // digest of the sender's live daemons
	Departed   uint64      // digest of the sender's leaving targets
	List       uint64      // digest of the sender's list of VMs; 0 if it has none
	ListAge    uint32      // time since the platform confirmed that list, milliseconds
	Full       bool        // the sender requests a full sync: all states and departures in the reply
	Changes    []Change    // recent changes; all states in a full sync
	Departures []Departure // recent departures; all in a full sync
}

// ListedVM is an entry of the platform's list of VMs.
type ListedVM struct {
	VM      string
	Address string // IP:port for other daemons; for requests if it is a target
	Domain  string
	Region  string
	Target  bool
	Leaving bool
}

// Settings describe a daemon and the bounds of its membership protocol.
type Settings struct {
	VM          string
	Address     string // IP:port for other daemons
	Domain      string
	Region      string
	Incarnation uint64                    // start of the process, Unix milliseconds
	Seeds       []string                  // addresses of some daemons
	Valid       func(address string) bool // checks an address of a received message; nil accepts all
	Bounds      Bounds                    // the zero value stands for the defaults
}
