package peer

import (
	"strings"
	"sync"
	"sync/atomic"
)

type counts struct {
	accepted, refusedKey, refusedLimit, malformed, oversized, in, out atomic.Int64
	dialed, unreachable, replaced, expired                            atomic.Int64

	mu       sync.Mutex
	services map[string]int64
}

// add counts the bytes of a message by the service of its method.
func (c *counts) add(method string, n int64) {
	s, _, _ := strings.Cut(method, ".")

	c.mu.Lock()
	defer c.mu.Unlock()

	if _, ok := c.services[s]; ok {
		c.services[s] += n
	}
}

// Bytes returns the bytes of the messages of a registered service that this server received and sent.
func (s *Server) Bytes(service string) int64 {
	s.counts.mu.Lock()
	defer s.counts.mu.Unlock()

	return s.counts.services[service]
}

// Counts returns the server's counters by name; bytes are of messages with their lengths.
func (s *Server) Counts() map[string]int64 {
	return map[string]int64{
		"accepted":      s.counts.accepted.Load(),
		"refused_key":   s.counts.refusedKey.Load(),
		"refused_limit": s.counts.refusedLimit.Load(),
		"malformed":     s.counts.malformed.Load(),
		"oversized":     s.counts.oversized.Load(),
		"in_bytes":      s.counts.in.Load(),
		"out_bytes":     s.counts.out.Load(),
	}
}

// Counts returns the client's counters by name; bytes are of messages with their lengths.
func (c *Client) Counts() map[string]int64 {
	return map[string]int64{
		"dialed":      c.counts.dialed.Load(),
		"unreachable": c.counts.unreachable.Load(),
		"replaced":    c.counts.replaced.Load(),
		"expired":     c.counts.expired.Load(),
		"malformed":   c.counts.malformed.Load(),
		"oversized":   c.counts.oversized.Load(),
		"in_bytes":    c.counts.in.Load(),
		"out_bytes":   c.counts.out.Load(),
	}
}
