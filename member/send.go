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

// Send is a message to send.
type Send struct {
	kind            Kind
	vm, address     string
	subject         string
	subjectAddress  string
	message         Message
	subjectIdentity uint64
}

// Kind returns what is asked for.
func (s Send) Kind() Kind { return s.kind }

// VM returns the receiver's VM, "" for an address from the settings.
func (s Send) VM() string { return s.vm }

// Address returns the receiver's IP number and port.
func (s Send) Address() string { return s.address }

// Message returns the heartbeat; empty for a Check.
func (s Send) Message() Message { return s.message }

// Subject returns the VM to check.
func (s Send) Subject() string { return s.subject }

// SubjectAddress returns the address to check.
func (s Send) SubjectAddress() string { return s.subjectAddress }
