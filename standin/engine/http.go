package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Headers of requests and responses.
const (
	RequestIDHeader  = "X-Request-Id"
	ResumeFromHeader = "X-Resume-From" // index of the token from which a stream is resumed
)

// Handler returns the HTTP interface of the engine. The paths under /control are for tests.
func (e *Engine) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/chat/completions", e.handleCompletion)
	m.HandleFunc("POST /v1/completions", e.handleCompletion)
	m.HandleFunc("DELETE /v1/requests/{id}", e.handleCancel)
	m.HandleFunc("GET /requests/{id}", e.handleLookup)
	m.HandleFunc("GET /v1/load", e.handleLoad)
	m.HandleFunc("GET /v1/events", e.handleEvents)
	m.HandleFunc("GET /v1/state", e.handleState)
	m.HandleFunc("POST /v1/orders", e.handleOrder)
	m.HandleFunc("PUT /control/faults", e.handleFaults)
	m.HandleFunc("PUT /control/leaving", e.handleLeaving)
	m.HandleFunc("GET /control/counts", e.handleCounts)

	return m
}

const maxBodyBytes = 4 << 20

// completionRequest has the fields of a completion request that the engine uses. A request has a prompt or, for a chat,
// messages.
type completionRequest struct {
	Model     string    `json:"model"`
	Prompt    string    `json:"prompt"`
	Messages  []message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// promptText returns the prompt, or the messages as one text.
func (r completionRequest) promptText() string {
	if r.Prompt != "" {
		return r.Prompt
	}

	var b strings.Builder

	for _, m := range r.Messages {
		var s string
		if json.Unmarshal(m.Content, &s) != nil {
			s = string(m.Content)
		}

		fmt.Fprintf(&b, "%s: %s\n", m.Role, s)
	}

	return b.String()
}

func (e *Engine) handleCompletion(w http.ResponseWriter, r *http.Request) {
	var q completionRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&q); err != nil {
		writeError(w, http.StatusBadRequest, "the body is not valid: "+err.Error())

		return
	}

	id := r.Header.Get(RequestIDHeader)

	from := -1
	if v := r.Header.Get(ResumeFromHeader); v != "" {
		from, _ = strconv.Atoi(v)
	}

	g, status := e.startOrResume(id, q, from)
	if g == nil {
		writeError(w, status, http.StatusText(status))

		return
	}

	a := responseWriter{
		engine: e, generation: g, writer: w, request: r, model: q.Model,
		isChat: strings.Contains(r.URL.Path, "chat"), firstToken: max(from, 0), responseID: e.responseID(id),
	}
	a.write(q.Stream)
}

// responseID returns the request ID that the response carries.
func (e *Engine) responseID(id string) string {
	e.mu.Lock()
	defer e.mu.Unlock()

	if e.faults.CrossIDs {
		return id + "-crossed"
	}

	return id
}

// startOrResume queues a new generation, or resumes the one with the request ID if from, the first token to send, is
// not negative. It returns nil and an HTTP status if it does neither.
func (e *Engine) startOrResume(id string, q completionRequest, from int) (*generation, int) {
	e.mu.Lock()
	defer e.mu.Unlock()

	if e.faults.FailCalls > 0 {
		e.faults.FailCalls--

		return nil, http.StatusInternalServerError
	}

	if strings.Contains(q.promptText(), "fail:always") {
		return nil, http.StatusUnprocessableEntity
	}

	if !e.models[q.Model] {
		return nil, http.StatusNotFound
	}

	g, ok := e.generations[id]
	if from >= 0 {
		if !ok {
			return nil, http.StatusGone
		}

		e.counts.Resumed++
		e.requeue(g)
		g.silenceEpoch = e.silenceEpoch

		return g, 0
	}

	g = newGeneration(id, q.promptText(), q.MaxTokens)
	g.silenceEpoch = e.silenceEpoch
	e.generations[id] = g
	e.counts.Started[id]++
	e.queue = append(e.queue, g)
	e.wakeRun()

	time.AfterFunc(e.options.ResumeFor+time.Minute, func() { e.removeGeneration(id, g) })

	return g, 0
}

// requeue puts a cancelled generation that is not finished back into the queue. The generation keeps its tokens. The
// caller holds the lock.
func (e *Engine) requeue(g *generation) {
	if !g.cancelled || g.isFinished() {
		return
	}

	g.cancelled = false

	if !slices.Contains(e.running, g) && !slices.Contains(e.queue, g) {
		e.queue = append(e.queue, g)
		e.wakeRun()
	}
}

// removeGeneration removes a generation, unless a newer one has replaced it under its ID.
func (e *Engine) removeGeneration(id string, g *generation) {
	e.mu.Lock()
	defer e.mu.Unlock()

	if e.generations[id] == g {
		delete(e.generations, id)
	}
}

func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()

	g, ok := e.generations[r.PathValue("id")]
	if !ok {
		writeError(w, http.StatusNotFound, "no such request")

		return
	}

	if !g.cancelled && !g.isFinished() {
		g.cancelled = true
		e.counts.Cancelled++
	}

	writeJSON(w, map[string]int{"tokens": g.tokenCount()})
}

// handleLookup responds with the number of generations started for a request ID, or with status 404 if there is none.
func (e *Engine) handleLookup(w http.ResponseWriter, r *http.Request) {
	n := e.Started(r.PathValue("id"))
	if n == 0 {
		writeError(w, http.StatusNotFound, "no such request")

		return
	}

	writeJSON(w, map[string]int{"runs": n})
}

func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()

	writeJSON(w, e.laggedLoad(time.Now()))
}

// handleEvents responds with the published cache events from a number on.
func (e *Engine) handleEvents(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	t := time.Now().Add(-eventLag)

	e.mu.Lock()
	defer e.mu.Unlock()

	l := []cacheEvent{}

	for _, v := range e.cacheEvents {
		if v.Number >= from && v.at.Before(t) {
			l = append(l, v)
		}
	}

	writeJSON(w, map[string]any{"events": l})
}

func (e *Engine) handleFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())

		return
	}

	e.SetFaults(f)
}

func (e *Engine) handleLeaving(_ http.ResponseWriter, r *http.Request) {
	e.SetLeaving(r.URL.Query().Get("leaving") != "false")
}

func (e *Engine) handleCounts(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()

	writeJSON(w, e.counts)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func writeError(w http.ResponseWriter, status int, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{"error": map[string]string{"message": message}})
}
