package store

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/agategap/agategap/snapshot"
	"github.com/agategap/agategap/stream"
)

// PartCodec encodes the parts of a snapshot.
type PartCodec interface {
	EncodePart(part snapshot.Part) ([]byte, error)
	DecodePart(b []byte) (snapshot.Part, error)
}

// maxPartBytes is the maximum estimated size of one part before compression.
const maxPartBytes = 4 << 20

// restoreSnapshot restores the replica from the newest complete snapshot if that is ahead of the replica, and delivers
// the results of the submissions that end with it.
func (s *Store) restoreSnapshot(ctx context.Context, p *partition) error {
	if s.options.partCodec == nil {
		return nil
	}

	r := snapshot.NewReader()
	if _, err := s.readSnapshots(ctx, p, r, 1); err != nil {
		return err
	}

	n := r.Newest()
	if n.Offset() <= p.replica.Offset() {
		return nil
	}

	if _, err := p.replica.Restore(n.Sections()); err != nil {
		return err
	}

	p.mu.Lock()
	defer p.mu.Unlock()

	p.deliverResults(p.queue.HandleRestored(n.Offset(), p.replica.LastGroupNumber(s.options.writer)))
	p.notifyChange()

	return nil
}

// readSnapshots adds the parts in the snapshot stream from an offset on to r, and returns the offset after the last
// one. It continues with the oldest part that the log retains, and skips parts that cannot be decoded.
func (s *Store) readSnapshots(ctx context.Context, p *partition, r *snapshot.Reader, from int64) (int64, error) {
	for {
		page, err := s.log.Read(ctx, p.snapshotStream, from, 0)
		if errors.Is(err, stream.ErrTruncated) && page.OldestOffset() > from {
			from = page.OldestOffset()

			continue
		}

		if err != nil {
			return from, err
		}

		for _, e := range page.Entries() {
			from = e.Offset() + 1

			if part, err := s.options.partCodec.DecodePart(e.Data()); err == nil {
				r.Add(e.AppendedAt(), part)
			}
		}

		if from >= page.NextOffset() || len(page.Entries()) == 0 {
			return from, nil
		}
	}
}

// snapshotLoop writes a snapshot whenever one is due, until ctx ends. It writes none while this daemon is not the
// snapshot writer of the partition or the partition is stalled.
func (s *Store) snapshotLoop(ctx context.Context, p *partition) {
	var r snapshot.Reader

	from := int64(1)

	for ctx.Err() == nil {
		sleep(ctx, s.options.snapshotPolicy.CheckInterval())

		if !s.options.isSnapshotWriter(p.index) || p.isStalled() {
			continue
		}

		n, err := s.readSnapshots(ctx, p, &r, from)
		if from = n; err != nil {
			continue
		}

		if s.isSnapshotDue(p, r.Newest()) {
			_ = s.writeSnapshot(ctx, p) // retried at the next interval
		}
	}
}

func (s *Store) isSnapshotDue(p *partition, newest snapshot.Snapshot) bool {
	now := s.options.clock()
	if at := p.replica.LogTime(); at.After(now) {
		now = at
	}

	p.mu.Lock()
	oldest := p.firstEntryAt
	p.mu.Unlock()

	return s.options.snapshotPolicy.IsDue(now, oldest, p.replica.Offset(), newest)
}

// writeSnapshot appends the parts of the partition's state and the closing record, each after the previous one is
// confirmed. Writing may stop at any part, as readers ignore an incomplete snapshot.
func (s *Store) writeSnapshot(ctx context.Context, p *partition) error {
	v, err := p.replica.Snapshot()
	if err != nil {
		return err
	}

	p.mu.Lock()
	p.snapshotCount++
	id := fmt.Sprintf("%s/%d", s.options.writer, p.snapshotCount)
	p.mu.Unlock()

	for _, part := range snapshot.Split(id, v[0].Head.Offset, v, maxPartBytes) {
		b, err := s.options.partCodec.EncodePart(part)
		if err != nil {
			return err
		}

		if err := s.appendPart(ctx, p, b); err != nil {
			return err
		}
	}

	s.snapshotCount.Add(1)

	return nil
}

// appendPart appends a part and retries until the log confirms it, ctx ends or the part is too large. Duplicates have
// no effect.
func (s *Store) appendPart(ctx context.Context, p *partition, b []byte) error {
	for d := retryDelay; ; d = min(2*d, readWaitTimeout) { //nolint:mnd // doubles
		_, err := s.log.Append(ctx, p.snapshotStream, b)
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

// StalledPartitions returns the indexes of the followed partitions that wait for a snapshot, as the log has removed
// entries that were not replayed here.
func (s *Store) StalledPartitions() []int {
	var l []int

	for i, p := range s.partitions {
		if p.isOpen() && p.isStalled() {
			l = append(l, i)
		}
	}

	return l
}

// maxEntriesAfterSnapshot is the approximate maximum of entries after a snapshot that a reader without state has to
// replay.
const maxEntriesAfterSnapshot = 50_000

// WithSnapshots returns options with snapshots, encoded by c, for a log that keeps entries for a retention time. By
// default no snapshots are written or read.
func (o Options) WithSnapshots(c PartCodec, retention time.Duration) Options {
	o.partCodec, o.snapshotPolicy = c, snapshot.NewPolicy(retention, maxEntriesAfterSnapshot)

	return o
}

// WithSnapshotWriter returns options in which f reports whether this daemon writes the snapshots of a partition. By
// default it does for all partitions that it follows.
func (o Options) WithSnapshotWriter(f func(partition int) bool) Options {
	o.isSnapshotWriter = f

	return o
}
