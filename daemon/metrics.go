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

// metrics has the counters and timers of a daemon.
type metrics struct {
	scope    tally.Scope
	reporter prometheus.Reporter
}

// reportInterval is the interval at which the counters are passed to the reporter.
const reportInterval = time.Second

func newMetrics() *metrics {
	g := client.NewRegistry() // one per daemon, as the demo runs several daemons in one process
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

// Write counts an error message of an HTTP server, such as a failed TLS handshake. The messages are not logged, because
// any client can cause an unlimited number of them.
func (m *metrics) Write(b []byte) (int, error) {
	m.scope.Counter("connection_errors").Inc(1)

	return len(b), nil
}

// countRequests wraps a chain to count its requests by service and outcome code.
func (m *metrics) countRequests(h filter.Handler) filter.Handler {
	return filter.HandlerFunc(func(ctx context.Context, r *filter.Request, s filter.Sink) error {
		err := h.Handle(ctx, r, s)
		code := "ok"

		if err != nil {
			code = string(outcome.From(err).Code())
		}

		// Only names of configured services become a tag, which bounds the number of time series.
		n := r.Service().Name()
		if n == "" {
			n = "none"
		}

		m.scope.Tagged(map[string]string{"code": code, "service": n}).Counter("requests").Inc(1)

		return err
	})
}
