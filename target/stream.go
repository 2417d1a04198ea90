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

// chunk has the fields of an engine's chunk that this package reads.
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
	Usage struct { // read from the last chunk
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
}

// errStreamIdle means that a stream sent nothing within the idle timeout.
var errStreamIdle = errors.New("the stream sent nothing within its idle timeout")

// maxResumes is the maximum number of times that one attempt resumes its stream.
const maxResumes = 3

// handleStream sends a request to a model engine. It always requests a stream, even if the caller does not: the first
// token shows early whether the target is slow, and a broken stream can be resumed.
func (c *Client) handleStream(ctx context.Context, r *filter.Request, s filter.Sink) error {
	b, err := streamingBody(r.Body(), r.TargetService())
	if err != nil {
		return outcome.New(outcome.InvalidRequest, outcome.NotRun, "the body is not a JSON object").WithCause(err)
	}

	from := -1
	if r.IsResumed() {
		from = r.NextIndex()
	}

	var last chunk // kept across resumptions, as a resumed stream may only send the end marker

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
			// Without this, the engine would continue to generate a response that is not read.
			if r.IsSent() && !outcome.Is(err, outcome.InvalidRequest) {
				go c.cancelRequest(ctx, r)
			}

			return err
		}

		from = r.NextIndex()
	}
}

// streamingBody returns the body with streaming enabled and with the name of the model as the engine knows it.
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

// isResumable reports whether the engine may still have the stream: it ended early or stopped sending.
func isResumable(err error) bool {
	return outcome.Is(err, outcome.LostResponse) || outcome.Is(err, outcome.IncompleteResponse)
}

// streamAttempt sends the request once and emits the events of the stream. from is the token position to resume at, or
// -1. last is set to the last chunk that arrived.
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

// firstTokenTimeout returns the timeout for the first chunk. It is a multiple of the idle timeout, as the wait for the
// first chunk includes the target's queue.
func firstTokenTimeout(r *filter.Request) time.Duration {
	const factor = 5

	return r.Service().IdleTimeout() * factor
}

// asIdleError returns an error that names the idle timeout if it is what ended the exchange, and otherwise err. ctx is
// the context of the request, exchange that of the exchange.
func asIdleError(ctx, exchange context.Context, err error) error {
	if err == nil || ctx.Err() != nil || !errors.Is(context.Cause(exchange), errStreamIdle) {
		return err
	}

	return outcome.New(outcome.LostResponse, outcome.Unknown, "the target's stream stopped sending").WithCause(errStreamIdle)
}

var (
	dataPrefix = []byte("data:")
	doneMarker = []byte("[DONE]")
)

// maxStreamLineBytes bounds the size of one line of a stream.
const maxStreamLineBytes = 1 << 20

// readEvents emits the chunks and the end marker of a stream as events. Each line restarts the idle timer. last is set
// to the last chunk.
func (c *Client) readEvents(ctx context.Context, r *filter.Request, b io.Reader, s filter.Sink, idle *time.Timer, last *chunk) error {
	l := bufio.NewScanner(b)
	l.Buffer(make([]byte, 0, 4096), maxStreamLineBytes) //nolint:mnd // initial size

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

	return outcome.New(outcome.IncompleteResponse, outcome.Unknown, "the target's stream ended without an end marker")
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

// cancelRequest tells the engine to stop generating after the caller disconnected, the deadline passed or the attempt
// failed. It does not report failures, and it also works after ctx has ended.
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
