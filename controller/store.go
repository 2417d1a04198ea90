package controller

import (
	"context"
	"time"

	"github.com/agategap/agategap/journal"
)

// Replicas gives the replayed state of the journal's partitions.
type Replicas interface {
	// Partition returns the partition of work or of a job identifier.
	Partition(key string) int
	// Replica returns the state of a partition, starting to follow it if needed.
	Replica(p int) *journal.Partition
}

// withdrawTimeout is the time for finding out what became of records whose submission timed out. It is below callSlack, so that
// the answer reaches the daemon that asked.
const withdrawTimeout = 500 * time.Millisecond

// Appender appends records to partitions and waits for what others append.
type Appender interface {
	// SubmitOrWithdraw returns once the records are replayed here. When ctx ends first it gives them up and waits
	// for settle at most until it is certain whether they took effect; not_run says that they never will.
	SubmitOrWithdraw(ctx context.Context, settle time.Duration, p int, r ...journal.Record) error
	// Sync waits until everything that the log held when it was called is replayed here.
	Sync(ctx context.Context, p int) error
	// Await waits until the work under a key has ended.
	Await(ctx context.Context, k journal.Key) (journal.Work, error)
}

// Store follows partitions and appends to them.
type Store interface {
	Replicas
	Appender
}

// Counter counts events by name.
type Counter interface {
	Count(name string, n int64)
}
