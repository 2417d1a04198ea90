package quarantine

import (
	"sync"
	"time"

	"github.com/agategap/agategap/shard"
)

const (
	// soundPeriod is the time for which a part counts as sound after a response got beyond its beginning on it.
	soundPeriod = time.Minute
	// soundShardCount is the number of shards of soundParts; it is higher than the number of cores of an entry VM.
	soundShardCount = 8
	// maxSoundParts bounds the parts that a shard keeps. Further parts are not recorded until others expire.
	maxSoundParts = 4096
	// sweepInterval is the time between two removals of expired parts from a full shard.
	sweepInterval = time.Second
)

// soundParts keeps the parts on which responses got beyond their beginning lately. The zero value is empty. It is safe for concurrent use.
type soundParts struct {
	shards [soundShardCount]soundShard
}

type soundShard struct {
	mu      sync.Mutex
	until   map[partKey]time.Time
	sweptAt time.Time
}

type partKey struct{ service, id string }

func (s *soundParts) shard(id string) *soundShard {
	return &s.shards[shard.Index(id, soundShardCount)]
}

func (s *soundParts) add(service, id string, now time.Time) {
	h, k := s.shard(id), partKey{service: service, id: id}

	h.mu.Lock()
	defer h.mu.Unlock()

	if _, ok := h.until[k]; !ok && len(h.until) >= maxSoundParts && !h.sweep(now) {
		return
	}

	if h.until == nil {
		h.until = map[partKey]time.Time{}
	}

	if t := now.Add(soundPeriod); t.After(h.until[k]) {
		h.until[k] = t
	}
}

// sweep removes the expired parts, unless it did so lately, and reports whether there is room. The caller holds the lock.
func (h *soundShard) sweep(now time.Time) bool {
	if now.Sub(h.sweptAt) < sweepInterval {
		return false
	}

	h.sweptAt = now

	for k, t := range h.until {
		if !now.Before(t) {
			delete(h.until, k)
		}
	}

	return len(h.until) < maxSoundParts
}

func (s *soundParts) has(service, id string, now time.Time) bool {
	h := s.shard(id)

	h.mu.Lock()
	defer h.mu.Unlock()

	return now.Before(h.until[partKey{service: service, id: id}])
}
