package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// responseWriter writes the response to one completion request.
type responseWriter struct {
	engine     *Engine
	generation *generation
	writer     http.ResponseWriter
	request    *http.Request
	model      string
	isChat     bool
	firstToken int    // index of the first token that is sent; above 0 after a resumption
	responseID string // request ID that the response carries
}

// write writes an event for each token as it is generated or, if asEvents is false, the whole completion after its last
// token.
func (w responseWriter) write(asEvents bool) {
	w.generation.attach()
	defer w.generation.detach()

	w.writer.Header().Set(RequestIDHeader, w.responseID)

	if !asEvents {
		w.writeComplete()

		return
	}

	w.writer.Header().Set("Content-Type", "text/event-stream")
	w.writer.WriteHeader(http.StatusOK)
	w.flush()

	for i := w.firstToken; i < w.generation.totalTokens(); i++ {
		if !w.waitForToken(i) {
			return
		}

		w.writeEvent(w.newChunk(i))
	}

	if w.shouldDropEnd() {
		panic(http.ErrAbortHandler)
	}

	_, _ = fmt.Fprint(w.writer, "data: [DONE]\n\n")
	w.flush()
}

// waitForToken blocks until token i is generated. It returns false if the token must not be sent, as the stream was
// silenced or cancelled or the request has ended. A silenced stream blocks until the request ends. A cancellation is
// detected when there was no new token for ResumeFor.
func (w responseWriter) waitForToken(i int) bool {
	for {
		n, changed := w.generation.progress()
		if w.isSilenced() {
			<-w.request.Context().Done()

			return false
		}

		if n > i {
			return true
		}

		select {
		case <-changed:
		case <-w.request.Context().Done():
			return false
		case <-time.After(w.engine.options.ResumeFor):
			if w.isCancelled() {
				return false
			}
		}
	}
}

func (w responseWriter) isSilenced() bool {
	w.engine.mu.Lock()
	defer w.engine.mu.Unlock()

	return w.generation.silenceEpoch < w.engine.silenceEpoch
}

func (w responseWriter) isCancelled() bool {
	w.engine.mu.Lock()
	defer w.engine.mu.Unlock()

	return w.generation.cancelled
}

// shouldDropEnd reports whether the end marker is to be dropped, and if so, counts down the fault.
func (w responseWriter) shouldDropEnd() bool {
	w.engine.mu.Lock()
	defer w.engine.mu.Unlock()

	if w.engine.faults.DropEnd == 0 {
		return false
	}

	w.engine.faults.DropEnd--

	return true
}

func (w responseWriter) newChunk(i int) map[string]any {
	g := w.generation
	c := map[string]any{"index": 0, "finish_reason": nil}
	o := "text_completion"

	if w.isChat {
		o = "chat.completion.chunk"
		c["delta"] = map[string]string{"role": "assistant", "content": tokenText(g.prompt, i)}
	} else {
		c["text"] = tokenText(g.prompt, i)
	}

	v := map[string]any{
		"id": w.responseID, "object": o, "created": time.Now().Unix(), "model": w.model, "token_index": i, "choices": []any{c},
	}
	if i == g.totalTokens()-1 {
		c["finish_reason"] = g.finishReason()
		v["usage"] = w.usage()
	}

	return v
}

func (w responseWriter) usage() map[string]int {
	p, n := promptTokens(w.generation.prompt), w.generation.totalTokens()

	return map[string]int{"prompt_tokens": p, "completion_tokens": n, "total_tokens": p + n}
}

func (w responseWriter) writeComplete() {
	g := w.generation
	if !w.waitForToken(g.totalTokens() - 1) {
		return
	}

	var b strings.Builder
	for i := range g.totalTokens() {
		b.WriteString(tokenText(g.prompt, i))
	}

	c := map[string]any{"index": 0, "finish_reason": g.finishReason()}
	if w.isChat {
		c["message"] = map[string]string{"role": "assistant", "content": b.String()}
	} else {
		c["text"] = b.String()
	}

	writeJSON(w.writer, map[string]any{
		"id": w.responseID, "object": "chat.completion", "created": time.Now().Unix(), "model": w.model,
		"choices": []any{c}, "usage": w.usage(),
	})
}

func (w responseWriter) writeEvent(v any) {
	b, _ := json.Marshal(v)
	_, _ = fmt.Fprintf(w.writer, "data: %s\n\n", b)
	w.flush()
}

func (w responseWriter) flush() {
	if f, ok := w.writer.(http.Flusher); ok {
		f.Flush()
	}
}
