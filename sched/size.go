package sched

import (
	"math"
	"math/bits"
	"sync"

	"github.com/agategap/agategap/shard"
)

const (
	sizeShardCount = 8
	// longFactor is the multiple of the mean size of a service from which work counts as long.
	longFactor = 4
	// sizeSmoothing is the weight of a new size in the moving averages, which cover about the last fifty.
	sizeSmoothing = 0.04
	// predictedDeviations is the number of standard deviations by which a prediction exceeds the mean. Under overload,
	// work starts as late as its deadline allows. With the mean as prediction, half of it would end too late and its
	// tokens would be lost.
	predictedDeviations = 1.5
)

// Sizes predicts the number of tokens of work from earlier work of the same service. The zero value is ready to use. It
// is safe for concurrent use.
type Sizes struct {
	shards [sizeShardCount]sizeShard
}

type sizeShard struct {
	mu    sync.Mutex
	sizes map[sizeKey]size
}

// size has the moving mean and variance of a number of tokens.
type size struct {
	mean, variance float64
}

// upperEstimate returns a size that most work does not exceed.
func (s size) upperEstimate() float64 { return s.mean + predictedDeviations*math.Sqrt(s.variance) }

// sizeKey groups similar work: by service, and by the magnitudes (in powers of two) of the prompt and of max tokens.
type sizeKey struct {
	service                             string
	promptMagnitude, maxTokensMagnitude int
}

// Predict returns the number of tokens that work is expected not to exceed, 0 if unknown, and whether it counts as
// long. promptBytes is the size of the prompt, and maxTokens the bound that the caller set, 0 if there is none.
func (s *Sizes) Predict(service string, promptBytes, maxTokens int) (tokens int, long bool) {
	h := s.shard(service)

	h.mu.Lock()
	defer h.mu.Unlock()

	all := h.sizes[sizeKey{service: service}]

	v, ok := h.sizes[newSizeKey(service, promptBytes, maxTokens)]
	if !ok {
		v = all
		if maxTokens > 0 {
			v = size{mean: float64(maxTokens)}
		}
	}

	n := v.upperEstimate()
	if maxTokens > 0 {
		n = min(n, float64(maxTokens))
	}

	return int(n), all.mean > 0 && v.mean > longFactor*all.mean
}

// Observe records the size of completed work. It ignores work without tokens.
func (s *Sizes) Observe(service string, promptBytes, maxTokens, tokens int) {
	if tokens <= 0 {
		return
	}

	h := s.shard(service)

	h.mu.Lock()
	defer h.mu.Unlock()

	if h.sizes == nil {
		h.sizes = map[sizeKey]size{}
	}

	all := sizeKey{service: service}

	// The size is capped for the mean over all work of the service. Otherwise long work would raise the mean until it
	// no longer counts as long.
	v := float64(tokens)
	if m := h.sizes[all].mean; m > 0 {
		v = min(v, longFactor*m)
	}

	h.add(all, v)
	h.add(newSizeKey(service, promptBytes, maxTokens), float64(tokens))
}

func (h *sizeShard) add(k sizeKey, v float64) {
	s, ok := h.sizes[k]
	if !ok {
		s.mean = v
	}

	d := v - s.mean
	s.mean += sizeSmoothing * d
	s.variance += sizeSmoothing * (d*d - s.variance)
	h.sizes[k] = s
}

func (s *Sizes) shard(service string) *sizeShard {
	return &s.shards[shard.Index(service, sizeShardCount)]
}

// newSizeKey never returns the key of all work of a service, which has prompt magnitude 0: magnitudes start at 1 here.
func newSizeKey(service string, promptBytes, maxTokens int) sizeKey {
	return sizeKey{
		service: service, promptMagnitude: 1 + bits.Len(uint(max(0, promptBytes))),
		maxTokensMagnitude: bits.Len(uint(max(0, maxTokens))),
	}
}
