package controller

import (
	"context"

	"github.com/agategap/agategap/journal"
)

// Partitions gives the replayed state of the journal's partitions.
type Partitions interface {
	// Partition returns the partition of work or of a job identifier.
	Partition(key string) int
	// Replay returns the state of a partition, starting to follow it if needed.
	Replay(p int) *journal.Partition
	// Changed returns a channel that is closed at the next replayed entry.
	Changed(p int) <-chan struct{}
}

// Appender appends records to partitions.
type Appender interface {
	// Submit returns once the records are replayed here. Its error has effect not_run if they were never sent.
	Submit(ctx context.Context, p int, r ...journal.Record) error
	// Sync waits until everything that the log held when it was called is replayed here.
	Sync(ctx context.Context, p int) error
}

// Store follows partitions and appends to them.
type Store interface {
	Partitions
	Appender
}

// Counter counts events by name.
type Counter interface {
	Count(name string, n int64)
}
