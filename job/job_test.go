package job_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agategap/agategap/job"
)

// newAcceptedJob returns an accepted job of 4 items in shards of 2.
func newAcceptedJob() *job.Job {
	j := job.New(job.OpenRecord{Job: "j", Account: "a", Digest: "d", Items: 4, ShardItems: 2, RetainMS: 1000})
	j.ApplyItems(job.ItemsRecord{Job: "j", Digest: "d", Items: []job.Item{{CustomID: "0"}, {CustomID: "1"}, {CustomID: "2"}, {CustomID: "3"}}})
	j.ApplySubmit(job.SubmitRecord{Job: "j", Digest: "d"}, time.UnixMilli(0))

	return j
}

// Guards against two submissions under one key whose items mix.
func TestItemsOfAnotherSubmissionAreIgnored(t *testing.T) {
	Convey("Given a job that is being submitted", t, func() {
		j := job.New(job.OpenRecord{Job: "j", Digest: "d", Items: 1})
		j.ApplyItems(job.ItemsRecord{Digest: "other", Items: []job.Item{{CustomID: "x"}}})
		So(j.HasAllItems(), ShouldBeFalse)

		j.ApplyItems(job.ItemsRecord{Digest: "d", Items: []job.Item{{CustomID: "y"}}})
		So(j.ApplySubmit(job.SubmitRecord{Digest: "other"}, time.UnixMilli(0)), ShouldBeFalse)
		So(j.ApplySubmit(job.SubmitRecord{Digest: "d"}, time.UnixMilli(0)), ShouldBeTrue)
		So(j.Item(0).CustomID, ShouldEqual, "y")
	})
}

// Guards against a start record that marks items of other shards, which would then never run.
func TestStartMarksOnlyItemsOfItsShard(t *testing.T) {
	Convey("Given a job with a lease on its first shard", t, func() {
		j := newAcceptedJob()
		j.ApplyLease(job.LeaseRecord{Shard: 0}, 5)

		b, err := job.EncodeIndexes([]int{0, 3})
		So(err, ShouldBeNil)
		So(j.ApplyStart(job.StartRecord{Shard: 0, Lease: 5, Items: b}), ShouldBeTrue)
		So(j.IsStarted(0), ShouldBeTrue)
		So(j.IsStarted(3), ShouldBeFalse)

		Convey("a report without results renews the lease", func() {
			So(j.ApplyProgress(job.ProgressRecord{Shard: 0, Lease: 5}, time.UnixMilli(1)), ShouldEqual, 0)

			g, _ := j.Lease(0)
			So(g.Renewals(), ShouldEqual, 1)
		})
		Convey("a replaced lease is not held", func() {
			So(j.ApplyLease(job.LeaseRecord{Shard: 0, Replaces: 5}, 8), ShouldBeTrue)
			So(j.HasLease(0, 5), ShouldBeFalse)
			So(j.HasLease(0, 8), ShouldBeTrue)
			So(j.ApplyLease(job.LeaseRecord{Shard: 0, Replaces: 5}, 9), ShouldBeFalse)
		})
	})
}

func ExampleJob() {
	j := newAcceptedJob()

	// The lease at offset 7 replaces the one at offset 5, so the report of its paused holder has no effect.
	fmt.Println(j.ApplyLease(job.LeaseRecord{Shard: 1, Holder: "vm-1"}, 5), j.ApplyLease(job.LeaseRecord{Shard: 1, Holder: "vm-2", Replaces: 5}, 7))
	fmt.Println(j.ApplyProgress(job.ProgressRecord{Shard: 1, Lease: 5, Results: []job.Result{{Index: 2, Effect: job.Done}}}, time.UnixMilli(1)))
	fmt.Println(j.ApplyProgress(job.ProgressRecord{Shard: 1, Lease: 7, Results: []job.Result{{Index: 2, Effect: job.Done}}}, time.UnixMilli(2)))

	// A cancel fences everything after it.
	j.ApplyCancel(job.CancelRecord{Account: "a"}, time.UnixMilli(3))
	fmt.Println(j.ApplyProgress(job.ProgressRecord{Shard: 1, Lease: 7, Results: []job.Result{{Index: 3, Effect: job.Done}}}, time.UnixMilli(4)))
	fmt.Println(j.State(), j.Count(job.Done), j.PendingCount())
	// Output:
	// true true
	// 0
	// 1
	// 0
	// cancelled 1 3
}
