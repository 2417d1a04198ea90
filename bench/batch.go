package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/agategap/agategap/demo"
)

// jobs are batch jobs that were submitted together. The response of each item has itemTokens tokens.
type jobs struct {
	client     *client
	ids        []string
	itemTokens int
}

// submit submits n jobs with the given number of items, the response of each of which has the given number of tokens.
// The jobs are distributed over the daemons.
func (c *client) submit(ctx context.Context, n, items, tokens int) (*jobs, error) {
	j := &jobs{client: c, itemTokens: tokens}

	for k := range n {
		var b bytes.Buffer
		for i := range items {
			_, _ = fmt.Fprintf(&b, `{"custom_id":"i-%d","body":{"messages":[{"role":"user","content":"job %d item %d tokens=%d"}]}}`+"\n", i, k, i, tokens)
		}

		a, err := c.callJobAPI(ctx, http.MethodPost, k, "/v1/batches?service="+c.demo.ServiceName(), fmt.Sprintf("bench-%d", k), &b)
		if err != nil {
			return nil, err
		}

		j.ids = append(j.ids, a.ID)
	}

	return j, nil
}

// countDone returns the number of completed items of all jobs together. Failed items do not count.
func (j *jobs) countDone(ctx context.Context) (int, error) {
	n := 0

	for k, id := range j.ids {
		a, err := j.client.callJobAPI(ctx, http.MethodGet, k, "/v1/batches/"+id, "", nil)
		if err != nil {
			return 0, err
		}

		n += a.Done
	}

	return n, nil
}

// jobMessage has the fields of a job's status that the benchmarks use.
type jobMessage struct {
	ID   string `json:"id"`
	Done int    `json:"done"`
}

// callJobAPI sends a request to daemon i and decodes the status of a job in the response. It sends no idempotency key
// if idempotencyKey is empty, and returns an error for a status of 400 or above.
func (c *client) callJobAPI(ctx context.Context, method string, i int, path, idempotencyKey string, body *bytes.Buffer) (jobMessage, error) {
	var a jobMessage

	if body == nil {
		body = &bytes.Buffer{}
	}

	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.demo.CallerAddress(i)+path, body)
	if err != nil {
		return a, err
	}

	r.Header.Set("Authorization", "Bearer "+demo.Key)

	if idempotencyKey != "" {
		r.Header.Set("Idempotency-Key", idempotencyKey)
	}

	v, err := c.http.Do(r)
	if err != nil {
		return a, err
	}
	defer func() { _ = v.Body.Close() }()

	if v.StatusCode >= http.StatusBadRequest {
		return a, fmt.Errorf("%s %s: status %d", method, path, v.StatusCode)
	}

	return a, json.NewDecoder(v.Body).Decode(&a)
}
