package job

// Status returns the state of the job as a whole.
func (j *Job) Status() Status {
	return Status{
		ID: j.ID(), Account: j.Account(), Digest: j.Digest(), State: j.state, Service: j.Service(), Priority: j.Priority(),
		DeadlineMS: j.open.DeadlineMS, Items: j.ItemCount(), Done: j.Count(Done), Failed: j.Count(Failed),
		Unknown: j.Count(Unknown), Pending: j.PendingCount(),
	}
}

// ResultPage returns the results of items from an index on, up to about a number of bytes, and the index to go on at. After
// the last page that is the number of items.
func (j *Job) ResultPage(from, bytes int) ([]ItemResult, int) {
	var l []ItemResult

	size := 0

	for i := max(0, from); i < j.ItemCount(); i++ {
		if size >= bytes {
			return l, i
		}

		r, ok := j.Result(i)
		if !ok {
			continue
		}

		c := j.Item(i).CustomID
		l = append(l, ItemResult{CustomID: c, Result: r})
		size += len(c) + len(r.Body) + len(r.Reason) + entryOverheadBytes
	}

	return l, j.ItemCount()
}

// entryOverheadBytes is the size of a result without its body.
const entryOverheadBytes = 32

// Renewal returns the answer to a holder of a lease on shard s.
func (j *Job) Renewal(s int, lease int64) Renewal {
	return Renewal{
		Holds: j.hasLease(s, lease), Cancelled: j.state == Cancelled, Priority: j.open.Priority, DeadlineMS: j.open.DeadlineMS,
	}
}

// LeasedShard returns shard s for the holder of the lease in force, without its items.
func (j *Job) LeasedShard(s int) LeasedShard {
	g := j.leases[s]

	return LeasedShard{
		Job: j.ID(), Shard: s, Lease: g.offset, DurationMS: g.record.DurationMS, Account: j.Account(), Service: j.Service(),
		Path: j.Path(), Idempotent: j.Idempotent(), MaxAttempts: j.MaxAttempts(), Priority: j.open.Priority,
		DeadlineMS: j.open.DeadlineMS,
	}
}

// PendingPage returns pending items of shard s from an index on, up to about a number of bytes, and the index to go on
// at; 0 after the last one.
func (j *Job) PendingPage(s, from, bytes int) ([]ShardItem, int) {
	var l []ShardItem

	size := 0
	first, end := j.ShardBounds(s)

	for i := max(first, from); i < end; i++ {
		if j.ended.ContainsInt(i) {
			continue
		}

		if size >= bytes {
			return l, i
		}

		l = append(l, ShardItem{
			Index: uint32(i), Body: j.items[i].Body, Attempts: j.Attempts(i), Started: j.IsStarted(i) && !j.Idempotent(), //nolint:gosec // an item index
		})
		size += len(j.items[i].Body) + entryOverheadBytes
	}

	return l, 0
}
