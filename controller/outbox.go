package controller

import (
	"context"
	"sync"
	"time"

	"github.com/agategap/agategap/journal"
	"github.com/agategap/agategap/outcome"
)

const (
	// maxOutboxRecords bounds the records of a partition that wait for the log. Work whose completion is dropped
	// is run again or looked up by the partition's writer.
	maxOutboxRecords = 8192
	// maxSubmitRecords bounds the records of one submission.
	maxSubmitRecords = 256
	// maxSubmitBytes bounds the bodies of one submission, well below the bound of a message.
	maxSubmitBytes = 2 << 20
)

// outbox holds the records of one partition that were queued without waiting. It is a shard of the Journal.
type outbox struct {
	partition int
	wake      chan struct{}

	mu      sync.Mutex
	records []journal.Record
}

func newOutbox(p int) *outbox { return &outbox{partition: p, wake: make(chan struct{}, 1)} }

// Enqueue queues records of the work under a key. They are sent until a follower confirms them; a second copy
// of a completion or a release has no effect.
func (j *Journal) Enqueue(k journal.Key, r ...journal.Record) {
	o := j.outboxes[j.replicas.Partition(k.String())]

	if !o.enqueue(r) {
		j.counter.Count("outbox_dropped", int64(len(r)))
	}
}

// finalFlushTimeout bounds the sending of queued records when the daemon stops.
const finalFlushTimeout = 2 * time.Second

// Run sends queued records until ctx ends, and then what is left within a bound.
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

// QueuedCount returns the number of records that no follower has confirmed.
func (j *Journal) QueuedCount() int {
	n := 0
	for _, o := range j.outboxes {
		n += o.len()
	}

	return n
}

// flush sends queued records until there are none or ctx ends.
func (j *Journal) flush(ctx context.Context, o *outbox) {
	for ctx.Err() == nil {
		r := o.nextBatch()
		if len(r) == 0 {
			return
		}

		x, stop := context.WithTimeout(ctx, maxCallWait)
		_, err := j.submitOnce(x, SubmitArgs{Partition: o.partition, Records: r})

		stop()

		// A refusal as invalid never changes, and the records behind it must not wait for it.
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

// nextBatch returns the first records, as many as one submission carries.
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
