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

// maxPartBytes is the estimated size of one part before compression.
const maxPartBytes = 4 << 20

// restoreSnapshot continues the partition from the newest complete snapshot that is ahead of it.
func (s *Store) restoreSnapshot(ctx context.Context, c *partition) error {
	if s.options.partCodec == nil {
		return nil
	}

	r := snapshot.NewReader()
	if _, err := s.readSnapshots(ctx, c, r, 1); err != nil {
		return err
	}

	n := r.Newest()
	if n.Offset() <= c.replica.Offset() {
		return nil
	}

	if _, err := c.replica.Restore(n.Sections()); err != nil {
		return err
	}

	c.mu.Lock()
	defer c.mu.Unlock()

	c.deliverResults(c.queue.HandleRestored(n.Offset(), c.replica.LastGroupNumber(s.options.writer)))
	c.notifyChange()

	return nil
}

// readSnapshots gives r the parts of the snapshot stream from an offset on, and returns the offset after the last.
func (s *Store) readSnapshots(ctx context.Context, c *partition, r *snapshot.Reader, from int64) (int64, error) {
	for {
		g, err := s.log.Read(ctx, c.snapshotStream, from, 0)
		if errors.Is(err, stream.ErrTruncated) && g.OldestOffset() > from {
			from = g.OldestOffset()

			continue
		}

		if err != nil {
			return from, err
		}

		for _, e := range g.Entries() {
			from = e.Offset() + 1

			if p, err := s.options.partCodec.DecodePart(e.Data()); err == nil {
				r.Add(e.AppendedAt(), p)
			}
		}

		if from >= g.NextOffset() || len(g.Entries()) == 0 {
			return from, nil
		}
	}
}

// snapshotLoop writes a snapshot whenever one is due and this daemon writes for the partition, until ctx ends.
func (s *Store) snapshotLoop(ctx context.Context, c *partition) {
	var r snapshot.Reader

	from := int64(1)

	for ctx.Err() == nil {
		sleep(ctx, s.options.snapshotPolicy.CheckInterval())

		if !s.options.isSnapshotWriter(c.index) || c.isStalled() {
			continue
		}

		n, err := s.readSnapshots(ctx, c, &r, from)
		if from = n; err != nil {
			continue
		}

		if s.isSnapshotDue(c, r.Newest()) {
			_ = s.writeSnapshot(ctx, c) // tried again at the next interval
		}
	}
}

func (s *Store) isSnapshotDue(c *partition, newest snapshot.Snapshot) bool {
	now := s.options.clock()
	if at := c.replica.LogTime(); at.After(now) {
		now = at
	}

	c.mu.Lock()
	oldest := c.firstEntryAt
	c.mu.Unlock()

	return s.options.snapshotPolicy.IsDue(now, oldest, c.replica.Offset(), newest)
}

// writeSnapshot appends the parts of the partition's state and the closing record, each after the one before it is
// confirmed. Readers ignore what a writer leaves behind that stops half way.
func (s *Store) writeSnapshot(ctx context.Context, c *partition) error {
	v, err := c.replica.Snapshot()
	if err != nil {
		return err
	}

	c.mu.Lock()
	c.snapshotCount++
	id := fmt.Sprintf("%s/%d", s.options.writer, c.snapshotCount)
	c.mu.Unlock()

	for _, p := range snapshot.Split(id, v[0].Head.Offset, v, maxPartBytes) {
		b, err := s.options.partCodec.EncodePart(p)
		if err != nil {
			return err
		}

		if err := s.appendPart(ctx, c, b); err != nil {
			return err
		}
	}

	s.snapshotCount.Add(1)

	return nil
}

// appendPart appends a part until the log confirms it. A second copy has no effect.
func (s *Store) appendPart(ctx context.Context, c *partition, b []byte) error {
	for d := retryDelay; ; d = min(2*d, readWaitTimeout) { //nolint:mnd // doubles
		_, err := s.log.Append(ctx, c.snapshotStream, b)
		if err == nil || errors.Is(err, stream.ErrTooLarge) {
			return err
		}

		if ctx.Err() != nil {
			return ctx.Err()
		}

		sleep(ctx, d)
	}
}

// SnapshotCount returns the number of snapshots that this store has written.
func (s *Store) SnapshotCount() int64 { return s.snapshotCount.Load() }

// StalledPartitions returns the followed partitions that wait for a snapshot, because retention dropped records that were not
// replayed here.
func (s *Store) StalledPartitions() []int {
	var l []int

	for i, c := range s.partitions {
		if c.isOpen() && c.isStalled() {
			l = append(l, i)
		}
	}

	return l
}

// maxEntriesAfterSnapshot is the number of entries that a reader without state replays at most behind a snapshot.
const maxEntriesAfterSnapshot = 50_000

// WithSnapshots returns options for a log that keeps records for a retention time. Without it no snapshots are
// written or read.
func (o Options) WithSnapshots(c PartCodec, retention time.Duration) Options {
	o.partCodec, o.snapshotPolicy = c, snapshot.NewPolicy(retention, maxEntriesAfterSnapshot)

	return o
}

// WithSnapshotWriter returns options in which f says for which partitions this daemon writes snapshots; by default for all
// that it follows.
func (o Options) WithSnapshotWriter(f func(partition int) bool) Options {
	o.isSnapshotWriter = f

	return o
}
