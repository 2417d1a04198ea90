package front

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/agategap/agategap/controller"
	"github.com/agategap/agategap/finding"
	"github.com/agategap/agategap/job"
	"github.com/agategap/agategap/journal"
	"github.com/agategap/agategap/outcome"
)

// batchLine is one line of a batch body.
type batchLine struct {
	CustomID string          `json:"custom_id"`
	Body     json.RawMessage `json:"body"`
}

// ParseItems reads the JSON lines of a batch body. It reports every bad line together.
func ParseItems(b []byte) ([]job.Item, error) {
	var l finding.List

	var items []job.Item

	seen := map[string]int{}

	for n := 1; len(b) > 0; n++ {
		var t []byte

		t, b, _ = bytes.Cut(b, []byte("\n"))
		if t = bytes.TrimSpace(t); len(t) == 0 {
			continue
		}

		if len(items) == journal.MaxJobItems {
			l.Addf("body", n, "body", "has more than %d items; split the job", journal.MaxJobItems)

			break
		}

		v, err := parseLine(t)
		if err != nil {
			l.Addf("body", n, "line", "%s", err)

			continue
		}

		validateLine(&l, n, v, seen)
		items = append(items, job.Item{CustomID: v.CustomID, Body: bytes.Clone(v.Body)})
	}

	if len(items) == 0 && l.Err() == nil {
		l.Addf("body", 1, "body", "has no items")
	}

	return items, l.Err()
}

func parseLine(b []byte) (batchLine, error) {
	var v batchLine

	if len(b) > MaxLineBytes {
		return v, fmt.Errorf("has %d bytes, above the bound of %d", len(b), MaxLineBytes)
	}

	if err := json.Unmarshal(b, &v); err != nil {
		return v, fmt.Errorf("not valid JSON: %w", err)
	}

	return v, nil
}

func validateLine(l *finding.List, n int, v batchLine, seen map[string]int) {
	o, twice := seen[v.CustomID]

	switch {
	case v.CustomID == "":
		l.Addf("body", n, "custom_id", "is required")
	case len(v.CustomID) > MaxCustomIDBytes:
		l.Addf("body", n, "custom_id", "has %d bytes, above the bound of %d", len(v.CustomID), MaxCustomIDBytes)
	case twice:
		l.Addf("body", n, "custom_id", "%q is that of line %d too", v.CustomID, o)
	}

	seen[v.CustomID] = n

	if len(v.Body) == 0 || v.Body[0] != '{' {
		l.Addf("body", n, "body", "is not a JSON object")
	}
}

// maxFindings bounds the findings in an error answer.
const maxFindings = 20

func (f *Frontend) handleSubmit(w http.ResponseWriter, r *http.Request) {
	a, ok := f.accounts.Account(bearerKey(r))
	if !ok {
		writeError(w, newUnauthenticatedError())

		return
	}

	select {
	case f.batchBodySem <- struct{}{}:
	default:
		writeError(w, outcome.New(outcome.Overloaded, outcome.NotRun, "the daemon is reading %d batch bodies already", maxBatchBodies).
			WithRetryAfter(time.Second))

		return
	}

	s, err := f.readJobSpec(w, r, a.Name())
	<-f.batchBodySem

	if err != nil {
		writeError(w, err)

		return
	}

	id, err := f.jobs.Submit(r.Context(), s)
	if err != nil {
		writeError(w, err)

		return
	}

	writeJSON(w, http.StatusAccepted, map[string]string{"id": id, "state": "accepted"})
}

func (f *Frontend) readJobSpec(w http.ResponseWriter, r *http.Request, account string) (controller.JobSpec, error) {
	key := r.Header.Get("Idempotency-Key")
	if key == "" || len(key) > MaxKeyBytes {
		return controller.JobSpec{}, outcome.New(outcome.InvalidRequest, outcome.NotRun,
			"a batch job needs an Idempotency-Key header of at most %d bytes, so that a resent job is the same job", MaxKeyBytes)
	}

	b, err := readBody(w, r, MaxBatchBytes)
	if err != nil {
		return controller.JobSpec{}, err
	}

	items, err := ParseItems(b)
	if err != nil {
		return controller.JobSpec{}, outcome.New(outcome.InvalidRequest, outcome.NotRun, "%s", truncateFindings(err))
	}

	q := r.URL.Query()

	p, d, err := f.parseJobSettings(q)
	if err != nil {
		return controller.JobSpec{}, err
	}

	path := q.Get("path")
	if path == "" {
		path = "/v1/chat/completions"
	}

	return controller.NewJobSpec(account, key, q.Get("service"), path, p, d, items), nil
}

// truncateFindings returns the first findings of an error.
func truncateFindings(err error) string {
	l := bytes.Split([]byte(err.Error()), []byte("\n"))
	if len(l) <= maxFindings {
		return err.Error()
	}

	return string(bytes.Join(l[:maxFindings], []byte("\n"))) + "\nand " + strconv.Itoa(len(l)-maxFindings) + " more"
}

// defaultJobTimeout is the time until the deadline of a job that gives none.
const defaultJobTimeout = 24 * time.Hour

