// Package logging has the log of decisions: structured lines that never block the one who writes them, and whose
// number is bounded for each kind.
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
	// queueSize is the number of lines that wait for a slow reader. Older ones are dropped then: 4,096 lines are about
	// 2 MB, and several seconds of an overloaded daemon.
	queueSize = 4096
	// pollInterval is the time after which the writer looks for lines, as the queue wakes nobody.
	pollInterval = 20 * time.Millisecond
	// linesPerSecond and burst bound the lines of one kind. Ten kinds at this rate are below 100 KB a second.
	linesPerSecond = 40
	lineBurst     = 200
	// sampleDivisor is the share of ordinary lines that are written, as one in so many.
	sampleDivisor = 16
	// reportInterval is the time between two lines that count what was left out.
	reportInterval = 5 * time.Second
	limiterShardCount = 8
)

// New returns a logger whose lines go to w. Writing never waits for w: when its reader stalls, the oldest lines that wait
// are dropped, and dropped is told how many.
func New(w io.Writer, l zerolog.Level, dropped func(n int)) zerolog.Logger {
	zerolog.TimeFieldFormat = "2006-01-02T15:04:05.000Z07:00" // lines of several daemons are put in order by it
	d := diode.NewWriter(w, queueSize, pollInterval, func(missed int) { dropped(missed) })

	return zerolog.New(d).Level(l).With().Timestamp().Logger()
}

// Limiter limits the number of lines of each kind. The zero value is ready to use.
type Limiter struct {
	shards [limiterShardCount]limiterShard
}

type limiterShard struct {
	mu    sync.Mutex
	kinds map[string]*kindState
}

// kindState is the budget of one kind of line.
type kindState struct {
	limiter    *rate.Limiter
	ordinaryCount int
	suppressed     int
}

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

// Allow reports whether a line of a kind may be written now, and counts it if not.
func (b *Limiter) Allow(name string, now time.Time) bool {
	return b.withKind(name, func(k *kindState) bool {
		if k.limiter.AllowN(now, 1) {
			return true
		}

		k.suppressed++

		return false
	})
}

// Sample reports whether an ordinary line of a kind is one of those that are written.
func (b *Limiter) Sample(name string, now time.Time) bool {
	chosen := b.withKind(name, func(k *kindState) bool {
		k.ordinaryCount++

		return k.ordinaryCount%sampleDivisor == 1
	})

	return chosen && b.Allow(name, now)
}

// TakeSuppressed returns the lines of each kind that were left out since the last call.
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

// Run writes a line with what was left out from time to time, until ctx ends.
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
			z.Warn().Str("event", "lines_left_out").Str("kind", n).Int("count", c).Msg("lines were left out to bound the log")
		}
	}
}
