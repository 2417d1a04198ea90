package store

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/agategap/agategap/appender"
	"github.com/agategap/agategap/journal"
	"github.com/agategap/agategap/outcome"
	"github.com/agategap/agategap/stream"
)

// partition is one shard of the store: a partition with its append queue.
type partition struct {
	index    int
	journalStream     string
	snapshotStream string
	replica     journal.Partition
	openCloseSem     chan struct{} // held while the cell opens or closes
	loops    sync.WaitGroup

	mu      sync.Mutex
	open  bool
	userCount   int
	lastUsedAt    time.Time // end of the last use
	stopLoops    context.CancelFunc
	queue   *appender.Queue
	waiters map[appender.Ticket]chan appender.Result
	changed chan struct{}
	wake    chan struct{}
	stalled bool      // retention dropped records that no snapshot covers
	firstEntryAt  time.Time // log's time of the first entry replayed without a snapshot
	snapshotCount int       // snapshots written
}

// acquiredPartition is a cell that stays open until release.
type acquiredPartition struct{ *partition }

func (u acquiredPartition) release(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()

	u.userCount--
	u.lastUsedAt = now
}

func (c *partition) isOpen() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.open
}

// close stops the loops of an open cell that nobody has used since a time, and reports whether it did.
func (c *partition) close(since time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	if !c.open || c.userCount > 0 || c.lastUsedAt.After(since) || c.queue.PendingCount() > 0 {
		return false
	}

	c.open, c.stalled, c.firstEntryAt = false, false, time.Time{}
	c.stopLoops()

	return true
}

// tryAcquire counts a user of an open cell.
func (c *partition) tryAcquire() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.open {
		c.userCount++
	}

	return c.open
}

func (c *partition) isQueueEmpty() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.queue.PendingCount() == 0
}

// openPartition returns the cell of a partition that is followed from now on.
func (s *Store) openPartition(p int) *partition {
	c := s.partitions[p]
	if c.isOpen() {
		return c
	}

	c.openCloseSem <- struct{}{}
	defer func() { <-c.openCloseSem }()

	c.mu.Lock()
	defer c.mu.Unlock()

	if !c.open {
		ctx, stop := context.WithCancel(s.ctx)
		c.open, c.stopLoops = true, stop
		ready := make(chan struct{})

		s.startLoop(c, func() { s.followLoop(ctx, c, ready) })
		s.startLoop(c, func() { s.appendLoop(ctx, c, ready) })

		if s.options.snapshotPolicy.CheckInterval() > 0 {
			s.startLoop(c, func() { s.snapshotLoop(ctx, c) })
		}
	}

	return c
}

// startLoop runs a loop that both the cell and the store wait for.
func (s *Store) startLoop(c *partition, f func()) {
	c.loops.Add(1)
	s.wg.Go(func() {
		defer c.loops.Done()

		f()
	})
}

// acquirePartition returns the cell of a partition, which cannot be closed before release.
func (s *Store) acquirePartition(p int) acquiredPartition {
	for {
		if c := s.openPartition(p); c.tryAcquire() {
			return acquiredPartition{c}
		}
	}
}

func (c *partition) changeChannel() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.changed
}

// enqueueNew queues new work if there is room, and returns the channel that gets the end of its ticket.
func (c *partition) enqueueNew(r []journal.Record) (appender.Ticket, <-chan appender.Result, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()

	w := estimatedSize(r)
	if !c.queue.HasRoom(w) {
		return 0, nil, false
	}

	t := c.queue.Add(w, r...)
	done := make(chan appender.Result, 1)
	c.waiters[t] = done
	c.wakeAppendLoop()

	return t, done, true
}

// enqueueAccepted queues records of accepted work if there is room. Nobody waits for their end.
func (c *partition) enqueueAccepted(r []journal.Record) bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	w := estimatedSize(r)
	if !c.queue.HasReservedRoom(w) {
		return false
	}

	c.queue.Add(w, r...)
	c.wakeAppendLoop()

	return true
}

// cancelSubmission withdraws a ticket, or abandons it, and returns its state.
func (c *partition) cancelSubmission(t appender.Ticket, abandon bool) appender.State {
	c.mu.Lock()
	defer c.mu.Unlock()

	var s appender.State

	if abandon {
		s = c.queue.Abandon(t)
		c.wakeAppendLoop()
	} else {
		s = c.queue.Withdraw(t)
	}

	if s == appender.Withdrawn {
		delete(c.waiters, t)
	}

	return s
}

// wakeAppendLoop wakes the append loop.
func (c *partition) wakeAppendLoop() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// awaitOffset blocks until offset o is replayed.
func (c *partition) awaitOffset(ctx context.Context, o int64) error {
	for {
		ch := c.changeChannel()
		if c.replica.Offset() >= o {
			return nil
		}

		select {
		case <-ch:
		case <-ctx.Done():
			return outcome.New(outcome.LogUnavailable, outcome.Unknown, "the log could not be read up to its end in time").
				WithRetryAfter(retryAfter)
		}
	}
}

