// Package front is the HTTP interface for callers. It translates between HTTP and the types of package filter,
// and decides nothing.
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

// Accounts finds the account of a bearer key.
type Accounts interface {
	Account(credential string) (filter.Account, bool)
}

// Jobs accepts and reads batch jobs.
type Jobs interface {
	Submit(ctx context.Context, s controller.JobSpec) (string, error)
	Status(ctx context.Context, account, id string) (job.Status, error)
	Results(ctx context.Context, account, id string, from int) ([]job.ItemResult, int, error)
	Cancel(ctx context.Context, account, id string) (time.Duration, error)
	Amend(ctx context.Context, account, id string, priority *int, deadline *time.Time) error
}

// Results finds recorded work.
type Results interface {
	Find(ctx context.Context, k journal.Key) (journal.Work, bool, error)
}

// Frontend is the HTTP interface.
type Frontend struct {
	chain    filter.Handler
	accounts Accounts
	jobs     Jobs
	results  Results
	clock    func() time.Time

	readTimeout  time.Duration
	writeTimeout time.Duration
	batchBodySem       chan struct{}
}

// New returns the interface in front of a chain.
func New(c filter.Handler, a Accounts, j Jobs, r Results, clock func() time.Time) *Frontend {
	return &Frontend{
		chain: c, accounts: a, jobs: j, results: r, clock: clock,
		readTimeout: defaultReadTimeout, writeTimeout: defaultWriteTimeout, batchBodySem: make(chan struct{}, maxBatchBodies),
	}
}

// SetTimeouts sets the time for reading a request and for each write of a response; 0 leaves a value as it is. It is
// called before Handler.
func (f *Frontend) SetTimeouts(read, write time.Duration) {
	if read > 0 {
		f.readTimeout = read
	}

	if write > 0 {
		f.writeTimeout = write
	}
}

// Handler returns the routes.
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

// completionRequest is the part of a completion request that the system reads.
type completionRequest struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            json.RawMessage `json:"messages"`
}

func (f *Frontend) handleCompletion(k filter.Kind) http.HandlerFunc {
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

		in, err := f.readInput(r, k, b)
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

// readInput reads what all requests have in common.
func (f *Frontend) readInput(r *http.Request, k filter.Kind, b []byte) (filter.Input, error) {
	in := filter.Input{
		ID:         newRequestID(),
		Kind:       k,
		Credential: bearerKey(r),
		Key:        r.Header.Get("Idempotency-Key"),
		Async:      strings.Contains(r.Header.Get("Prefer"), "respond-async"),
		Body:       b,
		Arrived:    f.clock(),
	}

	if len(in.Key) > MaxKeyBytes {
		return in, outcome.New(outcome.InvalidRequest, outcome.NotRun, "the idempotency key is above %d bytes", MaxKeyBytes)
	}

	if in.Async && in.Key == "" {
		return in, outcome.New(outcome.InvalidRequest, outcome.NotRun, "Prefer: respond-async needs an Idempotency-Key header to look the result up")
	}

	t, err := parseTimeout(r)
	in.Timeout = t

	return in, err
}

// parseTimeout returns the time that the caller gives, in seconds.
func parseTimeout(r *http.Request) (time.Duration, error) {
	h := r.Header.Get("X-Request-Timeout")
	if h == "" {
		return 0, nil
	}

	const most = 3600

	s, err := strconv.ParseFloat(h, 64)
	if err != nil || !(s > 0 && s <= most) {
		return 0, outcome.New(outcome.InvalidRequest, outcome.NotRun, "X-Request-Timeout %q is not a number of seconds above 0 and up to %d", h, most)
	}

	return time.Duration(s * float64(time.Second)), nil
}

func (f *Frontend) handleResult(w http.ResponseWriter, r *http.Request) {
	a, ok := f.accounts.Account(bearerKey(r))
	if !ok {
		writeError(w, newUnauthenticatedError())

		return
	}

	k, ok, err := f.results.Find(r.Context(), journal.NewKey(a.Name(), r.PathValue("key")))

	switch {
	case err != nil:
		writeError(w, err)
	case !ok:
		writeError(w, outcome.New(outcome.NotFound, outcome.NotRun, "no work is recorded under this key"))
	case !k.IsEnded():
		writeError(w, outcome.New(outcome.InProgress, outcome.Unknown, "the work is accepted and has not ended").WithRetryAfter(time.Second))
	default:
		in := filter.Input{ID: k.ClaimID(), Kind: filter.Kind(k.AcceptRecord().Kind), Service: k.AcceptRecord().Service, Arrived: f.clock()}

		s := newResponseSink(w, in)
		if err := filter.EmitResult(in.ID, k.Result(), s); err != nil {
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

// newRequestID returns a request identifier that is unique in the whole system.
func newRequestID() string {
	const bytes = 12

	b := make([]byte, bytes)
	_, _ = rand.Read(b)

	return "req-" + hex.EncodeToString(b)
}

// readAuthenticatedBody reads the body of one request. The key is checked first, so that a stranger cannot make the daemon hold
// bodies.
func (f *Frontend) readAuthenticatedBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	if _, ok := f.accounts.Account(bearerKey(r)); !ok {
		return nil, newUnauthenticatedError()
	}

	return readBody(w, r, MaxBodyBytes)
}

func readBody(w http.ResponseWriter, r *http.Request, most int64) ([]byte, error) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, most))

	if err == nil {
		// The deadline of the body must not end the handling of the request. After an error it stays, as the server
		// reads what is left of the body before it answers.
		_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	}

	var m *http.MaxBytesError

	switch {
	case errors.As(err, &m):
		return nil, outcome.New(outcome.TooLarge, outcome.NotRun, "the body is above %d bytes", most)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, outcome.New(outcome.DeadlineExceeded, outcome.NotRun, "the body did not arrive in time")
	case err != nil:
		return nil, outcome.New(outcome.InvalidRequest, outcome.NotRun, "the body could not be read").WithCause(err)
	}

	return b, nil
}

// errorResponse is the body of an error.
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

// WriteError answers a request with an error.
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

func encodeEvent(v any) []byte {
	b, _ := json.Marshal(v)

	return fmt.Appendf(nil, "data: %s\n\n", b)
}
