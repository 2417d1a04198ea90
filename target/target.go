// Package target is the client of model engines and plain services. It turns their responses into the events of package
// filter. Its connection pool is also used by the client of package platform.
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

// Request headers that model engines and plain services understand.
const (
	requestIDHeader  = "X-Request-Id"
	resumeFromHeader = "X-Resume-From"
)

const (
	// dialTimeout bounds the set-up of a connection.
	dialTimeout = time.Second
	// maxResponseBytes bounds the response of a plain service.
	maxResponseBytes = 8 << 20
	// maxErrorBytes bounds how much of an error response is read.
	maxErrorBytes = 4 << 10
	// cancelTimeout bounds the request that cancels a stream.
	cancelTimeout = 2 * time.Second
)

// Client sends requests to targets. It is the last handler of the filter chain and safe for concurrent use.
type Client struct {
	http *http.Client
}

// New returns a client with a pool of idle connections of its own.
func New() *Client {
	t := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: 256,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}

	return &Client{http: &http.Client{Transport: t}}
}

// Handle sends r to the target of its slot and emits the response to s. The effect of an error says whether the request
// may have reached the target.
func (c *Client) Handle(ctx context.Context, r *filter.Request, s filter.Sink) error {
	if r.Kind() == filter.Plain {
		return c.handlePlain(ctx, r, s)
	}

	return c.handleStream(ctx, r, s)
}

// handlePlain sends a request to a plain service and emits the response when it is complete.
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
		return outcome.New(outcome.TargetFailed, outcome.Failed, "the target's response is larger than %d bytes", maxResponseBytes)
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

// send sends one request and returns the response. from is the token position to resume at, or -1. It marks the request
// as sent unless no connection was established.
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

	// Without GetBody, the transport cannot read the body again and so does not retry the request on its own, as it would
	// with an Idempotency-Key or a body that it can rewind. The dispatch filter decides on retries.
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

// isDialError reports whether no connection was established, so that no byte was sent.
func isDialError(err error) bool {
	var o *net.OpError

	return errors.As(err, &o) && o.Op == "dial"
}

// lostResponse returns the error of a request that failed after bytes may have reached the target. If ctx has ended, it
// reports an exceeded deadline, also if the caller disconnected.
func lostResponse(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return outcome.New(outcome.DeadlineExceeded, outcome.Unknown, "the deadline passed before the target responded").WithCause(err)
	}

	return outcome.New(outcome.LostResponse, outcome.Unknown, "the connection to the target failed before it responded").WithCause(err)
}

// checkStatus returns the error of a response with an error status, or nil. A 503 or 429 says that the target did not
// accept the request; its effect is reported as unknown all the same. So is that of another server error, unless the
// work is idempotent.
func checkStatus(r *filter.Request, a *http.Response) error {
	if a.StatusCode < http.StatusBadRequest {
		return nil
	}

	b, _ := io.ReadAll(io.LimitReader(a.Body, maxErrorBytes))
	m := fmt.Sprintf("the target responded with status %d: %s", a.StatusCode, bytes.TrimSpace(b))

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
	// The transport reuses the connection only if the body was read to its end, which is worthwhile for a short one.
	_, _ = io.CopyN(io.Discard, b, maxErrorBytes)
	_ = b.Close()
}
