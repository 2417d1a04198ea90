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

// partition is one shard of the store: a partition of the journal with its replica and its append queue.
type partition struct {
	index          int
	journalStream  string
	snapshotStream string
	replica        journal.Partition
	openCloseSem   chan struct{} // semaphore of one, held while the partition is opened or closed
	loops          sync.WaitGroup

	mu            sync.Mutex
	open          bool
	userCount     int
	lastUsedAt    time.Time // when a user last released the partition
	stopLoops     context.CancelFunc
	queue         *appender.Queue
	waiters       map[appender.Ticket]chan appender.Result
	changed       chan struct{} // closed and replaced by notifyChange
	wake          chan struct{} // wakes the append loop; has a buffer of one
	stalled       bool          // the log removed entries that are not replayed here; a snapshot of them is needed
	firstEntryAt  time.Time     // log time of the first entry replayed since the partition was opened
	snapshotCount int           // snapshots begun, which numbers their identifiers
}

// acquiredPartition is a partition that stays open until it is released.
type acquiredPartition struct{ *partition }

func (u acquiredPartition) release(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()

	u.userCount--
	u.lastUsedAt = now
}

func (p *partition) isOpen() bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.open
}

// close stops the loops of an open partition that has had no user since a time and has no pending records, and reports
// whether it did.
func (p *partition) close(since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	if !p.open || p.userCount > 0 || p.lastUsedAt.After(since) || p.queue.PendingCount() > 0 {
		return false
	}

	p.open, p.stalled, p.firstEntryAt = false, false, time.Time{}
	p.stopLoops()

	return true
}

// tryAcquire adds a user if the partition is open, and reports whether it is.
func (p *partition) tryAcquire() bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.open {
		p.userCount++
	}

	return p.open
}

func (p *partition) isQueueEmpty() bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.queue.PendingCount() == 0
}

// openPartition returns a partition and starts its loops if it is not open yet.
func (s *Store) openPartition(index int) *partition {
	p := s.partitions[index]
	if p.isOpen() {
		return p
	}

	p.openCloseSem <- struct{}{}
	defer func() { <-p.openCloseSem }()

	p.mu.Lock()
	defer p.mu.Unlock()

	if !p.open {
		ctx, stop := context.WithCancel(s.ctx)
		p.open, p.stopLoops = true, stop
		ready := make(chan struct{})

		s.startLoop(p, func() { s.followLoop(ctx, p, ready) })
		s.startLoop(p, func() { s.appendLoop(ctx, p, ready) })

		if s.options.snapshotPolicy.CheckInterval() > 0 {
			s.startLoop(p, func() { s.snapshotLoop(ctx, p) })
		}
	}

	return p
}

// startLoop runs f in a goroutine that both the partition and the store wait for.
func (s *Store) startLoop(p *partition, f func()) {
	p.loops.Add(1)
	s.wg.Go(func() {
		defer p.loops.Done()

		f()
	})
}

// acquirePartition opens a partition that cannot be closed until the caller releases it.
func (s *Store) acquirePartition(index int) acquiredPartition {
	for {
		if p := s.openPartition(index); p.tryAcquire() {
			return acquiredPartition{p}
		}
	}
}

// changeChannel returns a channel that is closed by the next call of notifyChange.
func (p *partition) changeChannel() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.changed
}

// enqueueNew queues records of new work if there is room, and returns the channel that receives the result of their
// ticket.
func (p *partition) enqueueNew(r []journal.Record) (appender.Ticket, <-chan appender.Result, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()

	size := estimatedSize(r)
	if !p.queue.HasRoom(size) {
		return 0, nil, false
	}

	t := p.queue.Add(size, r...)
	done := make(chan appender.Result, 1)
	p.waiters[t] = done
	p.wakeAppendLoop()

	return t, done, true
}

// enqueueAccepted queues records of work that was accepted earlier, if there is room. No caller waits for their result.
func (p *partition) enqueueAccepted(r []journal.Record) bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	size := estimatedSize(r)
	if !p.queue.HasReservedRoom(size) {
		return false
	}

	p.queue.Add(size, r...)
	p.wakeAppendLoop()

	return true
}

// cancelSubmission withdraws or abandons a ticket and returns its state.
func (p *partition) cancelSubmission(t appender.Ticket, abandon bool) appender.State {
	p.mu.Lock()
	defer p.mu.Unlock()

	var s appender.State

	if abandon {
		s = p.queue.Abandon(t)
		p.wakeAppendLoop()
	} else {
		s = p.queue.Withdraw(t)
	}

	if s == appender.Withdrawn {
		delete(p.waiters, t)
	}

	return s
}

