package filter

// EventKind says which part of a response an event carries.
type EventKind uint8

const (
	// Head starts a response: status and content type.
	Head EventKind = iota + 1
	// Chunk carries one token position of a stream, or one piece of a plain body.
	Chunk
	// End completes a response. A response without it is incomplete.
	End
)

// Event is one part of a response. The zero value is not a valid event; use NewHead, NewChunk or NewEnd.
type Event struct {
	requestID        string
	kind             EventKind
	status           int
	contentType      string
	header           map[string][]string
	index            int
	data             []byte
	text             string
	finishReason     string
	promptTokens     int
	completionTokens int
}

// NewHead returns the start of the response to request id.
func NewHead(id string, status int, contentType string) Event {
	return Event{requestID: id, kind: Head, status: status, contentType: contentType}
}

// WithHeader returns a copy of a Head with the target's header, which must not be changed.
func (e Event) WithHeader(h map[string][]string) Event {
	e.header = h

	return e
}

// Header returns the target's header of a Head, which must not be changed; nil if the front end sets its own.
func (e Event) Header() map[string][]string { return e.header }

// NewChunk returns a chunk of the response to request id. index is its token position, from 0; in Relay it is the
// number of the stream event, from 1, or 0 if it has none. data holds the bytes as the target sent them, text the
// generated text in them.
func NewChunk(id string, index int, data []byte, text string) Event {
	return Event{requestID: id, kind: Chunk, index: index, data: data, text: text}
}

// NewEnd returns the end marker of the response to request id. finishReason is the reason that the target gave;
// promptTokens and completionTokens are 0 for plain services.
func NewEnd(id, finishReason string, promptTokens, completionTokens int) Event {
	return Event{requestID: id, kind: End, finishReason: finishReason, promptTokens: promptTokens, completionTokens: completionTokens}
}

// RequestID returns the request identifier that the target sent with the response.
func (e Event) RequestID() string { return e.requestID }

// Kind returns the part of the response that the event carries.
func (e Event) Kind() EventKind { return e.kind }

// Status returns the HTTP-like status of a Head.
func (e Event) Status() int { return e.status }

// ContentType returns the media type of a Head.
func (e Event) ContentType() string { return e.contentType }

// Index returns the token position or stream event number of a Chunk; see NewChunk.
func (e Event) Index() int { return e.index }

// Data returns the bytes of a Chunk as the target sent them.
func (e Event) Data() []byte { return e.data }

// Text returns the generated text of a Chunk.
func (e Event) Text() string { return e.text }

// FinishReason returns the finish reason of an End.
func (e Event) FinishReason() string { return e.finishReason }

// PromptTokens returns the length of the prompt in tokens, from an End.
func (e Event) PromptTokens() int { return e.promptTokens }

// CompletionTokens returns the length of the generated text in tokens, from an End.
func (e Event) CompletionTokens() int { return e.completionTokens }
