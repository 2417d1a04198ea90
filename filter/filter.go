// Package filter has the chain that every request passes through, and the filters of that chain. It is independent of
// HTTP and of any other encoding: a front end builds a Request, and a Sink takes the response as events.
package filter

import "context"

// Handler completes a request. It emits the response to s as events. An error that callers may see is an
// *outcome.Error.
type Handler interface {
	Handle(ctx context.Context, r *Request, s Sink) error
}

// Filter does one step of the processing of a request. It calls next, or ends the request itself. Filters are safe for
// concurrent use.
type Filter interface {
	// Name returns the name of the filter, as used in counters and dumps.
	Name() string
	// Apply processes r. It may replace s for the rest of the chain.
	Apply(ctx context.Context, r *Request, s Sink, next Handler) error
}

// Sink takes the events of one response in order. It is not safe for concurrent use.
type Sink interface {
	Emit(e Event) error
}

// Chain passes a request through its filters in order and then to a final handler. It is immutable and a Handler
// itself.
type Chain struct {
	filters []Filter
	last    Handler
}

// New returns a chain of filters in front of the final handler last.
func New(last Handler, f ...Filter) *Chain {
	return &Chain{filters: f, last: last}
}

// Names returns the names of the filters in order.
func (c *Chain) Names() []string {
	n := make([]string, len(c.filters))
	for i, f := range c.filters {
		n[i] = f.Name()
	}

	return n
}

// Handle passes r through the chain.
func (c *Chain) Handle(ctx context.Context, r *Request, s Sink) error {
	return c.handlerFrom(0).Handle(ctx, r, s)
}

// handlerFrom returns the handler for the chain from filter i on.
func (c *Chain) handlerFrom(i int) Handler {
	if i == len(c.filters) {
		return c.last
	}

	return filterHandler{chain: c, index: i}
}

// filterHandler is a Handler that applies one filter of a chain.
type filterHandler struct {
	chain *Chain
	index int
}

// Handle applies the filter.
func (t filterHandler) Handle(ctx context.Context, r *Request, s Sink) error {
	return t.chain.filters[t.index].Apply(ctx, r, s, t.chain.handlerFrom(t.index+1))
}

// HandlerFunc adapts a function to a Handler.
type HandlerFunc func(ctx context.Context, r *Request, s Sink) error

// Handle calls f.
func (f HandlerFunc) Handle(ctx context.Context, r *Request, s Sink) error { return f(ctx, r, s) }

// SinkFunc adapts a function to a Sink.
type SinkFunc func(e Event) error

// Emit calls f.
func (f SinkFunc) Emit(e Event) error { return f(e) }
