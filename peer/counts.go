package peer

import "sync/atomic"

type counts struct {
	accepted, refusedKey, refusedLimit, malformed, oversized, in, out atomic.Int64
	dialed, unreachable, replaced, expired                            atomic.Int64
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
