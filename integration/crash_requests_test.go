package integration_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/agategap/agategap/standin/worker"
)

// promptItem is an item of a job with the parts of its prompt.
type promptItem struct{ id, parts string }

// promptJobBody returns the body of a job submission.
func promptJobBody(items []promptItem) string {
	var b bytes.Buffer

	l := []map[string]any{}
	for _, i := range items {
		l = append(l, map[string]any{
			"id": i.id, "path": "/batch/x", "headers": map[string]string{"Model": "m", "Token-Usage": "400,200", "Prompt-Prefix": i.parts}, "body": []byte("body"), "tokens": 600,
		})
	}

	_ = json.NewEncoder(&b).Encode(map[string]any{"items": l})

	return b.String()
}

// submit submits a job and returns whether it was accepted.
func (f *crashFleet) submit(n *daemonProcess, id string, items []promptItem) bool {
	return f.send(http.MethodPost, n.callerAddress, "/batch/x", id, promptJobBody(items)).status == http.StatusAccepted
}

// sendParts sends an online request with a prompt on a new connection.
func (f *crashFleet) sendParts(n *daemonProcess, id, parts string) routedResponse {
	q, _ := http.NewRequest(http.MethodPost, "http://"+n.callerAddress+"/again/x", strings.NewReader("body"))
	q.Host = "h.example"
	q.Header.Set("Request-Id", id)
	q.Header.Set("Deadline-Ms", "12000")
	q.Header.Set("Prompt-Prefix", parts)

	t := &http.Transport{DisableKeepAlives: true}
	defer t.CloseIdleConnections()

	a, err := (&http.Client{Transport: t, Timeout: 15 * time.Second}).Do(q)
	if err != nil {
		return routedResponse{err: err}
	}
	defer a.Body.Close()

	b, err := io.ReadAll(a.Body)

	return routedResponse{status: a.StatusCode, body: string(b), complete: err == nil, err: err}
}

// isServed reports whether a response is the complete one to the request with an ID.
func (f *crashFleet) isServed(a routedResponse, id string) bool {
	return a.status == http.StatusOK && a.complete && a.body == f.expectedStream(id)
}

// expectedStream returns the complete event stream of the response to the request with an ID.
func (f *crashFleet) expectedStream(id string) string {
	var b strings.Builder
	for n := 1; n <= f.options.events; n++ {
		b.WriteString(worker.EncodeEvent(id, n))
	}

	return b.String()
}

// openItems returns the items of a job that a daemon lists neither as completed nor as dead, and what is wrong with the
// results that it lists.
func (f *crashFleet) openItems(n *daemonProcess, job string, items []promptItem) (open, wrong []string) {
	listed := map[string]bool{}

	for _, r := range f.results(n, job).Results {
		if listed[r.ID] {
			wrong = append(wrong, r.ID+" is listed twice")
		}

		listed[r.ID] = true

		if r.State != "completed" || r.Text != worker.ResultText(r.ID, f.options.events) {
			wrong = append(wrong, fmt.Sprintf("%s is %s with a text of %d bytes", r.ID, r.State, len(r.Text)))
		}
	}

	for _, i := range items {
		if !listed[i.id] {
			open = append(open, i.id)
		}
	}

	return open, wrong
}

// waitCompleted waits until a daemon lists all items of a job, at most until the deadline. It returns those that are open
// then, and what is wrong with the listed results.
func (f *crashFleet) waitCompleted(n *daemonProcess, job string, items []promptItem, deadline time.Time) (open, wrong []string) {
	for {
		open, wrong = f.openItems(n, job, items)
		if len(open) == 0 || time.Now().After(deadline) {
			return open, wrong
		}

		time.Sleep(100 * time.Millisecond)
	}
}
