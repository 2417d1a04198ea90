package engine

import "time"

// prefixBytes is the length of the prompt prefix that the cache distinguishes.
const prefixBytes = 256

// prefixCache remembers recent prompt prefixes in limited memory, the oldest is dropped first.
type prefixCache struct {
	maxTokens  int
	usedTokens  int
	order []string
	tokens  map[string]int
}

func newPrefixCache(tokens int) *prefixCache {
	return &prefixCache{maxTokens: tokens, tokens: map[string]int{}}
}

func prefix(prompt string) string { return prompt[:min(len(prompt), prefixBytes)] }

// admit returns the number of prompt tokens that need prefill, and remembers the prefix.
func (c *prefixCache) admit(prompt string) int {
	n, p := promptTokens(prompt), prefix(prompt)
	if held, ok := c.tokens[p]; ok {
		return max(1, n-held)
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

// cacheEvent says that a prefix was cached.
type cacheEvent struct {
	Number int       `json:"number"`
	Prefix string    `json:"prefix"`
	at     time.Time // when it happened; it is published later
}

// loadSample is the load at one time.
type loadSample struct {
	at      time.Time
	Running int `json:"running"`
	Queued  int `json:"queued"`
	KV      int `json:"kv_tokens"`
}

const (
	// eventLag is how late cache events are published.
	eventLag = time.Second
	// eventNumberGap makes every tenth cache event missing.
	eventNumberGap    = 10
	maxCacheEvents  = 1000
	maxLoadSamples = 4000
)

// recordCacheEvent records a cache event, or leaves a gap.
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

// recordLoad records the load.
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

// laggedLoad returns the load as it was one lag ago.
func (e *Engine) laggedLoad(now time.Time) loadSample {
	t := now.Add(-e.options.LoadLag)

	for i := len(e.loadSamples) - 1; i >= 0; i-- {
		if e.loadSamples[i].at.Before(t) {
			return e.loadSamples[i]
		}
	}

	return loadSample{}
}
