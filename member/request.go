package member

// Kind is the kind of a Request. It says which method of Table takes the result.
type Kind uint8

const (
	// Probe is a heartbeat. Its reply goes to Table.HandleReply, a failure to Table.HandleFailure.
	Probe Kind = iota + 1
	// Check asks a peer to send a heartbeat to the subject. Its result goes to Table.HandleCheckResult.
	Check
	// Exchange is a heartbeat to another failure domain. Its reply and failure go to the same methods as for a Probe.
	Exchange
)

// Request is a request to another daemon. Table returns it, and the controller of the table sends it.
type Request struct {
	kind               Kind
	vm, address        string
	subject            string
	subjectAddress     string
	message            Message
	subjectIncarnation uint64
}

// Kind returns the kind of the request.
func (s Request) Kind() Kind { return s.kind }

// VM returns the name of the receiver's VM; "" if only its address is known, from the settings.
func (s Request) VM() string { return s.vm }

// Address returns the IP address and port of the receiver.
func (s Request) Address() string { return s.address }

// Message returns the heartbeat; the zero value for a Check.
func (s Request) Message() Message { return s.message }

// Subject returns the VM of the daemon to check; "" unless the request is a Check.
func (s Request) Subject() string { return s.subject }

// SubjectAddress returns the IP address and port of the daemon to check; "" unless the request is a Check.
func (s Request) SubjectAddress() string { return s.subjectAddress }
