// Package front is the HTTP interface for callers of the daemon: online requests, recorded results and batch jobs. It
// translates between HTTP and the types of packages filter and job, and makes no decisions itself.
package front

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/agategap/agategap/controller"
	"github.com/agategap/agategap/filter"
	"github.com/agategap/agategap/job"
	"github.com/agategap/agategap/journal"
	"github.com/agategap/agategap/outcome"
)

// Accounts finds the accounts of callers.
type Accounts interface {
	// Account returns the account to which a bearer key belongs; false if there is none.
	Account(credential string) (filter.Account, bool)
}

// Jobs submits, reads, cancels and amends batch jobs. All methods are limited to the jobs of one account.
type Jobs interface {
	// Submit returns the identifier of the job.
	Submit(ctx context.Context, s controller.JobSpec) (string, error)
	Status(ctx context.Context, account, id string) (job.Status, error)
	// Results returns a page of results from item from on, and the first item of the next page.
	Results(ctx context.Context, account, id string, from int) ([]job.ItemResult, int, error)
	// Cancel returns the cut-off run bound; see JobStatus.CutoffRunBound.
	Cancel(ctx context.Context, account, id string) (time.Duration, error)
	// Amend leaves a nil value unchanged.
	Amend(ctx context.Context, account, id string, priority *int, deadline *time.Time) error
}

// Results finds requests that were recorded under an idempotency key, with their results.
type Results interface {
	// Find returns false if no request is recorded under the key.
	Find(ctx context.Context, k journal.Key) (journal.Work, bool, error)
}

// Frontend is the HTTP interface. Create it with New. Its handler is safe for concurrent use.
type Frontend struct {
	chain    filter.Handler
	accounts Accounts
	jobs     Jobs
	results  Results
	clock    func() time.Time

	readTimeout  time.Duration
	writeTimeout time.Duration
	batchBodySem chan struct{} // semaphore that limits the batch bodies read at the same time
}

// New returns a Frontend that passes online requests to the filter chain c and batch jobs to j.
func New(c filter.Handler, a Accounts, j Jobs, r Results, clock func() time.Time) *Frontend {
	return &Frontend{
		chain: c, accounts: a, jobs: j, results: r, clock: clock,
		readTimeout: defaultReadTimeout, writeTimeout: defaultWriteTimeout, batchBodySem: make(chan struct{}, maxBatchBodies),
	}
}

// SetTimeouts sets the timeouts for reading a request and for each write of a response; 0 keeps the current value. It
// must be called before Handler.
func (f *Frontend) SetTimeouts(read, write time.Duration) {
	if read > 0 {
		f.readTimeout = read
	}

	if write > 0 {
		f.writeTimeout = write
	}
}

// Handler returns the HTTP handler for all routes.
func (f *Frontend) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/chat/completions", f.handleCompletion(filter.Chat))
	m.HandleFunc("POST /v1/completions", f.handleCompletion(filter.Completion))
	m.HandleFunc("POST /services/{name}/{path...}", f.handlePlain)
	m.HandleFunc("GET /v1/results/{key}", f.handleResult)
	m.HandleFunc("POST /v1/batches", f.handleSubmit)
	m.HandleFunc("GET /v1/batches/{id}", f.handleStatus)
	m.HandleFunc("GET /v1/batches/{id}/results", f.handleJobResults)
	m.HandleFunc("POST /v1/batches/{id}/cancel", f.handleCancel)
	m.HandleFunc("POST /v1/batches/{id}/amend", f.handleAmend)
	m.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		writeError(w, outcome.New(outcome.NotFound, outcome.NotRun, "%s %s does not exist", r.Method, r.URL.Path))
	})

	return f.withDeadlines(m)
}

// completionRequest has the fields of a completion request that agategap reads.
type completionRequest struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            json.RawMessage `json:"messages"`
}

