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

// cell is one shard of the store: a partition with its append queue.
type cell struct {
	index    int
	name     string
	snapshot string
	part     journal.Partition
	turn     chan struct{} // held while the cell opens or closes
	loops    sync.WaitGroup

	mu      sync.Mutex
	opened  bool
	users   int
	used    time.Time // end of the last use
	stop    context.CancelFunc
	queue   *appender.Queue
	waiting map[appender.Ticket]chan appender.Result
	changed chan struct{}
	wake    chan struct{}
	stalled bool      // retention dropped records that no snapshot covers
	oldest  time.Time // log's time of the first entry replayed without a snapshot
	counter int       // snapshots written
}

// user is a cell that stays open until release.
type user struct{ *cell }

func (u user) release(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()

	u.users--
	u.used = now
}

func (c *cell) isOpen() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.opened
}

// close stops the loops of an open cell that nobody has used since a time, and reports whether it did.
func (c *cell) close(since time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	if !c.opened || c.users > 0 || c.used.After(since) || c.queue.PendingCount() > 0 {
		return false
	}

	c.opened, c.stalled, c.oldest = false, false, time.Time{}
	c.stop()

	return true
}

// enter counts a user of an open cell.
func (c *cell) enter() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.opened {
		c.users++
	}

	return c.opened
}

func (c *cell) empty() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.queue.PendingCount() == 0
}

// open returns the cell of a partition that is followed from now on.
func (s *Store) open(p int) *cell {
	c := s.cells[p]
	if c.isOpen() {
		return c
	}

	c.turn <- struct{}{}
	defer func() { <-c.turn }()

	c.mu.Lock()
	defer c.mu.Unlock()

	if !c.opened {
		ctx, stop := context.WithCancel(s.ctx)
		c.opened, c.stop = true, stop
		ready := make(chan struct{})

		s.start(c, func() { s.follow(ctx, c, ready) })
		s.start(c, func() { s.append(ctx, c, ready) })

		if s.options.policy.CheckInterval() > 0 {
			s.start(c, func() { s.snapshots(ctx, c) })
		}
	}

	return c
}

// start runs a loop that both the cell and the store wait for.
func (s *Store) start(c *cell, f func()) {
	c.loops.Add(1)
	s.wg.Go(func() {
		defer c.loops.Done()

		f()
	})
}

// use returns the cell of a partition, which cannot be closed before release.
func (s *Store) use(p int) user {
	for {
		if c := s.open(p); c.enter() {
			return user{c}
		}
	}
}

func (c *cell) waitChange() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.changed
}

// add queues new work if there is room, and returns the channel that gets the end of its ticket.
func (c *cell) add(r []journal.Record) (appender.Ticket, <-chan appender.Result, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()

	w := weigh(r)
	if !c.queue.HasRoom(w) {
		return 0, nil, false
	}

	t := c.queue.Add(w, r...)
	done := make(chan appender.Result, 1)
	c.waiting[t] = done
	c.signal()

	return t, done, true
}

// offer queues records of accepted work if there is room. Nobody waits for their end.
func (c *cell) offer(r []journal.Record) bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	w := weigh(r)
	if !c.queue.HasReservedRoom(w) {
		return false
	}

	c.queue.Add(w, r...)
	c.signal()

	return true
}

// giveUp withdraws a ticket, or abandons it, and returns its state.
func (c *cell) giveUp(t appender.Ticket, abandon bool) appender.State {
	c.mu.Lock()
	defer c.mu.Unlock()

	var s appender.State

	if abandon {
		s = c.queue.Abandon(t)
		c.signal()
	} else {
		s = c.queue.Withdraw(t)
	}

	if s == appender.Withdrawn {
		delete(c.waiting, t)
	}

	return s
}

// signal wakes the append loop.
func (c *cell) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// await blocks until offset o is replayed.
func (c *cell) await(ctx context.Context, o int64) error {
	for {
		ch := c.waitChange()
		if c.part.Offset() >= o {
			return nil
		}

		select {
		case <-ch:
		case <-ctx.Done():
			return outcome.New(outcome.LogUnavailable, outcome.Unknown, "the log could not be read up to its end in time").
				WithRetryAfter(retryAfterOutage)
		}
	}
}

