package settings

import "time"

const (
	// defaultProcessorCores makes daemons whose settings do not tell equal.
	defaultProcessorCores = 1
	maxProcessorCores    = 4096
	// defaultDrainWait is longer than the balancer's usual health check interval.
	defaultDrainWait = 3 * time.Second
	defaultDrainTimeout = 30 * time.Second
	maxDrainTime        = time.Hour
	// defaultLogRetention is a short retention, so that snapshots are renewed early enough on most logs.
	defaultLogRetention = 24 * time.Hour
	minLogRetention   = time.Minute
	maxLogRetention    = 365 * 24 * time.Hour

	// DefaultReadTimeout lets a caller send the largest batch body at about 20 Mbit/s.
	DefaultReadTimeout = 30 * time.Second
	// DefaultWriteTimeout is longer than a short loss of the caller's network.
	DefaultWriteTimeout = 10 * time.Second
	minTimeout        = 10 * time.Millisecond
	maxTimeout         = time.Hour
)
