package settings

import "time"

const (
	// defaultProcessorCores gives equal weight to all daemons whose settings do not have the processor time.
	defaultProcessorCores = 1
	maxProcessorCores     = 4096
	// defaultDrainWait is longer than the usual interval of a load balancer's health checks.
	defaultDrainWait    = 3 * time.Second
	defaultDrainTimeout = 30 * time.Second
	maxDrainTime        = time.Hour
	// defaultLogRetention is short, so that snapshots are renewed early enough on most logs.
	defaultLogRetention = 24 * time.Hour
	minLogRetention     = time.Minute
	maxLogRetention     = 365 * 24 * time.Hour

	// DefaultReadTimeout is long enough for a caller that sends the largest batch body at about 20 Mbit/s.
	DefaultReadTimeout = 30 * time.Second
	// DefaultWriteTimeout is longer than a short interruption of the caller's network.
	DefaultWriteTimeout = 10 * time.Second
	minTimeout          = 10 * time.Millisecond
	maxTimeout          = time.Hour
)
