package filter

import (
	"context"
	"time"

	"github.com/agategap/agategap/outcome"
)

// Directory looks up accounts and services in the configuration in force.
type Directory interface {
	// Account returns the account to which a bearer key belongs; false if the key is not known.
	Account(credential string) (Account, bool)
	// Service returns the settings of a service; false if there is none with this name.
	Service(name string) (Service, bool)
}

// Identify finds the account and the service of a request and sets its deadline.
type Identify struct {
	directory Directory
}

// NewIdentify returns an Identify filter.
func NewIdentify(d Directory) *Identify { return &Identify{directory: d} }

// Name returns "identify".
func (f *Identify) Name() string { return "identify" }

// Apply rejects a request whose bearer key or service is not known, or whose service is of another kind than the
// request.
func (f *Identify) Apply(ctx context.Context, r *Request, s Sink, next Handler) error {
	a, ok := f.directory.Account(r.Credential())
	if !ok {
		return outcome.New(outcome.Unauthenticated, outcome.NotRun, "the bearer key is missing or not known")
	}

	v, ok := f.directory.Service(r.ServiceName())
	if !ok || v.Plain() != (r.Kind() == Plain) {
		return outcome.New(outcome.NotFound, outcome.NotRun, "service %q does not exist", r.ServiceName())
	}

	r.account, r.service = a, v
	r.deadline = r.Arrived().Add(requestTimeout(r, v))

	d, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()

	return next.Handle(d, r, s)
}

// requestTimeout returns the caller's timeout, bounded by that of the service if one is set. Without a timeout of the
// caller, it returns that of the service, or else defaultTimeout.
func requestTimeout(r *Request, v Service) time.Duration {
	if t := r.Timeout(); t > 0 && (v.Timeout() == 0 || t < v.Timeout()) {
		return t
	}

	if v.Timeout() > 0 {
		return v.Timeout()
	}

	return defaultTimeout
}

// defaultTimeout bounds a request if neither the caller nor the service gives a timeout.
const defaultTimeout = time.Minute
