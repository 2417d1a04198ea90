package controller

import (
	"context"
	"time"

	"github.com/agategap/agategap/journal"
)

// Replicas gives the replicas of the journal's partitions.
type Replicas interface {
	// Partition returns the partition of a work key or of a job identifier.
	Partition(key string) int
	// Replica returns the replica of a partition, and starts to follow the partition if needed. The replica is then
	// empty at first.
	Replica(p int) *journal.Partition
}

// withdrawTimeout bounds the wait for the outcome of records whose submission timed out. It is below callMargin, so
// that the reply still reaches the daemon that submitted them.
const withdrawTimeout = 500 * time.Millisecond

// Appender appends records to partitions and waits for records of other daemons.
type Appender interface {
	// SubmitOrWithdraw appends records and returns once they are replayed here. When ctx ends first, it withdraws them
	// and waits until it is certain whether they took effect, for withdrawTimeout at most. An error with effect not_run
	// means that they never will.
	SubmitOrWithdraw(ctx context.Context, withdrawTimeout time.Duration, p int, r ...journal.Record) error
	// Sync waits until all entries of a partition are replayed here that were in the log when it was called.
	Sync(ctx context.Context, p int) error
	// Await waits until the work under a key has ended. If ctx ends first, the error is in_progress; it is not_found if
	// there is no work.
	Await(ctx context.Context, k journal.Key) (journal.Work, error)
}

// Store is the journal as this daemon reads and writes it.
type Store interface {
	Replicas
	Appender
}

// Counter adds to metrics by name.
type Counter interface {
	Count(name string, n int64)
}