func (f *Frontend) handleCompletion(kind filter.Kind) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		b, err := f.readAuthenticatedBody(w, r)
		if err != nil {
			writeError(w, err)

			return
		}

		var c completionRequest
		if err := json.Unmarshal(b, &c); err != nil {
			writeError(w, outcome.New(outcome.InvalidRequest, outcome.NotRun, "the body is not valid JSON: %s", err))

			return
		}

		in, err := f.readInput(r, kind, b)
		if err != nil {
			writeError(w, err)

			return
		}

		in.Service, in.Path, in.Stream = c.Model, r.URL.Path, c.Stream
		in.MaxTokens = max(c.MaxTokens, c.MaxCompletionTokens)
		in.Prompt = string(c.Prompt) + string(c.Messages)
		f.runChain(w, r, in)
	}
}

func (f *Frontend) handlePlain(w http.ResponseWriter, r *http.Request) {
	b, err := f.readAuthenticatedBody(w, r)
	if err != nil {
		writeError(w, err)

		return
	}

	in, err := f.readInput(r, filter.Plain, b)
	if err != nil {
		writeError(w, err)

		return
	}

	in.Service, in.Path = r.PathValue("name"), "/"+r.PathValue("path")
	f.runChain(w, r, in)
}

func (f *Frontend) runChain(w http.ResponseWriter, r *http.Request, in filter.Input) {
	s := newResponseSink(w, in)
	if err := f.chain.Handle(r.Context(), filter.NewRequest(in), s); err != nil {
		s.reportError(err)
	}
}

// readInput returns the part of the input that all kinds of request have: the values of headers and the body.
func (f *Frontend) readInput(r *http.Request, kind filter.Kind, body []byte) (filter.Input, error) {
	in := filter.Input{
		ID:         newRequestID(),
		Kind:       kind,
		Credential: bearerKey(r),
		Key:        r.Header.Get("Idempotency-Key"),
		Async:      strings.Contains(r.Header.Get("Prefer"), "respond-async"),
		Body:       body,
		Arrived:    f.clock(),
	}

	if len(in.Key) > MaxKeyBytes {
		return in, outcome.New(outcome.InvalidRequest, outcome.NotRun,
			"the Idempotency-Key header is longer than %d bytes", MaxKeyBytes)
	}

	if in.Async && in.Key == "" {
		return in, outcome.New(outcome.InvalidRequest, outcome.NotRun,
			"Prefer: respond-async requires an Idempotency-Key header, with which the result can be looked up")
	}

	t, err := parseTimeout(r)
	in.Timeout = t

	return in, err
}

// parseTimeout returns the timeout in the X-Request-Timeout header, which is in seconds; 0 if there is none.
func parseTimeout(r *http.Request) (time.Duration, error) {
	h := r.Header.Get("X-Request-Timeout")
	if h == "" {
		return 0, nil
	}

	const maxSeconds = 3600

	s, err := strconv.ParseFloat(h, 64)
	if err != nil || !(s > 0 && s <= maxSeconds) {
		return 0, outcome.New(outcome.InvalidRequest, outcome.NotRun,
			"X-Request-Timeout %q is not a number of seconds above 0 and up to %d", h, maxSeconds)
	}

	return time.Duration(s * float64(time.Second)), nil
}

func (f *Frontend) handleResult(w http.ResponseWriter, r *http.Request) {
	a, ok := f.accounts.Account(bearerKey(r))
	if !ok {
		writeError(w, newUnauthenticatedError())

		return
	}

	work, ok, err := f.results.Find(r.Context(), journal.NewKey(a.Name(), r.PathValue("key")))

	switch {
	case err != nil:
		writeError(w, err)
	case !ok:
		writeError(w, outcome.New(outcome.NotFound, outcome.NotRun, "no request is recorded under this idempotency key"))
	case !work.IsEnded():
		writeError(w, outcome.New(outcome.InProgress, outcome.Unknown,
			"the request was accepted and has not ended yet").WithRetryAfter(time.Second))
	default:
		in := filter.Input{
			ID: work.ClaimID(), Kind: filter.Kind(work.AcceptRecord().Kind), Service: work.AcceptRecord().Service, Arrived: f.clock(),
		}

		s := newResponseSink(w, in)
		if err := filter.EmitResult(in.ID, work.Result(), s); err != nil {
			s.reportError(err)
		}
	}
}

