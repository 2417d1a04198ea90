package target

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/agategap/agategap/filter"
	"github.com/agategap/agategap/outcome"
)

// chunk is the part of an engine's chunk that the system reads.
type chunk struct {
	ID         string `json:"id"`
	TokenIndex int    `json:"token_index"`
	Choices    []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Usage struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
}

// errStreamIdle means that a stream sent nothing for its idle bound.
var errStreamIdle = errors.New("the stream was silent for its idle bound")

// maxResumes bounds how often one attempt resumes its stream.
const maxResumes = 3

// handleStream asks for a stream in every case: the first token shows a slow target early, and a broken stream can be
// resumed.
func (c *Client) handleStream(ctx context.Context, r *filter.Request, s filter.Sink) error {
	b, err := streamingBody(r.Body(), r.TargetService())
	if err != nil {
		return outcome.New(outcome.InvalidRequest, outcome.NotRun, "the body is not a JSON object").WithCause(err)
	}

	from := -1
	if r.IsResumed() {
		from = r.NextIndex()
	}

	var last chunk // a resumed stream may have nothing left but the end marker

	for n := 0; ; n++ {
		err := c.streamAttempt(ctx, r, s, b, from, &last)
		if err == nil {
			return nil
		}

		if ctx.Err() != nil {
			c.cancelRequest(ctx, r)

			return err
		}

		if n == maxResumes || !isResumable(err) {
			// The engine would go on generating an answer that nobody reads.
			if r.IsSent() && !outcome.Is(err, outcome.InvalidRequest) {
				go c.cancelRequest(ctx, r)
			}

			return err
		}

		from = r.NextIndex()
	}
}

// streamingBody returns the body with streaming switched on and with the model that the engine knows.
func streamingBody(b []byte, model string) ([]byte, error) {
	var m map[string]json.RawMessage
	if err := json.Unmarshal(b, &m); err != nil {
		return nil, err
	}

	v, err := json.Marshal(model)
	if err != nil {
		return nil, err
	}

	m["model"] = v
	m["stream"] = json.RawMessage("true")

	return json.Marshal(m)
}

// isResumable reports whether the engine may still have the stream: it broke off or fell silent.
func isResumable(err error) bool {
	return outcome.Is(err, outcome.LostResponse) || outcome.Is(err, outcome.IncompleteResponse)
}

func (c *Client) streamAttempt(ctx context.Context, r *filter.Request, s filter.Sink, body []byte, from int, last *chunk) error {
	x, stop := context.WithCancelCause(ctx)
	defer stop(nil)

	idle := time.AfterFunc(firstTokenTimeout(r), func() { stop(errStreamIdle) })
	defer idle.Stop()

	a, err := c.send(x, r, body, from)
	if err != nil {
		return asIdleError(ctx, x, err)
	}
	defer func() { _ = a.Body.Close() }()

	if a.StatusCode == http.StatusGone && from >= 0 {
		return outcome.New(outcome.TargetFailed, outcome.Unknown, "the target no longer has the stream")
	}

	if err := checkStatus(r, a); err != nil {
		return err
	}

	if err := s.Emit(filter.NewHead(a.Header.Get(requestIDHeader), a.StatusCode, a.Header.Get("Content-Type"))); err != nil {
		return err
	}

	last.ID = a.Header.Get(requestIDHeader)

	return asIdleError(ctx, x, c.readEvents(ctx, r, a.Body, s, idle, last))
}

// firstTokenTimeout bounds the wait for the first chunk, which includes the target's queue.
func firstTokenTimeout(r *filter.Request) time.Duration {
	const factor = 5

	return r.Service().IdleTimeout() * factor
}

// asIdleError names the idle bound as the cause of a broken exchange.
func asIdleError(ctx, x context.Context, err error) error {
	if err == nil || ctx.Err() != nil || !errors.Is(context.Cause(x), errStreamIdle) {
		return err
	}

	return outcome.New(outcome.LostResponse, outcome.Unknown, "the target's stream fell silent").WithCause(errStreamIdle)
}

var (
	dataPrefix = []byte("data:")
	doneMarker = []byte("[DONE]")
)

// maxChunkBytes bounds one chunk of a stream.
const maxChunkBytes = 1 << 20

// readEvents turns the lines of a stream into events.
func (c *Client) readEvents(ctx context.Context, r *filter.Request, b io.Reader, s filter.Sink, idle *time.Timer, last *chunk) error {
	l := bufio.NewScanner(b)
	l.Buffer(make([]byte, 0, 4096), maxChunkBytes) //nolint:mnd // start size

	for l.Scan() {
		idle.Reset(r.Service().IdleTimeout())

		p, ok := bytes.CutPrefix(l.Bytes(), dataPrefix)
		if !ok {
			continue
		}

		p = bytes.TrimSpace(p)
		if bytes.Equal(p, doneMarker) {
			return s.Emit(filter.NewEnd(last.ID, finishReason(*last), last.Usage.PromptTokens, last.Usage.CompletionTokens))
		}

		var v chunk
		if err := json.Unmarshal(p, &v); err != nil {
			return outcome.New(outcome.IncompleteResponse, outcome.Unknown, "the target sent a chunk that is not JSON").WithCause(err)
		}

		*last = v

		if err := s.Emit(filter.NewChunk(v.ID, v.TokenIndex, bytes.Clone(p), chunkText(v))); err != nil {
			return err
		}
	}

	if err := l.Err(); err != nil {
		return lostResponse(ctx, err)
	}

	return outcome.New(outcome.IncompleteResponse, outcome.Unknown, "the target's stream ended without its end marker")
}

func chunkText(v chunk) string {
	if len(v.Choices) == 0 {
		return ""
	}

	return v.Choices[0].Delta.Content + v.Choices[0].Text
}

func finishReason(v chunk) string {
	if len(v.Choices) == 0 {
		return ""
	}

	return v.Choices[0].FinishReason
}

// cancelRequest tells the engine to stop a stream whose caller is gone or whose time is over.
func (c *Client) cancelRequest(ctx context.Context, r *filter.Request) {
	x, stop := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer stop()

	q, err := http.NewRequestWithContext(x, http.MethodDelete, "http://"+r.Slot().Target().Address()+"/v1/requests/"+r.ID(), nil)
	if err != nil {
		return
	}

	a, err := c.http.Do(q)
	if err != nil {
		return
	}

	drainAndClose(a.Body)
}
