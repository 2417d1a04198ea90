package logging

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/agategap/agategap/shard"
)

const (
	// inFlightInterval is the interval between two lines with the requests in flight. Streams last about a second, so
	// most of them are in at least one line.
	inFlightInterval = 500 * time.Millisecond
	// maxRequestsPerLine bounds the requests in one line. A line with 64 requests takes about 3 KB.
	maxRequestsPerLine = 64
	inFlightShardCount = 8
)

// InFlight tracks the requests that were sent to a target and have not ended. Run logs them at intervals, because the
// log would otherwise have no record of those that are lost when the daemon fails. The zero value is ready to use. It
// is safe for concurrent use.
type InFlight struct {
	shards [inFlightShardCount]inFlightShard
}

type inFlightShard struct {
	mu      sync.Mutex
	targets map[string]string // target by request ID
}

func (f *InFlight) shardFor(request string) *inFlightShard {
	return &f.shards[shard.Index(request, inFlightShardCount)]
}

// Start records that a request was sent to a target. Another attempt of the request replaces the target.
func (f *InFlight) Start(request, target string) {
	h := f.shardFor(request)

	h.mu.Lock()
	defer h.mu.Unlock()

	if h.targets == nil {
		h.targets = map[string]string{}
	}

	h.targets[request] = target
}

// End records that a request or its attempt has ended.
func (f *InFlight) End(request string) {
	h := f.shardFor(request)

	h.mu.Lock()
	defer h.mu.Unlock()

	delete(h.targets, request)
}

// List returns the targets of at most limit requests in flight by request ID, and the number of all requests in flight.
func (f *InFlight) List(limit int) (map[string]string, int) {
	m, n := map[string]string{}, 0

	for i := range f.shards {
		h := &f.shards[i]

		h.mu.Lock()
		n += len(h.targets)

		for r, t := range h.targets {
			if len(m) < limit {
				m[r] = t
			}
		}
		h.mu.Unlock()
	}

	return m, n
}

// Run logs the requests in flight every inFlightInterval, unless there are none, until ctx ends.
func (f *InFlight) Run(ctx context.Context, z zerolog.Logger) error {
	t := time.NewTicker(inFlightInterval)
	defer t.Stop()

	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil
		}

		if m, n := f.List(maxRequestsPerLine); n > 0 {
			z.Info().Str("event", "under_way").Interface("requests", m).Int("count", n).Msg("requests in flight")
		}
	}
}
