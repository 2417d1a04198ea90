package settings

import "time"

const (
	// defaultDrainWait is longer than the balancer's usual health check interval.
	defaultDrainWait = 3 * time.Second
	defaultDrainMost = 30 * time.Second
	mostDrain        = time.Hour
	// defaultLogRetention is a short retention, so that snapshots are renewed early enough on most logs.
	defaultLogRetention = 24 * time.Hour
	leastLogRetention   = time.Minute
	mostLogRetention    = 365 * 24 * time.Hour
)
