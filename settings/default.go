package settings

import "time"

const (
	// defaultProcessor makes daemons whose settings do not tell equal.
	defaultProcessor = 1
	mostProcessor    = 4096
	// defaultDrainWait is longer than the balancer's usual health check interval.
	defaultDrainWait = 3 * time.Second
	defaultDrainMost = 30 * time.Second
	mostDrain        = time.Hour
	// defaultLogRetention is a short retention, so that snapshots are renewed early enough on most logs.
	defaultLogRetention = 24 * time.Hour
	leastLogRetention   = time.Minute
	mostLogRetention    = 365 * 24 * time.Hour

	// DefaultReadTimeout lets a caller send the largest batch body at about 20 Mbit/s.
	DefaultReadTimeout = 30 * time.Second
	// DefaultWriteTimeout is longer than a short loss of the caller's network.
	DefaultWriteTimeout = 10 * time.Second
	leastTimeout        = 10 * time.Millisecond
	mostTimeout         = time.Hour
)
