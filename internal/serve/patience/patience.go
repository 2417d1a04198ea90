// Package patience estimates how long the caller of a request has been waiting already. Callers send the time that they
// have left, so a repeated request has less of it than the first requests on its route, most of which have the same.
package patience

import (
	"sync"
	"time"

	"github.com/agategap/agategap/shard"
)

const (
	// shardCount is the number of shards of Estimator; it is higher than the number of cores of an entry VM.
	shardCount = 8
	// windowSize is the number of recent requests of a route from which the usual time is taken.
	windowSize = 32
	// resolution groups the times of requests. It is longer than the set-up of a connection, which some of them include.
	resolution = 50 * time.Millisecond
	// minShareLeft is the least share of the usual time that a repeated request has left. A request with less is taken for
	// one of a caller with less patience, which is not late.
	minShareLeft = 0.4
)

// Estimator keeps the times that the recent requests of each route had left. The zero value is ready to use. It is safe
// for concurrent use.
type Estimator struct {
	shards [shardCount]estimatorShard
}

type estimatorShard struct {
	mu     sync.Mutex
	routes map[string]*window
}

// window has the times of the recent requests of a route, in units of resolution.
type window struct {
	recent [windowSize]int64
	next   int // index in recent of the next request
	counts map[int64]int
}

// Waited records a request on a route with the time that its caller has left, and returns how long the caller has
// waited before. The result is 0 if it cannot be told, or if left is 0, which means that the caller gave no time.
func (e *Estimator) Waited(route string, left time.Duration) time.Duration {
	if left <= 0 {
		return 0
	}

	h := &e.shards[shard.Index(route, shardCount)]

	h.mu.Lock()
	defer h.mu.Unlock()

	w, ok := h.routes[route]
	if !ok {
		if h.routes == nil {
			h.routes = map[string]*window{}
		}

		w = &window{counts: map[int64]int{}}
		h.routes[route] = w
	}

	w.add(int64((left + resolution/2) / resolution)) //nolint:mnd // rounds

	usual := w.usual()
	if waited := usual - left; waited >= resolution && float64(left) >= minShareLeft*float64(usual) {
		return waited
	}

	return 0
}

func (w *window) add(n int64) {
	if old := w.recent[w.next]; old != 0 {
		if w.counts[old]--; w.counts[old] == 0 {
			delete(w.counts, old)
		}
	}

	w.recent[w.next] = n
	w.next = (w.next + 1) % windowSize
	w.counts[n]++
}

// usual returns the most frequent time; the longest one if several are equally frequent, as repeated requests have less.
func (w *window) usual() time.Duration {
	var best int64

	for n, c := range w.counts {
		if c > w.counts[best] || c == w.counts[best] && n > best {
			best = n
		}
	}

	return time.Duration(best) * resolution
}
