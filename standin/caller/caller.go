// Package caller is a small stand-in for the platform's clients: it makes requests on kept connections, and submits, reads
// and ends batch jobs.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// Caller makes calls to daemons. Use New.
type Caller struct {
	client  *http.Client
	host  string
	timeout time.Duration
}

// New returns a caller of the routes of a host, which waits for an answer for some time.
func New(host string, limit time.Duration) *Caller {
	return &Caller{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: limit}, host: host, timeout: limit}
}

// Close closes idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// Response is what a caller got. Its zero value stands for no answer.
type Response struct {
	status int
	body   []byte
	complete  bool
}

// Status returns the HTTP status; 0 when there was no answer.
func (a Response) Status() int { return a.status }

// Body returns what came of the body.
func (a Response) Body() []byte { return a.body }

// IsComplete reports whether the answer ended as one that is complete.
func (a Response) IsComplete() bool { return a.complete }

func (c *Caller) send(ctx context.Context, method, url, id string, body []byte) Response {
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return Response{}
	}

	r.Host = c.host
	r.Header.Set("Deadline-Ms", strconv.FormatInt(c.timeout.Milliseconds(), 10))

	if id != "" {
		r.Header.Set("Request-Id", id)
	}

	a, err := c.client.Do(r)
	if err != nil {
		return Response{}
	}
	defer func() { _ = a.Body.Close() }()

	b, err := io.ReadAll(a.Body)

	return Response{status: a.StatusCode, body: b, complete: err == nil}
}

// SendRequest makes a request to a path.
func (c *Caller) SendRequest(ctx context.Context, address, path, id string) Response {
	return c.send(ctx, http.MethodPost, "http://"+address+path, id, []byte("x"))
}

type item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    []byte            `json:"body"`
	Tokens  int               `json:"tokens"`
}

// SubmitJob submits a job under a path. Its items are named ID.0, ID.1 and so on.
func (c *Caller) SubmitJob(ctx context.Context, address, path, id string, items int) Response {
	l := make([]item, items)
	for i := range l {
		l[i] = item{ID: fmt.Sprint(id, ".", i), Path: path, Headers: map[string]string{"Model": "m"}, Body: []byte("body"), Tokens: 1}
	}

	b, err := json.Marshal(map[string]any{"items": l})
	if err != nil {
		return Response{}
	}

	return c.send(ctx, http.MethodPost, "http://"+address+path, id, b)
}

// Result is a result of an item as a daemon lists it.
type Result struct {
	ID    string `json:"id"`
	State string `json:"state"`
	Text  string `json:"text"`
}

// IsCompleted reports whether the item was completed, or else given up.
func (r Result) IsCompleted() bool { return r.State == "completed" }

// Page is a part of the results of a job.
type Page struct {
	Total   int      `json:"total"`
	Next    int      `json:"next"`
	Results []Result `json:"results"`
}

// Read reads the results of a job from the start. The page is empty unless the answer is whole with status 200.
func (c *Caller) Read(ctx context.Context, address, job string) (Page, Response, error) {
	var p Page

	a := c.send(ctx, http.MethodGet, "http://"+address+"/lots/"+job, "", nil)
	if a.status != http.StatusOK || !a.complete {
		return p, a, nil
	}

	err := json.Unmarshal(a.body, &p)

	return p, a, err
}

// CancelJob ends a job.
func (c *Caller) CancelJob(ctx context.Context, address, job string) Response {
	return c.send(ctx, http.MethodDelete, "http://"+address+"/lots/"+job, "", nil)
}
