package controller

import (
	"context"
	"sync"
	"time"

	"github.com/agategap/agategap/journal"
	"github.com/agategap/agategap/outcome"
)

const (
	// maxOutboxRecords bounds the queued records of a partition. Further records are dropped. Work whose completion was
	// dropped is run again or looked up by the partition's writer.
	maxOutboxRecords = 8192
	// maxSubmitRecords bounds the records in one submission.
	maxSubmitRecords = 256
	// maxSubmitBytes is the total size of response bodies at which a submission is full. It is well below the limit on
	// the size of a message.
	maxSubmitBytes = 2 << 20
)

// outbox is the queue of records of one partition that are sent in the background. A Journal has one for each
// partition, with its own lock.
type outbox struct {
	partition int
	wake      chan struct{}

	mu      sync.Mutex
	records []journal.Record
}

func newOutbox(p int) *outbox { return &outbox{partition: p, wake: make(chan struct{}, 1)} }

// Enqueue queues records of the work under a key without waiting, or drops and counts them if the queue is full. They
// are sent until a follower confirms them; a second copy of a completion or a release has no effect.
func (j *Journal) Enqueue(k journal.Key, r ...journal.Record) {
	o := j.outboxes[j.replicas.Partition(k.String())]

	if !o.enqueue(r) {
		j.counter.Count("outbox_dropped", int64(len(r)))
	}
}

// finalFlushTimeout bounds the time for sending the remaining records when the daemon stops.
const finalFlushTimeout = 2 * time.Second

// Run sends queued records until ctx ends, and then the remaining ones within finalFlushTimeout.
func (j *Journal) Run(ctx context.Context) error {
	var wg sync.WaitGroup

	for _, o := range j.outboxes {
		wg.Go(func() {
			for ctx.Err() == nil {
				j.flush(ctx, o)

				select {
				case <-o.wake:
				case <-ctx.Done():
				}
			}

			x, stop := context.WithTimeout(context.WithoutCancel(ctx), finalFlushTimeout)
			defer stop()

			j.flush(x, o)
		})
	}

	wg.Wait()

	return nil
}

// QueuedCount returns the number of queued records that no follower has confirmed.
func (j *Journal) QueuedCount() int {
	n := 0
	for _, o := range j.outboxes {
		n += o.len()
	}

	return n
}

// flush sends queued records until the queue is empty or ctx ends.
func (j *Journal) flush(ctx context.Context, o *outbox) {
	for ctx.Err() == nil {
		r := o.nextBatch()
		if len(r) == 0 {
			return
		}

		x, stop := context.WithTimeout(ctx, maxCallWait)
		_, err := j.submitOnce(x, SubmitArgs{Partition: o.partition, Records: r})

		stop()

		// Records that are rejected as invalid will be rejected again, and would block the records after them.
		if err == nil || outcome.Is(err, outcome.InvalidRequest) {
			o.remove(len(r))

			continue
		}

		sleep(ctx, retryDelay)
	}
}

func (o *outbox) enqueue(r []journal.Record) bool {
	o.mu.Lock()
	defer o.mu.Unlock()

	if len(o.records)+len(r) > maxOutboxRecords {
		return false
	}

	o.records = append(o.records, r...)

	select {
	case o.wake <- struct{}{}:
	default:
	}

	return true
}

// nextBatch returns the first records, as many as fit into one submission.
func (o *outbox) nextBatch() []journal.Record {
	o.mu.Lock()
	defer o.mu.Unlock()

	n, size := 0, 0
	for n < len(o.records) && n < maxSubmitRecords && size < maxSubmitBytes {
		if c := o.records[n].Complete; c != nil {
			size += len(c.Body) + len(c.Text)
		}

		n++
	}

	return append([]journal.Record(nil), o.records[:n]...)
}

func (o *outbox) remove(n int) {
	o.mu.Lock()
	defer o.mu.Unlock()

	o.records = append([]journal.Record(nil), o.records[n:]...)
}

func (o *outbox) len() int {
	o.mu.Lock()
	defer o.mu.Unlock()

	return len(o.records)
}
