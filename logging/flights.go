package logging

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/agategap/agategap/shard"
)

const (
	// inFlightInterval is the time between two lines with the requests under way. Streams last about a second, so that most
	// are in one line at least.
	inFlightInterval = 500 * time.Millisecond
	// maxRequestsPerLine bounds the requests in one line. A line of 64 takes about 3 KB.
	maxRequestsPerLine  = 64
	inFlightShardCount = 8
)

// InFlight has the requests that were sent to a target and have not ended. They are written from time to time, as
// otherwise nothing would tell of those that end with the daemon. The zero value is ready to use.
type InFlight struct {
	shards [inFlightShardCount]inFlightShard
}

type inFlightShard struct {
	mu      sync.Mutex
	targets map[string]string // by request
}

func (f *InFlight) shardFor(request string) *inFlightShard {
	return &f.shards[shard.Index(request, inFlightShardCount)]
}

// Start records that a request was sent to a target.
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

// List returns the target of each request that is under way, of at most so many, and the number of all.
func (f *InFlight) List(most int) (map[string]string, int) {
	m, n := map[string]string{}, 0

	for i := range f.shards {
		h := &f.shards[i]

		h.mu.Lock()
		n += len(h.targets)

		for r, t := range h.targets {
			if len(m) < most {
				m[r] = t
			}
		}
		h.mu.Unlock()
	}

	return m, n
}

// Run writes the requests under way until ctx ends.
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
			z.Info().Str("event", "under_way").Interface("requests", m).Int("count", n).Msg("requests are under way")
		}
	}
}
