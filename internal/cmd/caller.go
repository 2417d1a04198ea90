package cmd

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"github.com/agategap/agategap/outcome"
)

// callerClient is an HTTP client of the caller interface. It tries its base URLs in order.
type callerClient struct {
	baseURLs   []string
	bearerKey  string
	httpClient *http.Client
}

// callerFlags are the flags that all subcommands of job share.
type callerFlags struct {
	address, keyFile, authority *string
	timeout                     *time.Duration
}

func newCallerFlags(f *flag.FlagSet) callerFlags {
	const timeout = time.Minute

	return callerFlags{
		address:   f.String("address", "127.0.0.1:7001", "caller addresses, IP:port or URL, separated by commas; the next one is tried when one cannot be reached"),
		keyFile:   f.String("key-file", "", "file with the bearer key; the variable AGATEGAP_KEY when empty"),
		authority: f.String("authority", "", "PEM file with the authorities of the daemons' certificates; https is used when set"),
		timeout:   f.Duration("timeout", timeout, "longest time for one call"),
	}
}

// newClient returns a client with the settings of the flags. It fails if there is no bearer key or a file cannot be read.
func (c callerFlags) newClient() (*callerClient, error) {
	k := os.Getenv("AGATEGAP_KEY")

	if *c.keyFile != "" {
		b, err := readFile(*c.keyFile)
		if err != nil {
			return nil, err
		}

		k = string(bytes.TrimSpace(b))
	}

	if k == "" {
		return nil, outcome.New(outcome.Unauthenticated, outcome.NotRun, "no bearer key: set AGATEGAP_KEY or -key-file")
	}

	t := &http.Transport{}
	scheme := "http://"

	if *c.authority != "" {
		b, err := readFile(*c.authority)
		if err != nil {
			return nil, err
		}

		p := x509.NewCertPool()
		if !p.AppendCertsFromPEM(b) {
			return nil, trace.BadParameter("%s has no certificates", *c.authority)
		}

		t.TLSClientConfig = &tls.Config{RootCAs: p, MinVersion: tls.VersionTLS12}
		scheme = "https://"
	}

	var l []string

	for a := range strings.SplitSeq(*c.address, ",") {
		a = strings.TrimRight(strings.TrimSpace(a), "/")
		if !strings.Contains(a, "://") {
			a = scheme + a
		}

		l = append(l, a)
	}

	return &callerClient{baseURLs: l, bearerKey: k, httpClient: &http.Client{Transport: t, Timeout: *c.timeout}}, nil
}

// newNotSentError returns the error of a call that had no effect, because each daemon was unreachable or not ready.
func newNotSentError(err error) error {
	return outcome.New(outcome.NotReady, outcome.NotRun, "no daemon can be reached").WithCause(err)
}

// call sends a request and returns the body of the response, which the caller of this method closes. It tries the next
// base URL if the request was not sent or the daemon is not ready, and, only if the request is repeatable, if the
// response was lost.
func (c *callerClient) call(ctx context.Context, method, path, idempotencyKey string, body []byte, repeatable bool) (io.ReadCloser, error) {
	var last error

	lost := false

	for _, b := range c.baseURLs {
		a, err := c.callOnce(ctx, method, b+path, idempotencyKey, body)
		if err == nil {
			return a, nil
		}

		var o *outcome.Error
		if errors.As(err, &o) && o.Code() != outcome.NotReady {
			return nil, err
		}

		sent := !isNotSent(err) && o == nil
		last, lost = err, lost || sent

		if sent && !repeatable {
			break
		}
	}

	if lost {
		return nil, outcome.New(outcome.LostResponse, outcome.Unknown, "the response was lost; repeat the command to learn the outcome").WithCause(last)
	}

	return nil, newNotSentError(last)
}

// isNotSent reports whether err shows that no request was sent: the connection was not established, or the certificate
// of the server was rejected.
func isNotSent(err error) bool {
	var o *net.OpError

	var c *tls.CertificateVerificationError

	return errors.As(err, &c) || errors.Is(err, syscall.ECONNREFUSED) || errors.As(err, &o) && o.Op == "dial"
}

func (c *callerClient) callOnce(ctx context.Context, method, url, idempotencyKey string, body []byte) (io.ReadCloser, error) {
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, outcome.New(outcome.InvalidRequest, outcome.NotRun, "the address of the daemon is invalid").WithCause(err)
	}

	r.Header.Set("Authorization", "Bearer "+c.bearerKey)

	if idempotencyKey != "" {
		r.Header.Set("Idempotency-Key", idempotencyKey)
	}

	a, err := c.httpClient.Do(r)
	if err != nil {
		return nil, err
	}

	if a.StatusCode < http.StatusBadRequest {
		return a.Body, nil
	}
	defer func() { _ = a.Body.Close() }()

	return nil, decodeErrorResponse(a)
}

// decodeErrorResponse returns the error that a response reports. Its effect decides the exit code.
func decodeErrorResponse(a *http.Response) error {
	const maxErrorBytes = 1 << 20

	var v struct {
		Error struct {
			Code    outcome.Code   `json:"code"`
			Message string         `json:"message"`
			Outcome outcome.Effect `json:"outcome"`
		} `json:"error"`
	}

	b, _ := io.ReadAll(io.LimitReader(a.Body, maxErrorBytes))
	if json.Unmarshal(b, &v) != nil || v.Error.Code == "" {
		return outcome.New(outcome.Internal, outcome.Unknown, "status %d without a readable error message", a.StatusCode)
	}

	m := fmt.Sprintf("%s: %s", v.Error.Code, v.Error.Message)
	if r := a.Header.Get("Retry-After"); r != "" {
		m += fmt.Sprintf(" (retry after %s s)", r)
	}

	return outcome.New(v.Error.Code, v.Error.Outcome, "%s", m)
}
