package front

import (
	"bytes"
	"fmt"
	"net/http"
	"time"

	"github.com/agategap/agategap/filter"
	"github.com/agategap/agategap/outcome"
)

// responseSink encodes the events of one answer.
type responseSink struct {
	w       http.ResponseWriter
	input      filter.Input
	head    filter.Event
	started bool
	data    bytes.Buffer
	text    bytes.Buffer
}

func newResponseSink(w http.ResponseWriter, in filter.Input) *responseSink {
	return &responseSink{w: w, input: in}
}

// Emit writes an event, or keeps it until the answer is whole.
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

func (s *responseSink) writeEnd(e filter.Event) error {
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
		writeJSON(s.w, http.StatusOK, s.newCompletion(e))
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
		return outcome.New(outcome.Cancelled, outcome.Unknown, "the caller went away").WithCause(err)
	}

	if f, ok := s.w.(http.Flusher); ok {
		f.Flush()
	}

	return nil
}

// reportError reports an error. Once a stream has started, the error is an event without the end marker behind it, so
// that the caller can tell it from a whole answer.
func (s *responseSink) reportError(err error) {
	if !s.started {
		writeError(s.w, err)

		return
	}

	_ = s.writeAndFlush(encodeEvent(newErrorResponse(outcome.From(err))))
}

// Bodies of completions, in the form that callers' libraries read.
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

// newCompletion returns the body of an answer that the caller did not want as a stream.
func (s *responseSink) newCompletion(e filter.Event) completion {
	t, n := s.text.String(), e.FinishReason()
	c := choice{Finish: &n}
	o := "text_completion"

	if s.input.Kind == filter.Chat {
		o = "chat.completion"
		c.Message = &message{Role: "assistant", Content: t}
	} else {
		c.Text = &t
	}

	return completion{
		ID: s.input.ID, Object: o, Created: s.input.Arrived.Unix(), Model: s.input.Service, Choices: []choice{c},
		Usage: &usage{
			PromptTokens: e.PromptTokens(), CompletionTokens: e.CompletionTokens(),
			TotalTokens: e.PromptTokens() + e.CompletionTokens(),
		},
	}
}

// newCompletionChunk returns the body of a chunk that no target sent, for recorded answers.
func (s *responseSink) newCompletionChunk(text, finish string) completion {
	c := choice{}
	o := "text_completion"

	if finish != "" {
		c.Finish = &finish
	}

	if s.input.Kind == filter.Chat {
		o = "chat.completion.chunk"
		c.Delta = &message{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}

	return completion{ID: s.input.ID, Object: o, Created: time.Now().Unix(), Model: s.input.Service, Choices: []choice{c}}
}
