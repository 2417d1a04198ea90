package job_test

import (
	"fmt"
	"time"

	"github.com/agategap/agategap/job"
)

// A writer grants the shards of a job to a holder, which runs the items and reports.
func Example() {
	now := time.Unix(1000, 0)
	j := job.New(job.OpenRecord{Job: "night", Account: "lintas", Items: 3, ShardItems: 2, MaxAttempts: 2, Idempotent: true})
	j.ApplyItems(job.ItemsRecord{Job: "night", Items: make([]job.Item, 3)})
	j.Accept(now)

	var g job.Grantor

	var h job.Holder

	d := job.NewShardRequest("kv-cheras", "vm1/1", 10, nil, nil)

	for i, o := range g.Choose(now, g.Offers(now, j.Candidates(8), d, time.Second), d) {
		j.ApplyLease(job.LeaseRecord{Job: "night", Shard: o.Ref().Shard, Holder: "vm1/1", DurationMS: 10_000}, int64(i+1))

		s := j.LeasedShard(o.Ref().Shard)
		s.Items, _ = j.PendingPage(s.Shard, 0, 1<<20)
		h.Acquire(now, s)
	}

	for {
		t, ok := h.Next(now)
		if !ok {
			break
		}

		h.EndTask(now, t, job.Succeeded, job.Result{Status: 200})
	}

	for _, r := range h.DueReports(now) {
		j.ApplyProgress(job.ProgressRecord{Job: r.Job, Shard: r.Shard, Lease: r.Lease, Results: r.Results}, now)
		h.HandleReply(r, j.Renewal(r.Shard, r.Lease))
	}

	fmt.Println(j.State(), j.Count(job.Done), len(h.HeldShards()))
	// Output: finished 3 0
}
