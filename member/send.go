package member

// Kind says what a Send asks for.
type Kind uint8

const (
	// Probe is a heartbeat. The answer goes to Answered, its absence to Failed.
	Probe Kind = iota + 1
	// Check asks a peer whether Subject answers it. The result goes to Checked.
	Check
	// Exchange is a heartbeat to another failure domain. The answer goes to Answered.
	Exchange
)

// Request is a message to send.
type Request struct {
	kind            Kind
	vm, address     string
	subject         string
	subjectAddress  string
	message         Message
	subjectIncarnation uint64
}

// Kind returns what is asked for.
func (s Request) Kind() Kind { return s.kind }

// VM returns the receiver's VM, "" for an address from the settings.
func (s Request) VM() string { return s.vm }

// Address returns the receiver's IP number and port.
func (s Request) Address() string { return s.address }

// Message returns the heartbeat; empty for a Check.
func (s Request) Message() Message { return s.message }

// Subject returns the VM to check.
func (s Request) Subject() string { return s.subject }

// SubjectAddress returns the address to check.
func (s Request) SubjectAddress() string { return s.subjectAddress }