func newUnauthenticatedError() error {
	return outcome.New(outcome.Unauthenticated, outcome.NotRun, "the bearer key is missing or not known")
}

func bearerKey(r *http.Request) string {
	t, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")

	return t
}

// newRequestID returns a random request identifier that is unique across all daemons.
func newRequestID() string {
	const bytes = 12

	b := make([]byte, bytes)
	_, _ = rand.Read(b)

	return "req-" + hex.EncodeToString(b)
}

// readAuthenticatedBody reads the body of an online request. It checks the bearer key first, so that a client without
// an account cannot make the daemon buffer bodies.
func (f *Frontend) readAuthenticatedBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	if _, ok := f.accounts.Account(bearerKey(r)); !ok {
		return nil, newUnauthenticatedError()
	}

	return readBody(w, r, MaxBodyBytes)
}

func readBody(w http.ResponseWriter, r *http.Request, maxBytes int64) ([]byte, error) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes))

	if err == nil {
		// The read deadline is for the body only and must not end the handling of the request. After an error it stays,
		// because the server reads the rest of the body before it sends the response.
		_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	}

	var m *http.MaxBytesError

	switch {
	case errors.As(err, &m):
		return nil, outcome.New(outcome.TooLarge, outcome.NotRun, "the body is larger than %d bytes", maxBytes)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, outcome.New(outcome.DeadlineExceeded, outcome.NotRun, "the body was not received in time")
	case err != nil:
		return nil, outcome.New(outcome.InvalidRequest, outcome.NotRun, "the body could not be read").WithCause(err)
	}

	return b, nil
}

// errorResponse is the body of an error response.
type errorResponse struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code    outcome.Code   `json:"code"`
	Message string         `json:"message"`
	Outcome outcome.Effect `json:"outcome"`
}

var statusByCode = map[outcome.Code]int{
	outcome.InvalidRequest:     http.StatusBadRequest,
	outcome.Unauthenticated:    http.StatusUnauthorized,
	outcome.NotFound:           http.StatusNotFound,
	outcome.KeyReused:          http.StatusUnprocessableEntity,
	outcome.InProgress:         http.StatusConflict,
	outcome.Conflict:           http.StatusConflict,
	outcome.TooLarge:           http.StatusRequestEntityTooLarge,
	outcome.Overloaded:         http.StatusTooManyRequests,
	outcome.AccountLimited:     http.StatusTooManyRequests,
	outcome.DeadlineExceeded:   http.StatusGatewayTimeout,
	outcome.TargetFailed:       http.StatusBadGateway,
	outcome.IncompleteResponse: http.StatusBadGateway,
	outcome.LostResponse:       http.StatusBadGateway,
	outcome.Internal:           http.StatusInternalServerError,
}

// WriteError writes err as the response to a request. An error code without a status of its own gets 503.
func WriteError(w http.ResponseWriter, err error) { writeError(w, err) }

func writeError(w http.ResponseWriter, err error) {
	e := outcome.From(err)

	s, ok := statusByCode[e.Code()]
	if !ok {
		s = http.StatusServiceUnavailable
	}

	if e.RetryAfter() > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(max(1, int(e.RetryAfter().Seconds()))))
	}

	writeJSON(w, s, newErrorResponse(e))
}

func newErrorResponse(e *outcome.Error) errorResponse {
	return errorResponse{Error: errorDetail{Code: e.Code(), Message: e.Message(), Outcome: e.Effect()}}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// encodeEvent returns v as the JSON data of one server-sent event.
func encodeEvent(v any) []byte {
	b, _ := json.Marshal(v)

	return fmt.Appendf(nil, "data: %s\n\n", b)
}