// end reports tickets to their submitters. The caller holds the lock.
func (c *cell) end(r []appender.Result) {
	for _, v := range r {
		if ch, ok := c.waiting[v.Ticket()]; ok {
			ch <- v

			delete(c.waiting, v.Ticket())
		}
	}
}

// notify wakes everyone who waits for a change. The caller holds the lock.
func (c *cell) notify() {
	c.signal()
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *cell) setStalled(v bool) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.stalled = v
}

func (c *cell) isStalled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.stalled
}

const (
	// readWait is how long a read waits at the log for a new record.
	readWait = 5 * time.Second
	// retryDelay keeps a reader or writer from flooding a log that is down.
	retryDelay = 100 * time.Millisecond
)

// follow replays the partition until ctx ends. It closes ready after the first read, so that nothing is appended
// before it is known what this writer appended earlier.
func (s *Store) follow(ctx context.Context, c *cell, ready chan<- struct{}) {
	restart, first := true, true
	delay := retryDelay

	for ctx.Err() == nil {
		if restart {
			if err := s.restore(ctx, c); err != nil {
				sleep(ctx, retryDelay)

				continue
			}

			restart = false
		}

		from := c.part.Offset() + 1

		// The first read does not wait for a record, as appends wait for it.
		wait := readWait
		if first {
			wait = 0
		}

		g, err := s.log.Read(ctx, c.name, from, wait)
		if errors.Is(err, stream.ErrDropped) || err == nil && g.Oldest() > from {
			restart = true

			c.setStalled(true)
			sleep(ctx, delay)
			delay = min(2*delay, readWait) //nolint:mnd // doubles

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
			s.replay(c, e)
		}
	}
}

func (s *Store) replay(c *cell, e stream.Entry) {
	g, err := s.codec.Decode(e.Data())
	if err != nil {
		s.skipped.Add(1)
		c.part.Skip(e.Offset())
	} else {
		c.part.Apply(journal.NewEntry(e.Offset(), e.At(), g))
	}

	c.mu.Lock()
	defer c.mu.Unlock()

	if c.oldest.IsZero() {
		c.oldest = e.At()
	}

	if err == nil && g.Writer == s.options.writer {
		c.end(c.queue.HandleReplayed(g.Number, e.Offset(), c.part.LastGroupNumber(g.Writer)))
	}

	c.notify()
}

// append sends the queue's groups until ctx ends.
func (s *Store) append(ctx context.Context, c *cell, ready <-chan struct{}) {
	select {
	case <-ready:
	case <-ctx.Done():
	}

	for ctx.Err() == nil {
		g, ok, at := s.next(c)
		if ok {
			s.send(ctx, c, g)

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

func (s *Store) next(c *cell) (journal.Group, bool, time.Time) {
	base := c.part.Offset()
	known := c.part.LastGroupNumber(s.options.writer) > 0

	c.mu.Lock()
	defer c.mu.Unlock()

	return c.queue.Next(s.options.clock(), base, known)
}

func (s *Store) send(ctx context.Context, c *cell, g journal.Group) {
	o, err := s.sendGroup(ctx, c, g)

	c.mu.Lock()
	defer c.mu.Unlock()

	now := s.options.clock()

	switch {
	case err == nil:
		c.queue.HandleConfirmed(o)
	case errors.Is(err, stream.ErrTooLarge):
		r := c.queue.HandleRejected(now)
		s.rejected.Add(int64(len(r)))
		c.end(r)
		c.notify()
	case errors.Is(err, stream.ErrRefused):
		c.queue.HandleRefused(now)
	default:
		c.queue.HandleLost(now)
	}
}

func (s *Store) sendGroup(ctx context.Context, c *cell, g journal.Group) (int64, error) {
	b, err := s.codec.Encode(g)
	if err != nil {
		return 0, errors.Join(stream.ErrTooLarge, err)
	}

	return s.log.Append(ctx, c.name, b)
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// absent returns the error for work that is not there. w was there at log time before, or is the zero value.
func absent(w journal.Work, before, now time.Time) error {
	a := w.AcceptRecord()
	if a.Key != "" && now.Sub(before) <= time.Duration(a.RetainMS)*time.Millisecond {
		return outcome.New(outcome.NotFound, outcome.NotRun, "the work was given back and has not run").
			WithRetryAfter(retryAfterOutage)
	}

	return outcome.New(outcome.NotFound, outcome.Unknown, "no work is recorded under this key")
}
