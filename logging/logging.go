// Package logging provides the logger of the routed daemon. Writing a line never blocks, and the number of lines of
// each kind is limited.
package logging

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
	"golang.org/x/time/rate"

	"github.com/agategap/agategap/shard"
)

const (
	// queueSize is the number of lines that are queued for a slow reader; when the queue is full, the oldest lines are
	// dropped. 4,096 lines are about 2 MB, and the output of an overloaded daemon during several seconds.
	queueSize = 4096
	// pollInterval is the interval at which the writer polls the queue, which does not signal new lines.
	pollInterval = 20 * time.Millisecond
	// linesPerSecond and lineBurst limit the lines of one kind. Ten kinds at this rate are below 100 KB per second.
	linesPerSecond = 40
	lineBurst      = 200
	// sampleDivisor makes the limiter allow one in 16 ordinary lines.
	sampleDivisor = 16
	// reportInterval is the interval between two reports of suppressed lines.
	reportInterval    = 5 * time.Second
	limiterShardCount = 8
)

// New returns a logger that writes to w through a queue, so that logging never waits for w. When w is too slow, the
// oldest queued lines are dropped and dropped is called with their number. New also sets the time format of all loggers
// of the process.
func New(w io.Writer, l zerolog.Level, dropped func(n int)) zerolog.Logger {
	zerolog.TimeFieldFormat = "2006-01-02T15:04:05.000Z07:00" // milliseconds, to order the lines of several daemons
	d := diode.NewWriter(w, queueSize, pollInterval, func(missed int) { dropped(missed) })

	return zerolog.New(d).Level(l).With().Timestamp().Logger()
}

// Limiter limits the rate of lines of each kind. The zero value is ready to use. It is safe for concurrent use.
type Limiter struct {
	shards [limiterShardCount]limiterShard
}

type limiterShard struct {
	mu    sync.Mutex
	kinds map[string]*kindState
}

// kindState is the state of one kind of line.
type kindState struct {
	limiter       *rate.Limiter
	ordinaryCount int // calls of Sample
	suppressed    int // lines over the rate limit since the last TakeSuppressed
}

// withKind calls f with the state of a kind under the lock of its shard and returns the result.
func (b *Limiter) withKind(name string, f func(k *kindState) bool) bool {
	h := &b.shards[shard.Index(name, limiterShardCount)]

	h.mu.Lock()
	defer h.mu.Unlock()

	k, ok := h.kinds[name]
	if !ok {
		if h.kinds == nil {
			h.kinds = map[string]*kindState{}
		}

		k = &kindState{limiter: rate.NewLimiter(linesPerSecond, lineBurst)}
		h.kinds[name] = k
	}

	return f(k)
}

// Allow reports whether a line of a kind may be written now. If not, it counts the line as suppressed.
func (b *Limiter) Allow(kind string, now time.Time) bool {
	return b.withKind(kind, func(k *kindState) bool {
		if k.limiter.AllowN(now, 1) {
			return true
		}

		k.suppressed++

		return false
	})
}

// Sample reports whether an ordinary line of a kind may be written: one in sampleDivisor is, within the rate limit.
func (b *Limiter) Sample(kind string, now time.Time) bool {
	sampled := b.withKind(kind, func(k *kindState) bool {
		k.ordinaryCount++

		return k.ordinaryCount%sampleDivisor == 1
	})

	return sampled && b.Allow(kind, now)
}

// TakeSuppressed returns the number of suppressed lines by kind, and resets the numbers. Lines that were not sampled
// are not counted.
func (b *Limiter) TakeSuppressed() map[string]int {
	m := map[string]int{}

	for i := range b.shards {
		h := &b.shards[i]

		h.mu.Lock()
		for n, k := range h.kinds {
			if k.suppressed > 0 {
				m[n], k.suppressed = k.suppressed, 0
			}
		}
		h.mu.Unlock()
	}

	return m
}

// Run logs the number of suppressed lines of each kind every reportInterval until ctx ends.
func (b *Limiter) Run(ctx context.Context, z zerolog.Logger) error {
	t := time.NewTicker(reportInterval)
	defer t.Stop()

	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil
		}

		for n, c := range b.TakeSuppressed() {
			z.Warn().Str("event", "lines_left_out").Str("kind", n).Int("count", c).Msg("log lines suppressed by the rate limit")
		}
	}
}
