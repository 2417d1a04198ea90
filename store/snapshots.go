package store

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/agategap/agategap/snapshot"
	"github.com/agategap/agategap/stream"
)

// PartCodec encodes parts of snapshots.
type PartCodec interface {
	EncodePart(p snapshot.Part) ([]byte, error)
	DecodePart(b []byte) (snapshot.Part, error)
}

// partBytes is the estimated size of one part before compression.
const partBytes = 4 << 20

// restore continues the partition from the newest complete snapshot that is ahead of it.
func (s *Store) restore(ctx context.Context, c *cell) error {
	if s.options.parts == nil {
		return nil
	}

	r := snapshot.NewReader()
	if _, err := s.readSnapshots(ctx, c, r, 1); err != nil {
		return err
	}

	n := r.Newest()
	if n.Offset() <= c.part.Offset() {
		return nil
	}

	if _, err := c.part.Restore(n.Sections()); err != nil {
		return err
	}

	c.mu.Lock()
	defer c.mu.Unlock()

	c.end(c.queue.HandleRestored(n.Offset(), c.part.LastGroupNumber(s.options.writer)))
	c.notify()

	return nil
}

// readSnapshots gives r the parts of the snapshot stream from an offset on, and returns the offset after the last.
func (s *Store) readSnapshots(ctx context.Context, c *cell, r *snapshot.Reader, from int64) (int64, error) {
	for {
		g, err := s.log.Read(ctx, c.snapshot, from, 0)
		if errors.Is(err, stream.ErrDropped) && g.Oldest() > from {
			from = g.Oldest()

			continue
		}

		if err != nil {
			return from, err
		}

		for _, e := range g.Entries() {
			from = e.Offset() + 1

			if p, err := s.options.parts.DecodePart(e.Data()); err == nil {
				r.Add(e.At(), p)
			}
		}

		if from >= g.Next() || len(g.Entries()) == 0 {
			return from, nil
		}
	}
}

// snapshots writes a snapshot whenever one is due and this daemon writes for the partition, until ctx ends.
func (s *Store) snapshots(ctx context.Context, c *cell) {
	var r snapshot.Reader

	from := int64(1)

	for ctx.Err() == nil {
		sleep(ctx, s.options.policy.CheckInterval())

		if !s.options.writes(c.index) || c.isStalled() {
			continue
		}

		n, err := s.readSnapshots(ctx, c, &r, from)
		if from = n; err != nil {
			continue
		}

		if s.due(c, r.Newest()) {
			_ = s.writeSnapshot(ctx, c) // tried again at the next interval
		}
	}
}

func (s *Store) due(c *cell, newest snapshot.Snapshot) bool {
	now := s.options.clock()
	if at := c.part.LogTime(); at.After(now) {
		now = at
	}

	c.mu.Lock()
	oldest := c.oldest
	c.mu.Unlock()

	return s.options.policy.IsDue(now, oldest, c.part.Offset(), newest)
}

// writeSnapshot appends the parts of the partition's state and the closing record, each after the one before it is
// confirmed. Readers ignore what a writer leaves behind that stops half way.
func (s *Store) writeSnapshot(ctx context.Context, c *cell) error {
	v, err := c.part.Snapshot()
	if err != nil {
		return err
	}

	c.mu.Lock()
	c.counter++
	id := fmt.Sprintf("%s/%d", s.options.writer, c.counter)
	c.mu.Unlock()

	for _, p := range snapshot.Split(id, v[0].Head.Offset, v, partBytes) {
		b, err := s.options.parts.EncodePart(p)
		if err != nil {
			return err
		}

		if err := s.appendPart(ctx, c, b); err != nil {
			return err
		}
	}

	s.written.Add(1)

	return nil
}

// appendPart appends a part until the log confirms it. A second copy has no effect.
func (s *Store) appendPart(ctx context.Context, c *cell, b []byte) error {
	for d := retryDelay; ; d = min(2*d, readWait) { //nolint:mnd // doubles
		_, err := s.log.Append(ctx, c.snapshot, b)
		if err == nil || errors.Is(err, stream.ErrTooLarge) {
			return err
		}

		if ctx.Err() != nil {
			return ctx.Err()
		}

		sleep(ctx, d)
	}
}

// Snapshots returns the number of snapshots that this store has written.
func (s *Store) Snapshots() int64 { return s.written.Load() }

// Stalled returns the followed partitions that wait for a snapshot, because retention dropped records that were not
// replayed here.
func (s *Store) Stalled() []int {
	var l []int

	for i, c := range s.cells {
		if c.isOpen() && c.isStalled() {
			l = append(l, i)
		}
	}

	return l
}

// snapshotEntries is the number of entries that a reader without state replays at most behind a snapshot.
const snapshotEntries = 50_000

// WithSnapshots returns options for a log that keeps records for a retention time. Without it no snapshots are
// written or read.
func (o Options) WithSnapshots(c PartCodec, retention time.Duration) Options {
	o.parts, o.policy = c, snapshot.NewPolicy(retention, snapshotEntries)

	return o
}

// WithWrites returns options in which f says for which partitions this daemon writes snapshots; by default for all
// that it follows.
func (o Options) WithWrites(f func(partition int) bool) Options {
	o.writes = f

	return o
}