func (p *partition) wakeAppendLoop() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// awaitOffset blocks until offset o is replayed. The error is LogUnavailable if ctx ends first.
func (p *partition) awaitOffset(ctx context.Context, o int64) error {
	for {
		ch := p.changeChannel()
		if p.replica.Offset() >= o {
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

// deliverResults passes results to the submitters that wait for them. The caller holds the lock.
func (p *partition) deliverResults(r []appender.Result) {
	for _, v := range r {
		if ch, ok := p.waiters[v.Ticket()]; ok {
			ch <- v

			delete(p.waiters, v.Ticket())
		}
	}
}

// notifyChange wakes the append loop and all goroutines that wait for a change. The caller holds the lock.
func (p *partition) notifyChange() {
	p.wakeAppendLoop()
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *partition) setStalled(v bool) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.stalled = v
}

func (p *partition) isStalled() bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.stalled
}

const (
	// readWaitTimeout is how long a read waits at the log for a new entry. It also bounds the delay between retries.
	readWaitTimeout = 5 * time.Second
	// retryDelay is the first delay before a failed read or the failed append of a snapshot part is retried, so that a
	// log that is down is not flooded with requests.
	retryDelay = 100 * time.Millisecond
)

// followLoop replays the partition until ctx ends. It closes ready after the first read, as nothing may be appended
// before it is known what this writer has appended earlier. When the log has removed entries that are not replayed, it
// continues from a snapshot.
func (s *Store) followLoop(ctx context.Context, p *partition, ready chan<- struct{}) {
	restart, first := true, true
	delay := retryDelay

	for ctx.Err() == nil {
		if restart {
			if err := s.restoreSnapshot(ctx, p); err != nil {
				sleep(ctx, retryDelay)

				continue
			}

			restart = false
		}

		from := p.replica.Offset() + 1

		// The first read does not wait for a new entry, as appends start only after it.
		wait := readWaitTimeout
		if first {
			wait = 0
		}

		page, err := s.log.Read(ctx, p.journalStream, from, wait)
		if errors.Is(err, stream.ErrTruncated) || err == nil && page.OldestOffset() > from {
			restart = true

			p.setStalled(true)
			sleep(ctx, delay)
			delay = min(2*delay, readWaitTimeout) //nolint:mnd // doubles

			continue
		}

		if err != nil {
			sleep(ctx, retryDelay)

			continue
		}

		p.setStalled(false)

		delay = retryDelay

		if first {
			first = false

			close(ready)
		}

		for _, e := range page.Entries() {
			s.replayEntry(p, e)
		}
	}
}

// replayEntry applies an entry to the replica, or skips it if it cannot be decoded, and delivers the results of the
// submissions that it ends.
func (s *Store) replayEntry(p *partition, e stream.Entry) {
	g, err := s.codec.Decode(e.Data())
	if err != nil {
		s.skippedCount.Add(1)
		p.replica.Skip(e.Offset())
	} else {
		p.replica.Apply(journal.NewEntry(e.Offset(), e.AppendedAt(), g))
	}

	p.mu.Lock()
	defer p.mu.Unlock()

	if p.firstEntryAt.IsZero() {
		p.firstEntryAt = e.AppendedAt()
	}

	if err == nil && g.Writer == s.options.writer {
		p.deliverResults(p.queue.HandleReplayed(g.Number, e.Offset(), p.replica.LastGroupNumber(g.Writer)))
	}

	p.notifyChange()
}

// appendLoop appends the groups of the queue until ctx ends. It starts when ready is closed.
func (s *Store) appendLoop(ctx context.Context, p *partition, ready <-chan struct{}) {
	select {
	case <-ready:
	case <-ctx.Done():
	}

	for ctx.Err() == nil {
		g, ok, at := s.nextGroup(p)
		if ok {
			s.appendGroup(ctx, p, g)

			continue
		}

		var t <-chan time.Time
		if !at.IsZero() {
			t = time.After(at.Sub(s.options.clock()))
		}

		select {
		case <-p.wake:
		case <-t:
		case <-ctx.Done():
		}
	}
}

func (s *Store) nextGroup(p *partition) (journal.Group, bool, time.Time) {
	base := p.replica.Offset()
	writerKnown := p.replica.LastGroupNumber(s.options.writer) > 0

	p.mu.Lock()
	defer p.mu.Unlock()

	return p.queue.Next(s.options.clock(), base, writerKnown)
}

// appendGroup appends a group and tells the queue the outcome of the append.
func (s *Store) appendGroup(ctx context.Context, p *partition, g journal.Group) {
	o, err := s.encodeAndAppend(ctx, p, g)

	p.mu.Lock()
	defer p.mu.Unlock()

	now := s.options.clock()

	switch {
	case err == nil:
		p.queue.HandleConfirmed(o)
	case errors.Is(err, stream.ErrTooLarge):
		r := p.queue.HandleRejected(now)
		s.rejectedCount.Add(int64(len(r)))
		p.deliverResults(r)
		p.notifyChange()
	case errors.Is(err, stream.ErrRefused):
		p.queue.HandleRefused(now)
	default:
		p.queue.HandleLost(now)
	}
}

// encodeAndAppend appends a group. A group that cannot be encoded counts as too large.
func (s *Store) encodeAndAppend(ctx context.Context, p *partition, g journal.Group) (int64, error) {
	b, err := s.codec.Encode(g)
	if err != nil {
		return 0, errors.Join(stream.ErrTooLarge, err)
	}

	return s.log.Append(ctx, p.journalStream, b)
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// notFoundError returns the error for work that does not exist at log time now. w is the work as last looked up, at log
// time lastSeen, or the zero value if it was never found. Work that was removed before its retention could have ended
// was released.
func notFoundError(w journal.Work, lastSeen, now time.Time) error {
	a := w.AcceptRecord()
	if a.Key != "" && now.Sub(lastSeen) <= time.Duration(a.RetainMS)*time.Millisecond {
		return outcome.New(outcome.NotFound, outcome.NotRun, "the work was released and has not run").
			WithRetryAfter(retryAfter)
	}

	return outcome.New(outcome.NotFound, outcome.Unknown, "no work is recorded under this key")
}
