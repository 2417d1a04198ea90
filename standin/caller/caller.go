// Package caller implements a stand-in for the platform's callers. It sends online requests on keep-alive connections,
// and submits, reads and cancels batch jobs. The soak uses it.
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

// Caller sends requests to daemons. It is safe for concurrent use. Create one with New.
type Caller struct {
	client  *http.Client
	host    string
	timeout time.Duration
}

// New returns a caller that sends requests with host as their Host header. The timeout bounds each request until its
// response has been read, and is sent to the daemon as the deadline of the request.
func New(host string, timeout time.Duration) *Caller {
	return &Caller{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: timeout}, host: host, timeout: timeout}
}

// Close closes the idle connections. The caller can still be used.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// Response is an HTTP response as far as a caller received it. The zero value means that there was no response.
type Response struct {
	status   int
	body     []byte
	complete bool
}

// Status returns the HTTP status, or 0 if there was no response.
func (a Response) Status() int { return a.status }

// Body returns the bytes of the body that were received, which may be only the start of it.
func (a Response) Body() []byte { return a.body }

// IsComplete reports whether the body ended without an error, so that it looks complete to the caller.
func (a Response) IsComplete() bool { return a.complete }

func (c *Caller) send(ctx context.Context, method, url, id, prompt string, body []byte) Response {
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return Response{}
	}

	r.Host = c.host
	r.Header.Set("Deadline-Ms", strconv.FormatInt(c.timeout.Milliseconds(), 10))

	if id != "" {
		r.Header.Set("Request-Id", id)
	}

	if prompt != "" {
		r.Header.Set(promptHeader, prompt)
	}

	a, err := c.client.Do(r)
	if err != nil {
		return Response{}
	}
	defer func() { _ = a.Body.Close() }()

	b, err := io.ReadAll(a.Body)

	return Response{status: a.StatusCode, body: b, complete: err == nil}
}

// promptHeader is the header field with the parts of a prompt as ID:TOKENS entries, separated by commas.
const promptHeader = "Prompt-Prefix"

// SendRequest sends an online request with POST to the daemon at address. The path selects the route, and id is the
// request ID. The prompt is sent as the Prompt-Prefix header; an empty one is left out.
func (c *Caller) SendRequest(ctx context.Context, address, path, id, prompt string) Response {
	return c.send(ctx, http.MethodPost, "http://"+address+path, id, prompt, []byte("x"))
}

type item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    []byte            `json:"body"`
	Tokens  int               `json:"tokens"`
}

// SubmitJob submits a job with POST to the daemon at address. The path selects the route of the job and of its items,
// which are named ID.0, ID.1 and so on. Each prompt gives an item.
func (c *Caller) SubmitJob(ctx context.Context, address, path, id string, prompts []string) Response {
	l := make([]item, len(prompts))
	for i, p := range prompts {
		l[i] = item{ID: fmt.Sprint(id, ".", i), Path: path, Headers: map[string]string{"Model": "m", promptHeader: p}, Body: []byte("body"), Tokens: 1}
	}

	b, err := json.Marshal(map[string]any{"items": l})
	if err != nil {
		return Response{}
	}

	return c.send(ctx, http.MethodPost, "http://"+address+path, id, "", b)
}

// Result is the published result of an item.
type Result struct {
	ID    string `json:"id"`    // of the item
	State string `json:"state"` // completed or dead_letter
	Text  string `json:"text"`  // empty if the item failed
}

// IsCompleted reports whether the item was completed. Otherwise it is a failed item, which is not run again.
func (r Result) IsCompleted() bool { return r.State == "completed" }

// Page is one page of the published results of a job.
type Page struct {
	Total   int      `json:"total"`   // number of items of the job
	Next    int      `json:"next"`    // position after the last result of the page
	Results []Result `json:"results"` // in order of their positions
}

// Read reads the published results of a job from the first one on. The page is empty unless the response has status 200
// and is complete. An error means that the body of such a response could not be decoded.
func (c *Caller) Read(ctx context.Context, address, job string) (Page, Response, error) {
	var p Page

	a := c.send(ctx, http.MethodGet, "http://"+address+"/lots/"+job, "", "", nil)
	if a.status != http.StatusOK || !a.complete {
		return p, a, nil
	}

	err := json.Unmarshal(a.body, &p)

	return p, a, err
}

// CancelJob cancels a job with DELETE.
func (c *Caller) CancelJob(ctx context.Context, address, job string) Response {
	return c.send(ctx, http.MethodDelete, "http://"+address+"/lots/"+job, "", "", nil)
}
