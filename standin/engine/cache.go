package engine

import "time"

// prefixBytes is the greatest length of the prompt prefixes in the cache. Prompts with the same prefix share an entry.
const prefixBytes = 256

// prefixCache is a cache of prompt prefixes with a bounded number of tokens. It evicts the oldest entry first. The
// engine's lock guards it.
type prefixCache struct {
	maxTokens  int
	usedTokens int
	order      []string       // prefixes, oldest first
	tokens     map[string]int // number of tokens of each prefix
}

func newPrefixCache(maxTokens int) *prefixCache {
	return &prefixCache{maxTokens: maxTokens, tokens: map[string]int{}}
}

func prefix(prompt string) string { return prompt[:min(len(prompt), prefixBytes)] }

// admit returns the number of prompt tokens that need prefill, at least 1, and caches the prefix.
func (c *prefixCache) admit(prompt string) int {
	n, p := promptTokens(prompt), prefix(prompt)
	if cached, ok := c.tokens[p]; ok {
		return max(1, n-cached)
	}

	t := promptTokens(p)
	c.tokens[p] = t
	c.usedTokens += t
	c.order = append(c.order, p)

	for c.usedTokens > c.maxTokens && len(c.order) > 1 {
		o := c.order[0]
		c.order = c.order[1:]
		c.usedTokens -= c.tokens[o]
		delete(c.tokens, o)
	}

	return n
}

// cacheEvent reports that a prompt was admitted, so that its prefix is cached. GET /v1/events returns it.
type cacheEvent struct {
	Number int       `json:"number"`
	Prefix string    `json:"prefix"`
	at     time.Time // time of the event, which is published eventLag later
}

// loadSample is the load of the engine at one time, as returned by GET /v1/load.
type loadSample struct {
	at      time.Time
	Running int `json:"running"`   // number of running streams
	Queued  int `json:"queued"`    // number of queued streams
	KV      int `json:"kv_tokens"` // tokens in the KV cache
}

const (
	// eventLag is the delay after which a cache event is published.
	eventLag = time.Second
	// eventNumberGap is the distance between two event numbers that are skipped, as if every tenth event was lost.
	eventNumberGap = 10
	// maxCacheEvents and maxLoadSamples bound what is kept in memory. The oldest are removed first.
	maxCacheEvents = 1000
	maxLoadSamples = 4000
)

// recordCacheEvent records a cache event. It skips each number that is a multiple of eventNumberGap, so that readers
// see gaps. The caller holds the lock.
func (e *Engine) recordCacheEvent(prompt string) {
	n := 1
	if len(e.cacheEvents) > 0 {
		n = e.cacheEvents[len(e.cacheEvents)-1].Number + 1
	}

	if n%eventNumberGap == 0 {
		n++
	}

	e.cacheEvents = append(e.cacheEvents, cacheEvent{Number: n, Prefix: prefix(prompt), at: time.Now()})
	if len(e.cacheEvents) > maxCacheEvents {
		e.cacheEvents = e.cacheEvents[len(e.cacheEvents)-maxCacheEvents:]
	}
}

// recordLoad records a sample of the load. The caller holds the lock.
func (e *Engine) recordLoad() {
	kv := 0
	for _, g := range e.running {
		kv += g.kvTokens()
	}

	e.loadSamples = append(e.loadSamples, loadSample{at: time.Now(), Running: len(e.running), Queued: len(e.queue), KV: kv})
	if len(e.loadSamples) > maxLoadSamples {
		e.loadSamples = e.loadSamples[len(e.loadSamples)-maxLoadSamples:]
	}
}

// laggedLoad returns the load as it was LoadLag ago, or the zero value if there is no sample that old. The caller holds
// the lock.
func (e *Engine) laggedLoad(now time.Time) loadSample {
	t := now.Add(-e.options.LoadLag)

	for i := len(e.loadSamples) - 1; i >= 0; i-- {
		if e.loadSamples[i].at.Before(t) {
			return e.loadSamples[i]
		}
	}

	return loadSample{}
}