// parseJobSettings reads priority and deadline from a query. The deadline is a length of time from now, such as 6h.
func (f *Frontend) parseJobSettings(q url.Values) (int, time.Time, error) {
	p, d := 0, f.clock().Add(defaultJobTimeout)

	if v := q.Get("priority"); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil {
			return 0, d, outcome.New(outcome.InvalidRequest, outcome.NotRun, "priority %q is not an integer", v)
		}

		p = n
	}

	if v := q.Get("deadline"); v != "" {
		n, err := time.ParseDuration(v)
		if err != nil || n <= 0 {
			return 0, d, outcome.New(outcome.InvalidRequest, outcome.NotRun, "deadline %q is not a length of time such as 6h", v)
		}

		d = f.clock().Add(n)
	}

	return p, d, nil
}

// JobStatus is the status of a job in answers to callers. It is a wire message.
type JobStatus struct {
	ID       string    `json:"id"`
	State    string    `json:"state"`
	Service  string    `json:"service"`
	Priority int       `json:"priority"`
	Deadline time.Time `json:"deadline"`
	Items    int       `json:"items"`
	Done     int       `json:"done"`
	Failed   int       `json:"failed"`
	Unknown  int       `json:"unknown"`
	Pending  int       `json:"pending"`

	// CutoffRunBound is set in the answer to a cancellation: a failure domain that cannot be reached goes on with
	// the items that it holds for at most this time.
	CutoffRunBound string `json:"cutoff_run_bound,omitempty"`
}

func newJobStatus(s job.Status) JobStatus {
	return JobStatus{
		ID: s.ID, State: s.State.String(), Service: s.Service, Priority: s.Priority, Deadline: time.UnixMilli(s.DeadlineMS).UTC(),
		Items: s.Items, Done: s.Done, Failed: s.Failed, Unknown: s.Unknown, Pending: s.Pending,
	}
}

func (f *Frontend) handleStatus(w http.ResponseWriter, r *http.Request) {
	f.respondWithJobStatus(w, r, func(string, string) (string, error) { return "", nil })
}

// respondWithJobStatus makes a change to a job of the caller's account and answers with the job's status.
func (f *Frontend) respondWithJobStatus(w http.ResponseWriter, r *http.Request, do func(account, id string) (bound string, err error)) {
	a, ok := f.accounts.Account(bearerKey(r))
	if !ok {
		writeError(w, newUnauthenticatedError())

		return
	}

	bound, err := do(a.Name(), r.PathValue("id"))
	if err != nil {
		writeError(w, err)

		return
	}

	s, err := f.jobs.Status(r.Context(), a.Name(), r.PathValue("id"))
	if err != nil {
		writeError(w, err)

		return
	}

	v := newJobStatus(s)
	v.CutoffRunBound = bound
	writeJSON(w, http.StatusOK, v)
}

// resultLine is one line of a job's results.
type resultLine struct {
	CustomID string          `json:"custom_id"`
	Effect   string          `json:"effect"`
	Attempts int             `json:"attempts,omitempty"`
	Reason   string          `json:"reason,omitempty"`
	Body     json.RawMessage `json:"body,omitempty"`
}

// handleJobResults sends the results page by page. When a page cannot be read, the connection is closed, as the caller would
// take a short answer for a whole one.
func (f *Frontend) handleJobResults(w http.ResponseWriter, r *http.Request) {
	a, ok := f.accounts.Account(bearerKey(r))
	if !ok {
		writeError(w, newUnauthenticatedError())

		return
	}

	id, e := r.PathValue("id"), json.NewEncoder(w)

	s, err := f.jobs.Status(r.Context(), a.Name(), id)
	if err != nil {
		writeError(w, err)

		return
	}

	for from := 0; from < s.Items; {
		l, next, err := f.jobs.Results(r.Context(), a.Name(), id, from)

		switch {
		case err != nil && from == 0:
			writeError(w, err)

			return
		case err != nil || next <= from:
			panic(http.ErrAbortHandler)
		case from == 0:
			w.Header().Set("Content-Type", "application/jsonl")
		}

		for _, v := range l {
			_ = e.Encode(newResultLine(v))
		}

		from = next
	}
}

func newResultLine(l job.ItemResult) resultLine {
	t := resultLine{CustomID: l.CustomID, Effect: l.Result.Effect.String(), Attempts: l.Result.Attempts, Reason: l.Result.Reason}
	if len(l.Result.Body) > 0 {
		t.Body = encodeResultBody(l.Result.Body)
	}

	return t
}

// encodeResultBody returns a result as JSON: as it is, or as a string.
func encodeResultBody(b []byte) json.RawMessage {
	if json.Valid(b) {
		return b
	}

	s, _ := json.Marshal(string(b))

	return s
}

func (f *Frontend) handleCancel(w http.ResponseWriter, r *http.Request) {
	f.respondWithJobStatus(w, r, func(account, id string) (string, error) {
		b, err := f.jobs.Cancel(r.Context(), account, id)

		return b.String(), err
	})
}

func (f *Frontend) handleAmend(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()

	p, d, err := f.parseJobSettings(q)
	if err != nil {
		writeError(w, err)

		return
	}

	f.respondWithJobStatus(w, r, func(account, id string) (string, error) {
		var np *int

		var nd *time.Time

		if q.Has("priority") {
			np = &p
		}

		if q.Has("deadline") {
			nd = &d
		}

		return "", f.jobs.Amend(r.Context(), account, id, np, nd)
	})
}
