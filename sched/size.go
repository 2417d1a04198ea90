package sched

import (
	"math"
	"math/bits"
	"sync"

	"github.com/agategap/agategap/shard"
)

const (
	sizeShardCount = 8
	// longFactor is how many times the mean size of a service's work counts as long.
	longFactor = 4
	// sizeSmoothing is the weight of a new size; about the last fifty count.
	sizeSmoothing = 0.04
	// predictedDeviations is how far above the mean a size is predicted. Under overload work starts as late as its deadline
	// allows; with the mean, half of it would end too late and its tokens would be lost.
	predictedDeviations = 1.5
)

// Sizes predicts the sizes of work from those seen of the same service. The zero value has seen none.
type Sizes struct {
	shards [sizeShardCount]sizeShard
}

type sizeShard struct {
	mu    sync.Mutex
	sizes map[sizeKey]size
}

// size is the mean and the variance of sizes, both smoothed.
type size struct {
	mean, variance float64
}

// upperEstimate returns a size that few exceed.
func (s size) upperEstimate() float64 { return s.mean + predictedDeviations*math.Sqrt(s.variance) }

// sizeKey groups work that is alike: the service, and the magnitudes of the prompt and of the caller's bound.
type sizeKey struct {
	service        string
	promptMagnitude, maxTokensMagnitude int
}

// Predict returns a number of tokens that few exceed, 0 if none is known, and whether the work counts as long. maxTokens is the caller's bound, 0 if
// there is none; promptBytes is the size of the prompt.
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

// Observe takes the size of work that ended.
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

	// The mean of all sizes takes no more than longFactor times itself from one piece of work, so that long work does
	// not come to count as usual.
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

func (s *Sizes) shard(service string) *sizeShard { return &s.shards[shard.Index(service, sizeShardCount)] }

// newSizeKey is never the key of all sizes, as a prompt's magnitude is counted from 1.
func newSizeKey(service string, promptBytes, maxTokens int) sizeKey {
	return sizeKey{service: service, promptMagnitude: 1 + bits.Len(uint(max(0, promptBytes))), maxTokensMagnitude: bits.Len(uint(max(0, maxTokens)))}
}
