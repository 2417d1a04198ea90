// Package routing decides which service a request goes to, by host and path, and which version of the routes is in
// force. It does no input or output.
package routing

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind says what may be repeated on a route.
type Kind uint8

const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Streaming requests are answered with events. They run at most once unless the route is resumable.
	Streaming
	// Batch routes take batch jobs.
	Batch
)

// Backend is a service that gets a share of a route's requests.
type Backend struct {
	service string
	weight  int
}

// NewBackend returns a service with a weight relative to the route's other backends.
func NewBackend(service string, weight int) Backend { return Backend{service: service, weight: weight} }

// Service returns the name of the service.
func (b Backend) Service() string { return b.service }

// Spec has the values of a Route.
type Spec struct {
	Name      string
	Host      string
	Prefix    string // begins and ends with a slash
	Kind      Kind
	Backends  []Backend
	Timeout   time.Duration // longest time that a request is kept waiting
	Objective time.Duration // time to the answer, or to the first event of a stream, that is on time
	Pause     time.Duration // longest pause between events that is on time
	Priority  int           // 0 is the most urgent
	Attempts  int           // targets that one request may be sent to
	Resumable bool          // a stream may go on at another target
	RunWithin time.Duration // batch: time from submission until all results are due
	Retain    time.Duration // batch: time from submission after which an item may be given up
}

// Route is one route of the configuration. Its zero value matches nothing.
type Route struct {
	spec Spec
}

// New returns a route.
func New(s Spec) Route { return Route{spec: s} }

// Name returns the name of the route.
func (r Route) Name() string { return r.spec.Name }

// Host returns the host of the route.
func (r Route) Host() string { return r.spec.Host }

// Prefix returns the start of the paths of the route.
func (r Route) Prefix() string { return r.spec.Prefix }

// Kind returns what may be repeated.
func (r Route) Kind() Kind { return r.spec.Kind }

// Timeout returns the longest time that a request is kept waiting; 0 for no bound.
func (r Route) Timeout() time.Duration { return r.spec.Timeout }

// Objective returns the time to an answer that is on time.
func (r Route) Objective() time.Duration { return r.spec.Objective }

// MaxPause returns the longest pause between events that is on time; 0 when the route has none.
func (r Route) MaxPause() time.Duration { return r.spec.Pause }

// Priority returns the rank, 0 for the most urgent.
func (r Route) Priority() int { return r.spec.Priority }

// Attempts returns the number of targets that one request may be sent to, at least 1.
func (r Route) Attempts() int { return max(1, r.spec.Attempts) }

// DueAfter returns the time from the submission of a batch job until its results are due.
func (r Route) DueAfter() time.Duration { return r.spec.RunWithin }

// DeadlineAfter returns the time from submission after which an item may be given up.
func (r Route) DeadlineAfter() time.Duration { return r.spec.Retain }

// Resumable reports whether a stream may go on at another target.
func (r Route) Resumable() bool { return r.spec.Kind == Streaming && r.spec.Resumable }

// Repeatable reports whether a request may be sent again after it may have run.
func (r Route) Repeatable() bool { return r.spec.Kind == Safe || r.Resumable() || r.spec.Kind == Batch }

// ServiceFor returns the service for a request, chosen by its identifier in proportion to the weights.
func (r Route) ServiceFor(id string) string {
	total := 0
	for _, b := range r.spec.Backends {
		total += b.weight
	}

	if total <= 0 {
		if len(r.spec.Backends) == 0 {
			return ""
		}

		return r.spec.Backends[0].service
	}

	n := int(xxhash.Sum64String(id) % uint64(total)) //nolint:gosec // the remainder is below total, which is an int

	for _, b := range r.spec.Backends {
		if n < b.weight {
			return b.service
		}

		n -= b.weight
	}

	return r.spec.Backends[len(r.spec.Backends)-1].service
}

// Limits bound what a caller may send.
type Limits struct {
	maxHeaderBytes, maxBodyBytes        int64
	headerTimeout, idleTimeout time.Duration
}

// NewLimits returns the largest header and body in bytes, the time for a header, and the time between two requests of
// a connection.
func NewLimits(header, body int64, headerTime, idle time.Duration) Limits {
	return Limits{maxHeaderBytes: header, maxBodyBytes: body, headerTimeout: headerTime, idleTimeout: idle}
}

// MaxBodyBytes returns the largest body in bytes; 0 for no bound.
func (l Limits) MaxBodyBytes() int64 { return l.maxBodyBytes }

// Table is one version of the routes. It must not be changed after New.
type Table struct {
	version int64
	hosts   map[string][]Route
	limits  Limits
	raw     []byte
}

// NewTable returns a version of the routes. raw is the encoding from which it was decoded, for other daemons.
func NewTable(version int64, routes []Route, l Limits, raw []byte) *Table {
	t := &Table{version: version, hosts: map[string][]Route{}, limits: l, raw: raw}
	for _, r := range routes {
		t.hosts[r.Host()] = append(t.hosts[r.Host()], r)
	}

	for _, l := range t.hosts {
		slices.SortStableFunc(l, func(a, b Route) int { return cmp.Compare(len(b.Prefix()), len(a.Prefix())) })
	}

	return t
}

// Version returns the number of the version.
func (t *Table) Version() int64 { return t.version }

// Limits returns the bounds on what callers send.
func (t *Table) Limits() Limits { return t.limits }

// Raw returns the encoding from which the version was decoded.
func (t *Table) Raw() []byte { return t.raw }

// Match returns the route with the longest prefix of path among those of a host.
func (t *Table) Match(host, path string) (Route, bool) {
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.Prefix()) {
			return r, true
		}
	}

	return Route{}, false
}

// HasBatch reports whether a host has a route that takes batch jobs.
func (t *Table) HasBatch(host string) bool {
	return slices.ContainsFunc(t.hosts[host], func(r Route) bool { return r.Kind() == Batch })
}

// Current is the version in force. It never goes back. The zero value has none.
type Current struct {
	mu    sync.RWMutex
	table *Table
}

// UpdateIfNewer puts a version in force if it is newer, and reports whether it did.
func (c *Current) UpdateIfNewer(t *Table) bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.table != nil && t.Version() <= c.table.Version() {
		return false
	}

	c.table = t

	return true
}

// Table returns the version in force, or nil.
func (c *Current) Table() *Table {
	c.mu.RLock()
	defer c.mu.RUnlock()

	return c.table
}

// Version returns the number of the version in force; 0 for none.
func (c *Current) Version() int64 {
	if t := c.Table(); t != nil {
		return t.Version()
	}

	return 0
}
