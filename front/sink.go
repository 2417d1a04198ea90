package front

import (
	"bytes"
	"fmt"
	"net/http"
	"time"

	"github.com/agategap/agategap/filter"
	"github.com/agategap/agategap/outcome"
)

// responseSink encodes the events of one response for its caller: as a stream of server-sent events, as one completion,
// or as the response of a plain service.
type responseSink struct {
	w       http.ResponseWriter
	input   filter.Input
	head    filter.Event
	started bool         // the header of a stream was sent
	data    bytes.Buffer // bytes of the chunks received so far, unless streaming
	text    bytes.Buffer // text of the chunks received so far, unless streaming
}

func newResponseSink(w http.ResponseWriter, in filter.Input) *responseSink {
	return &responseSink{w: w, input: in}
}

// Emit writes the chunks of a stream at once. It buffers other responses until their end.
func (s *responseSink) Emit(e filter.Event) error {
	switch e.Kind() {
	case filter.Head:
		s.head = e

		return nil
	case filter.Chunk:
		return s.writeChunk(e)
	default:
		return s.writeEnd(e)
	}
}

func (s *responseSink) isStreaming() bool { return s.input.Stream && s.input.Kind != filter.Plain }

func (s *responseSink) writeChunk(e filter.Event) error {
	if !s.isStreaming() {
		s.data.Write(e.Data())
		s.text.WriteString(e.Text())

		return nil
	}

	s.startStream()

	b := e.Data()
	if b == nil {
		return s.writeAndFlush(encodeEvent(s.newCompletionChunk(e.Text(), "")))
	}

	return s.writeAndFlush(fmt.Appendf(nil, "data: %s\n\n", b))
}

// writeEnd completes the response. A head with status 202 and no content type acknowledges an asynchronous request.
func (s *responseSink) writeEnd(end filter.Event) error {
	const accepted = http.StatusAccepted

	switch {
	case s.head.Status() == accepted && s.head.ContentType() == "":
		writeJSON(s.w, accepted, map[string]string{"id": s.input.ID, "key": s.input.Key, "state": "accepted"})
	case s.input.Kind == filter.Plain:
		s.w.Header().Set("Content-Type", s.head.ContentType())
		s.w.Header().Set("X-Request-Id", s.input.ID)
		s.w.WriteHeader(s.head.Status())
		_, _ = s.w.Write(s.data.Bytes())
	case s.isStreaming():
		s.startStream()

		return s.writeAndFlush([]byte("data: [DONE]\n\n"))
	default:
		writeJSON(s.w, http.StatusOK, s.newCompletion(end))
	}

	return nil
}

func (s *responseSink) startStream() {
	if s.started {
		return
	}

	s.started = true
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.Header().Set("Cache-Control", "no-cache")
	s.w.Header().Set("X-Request-Id", s.input.ID)
	s.w.WriteHeader(http.StatusOK)
}

func (s *responseSink) writeAndFlush(b []byte) error {
	if _, err := s.w.Write(b); err != nil {
		return outcome.New(outcome.Cancelled, outcome.Unknown, "the response cannot be written to the caller").WithCause(err)
	}

	if f, ok := s.w.(http.Flusher); ok {
		f.Flush()
	}

	return nil
}

// reportError sends err to the caller. Once a stream has started, the error is an event that no end marker follows, so
// that the caller can tell an incomplete response from a complete one.
func (s *responseSink) reportError(err error) {
	if !s.started {
		writeError(s.w, err)

		return
	}

	_ = s.writeAndFlush(encodeEvent(newErrorResponse(outcome.From(err))))
}

// Bodies of completions, in the format that callers' client libraries expect.
type (
	completion struct {
		ID      string   `json:"id"`
		Object  string   `json:"object"`
		Created int64    `json:"created"`
		Model   string   `json:"model"`
		Choices []choice `json:"choices"`
		Usage   *usage   `json:"usage,omitempty"`
	}
	choice struct {
		Index   int      `json:"index"`
		Message *message `json:"message,omitempty"`
		Delta   *message `json:"delta,omitempty"`
		Text    *string  `json:"text,omitempty"`
		Finish  *string  `json:"finish_reason"`
	}
	message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	usage struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
		TotalTokens      int `json:"total_tokens"`
	}
)

// newCompletion returns the body of a response that is not streamed. end is its last event.
func (s *responseSink) newCompletion(end filter.Event) completion {
	text, finishReason := s.text.String(), end.FinishReason()
	c := choice{Finish: &finishReason}
	object := "text_completion"

	if s.input.Kind == filter.Chat {
		object = "chat.completion"
		c.Message = &message{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}

	return completion{
		ID: s.input.ID, Object: object, Created: s.input.Arrived.Unix(), Model: s.input.Service, Choices: []choice{c},
		Usage: &usage{
			PromptTokens: end.PromptTokens(), CompletionTokens: end.CompletionTokens(),
			TotalTokens: end.PromptTokens() + end.CompletionTokens(),
		},
	}
}

// newCompletionChunk returns the body of a chunk that has only a text and no bytes from a target, as in recorded
// responses.
func (s *responseSink) newCompletionChunk(text, finishReason string) completion {
	c := choice{}
	object := "text_completion"

	if finishReason != "" {
		c.Finish = &finishReason
	}

	if s.input.Kind == filter.Chat {
		object = "chat.completion.chunk"
		c.Delta = &message{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}

	return completion{
		ID: s.input.ID, Object: object, Created: time.Now().Unix(), Model: s.input.Service, Choices: []choice{c},
	}
}
