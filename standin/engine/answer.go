package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// responseWriter writes one answer.
type responseWriter struct {
	engine     *Engine
	generation *generation
	writer     http.ResponseWriter
	request    *http.Request
	model      string
	isChat       bool
	firstToken       int
	responseID         string
}

// write writes tokens as they come, or the whole answer at the end.
func (a responseWriter) write(chunks bool) {
	a.generation.attach()
	defer a.generation.detach()

	a.writer.Header().Set(RequestIDHeader, a.responseID)

	if !chunks {
		a.writeComplete()

		return
	}

	a.writer.Header().Set("Content-Type", "text/event-stream")
	a.writer.WriteHeader(http.StatusOK)
	a.flush()

	for i := a.firstToken; i < a.generation.totalTokens(); i++ {
		if !a.waitForToken(i) {
			return
		}

		a.writeEvent(a.newChunk(i))
	}

	if a.shouldDropEnd() {
		panic(http.ErrAbortHandler)
	}

	_, _ = fmt.Fprint(a.writer, "data: [DONE]\n\n")
	a.flush()
}

// waitForToken blocks until token i is generated and may be sent.
func (a responseWriter) waitForToken(i int) bool {
	for {
		n, changed := a.generation.progress()
		if a.isSilenced() {
			<-a.request.Context().Done()

			return false
		}

		if n > i {
			return true
		}

		select {
		case <-changed:
		case <-a.request.Context().Done():
			return false
		case <-time.After(a.engine.options.ResumeFor):
			if a.isCancelled() {
				return false
			}
		}
	}
}

func (a responseWriter) isSilenced() bool {
	a.engine.mu.Lock()
	defer a.engine.mu.Unlock()

	return a.generation.silenceEpoch < a.engine.silenceEpoch
}

func (a responseWriter) isCancelled() bool {
	a.engine.mu.Lock()
	defer a.engine.mu.Unlock()

	return a.generation.cancelled
}

func (a responseWriter) shouldDropEnd() bool {
	a.engine.mu.Lock()
	defer a.engine.mu.Unlock()

	if a.engine.faults.DropEnd == 0 {
		return false
	}

	a.engine.faults.DropEnd--

	return true
}

func (a responseWriter) newChunk(i int) map[string]any {
	g := a.generation
	c := map[string]any{"index": 0, "finish_reason": nil}
	o := "text_completion"

	if a.isChat {
		o = "chat.completion.chunk"
		c["delta"] = map[string]string{"role": "assistant", "content": tokenText(g.prompt, i)}
	} else {
		c["text"] = tokenText(g.prompt, i)
	}

	v := map[string]any{
		"id": a.responseID, "object": o, "created": time.Now().Unix(), "model": a.model, "token_index": i, "choices": []any{c},
	}
	if i == g.totalTokens()-1 {
		c["finish_reason"] = g.finishReason()
		v["usage"] = a.usage()
	}

	return v
}

func (a responseWriter) usage() map[string]int {
	p, n := promptTokens(a.generation.prompt), a.generation.totalTokens()

	return map[string]int{"prompt_tokens": p, "completion_tokens": n, "total_tokens": p + n}
}

func (a responseWriter) writeComplete() {
	g := a.generation
	if !a.waitForToken(g.totalTokens() - 1) {
		return
	}

	var b strings.Builder
	for i := range g.totalTokens() {
		b.WriteString(tokenText(g.prompt, i))
	}

	c := map[string]any{"index": 0, "finish_reason": g.finishReason()}
	if a.isChat {
		c["message"] = map[string]string{"role": "assistant", "content": b.String()}
	} else {
		c["text"] = b.String()
	}

	writeJSON(a.writer, map[string]any{
		"id": a.responseID, "object": "chat.completion", "created": time.Now().Unix(), "model": a.model,
		"choices": []any{c}, "usage": a.usage(),
	})
}

func (a responseWriter) writeEvent(v any) {
	b, _ := json.Marshal(v)
	_, _ = fmt.Fprintf(a.writer, "data: %s\n\n", b)
	a.flush()
}

func (a responseWriter) flush() {
	if f, ok := a.writer.(http.Flusher); ok {
		f.Flush()
	}
}
