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

// ParseItems parses the JSON lines of a batch body, of which blank ones are skipped. The error lists the findings of
// all invalid lines.
func ParseItems(b []byte) ([]job.Item, error) {
	var findings finding.List

	var items []job.Item

	seen := map[string]int{} // line numbers by custom_id

	for n := 1; len(b) > 0; n++ {
		var text []byte

		text, b, _ = bytes.Cut(b, []byte("\n"))
		if text = bytes.TrimSpace(text); len(text) == 0 {
			continue
		}

		if len(items) == journal.MaxJobItems {
			findings.Addf("body", n, "body", "has more than %d items; split the job", journal.MaxJobItems)

			break
		}

		v, err := parseLine(text)
		if err != nil {
			findings.Addf("body", n, "line", "%s", err)

			continue
		}

		validateLine(&findings, n, v, seen)
		items = append(items, job.Item{CustomID: v.CustomID, Body: bytes.Clone(v.Body)})
	}

	if len(items) == 0 && findings.Err() == nil {
		findings.Addf("body", 1, "body", "has no items")
	}

	return items, findings.Err()
}

func parseLine(b []byte) (batchLine, error) {
	var v batchLine

	if len(b) > MaxLineBytes {
		return v, fmt.Errorf("has %d bytes, above the limit of %d", len(b), MaxLineBytes)
	}

	if err := json.Unmarshal(b, &v); err != nil {
		return v, fmt.Errorf("not valid JSON: %w", err)
	}

	return v, nil
}

// validateLine adds the findings of line n. seen has the line number of each custom_id before it, and gets that of v.
func validateLine(findings *finding.List, n int, v batchLine, seen map[string]int) {
	first, duplicate := seen[v.CustomID]

	switch {
	case v.CustomID == "":
		findings.Addf("body", n, "custom_id", "is required")
	case len(v.CustomID) > MaxCustomIDBytes:
		findings.Addf("body", n, "custom_id", "has %d bytes, above the limit of %d", len(v.CustomID), MaxCustomIDBytes)
	case duplicate:
		findings.Addf("body", n, "custom_id", "%q is already used in line %d", v.CustomID, first)
	}

	seen[v.CustomID] = n

	if len(v.Body) == 0 || v.Body[0] != '{' {
		findings.Addf("body", n, "body", "is not a JSON object")
	}
}

// maxFindings limits the number of findings in an error response.
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
		writeError(w, outcome.New(outcome.Overloaded, outcome.NotRun,
			"the daemon is already reading the maximum of %d batch bodies", maxBatchBodies).WithRetryAfter(time.Second))

		return
	}

	spec, err := f.readJobSpec(w, r, a.Name())
	<-f.batchBodySem

	if err != nil {
		writeError(w, err)

		return
	}

	id, err := f.jobs.Submit(r.Context(), spec)
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
			"a batch job requires an Idempotency-Key header of at most %d bytes, which identifies the job if it is sent again",
			MaxKeyBytes)
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

// truncateFindings returns the first maxFindings lines of an error, followed by the number of the others.
func truncateFindings(err error) string {
	lines := bytes.Split([]byte(err.Error()), []byte("\n"))
	if len(lines) <= maxFindings {
		return err.Error()
	}

	return string(bytes.Join(lines[:maxFindings], []byte("\n"))) +
		"\nand " + strconv.Itoa(len(lines)-maxFindings) + " more"
}

// defaultJobTimeout is the time from submission to the deadline of a job that sets no deadline.
const defaultJobTimeout = 24 * time.Hour

// parseJobSettings returns the priority and the deadline from a query, or their defaults. The deadline is given as a
// duration from now, such as 6h.
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
			return 0, d, outcome.New(outcome.InvalidRequest, outcome.NotRun,
				"deadline %q is not a positive duration such as 6h", v)
		}

		d = f.clock().Add(n)
	}

	return p, d, nil
}

// JobStatus is the body of a response with the status of a job.
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

	// CutoffRunBound is a duration such as 10s, set only in the response to a cancellation. It is the longest time for
	// which a failure domain that is cut off from the log may continue to run items that it has been granted.
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

// respondWithJobStatus calls change with the caller's account and the job of the request, and responds with the status
// of the job. change returns the CutoffRunBound of the response.
func (f *Frontend) respondWithJobStatus(
	w http.ResponseWriter, r *http.Request, change func(account, id string) (cutoffRunBound string, err error),
) {
	a, ok := f.accounts.Account(bearerKey(r))
	if !ok {
		writeError(w, newUnauthenticatedError())

		return
	}

	bound, err := change(a.Name(), r.PathValue("id"))
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

// handleJobResults sends the results page by page. If a page after the first cannot be read, it closes the connection,
// as the caller would take a truncated response for a complete one.
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
		page, next, err := f.jobs.Results(r.Context(), a.Name(), id, from)

		switch {
		case err != nil && from == 0:
			writeError(w, err)

			return
		case err != nil || next <= from:
			panic(http.ErrAbortHandler)
		case from == 0:
			w.Header().Set("Content-Type", "application/jsonl")
		}

		for _, v := range page {
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

// encodeResultBody returns b unchanged if it is valid JSON, and otherwise as a JSON string.
func encodeResultBody(b []byte) json.RawMessage {
	if json.Valid(b) {
		return b
	}

	s, _ := json.Marshal(string(b))

	return s
}

func (f *Frontend) handleCancel(w http.ResponseWriter, r *http.Request) {
	f.respondWithJobStatus(w, r, func(account, id string) (string, error) {
		bound, err := f.jobs.Cancel(r.Context(), account, id)

		return bound.String(), err
	})
}

func (f *Frontend) handleAmend(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()

	priority, deadline, err := f.parseJobSettings(q)
	if err != nil {
		writeError(w, err)

		return
	}

	f.respondWithJobStatus(w, r, func(account, id string) (string, error) {
		var newPriority *int

		var newDeadline *time.Time

		if q.Has("priority") {
			newPriority = &priority
		}

		if q.Has("deadline") {
			newDeadline = &deadline
		}

		return "", f.jobs.Amend(r.Context(), account, id, newPriority, newDeadline)
	})
}
