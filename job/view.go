package job

// Status returns the state of the job and the numbers of its items.
func (j *Job) Status() Status {
	return Status{
		ID: j.ID(), Account: j.Account(), Digest: j.Digest(), State: j.state, Service: j.Service(), Priority: j.Priority(),
		DeadlineMS: j.open.DeadlineMS, Items: j.ItemCount(), Done: j.Count(Done), Failed: j.Count(Failed),
		Unknown: j.Count(Unknown), Pending: j.PendingCount(),
	}
}

// ResultPage returns the results of ended items from an index on, and the index at which the next page begins. A page
// ends once its size reaches maxBytes. After the last page the index is the number of items.
func (j *Job) ResultPage(from, maxBytes int) ([]ItemResult, int) {
	var l []ItemResult

	size := 0

	for i := max(0, from); i < j.ItemCount(); i++ {
		if size >= maxBytes {
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

// entryOverheadBytes is an estimate of the encoded size of a result or an item without its texts and body.
const entryOverheadBytes = 32

// Renewal returns the reply to a holder of a shard; lease is the offset of its lease record.
func (j *Job) Renewal(shard int, lease int64) Renewal {
	return Renewal{
		Holds: j.hasLease(shard, lease), Cancelled: j.state == Cancelled, Priority: j.open.Priority, DeadlineMS: j.open.DeadlineMS,
	}
}

// LeasedShard returns a shard for the holder of its latest lease, without its items.
func (j *Job) LeasedShard(shard int) LeasedShard {
	g := j.leases[shard]

	return LeasedShard{
		Job: j.ID(), Shard: shard, Lease: g.offset, DurationMS: g.record.DurationMS, Account: j.Account(), Service: j.Service(),
		Path: j.Path(), Idempotent: j.Idempotent(), MaxAttempts: j.MaxAttempts(), Priority: j.open.Priority,
		DeadlineMS: j.open.DeadlineMS,
	}
}

// PendingPage returns pending items of a shard from an index on, and the index at which the next page begins; 0 after
// the last page. A page ends once its size reaches maxBytes.
func (j *Job) PendingPage(shard, from, maxBytes int) ([]ShardItem, int) {
	var l []ShardItem

	size := 0
	first, end := j.ShardBounds(shard)

	for i := max(first, from); i < end; i++ {
		if j.ended.ContainsInt(i) {
			continue
		}

		if size >= maxBytes {
			return l, i
		}

		l = append(l, ShardItem{
			Index: uint32(i), Body: j.items[i].Body, Attempts: j.Attempts(i), Started: j.IsStarted(i) && !j.Idempotent(), //nolint:gosec // an item index
		})
		size += len(j.items[i].Body) + entryOverheadBytes
	}

	return l, 0
}
