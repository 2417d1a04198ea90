package daemon

import (
	"context"
	"net/http"
	"time"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"github.com/agategap/agategap/filter"
	"github.com/agategap/agategap/outcome"
)

// metrics has the daemon's counters.
type metrics struct {
	scope    tally.Scope
	reporter prometheus.Reporter
}

// reportInterval is the time between two passes of the counters to the reporter.
const reportInterval = time.Second

func newMetrics() *metrics {
	g := client.NewRegistry() // one per daemon, as the demo runs several in a process
	r := prometheus.NewReporter(prometheus.Options{Registerer: g, Gatherer: g})
	s, _ := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "agategap",
		CachedReporter:         r,
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)

	return &metrics{scope: s, reporter: r}
}

func (m *metrics) handler() http.Handler { return m.reporter.HTTPHandler() }

// Write counts a message of an HTTP server, such as a failed TLS handshake. A stranger can cause any number of them, so
// that they are not logged.
func (m *metrics) Write(b []byte) (int, error) {
	m.scope.Counter("connection_errors").Inc(1)

	return len(b), nil
}

// countRequests counts the requests that pass through a chain.
func (m *metrics) countRequests(h filter.Handler) filter.Handler {
	return filter.HandlerFunc(func(ctx context.Context, r *filter.Request, s filter.Sink) error {
		err := h.Handle(ctx, r, s)
		code := "ok"

		if err != nil {
			code = string(outcome.From(err).Code())
		}

		// The name that a caller gives is counted only when the service exists, which bounds the number of series.
		n := r.Service().Name()
		if n == "" {
			n = "none"
		}

		m.scope.Tagged(map[string]string{"code": code, "service": n}).Counter("requests").Inc(1)

		return err
	})
}
