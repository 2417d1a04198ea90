package sched

import (
	"math/bits"
	"sync"

	"github.com/agategap/agategap/shard"
)

const (
	sizeShards = 8
	// longFactor is how many times the mean size of a service's work counts as long.
	longFactor = 4
	// sizeSmoothing is the weight of a new size; about the last fifty count.
	sizeSmoothing = 0.04
)

// Sizes predicts the sizes of work from those seen of the same service. The zero value has seen none.
type Sizes struct {
	shards [sizeShards]sizeShard
}

type sizeShard struct {
	mu    sync.Mutex
	means map[sizeKey]float64
}

// sizeKey groups work that is alike: the service, and the magnitudes of the prompt and of the caller's bound.
type sizeKey struct {
	service        string
	prompt, bounds int
}

// Predict returns the predicted number of tokens and whether it counts as long. maxTokens is the caller's bound, 0 if
// there is none; promptBytes is the size of the prompt.
func (s *Sizes) Predict(service string, promptBytes, maxTokens int) (tokens int, long bool) {
	h := s.shard(service)

	h.mu.Lock()
	defer h.mu.Unlock()

	all := h.means[sizeKey{service: service}]

	n, ok := h.means[key(service, promptBytes, maxTokens)]
	if !ok {
		n = all
		if maxTokens > 0 {
			n = float64(maxTokens)
		}
	}

	if maxTokens > 0 {
		n = min(n, float64(maxTokens))
	}

	return int(n), all > 0 && n > longFactor*all
}

// Observe takes the size of work that ended.
func (s *Sizes) Observe(service string, promptBytes, maxTokens, tokens int) {
	if tokens <= 0 {
		return
	}

	h := s.shard(service)

	h.mu.Lock()
	defer h.mu.Unlock()

	if h.means == nil {
		h.means = map[sizeKey]float64{}
	}

	all := sizeKey{service: service}

	// The mean of all sizes takes no more than longFactor times itself from one piece of work, so that long work does
	// not come to count as usual.
	v := float64(tokens)
	if m := h.means[all]; m > 0 {
		v = min(v, longFactor*m)
	}

	h.add(all, v)
	h.add(key(service, promptBytes, maxTokens), float64(tokens))
}

func (h *sizeShard) add(k sizeKey, v float64) {
	m, ok := h.means[k]
	if !ok {
		m = v
	}

	h.means[k] = m + sizeSmoothing*(v-m)
}

func (s *Sizes) shard(service string) *sizeShard { return &s.shards[shard.Index(service, sizeShards)] }

// key is never the key of all sizes, as a prompt's magnitude is counted from 1.
func key(service string, promptBytes, maxTokens int) sizeKey {
	return sizeKey{service: service, prompt: 1 + bits.Len(uint(max(0, promptBytes))), bounds: bits.Len(uint(max(0, maxTokens)))}
}
