package retry

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// hedgeQuantile is the share of first tokens, in percent, that come without a hedge.
	hedgeQuantile = 95
	// hedgeFactor leaves some room above the quantile, so that a change of load does not hedge every request.
	hedgeFactor = 1.5
	// leastHedge bounds the hedge time from below, as timers and schedulers are no finer.
	leastHedge = 5 * time.Millisecond
	// hedgeSamples is the number of first tokens before a service is hedged, and between two computations.
	hedgeSamples = 16
	// windows and windowSamples bound how far back first tokens count.
	windows       = 4
	windowSamples = 500
	lowestMicros  = 1
	highestMicros = int64(10 * time.Minute / time.Microsecond)
	digits        = 2
)

// Hedge finds the time to wait for a service's first token before a second attempt. It is safe for concurrent use.
type Hedge struct {
	mu    sync.Mutex
	times *hdrhistogram.WindowedHistogram
	n     int
	after time.Duration
}

// NewHedge returns a hedge without samples.
func NewHedge() *Hedge {
	return &Hedge{times: hdrhistogram.NewWindowed(windows, lowestMicros, highestMicros, digits)}
}

// Observe takes a time to the first token.
func (h *Hedge) Observe(first time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()

	// A time outside the histogram's range is a stalled target and says nothing about the usual.
	if h.times.Current.RecordValue(first.Microseconds()) != nil {
		return
	}

	h.n++

	if h.n%windowSamples == 0 {
		h.times.Rotate()
	}

	if h.n%hedgeSamples == 0 {
		q := time.Duration(h.times.Merge().ValueAtQuantile(hedgeQuantile)) * time.Microsecond
		h.after = max(leastHedge, time.Duration(float64(q)*hedgeFactor))
	}
}

// After returns the time to wait, and whether enough first tokens were seen to know it.
func (h *Hedge) After() (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.after, h.after > 0
}
