package job

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/RoaringBitmap/roaring/v2"
)

// Snapshot returns the state of the job without its items and results.
func (j *Job) Snapshot() (Snapshot, error) {
	m := Snapshot{Open: j.open, State: j.state, OpenedMS: toUnixMilli(j.openedAt), EndedMS: toUnixMilli(j.endedAt)}

	for _, b := range []struct {
		from *roaring.Bitmap
		to   *[]byte
	}{{j.stored, &m.Carried}, {j.started, &m.Started}, {j.ended, &m.Ended}} {
		v, err := b.from.ToBytes()
		if err != nil {
			return Snapshot{}, fmt.Errorf("job %s: %w", j.ID(), err)
		}

		*b.to = v
	}

	m.Tries = maps.Clone(j.attempts)

	for _, g := range j.leases {
		m.Leases = append(m.Leases, LeaseSnapshot{Lease: g.record, Offset: g.offset, Renewals: g.renewals, Released: g.released})
	}

	slices.SortFunc(m.Leases, func(a, b LeaseSnapshot) int { return cmp.Compare(a.Lease.Shard, b.Lease.Shard) })

	return m, nil
}

// Items returns a copy of the items. Those that ended have no body.
func (j *Job) Items() []Item { return slices.Clone(j.items) }

// Results returns the results of ended items, ordered by index.
func (j *Job) Results() []Result {
	l := make([]Result, 0, len(j.results))
	for _, v := range j.results {
		l = append(l, v)
	}

	slices.SortFunc(l, func(a, b Result) int { return cmp.Compare(a.Index, b.Index) })

	return l
}

// Restore returns the job with the state in m. RestoreItems and RestoreResults add its items and results. The error
// means that m has an unknown state or an invalid bitmap.
func Restore(m Snapshot) (*Job, error) {
	j := NewAt(m.Open, fromUnixMilli(m.OpenedMS))
	j.state, j.endedAt = m.State, fromUnixMilli(m.EndedMS)

	if m.State > Cancelled {
		return nil, fmt.Errorf("job %s: unknown state %d", m.Open.Job, m.State)
	}

	for _, b := range []struct {
		to   *roaring.Bitmap
		from []byte
	}{{j.stored, m.Carried}, {j.started, m.Started}, {j.ended, m.Ended}} {
		if err := b.to.UnmarshalBinary(b.from); err != nil {
			return nil, fmt.Errorf("job %s: %w", m.Open.Job, err)
		}
	}

	for i, n := range m.Tries {
		j.attempts[i] = n
	}

	for shard := range j.pendingCounts {
		j.pendingCounts[shard] = len(j.PendingItems(shard))
	}

	for _, l := range m.Leases {
		j.leases[l.Lease.Shard] = Lease{record: l.Lease, offset: l.Offset, renewals: l.Renewals, released: l.Released}
	}

	return j, nil
}

// RestoreItems stores items of a snapshot, the first of them at index first. It has no effect if they exceed the items
// of the job.
func (j *Job) RestoreItems(first int, items []Item) {
	if first >= 0 && first <= len(j.items)-len(items) {
		copy(j.items[first:], items)
	}
}

// RestoreResults stores results of a snapshot. It ignores results with an invalid effect and a second result of an
// item.
func (j *Job) RestoreResults(l []Result) {
	for _, v := range l {
		if _, ok := j.results[v.Index]; !ok && v.Effect >= Done && v.Effect <= Unknown {
			j.results[v.Index] = v
			j.counts[v.Effect]++
		}
	}
}

func toUnixMilli(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}

	return t.UnixMilli()
}

func fromUnixMilli(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}

	return time.UnixMilli(ms)
}
