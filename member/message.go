package member

// State is what is known of an incarnation of a daemon. Of two reports with equal incarnation and counter, the
// one with the higher state takes precedence.
type State uint8

const (
	// Live means that the daemon answers.
	Live State = iota + 1
	// Suspect means that the daemon did not answer directly or through others. It stays in the view.
	Suspect
	// Removed means that a suspicion was not refuted in time. A higher counter refutes it.
	Removed
	// Leaving means that the VM is being removed. No counter refutes it, only a new incarnation.
	Leaving
)

// Change is a report about one daemon of the failure domain. It is a wire message.
type Change struct {
	_msgpack    struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	VM          string   // name of the VM
	Address     string   // IP:port for other daemons
	Incarnation uint64   // start of the process, Unix milliseconds; a restart has a higher one
	Counter     uint32   // number of refutations within the incarnation
	State       State
}

// Departure is a target that is leaving. It is a wire message. The address distinguishes a VM from a later one
// of the same name.
type Departure struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	VM       string   // name of the VM
	Address  string   // IP:port for requests
	Since    int64    // first report, Unix seconds
}

// Message is a heartbeat or the answer to one. It is a wire message.
type Message struct {
	_msgpack   struct{}    `msgpack:",as_array"` //nolint:unused // read by the codec
	Domain     string      // failure domain of the sender
	Region     string      // region of the sender; empty within a failure domain
	From       Change      // the sender about itself
	Config     int64       // configuration version of the sender
	Table      uint64      // digest of the sender's live daemons
	Departed   uint64      // digest of the sender's leaving targets
	List       uint64      // digest of the sender's platform list; 0 when it has none
	ListAge    uint32      // time since the platform confirmed that list, milliseconds
	Full       bool        // the sender asks for everything the receiver knows
	Changes    []Change    // recent changes, or all
	Departures []Departure // recent departures, or all
}

// ListedVM is an entry of the platform's list as the membership needs it.
type ListedVM struct {
	VM      string
	Address string // IP:port for other daemons, or for requests when it is a target
	Domain  string
	Region  string
	Target  bool
	Leaving bool
}

// Settings identify a daemon and bound its membership. Zero bounds take the defaults.
type Settings struct {
	VM          string
	Address     string // IP:port for other daemons
	Domain      string
	Region      string
	Incarnation uint64                    // start of the process, Unix milliseconds
	Seeds       []string                  // addresses of some daemons
	Valid       func(address string) bool // checks the addresses of received messages; nil accepts all
	Bounds      Bounds
}
