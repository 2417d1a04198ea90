// Package routing decides by host and path which service a request goes to, and keeps the version of the routes that is
// in force. It does no input or output.
package routing

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind is the kind of the requests of a route. It decides whether a request may run more than once.
type Kind uint8

const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Streaming requests get an event stream as response. They run at most once unless the route is resumable.
	Streaming
	// Batch routes accept batch jobs, whose items may run more than once.
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

// Spec has the parameters of a Route.
type Spec struct {
	Name          string
	Host          string
	Prefix        string // begins and ends with a slash
	Kind          Kind
	Backends      []Backend
	Timeout       time.Duration // time from the arrival of a request to its deadline; 0 for none
	Objective     time.Duration // time to the response or first event of a stream that meets the objective; 0 for none
	MaxPause      time.Duration // longest time between events of a stream that meets the objective; 0 for none
	Priority      int           // 0 is the most urgent
	Attempts      int           // maximum number of targets that one request may be sent to
	Resumable     bool          // a stream may continue at another target
	DueAfter      time.Duration // batch: time from submission to the due time of all results
	DeadlineAfter time.Duration // batch: time from submission to the deadline, after which an item without a result may be failed
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

// Prefix returns the prefix of the paths that the route matches. It begins and ends with a slash.
func (r Route) Prefix() string { return r.spec.Prefix }

// Kind returns the kind of the requests.
func (r Route) Kind() Kind { return r.spec.Kind }

// Timeout returns the time from the arrival of a request to its deadline; 0 if the route sets none.
func (r Route) Timeout() time.Duration { return r.spec.Timeout }

// Objective returns the time to the response, or to the first event of a stream, that meets the objective; 0 if the
// route has none.
func (r Route) Objective() time.Duration { return r.spec.Objective }

// MaxPause returns the longest time between events of a stream that meets the objective; 0 if the route has none.
func (r Route) MaxPause() time.Duration { return r.spec.MaxPause }

// Priority returns the priority, 0 for the most urgent.
func (r Route) Priority() int { return r.spec.Priority }

// Attempts returns the maximum number of targets that one request may be sent to, at least 1.
func (r Route) Attempts() int { return max(1, r.spec.Attempts) }

// DueAfter returns the time from the submission of a batch job to the due time of its results.
func (r Route) DueAfter() time.Duration { return r.spec.DueAfter }

// DeadlineAfter returns the time from the submission of a batch job to its deadline, after which an item may be given
// up.
func (r Route) DeadlineAfter() time.Duration { return r.spec.DeadlineAfter }

// Resumable reports whether a stream may continue at another target.
func (r Route) Resumable() bool { return r.spec.Kind == Streaming && r.spec.Resumable }

// Repeatable reports whether a request may be sent again although it may already have run.
func (r Route) Repeatable() bool { return r.spec.Kind == Safe || r.Resumable() || r.spec.Kind == Batch }

// ServiceFor returns the service for the request with an identifier, or "" if the route has no backends. Identifiers
// are spread by hash in proportion to the weights; if no weight is positive, the first backend gets all requests.
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

// Limits are limits on the requests and connections of callers.
type Limits struct {
	maxHeaderBytes, maxBodyBytes int64
	headerTimeout, idleTimeout   time.Duration
}

// NewLimits returns limits with the largest header and body in bytes, the time to read a header, and the time that a
// connection may be idle between two requests.
func NewLimits(maxHeaderBytes, maxBodyBytes int64, headerTimeout, idleTimeout time.Duration) Limits {
	return Limits{
		maxHeaderBytes: maxHeaderBytes, maxBodyBytes: maxBodyBytes, headerTimeout: headerTimeout, idleTimeout: idleTimeout,
	}
}

// MaxBodyBytes returns the largest body in bytes; 0 for no bound.
func (l Limits) MaxBodyBytes() int64 { return l.maxBodyBytes }

// Table is one version of the routes. It is immutable and safe for concurrent use.
type Table struct {
	version int64
	hosts   map[string][]Route // by host; longer prefixes first
	limits  Limits
	raw     []byte
}

// NewTable returns a version of the routes. raw is the encoding from which it was decoded, which this daemon passes on
// to others.
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

// Limits returns the limits for callers.
func (t *Table) Limits() Limits { return t.limits }

// Raw returns the encoding from which the version was decoded. It must not be changed.
func (t *Table) Raw() []byte { return t.raw }

// Match returns the route of a host with the longest prefix that path begins with; false if there is none.
func (t *Table) Match(host, path string) (Route, bool) {
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.Prefix()) {
			return r, true
		}
	}

	return Route{}, false
}

// HasBatch reports whether a host has a route for batch jobs.
func (t *Table) HasBatch(host string) bool {
	return slices.ContainsFunc(t.hosts[host], func(r Route) bool { return r.Kind() == Batch })
}

// Current holds the version in force, whose number never decreases. The zero value has no version. It is safe for
// concurrent use.
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

// Table returns the version in force, or nil if there is none.
func (c *Current) Table() *Table {
	c.mu.RLock()
	defer c.mu.RUnlock()

	return c.table
}

// Version returns the number of the version in force; 0 if there is none.
func (c *Current) Version() int64 {
	if t := c.Table(); t != nil {
		return t.Version()
	}

	return 0
}