// deliverResults reports tickets to their submitters. The caller holds the lock.
func (c *partition) deliverResults(r []appender.Result) {
	for _, v := range r {
		if ch, ok := c.waiters[v.Ticket()]; ok {
			ch <- v

			delete(c.waiters, v.Ticket())
		}
	}
}

// notifyChange wakes everyone who waits for a change. The caller holds the lock.
func (c *partition) notifyChange() {
	c.wakeAppendLoop()
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *partition) setStalled(v bool) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.stalled = v
}

func (c *partition) isStalled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.stalled
}

const (
	// readWaitTimeout is how long a read waits at the log for a new record.
	readWaitTimeout = 5 * time.Second
	// retryDelay keeps a reader or writer from flooding a log that is down.
	retryDelay = 100 * time.Millisecond
)

// followLoop replays the partition until ctx ends. It closes ready after the first read, so that nothing is appended
// before it is known what this writer appended earlier.
func (s *Store) followLoop(ctx context.Context, c *partition, ready chan<- struct{}) {
	restart, first := true, true
	delay := retryDelay

	for ctx.Err() == nil {
		if restart {
			if err := s.restoreSnapshot(ctx, c); err != nil {
				sleep(ctx, retryDelay)

				continue
			}

			restart = false
		}

		from := c.replica.Offset() + 1

		// The first read does not wait for a record, as appends wait for it.
		wait := readWaitTimeout
		if first {
			wait = 0
		}

		g, err := s.log.Read(ctx, c.journalStream, from, wait)
		if errors.Is(err, stream.ErrTruncated) || err == nil && g.OldestOffset() > from {
			restart = true

			c.setStalled(true)
			sleep(ctx, delay)
			delay = min(2*delay, readWaitTimeout) //nolint:mnd // doubles

			continue
		}

		if err != nil {
			sleep(ctx, retryDelay)

			continue
		}

		c.setStalled(false)

		delay = retryDelay

		if first {
			first = false

			close(ready)
		}

		for _, e := range g.Entries() {
			s.replayEntry(c, e)
		}
	}
}

func (s *Store) replayEntry(c *partition, e stream.Entry) {
	g, err := s.codec.Decode(e.Data())
	if err != nil {
		s.skippedCount.Add(1)
		c.replica.Skip(e.Offset())
	} else {
		c.replica.Apply(journal.NewEntry(e.Offset(), e.AppendedAt(), g))
	}

	c.mu.Lock()
	defer c.mu.Unlock()

	if c.firstEntryAt.IsZero() {
		c.firstEntryAt = e.AppendedAt()
	}

	if err == nil && g.Writer == s.options.writer {
		c.deliverResults(c.queue.HandleReplayed(g.Number, e.Offset(), c.replica.LastGroupNumber(g.Writer)))
	}

	c.notifyChange()
}

// appendLoop sends the queue's groups until ctx ends.
func (s *Store) appendLoop(ctx context.Context, c *partition, ready <-chan struct{}) {
	select {
	case <-ready:
	case <-ctx.Done():
	}

	for ctx.Err() == nil {
		g, ok, at := s.nextGroup(c)
		if ok {
			s.appendGroup(ctx, c, g)

			continue
		}

		var t <-chan time.Time
		if !at.IsZero() {
			t = time.After(at.Sub(s.options.clock()))
		}

		select {
		case <-c.wake:
		case <-t:
		case <-ctx.Done():
		}
	}
}

func (s *Store) nextGroup(c *partition) (journal.Group, bool, time.Time) {
	base := c.replica.Offset()
	known := c.replica.LastGroupNumber(s.options.writer) > 0

	c.mu.Lock()
	defer c.mu.Unlock()

	return c.queue.Next(s.options.clock(), base, known)
}

func (s *Store) appendGroup(ctx context.Context, c *partition, g journal.Group) {
	o, err := s.encodeAndAppend(ctx, c, g)

	c.mu.Lock()
	defer c.mu.Unlock()

	now := s.options.clock()

	switch {
	case err == nil:
		c.queue.HandleConfirmed(o)
	case errors.Is(err, stream.ErrTooLarge):
		r := c.queue.HandleRejected(now)
		s.rejectedCount.Add(int64(len(r)))
		c.deliverResults(r)
		c.notifyChange()
	case errors.Is(err, stream.ErrRefused):
		c.queue.HandleRefused(now)
	default:
		c.queue.HandleLost(now)
	}
}

func (s *Store) encodeAndAppend(ctx context.Context, c *partition, g journal.Group) (int64, error) {
	b, err := s.codec.Encode(g)
	if err != nil {
		return 0, errors.Join(stream.ErrTooLarge, err)
	}

	return s.log.Append(ctx, c.journalStream, b)
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// notFoundError returns the error for work that is not there. w was there at log time before, or is the zero value.
func notFoundError(w journal.Work, before, now time.Time) error {
	a := w.AcceptRecord()
	if a.Key != "" && now.Sub(before) <= time.Duration(a.RetainMS)*time.Millisecond {
		return outcome.New(outcome.NotFound, outcome.NotRun, "the work was given back and has not run").
			WithRetryAfter(retryAfter)
	}

	return outcome.New(outcome.NotFound, outcome.Unknown, "no work is recorded under this key")
}
