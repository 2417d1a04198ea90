package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Case is one case that the demo runs against itself.
type Case struct {
	name string
	run  func(ctx context.Context, d *Demo) (string, error)
}

// Name returns what the case shows.
func (c Case) Name() string { return c.name }

// Run runs the case and returns one line about its result.
func (c Case) Run(ctx context.Context, d *Demo) (string, error) { return c.run(ctx, d) }

// Cases returns the cases in order.
func Cases() []Case {
	return []Case{
		{name: "streamed chat completion", run: runChatCase},
		{name: "non-idempotent call", run: runBillingCase},
		{name: "batch of 100 items", run: runBatchCase},
	}
}

func runChatCase(ctx context.Context, d *Demo) (string, error) {
	b, err := d.post(ctx, d.CallerAddress(0), "/v1/chat/completions", "",
		`{"model":"signwriter","stream":true,"messages":[{"role":"user","content":"level 3, 12 bays free"}]}`)
	if err != nil {
		return "", err
	}

	n := strings.Count(b, "data: {")
	if n == 0 || !strings.HasSuffix(b, "data: [DONE]\n\n") {
		return "", fmt.Errorf("the stream is not whole: %q", b)
	}

	return fmt.Sprintf("%d chunks and the end marker", n), nil
}

// runBillingCase makes one call twice under one key, through daemons of different failure domains.
func runBillingCase(ctx context.Context, d *Demo) (string, error) {
	const body = `{"operator":"mall-7","amount":120}`

	before := d.ServiceRuns()

	a, err := d.post(ctx, d.CallerAddress(0), "/services/billing/notices", "notice-1", body)
	if err != nil {
		return "", err
	}

	b, err := d.post(ctx, d.CallerAddress(1), "/services/billing/notices", "notice-1", body)
	if err != nil {
		return "", err
	}

	if n := d.ServiceRuns() - before; n != 1 || a != b {
		return "", fmt.Errorf("the call ran %d times; answers %q and %q", n, a, b)
	}

	return "sent twice through two failure domains, ran once, same answer", nil
}

const batchItems = 100

func runBatchCase(ctx context.Context, d *Demo) (string, error) {
	var b bytes.Buffer
	for i := range batchItems {
		_, _ = fmt.Fprintf(&b, `{"custom_id":"notice-%d","body":{"messages":[{"role":"user","content":"notice %d"}]}}`+"\n", i, i)
	}

	a, err := d.post(ctx, d.CallerAddress(1), "/v1/batches?service=signwriter", "night-1", b.String())
	if err != nil {
		return "", err
	}

	var s struct {
		ID    string `json:"id"`
		State string `json:"state"`
		Done  int    `json:"done"`
	}

	if err := json.Unmarshal([]byte(a), &s); err != nil {
		return "", err
	}

	for s.State != "finished" {
		const interval = 50 * time.Millisecond

		select {
		case <-time.After(interval):
		case <-ctx.Done():
			return "", fmt.Errorf("job %s is %s with %d items done", s.ID, s.State, s.Done)
		}

		a, err := d.get(ctx, d.CallerAddress(0), "/v1/batches/"+s.ID)
		if err != nil {
			return "", err
		}

		if err := json.Unmarshal([]byte(a), &s); err != nil {
			return "", err
		}
	}

	r, err := d.get(ctx, d.CallerAddress(2), "/v1/batches/"+s.ID+"/results")
	if err != nil {
		return "", err
	}

	if n := strings.Count(r, `"effect":"done"`); n != batchItems {
		return "", fmt.Errorf("%d of %d results are done", n, batchItems)
	}

	return fmt.Sprintf("%s finished, %d results read back through another daemon", s.ID, batchItems), nil
}

func (d *Demo) post(ctx context.Context, address, path, key, body string) (string, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return "", err
	}

	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}

	return sendRequest(r)
}

func (d *Demo) get(ctx context.Context, address, path string) (string, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return "", err
	}

	return sendRequest(r)
}

func sendRequest(r *http.Request) (string, error) {
	r.Header.Set("Authorization", "Bearer "+Key)

	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return "", err
	}
	defer func() { _ = a.Body.Close() }()

	b, err := io.ReadAll(a.Body)
	if err == nil && a.StatusCode >= http.StatusBadRequest {
		err = fmt.Errorf("status %d: %s", a.StatusCode, b)
	}

	return string(b), err
}
