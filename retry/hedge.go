package retry

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// hedgePercentile is the share of first tokens, in percent, that come without a hedge.
	hedgePercentile = 95
	// hedgeDelayFactor leaves some room above the quantile, so that a change of load does not hedge every request.
	hedgeDelayFactor = 1.5
	// minHedgeDelay bounds the hedge time from below, as timers and schedulers are no finer.
	minHedgeDelay = 5 * time.Millisecond
	// samplesPerUpdate is the number of first tokens before a service is hedged, and between two computations.
	samplesPerUpdate = 16
	// windowCount and windowSamples bound how far back first tokens count.
	windowCount       = 4
	samplesPerWindow = 500
	minMicros  = 1
	maxMicros = int64(10 * time.Minute / time.Microsecond)
	significantDigits        = 2
)

// Hedge finds the time to wait for a service's first token before a second attempt. It is safe for concurrent use.
type Hedge struct {
	mu    sync.Mutex
	latencies *hdrhistogram.WindowedHistogram
	sampleCount     int
	delay time.Duration
}

// NewHedge returns a hedge without samples.
func NewHedge() *Hedge {
	return &Hedge{latencies: hdrhistogram.NewWindowed(windowCount, minMicros, maxMicros, significantDigits)}
}

// Observe takes a time to the first token.
func (h *Hedge) Observe(first time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()

	// A time outside the histogram's range is a stalled target and says nothing about the usual.
	if h.latencies.Current.RecordValue(first.Microseconds()) != nil {
		return
	}

	h.sampleCount++

	if h.sampleCount%samplesPerWindow == 0 {
		h.latencies.Rotate()
	}

	if h.sampleCount%samplesPerUpdate == 0 {
		q := time.Duration(h.latencies.Merge().ValueAtQuantile(hedgePercentile)) * time.Microsecond
		h.delay = max(minHedgeDelay, time.Duration(float64(q)*hedgeDelayFactor))
	}
}

// Delay returns the time to wait, and whether enough first tokens were seen to know it.
func (h *Hedge) Delay() (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.delay, h.delay > 0
}
