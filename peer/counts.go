package peer

import (
	"strings"
	"sync"
	"sync/atomic"
)

type counters struct {
	accepted, refusedKey, refusedLimit, malformed, oversized, inBytes, outBytes atomic.Int64
	dialed, unreachable, replaced, expired                            atomic.Int64

	mu       sync.Mutex
	serviceBytes map[string]int64
}

// addServiceBytes counts the bytes of a message by the service of its method.
func (c *counters) addServiceBytes(method string, n int64) {
	s, _, _ := strings.Cut(method, ".")

	c.mu.Lock()
	defer c.mu.Unlock()

	if _, ok := c.serviceBytes[s]; ok {
		c.serviceBytes[s] += n
	}
}

// Bytes returns the bytes of the messages of a registered service that this server received and sent.
func (s *Server) Bytes(service string) int64 {
	s.counters.mu.Lock()
	defer s.counters.mu.Unlock()

	return s.counters.serviceBytes[service]
}

// Counts returns the server's counters by name; bytes are of messages with their lengths.
func (s *Server) Counts() map[string]int64 {
	return map[string]int64{
		"accepted":      s.counters.accepted.Load(),
		"refused_key":   s.counters.refusedKey.Load(),
		"refused_limit": s.counters.refusedLimit.Load(),
		"malformed":     s.counters.malformed.Load(),
		"oversized":     s.counters.oversized.Load(),
		"in_bytes":      s.counters.inBytes.Load(),
		"out_bytes":     s.counters.outBytes.Load(),
	}
}

// Counts returns the client's counters by name; bytes are of messages with their lengths.
func (c *Client) Counts() map[string]int64 {
	return map[string]int64{
		"dialed":      c.counters.dialed.Load(),
		"unreachable": c.counters.unreachable.Load(),
		"replaced":    c.counters.replaced.Load(),
		"expired":     c.counters.expired.Load(),
		"malformed":   c.counters.malformed.Load(),
		"oversized":   c.counters.oversized.Load(),
		"in_bytes":    c.counters.inBytes.Load(),
		"out_bytes":   c.counters.outBytes.Load(),
	}
}
