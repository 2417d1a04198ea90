package retry

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// hedgePercentile is the percentile of the times to the first token from which the delay is computed.
	hedgePercentile = 95
	// hedgeDelayFactor leaves a margin above the percentile, so that a change of load does not hedge every request.
	hedgeDelayFactor = 1.5
	// minHedgeDelay is the minimum delay, as timers and schedulers are not more precise.
	minHedgeDelay = 5 * time.Millisecond
	// samplesPerUpdate is the number of samples before the first computation of the delay, and between two computations.
	samplesPerUpdate = 16
	// windowCount and samplesPerWindow bound how many recent samples count.
	windowCount      = 4
	samplesPerWindow = 500
	// minMicros, maxMicros and significantDigits are the range and the precision of the histogram.
	minMicros         = 1
	maxMicros         = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 2
)

// Hedge computes how long to wait for a service's first token before a second attempt is started, from recent times to
// the first token. It is safe for concurrent use.
type Hedge struct {
	mu          sync.Mutex
	latencies   *hdrhistogram.WindowedHistogram
	sampleCount int
	delay       time.Duration
}

// NewHedge returns a hedge without samples.
func NewHedge() *Hedge {
	return &Hedge{latencies: hdrhistogram.NewWindowed(windowCount, minMicros, maxMicros, significantDigits)}
}

// Observe adds a sample: the time from the start of an attempt to its first token.
func (h *Hedge) Observe(timeToFirstToken time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()

	// A time outside the range of the histogram is that of a stalled target and not representative.
	if h.latencies.Current.RecordValue(timeToFirstToken.Microseconds()) != nil {
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

// Delay returns the time to wait before a hedge; false until samplesPerUpdate samples were added.
func (h *Hedge) Delay() (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.delay, h.delay > 0
}
