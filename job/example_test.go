package job_test

import (
	"fmt"
	"time"

	"github.com/agategap/agategap/job"
)

// A writer grants the shards of a job to a holder, which runs the items and reports.
func Example() {
	now := time.Unix(1000, 0)
	j := job.New(job.Open{Job: "night", Account: "lintas", Items: 3, ShardItems: 2, MaxAttempts: 2, Idempotent: true})
	j.Carry(job.Items{Job: "night", Items: make([]job.Item, 3)})
	j.Submit(now)

	var g job.Grantor

	var h job.Holder

	d := job.NewDemand("kv-cheras", "vm1/1", 10, nil, nil)

	for i, o := range g.Choose(now, g.Offers(now, j.Candidates(8), d, time.Second), d) {
		j.Grant(job.Lease{Job: "night", Shard: o.Ref().Shard, Holder: "vm1/1", DurationMS: 10_000}, int64(i+1))

		s := j.Leased(o.Ref().Shard)
		s.Items, _ = j.ItemsFrom(s.Shard, 0, 1<<20)
		h.Take(now, s)
	}

	for {
		t, ok := h.Next(now)
		if !ok {
			break
		}

		h.End(now, t, job.Succeeded, job.Result{Status: 200})
	}

	for _, r := range h.Due(now) {
		j.Progress(job.Progress{Job: r.Job, Shard: r.Shard, Lease: r.Lease, Results: r.Results}, now)
		h.Answered(r, j.Renewal(r.Shard, r.Lease))
	}

	fmt.Println(j.State(), j.Count(job.Done), len(h.Held()))
	// Output: finished 3 0
}
