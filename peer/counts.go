package peer

import (
	"strings"
	"sync"
	"sync/atomic"
)

// counters has the counters of a client or of a server, and for a server the bytes of its services by name.
type counters struct {
	accepted, refusedKey, refusedLimit, malformed, oversized, inBytes, outBytes atomic.Int64
	dialed, unreachable, replaced, expired                                      atomic.Int64

	mu           sync.Mutex
	serviceBytes map[string]int64
}

// addServiceBytes adds n bytes of a message to the counter of the service of its method, if the service is registered.
func (c *counters) addServiceBytes(method string, n int64) {
	s, _, _ := strings.Cut(method, ".")

	c.mu.Lock()
	defer c.mu.Unlock()

	if _, ok := c.serviceBytes[s]; ok {
		c.serviceBytes[s] += n
	}
}

// Bytes returns the size in bytes of all messages of a registered service that this server received and sent, with
// their length prefixes; 0 for a service that is not registered.
func (s *Server) Bytes(service string) int64 {
	s.counters.mu.Lock()
	defer s.counters.mu.Unlock()

	return s.counters.serviceBytes[service]
}

// Counts returns the server's counters by name. The byte counters include the length prefixes of messages.
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

// Counts returns the client's counters by name. The byte counters include the length prefixes of messages.
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
