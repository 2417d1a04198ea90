// Package target is the client of model engines and plain services. It turns their answers into the events of
// package filter.
package target

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/agategap/agategap/filter"
	"github.com/agategap/agategap/outcome"
)

// Headers that engines and plain services understand.
const (
	requestIDHeader  = "X-Request-Id"
	resumeFromHeader = "X-Resume-From"
)

const (
	dialTimeout = time.Second
	// maxResponseBytes bounds the answer of a plain service.
	maxResponseBytes = 8 << 20
	// maxErrorBytes bounds what is read of a target's error.
	maxErrorBytes = 4 << 10
	// cancelTimeout bounds the order to cancel a stream.
	cancelTimeout = 2 * time.Second
)

// Client sends requests to targets. It is the last handler of the chain.
type Client struct {
	http *http.Client
}

// New returns a client.
func New() *Client {
	t := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: 256,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}

	return &Client{http: &http.Client{Transport: t}}
}

// Handle sends r to the target of its slot. Errors say whether anything may have reached the target.
func (c *Client) Handle(ctx context.Context, r *filter.Request, s filter.Sink) error {
	if r.Kind() == filter.Plain {
		return c.handlePlain(ctx, r, s)
	}

	return c.handleStream(ctx, r, s)
}

func (c *Client) handlePlain(ctx context.Context, r *filter.Request, s filter.Sink) error {
	a, err := c.send(ctx, r, r.Body(), -1)
	if err != nil {
		return err
	}
	defer drainAndClose(a.Body)

	if err := checkStatus(r, a); err != nil {
		return err
	}

	b, err := io.ReadAll(io.LimitReader(a.Body, maxResponseBytes+1))
	if err != nil {
		return lostResponse(ctx, err)
	}

	if len(b) > maxResponseBytes {
		return outcome.New(outcome.TargetFailed, outcome.Failed, "the target's answer is above %d bytes", maxResponseBytes)
	}

	id := a.Header.Get(requestIDHeader)
	for _, e := range []filter.Event{
		filter.NewHead(id, a.StatusCode, a.Header.Get("Content-Type")),
		filter.NewChunk(id, 0, b, ""),
		filter.NewEnd(id, "", 0, 0),
	} {
		if err := s.Emit(e); err != nil {
			return err
		}
	}

	return nil
}

// send makes one exchange. from is the token position to resume at, or -1.
func (c *Client) send(ctx context.Context, r *filter.Request, body []byte, from int) (*http.Response, error) {
	u := "http://" + r.Slot().Target().Address() + r.Path()

	q, err := http.NewRequestWithContext(ctx, http.MethodPost, u, bytes.NewReader(body))
	if err != nil {
		return nil, outcome.New(outcome.InvalidRequest, outcome.NotRun, "the path %q is not valid", r.Path()).WithCause(err)
	}

	q.Header.Set("Content-Type", "application/json")
	q.Header.Set(requestIDHeader, r.ID())

	if from >= 0 {
		q.Header.Set(resumeFromHeader, strconv.Itoa(from))
	}

	// The transport repeats a request on its own when it has an Idempotency-Key or a nil-able body. Repeats are
	// for the dispatch filter to decide, so the body cannot be read again.
	q.GetBody = nil

	a, err := c.http.Do(q)
	if err == nil {
		r.MarkSent()

		return a, nil
	}

	if isDialError(err) {
		return nil, outcome.New(outcome.TargetFailed, outcome.NotRun, "the target refused the connection").WithCause(err)
	}

	r.MarkSent()

	return nil, lostResponse(ctx, err)
}

// isDialError reports whether the connection was never made, so that no byte was sent.
func isDialError(err error) bool {
	var o *net.OpError

	return errors.As(err, &o) && o.Op == "dial"
}

// lostResponse returns the error of a broken exchange after bytes may have reached the target.
func lostResponse(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return outcome.New(outcome.DeadlineExceeded, outcome.Unknown, "the deadline passed before the target answered").WithCause(err)
	}

	return outcome.New(outcome.LostResponse, outcome.Unknown, "the connection to the target broke before it answered").WithCause(err)
}

// checkStatus returns the error of an answer that is none. A 503 says that the target did not take the request.
func checkStatus(r *filter.Request, a *http.Response) error {
	if a.StatusCode < http.StatusBadRequest {
		return nil
	}

	b, _ := io.ReadAll(io.LimitReader(a.Body, maxErrorBytes))
	m := fmt.Sprintf("the target answered with status %d: %s", a.StatusCode, bytes.TrimSpace(b))

	switch {
	case a.StatusCode == http.StatusServiceUnavailable || a.StatusCode == http.StatusTooManyRequests:
		return outcome.New(outcome.TargetFailed, outcome.Unknown, "%s", m)
	case a.StatusCode < http.StatusInternalServerError:
		return outcome.New(outcome.InvalidRequest, outcome.Failed, "%s", m)
	case r.Service().Idempotent():
		return outcome.New(outcome.TargetFailed, outcome.Failed, "%s", m)
	default:
		return outcome.New(outcome.TargetFailed, outcome.Unknown, "%s", m)
	}
}

func drainAndClose(b io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, b, maxErrorBytes)
	_ = b.Close()
}
