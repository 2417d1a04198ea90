package filter

// EventKind says which part of an answer an event carries.
type EventKind uint8

const (
	// Head starts an answer: status and content type.
	Head EventKind = iota + 1
	// Chunk carries one token position of a stream, or one piece of a plain body.
	Chunk
	// End closes a whole answer. An answer without it is not whole.
	End
)

// Event is one part of an answer. The zero value is not a valid event; use NewHead, NewChunk, NewEnd.
type Event struct {
	requestID   string
	kind        EventKind
	status      int
	contentType string
	header      map[string][]string
	index       int
	data        []byte
	text        string
	finishReason      string
	promptTokens      int
	completionTokens  int
}

// NewHead returns the start of the answer to request id.
func NewHead(id string, status int, contentType string) Event {
	return Event{requestID: id, kind: Head, status: status, contentType: contentType}
}

// WithHeader returns a copy of a Head with the target's header, which must not be changed.
func (e Event) WithHeader(h map[string][]string) Event {
	e.header = h

	return e
}

// Header returns the target's header of a Head; nil when the front end makes its own.
func (e Event) Header() map[string][]string { return e.header }

// NewChunk returns part number index (from 0) of the answer to request id. data holds the bytes as the
// target sent them, text the generated text in them.
func NewChunk(id string, index int, data []byte, text string) Event {
	return Event{requestID: id, kind: Chunk, index: index, data: data, text: text}
}

// NewEnd returns the end marker. finish is the reason that the target gave; prompt and completion are
// token counts, 0 for plain services.
func NewEnd(id, finish string, prompt, completion int) Event {
	return Event{requestID: id, kind: End, finishReason: finish, promptTokens: prompt, completionTokens: completion}
}

// RequestID returns the request that the target says it answers.
func (e Event) RequestID() string { return e.requestID }

// Kind returns the part of the answer.
func (e Event) Kind() EventKind { return e.kind }

// Status returns the HTTP-like status of a Head.
func (e Event) Status() int { return e.status }

// ContentType returns the media type of a Head.
func (e Event) ContentType() string { return e.contentType }

// Index returns the token position of a Chunk, from 0.
func (e Event) Index() int { return e.index }

// Data returns the bytes of a Chunk as the target sent them.
func (e Event) Data() []byte { return e.data }

// Text returns the generated text of a Chunk.
func (e Event) Text() string { return e.text }

// FinishReason returns the finish reason of an End.
func (e Event) FinishReason() string { return e.finishReason }

// PromptTokens returns the prompt's length of an End, in tokens.
func (e Event) PromptTokens() int { return e.promptTokens }

// CompletionTokens returns the answer's length of an End, in tokens.
func (e Event) CompletionTokens() int { return e.completionTokens }
