package job_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agategap/agategap/job"
)

func newLeasedShard(id string, items, attempts, priority int, idempotent bool) job.LeasedShard {
	s := job.LeasedShard{Job: id, Lease: 1, DurationMS: leaseDuration.Milliseconds(), Idempotent: idempotent, MaxAttempts: attempts, Priority: priority}
	for i := range items {
		s.Items = append(s.Items, job.ShardItem{Index: uint32(i)})
	}

	return s
}

// Guards against a failing or slow item that delays the others, and against one that is attempted without end.
func TestHolderRunsOtherItemsWhileOneFails(t *testing.T) {
	Convey("Given a shard of three items", t, func() {
		now := time.Unix(1000, 0)

		var h job.Holder

		So(h.Acquire(now, newLeasedShard("j", 3, 2, 0, true)), ShouldBeTrue)

		first, _ := h.Next(now)

		Convey("the other items end and are reported while one never ends", func() {
			for range 2 {
				k, ok := h.Next(now)
				So(ok, ShouldBeTrue)
				h.EndTask(now, k, job.Succeeded, job.Result{})
			}

			r := h.DueReports(now.Add(job.MaxReportDelay))
			So(r, ShouldHaveLength, 1)
			So(r[0].Results, ShouldHaveLength, 2)
			So(h.HandleReply(r[0], job.Renewal{Holds: true}), ShouldBeFalse)

			Convey("and the lease is renewed while no item ends", func() {
				l := h.DueReports(now.Add(job.MaxReportDelay + job.RenewInterval))
				So(l, ShouldHaveLength, 1)
				So(l[0].Results, ShouldBeEmpty)
			})
		})
		Convey("an item whose target fails is queued after the others, and ends as failed after its attempts", func() {
			h.EndTask(now, first, job.TargetFailed, job.Result{Reason: "broken"})

			next, _ := h.Next(now)
			So(next.Index(), ShouldNotEqual, first.Index())

			now = now.Add(time.Minute)
			_, _ = h.Next(now)
			again, ok := h.Next(now)
			So(ok, ShouldBeTrue)
			So(again.Index(), ShouldEqual, first.Index())
			h.EndTask(now, again, job.TargetFailed, job.Result{Reason: "broken"})

			r := h.DueReports(now.Add(job.MaxReportDelay))[0].Results
			So(r, ShouldHaveLength, 1)
			So(r[0].Effect, ShouldEqual, job.Failed)
			So(r[0].Attempts, ShouldEqual, 2)
			So(r[0].Reason, ShouldEqual, "broken")
		})
		Convey("an item that its target rejects ends at once", func() {
			h.EndTask(now, first, job.Rejected, job.Result{})
			So(h.DueReports(now.Add(job.MaxReportDelay))[0].Results[0].Effect, ShouldEqual, job.Failed)
		})
		Convey("an item for which no target had room uses up no attempt", func() {
			for range 5 {
				h.EndTask(now, first, job.NotRun, job.Result{})

				now = now.Add(time.Minute)

				for k, ok := h.Next(now); ok; k, ok = h.Next(now) {
					if k.Index() == first.Index() {
						first = k
					}
				}
			}

			So(h.PendingCount(), ShouldEqual, 3)
			So(h.DueReports(now)[0].Tries, ShouldBeEmpty)
			So(h.DueReports(now), ShouldBeEmpty)
		})
		Convey("a shard whose items find no target is released", func() {
			for h.EndTask(now, first, job.NotRun, job.Result{}); ; {
				now = now.Add(time.Second)

				r := h.DueReports(now)
				So(r, ShouldHaveLength, 1)

				if r[0].Release {
					So(now.Sub(time.Unix(1000, 0)), ShouldBeGreaterThanOrEqualTo, job.NoTargetTimeout)
					So(h.HandleReply(r[0], job.Renewal{Holds: true}), ShouldBeTrue)

					break
				}

				So(h.HandleReply(r[0], job.Renewal{Holds: true}), ShouldBeFalse)

				if k, ok := h.Next(now); ok {
					h.EndTask(now, k, job.NotRun, job.Result{})
				}
			}
		})
		Convey("attempts at pending items are reported, so that they count under a later lease", func() {
			h.EndTask(now, first, job.TargetFailed, job.Result{})
			So(h.DueReports(now.Add(job.RenewInterval))[0].Tries, ShouldResemble, []job.ItemAttempts{{Index: first.Index(), Attempts: 1}})
		})
	})
}

// Guards against a daemon that continues with a shard whose job was cancelled or stopped or whose lease was replaced,
// or while no reply can tell it so.
func TestHolderStopsShards(t *testing.T) {
	Convey("Given two shards", t, func() {
		now := time.Unix(1000, 0)

		var h job.Holder

		h.Acquire(now, newLeasedShard("low", 2, 2, 0, true))
		h.Acquire(now, newLeasedShard("high", 2, 2, 1, false))

		k, _ := h.Next(now)
		So(k.Ref().Job, ShouldEqual, "high")

		Convey("the shard of a cancelled job is removed, and a task that ends later has no effect", func() {
			r := h.DueReports(now.Add(job.RenewInterval))
			So(h.HandleReply(r[0], job.Renewal{Cancelled: true}), ShouldBeTrue)
			h.EndTask(now, k, job.Succeeded, job.Result{})
			So(h.HeldShards(), ShouldResemble, []job.ShardRef{{Job: "low"}})
		})
		Convey("a shard that is not renewed is removed after the timeout and not earlier", func() {
			So(h.CutOff(now.Add(time.Minute), time.Minute), ShouldBeEmpty)
			So(h.CutOff(now.Add(time.Minute+1), time.Minute), ShouldHaveLength, 2)
		})
		Convey("shards of a stopped job are not acquired again", func() {
			So(h.StopJob("low"), ShouldHaveLength, 1)
			So(h.Acquire(now, newLeasedShard("low", 2, 2, 0, true)), ShouldBeFalse)
		})
		Convey("items that may not run twice are not sent if the lease may end before the send", func() {
			So(h.CanStart(now.Add(leaseDuration-2*time.Second), k.Ref(), time.Second), ShouldBeTrue)
			So(h.CanStart(now.Add(leaseDuration-time.Second), k.Ref(), time.Second), ShouldBeFalse)
		})
		Convey("an amended priority changes the order of the items", func() {
			for _, r := range h.DueReports(now.Add(job.RenewInterval)) {
				h.HandleReply(r, job.Renewal{Holds: true, Priority: len(r.Job)}) // "high" gets 4, "low" 3
			}

			k, _ := h.Next(now)
			So(k.Ref().Job, ShouldEqual, "high")
		})
		Convey("a started item that was not sent is released as unsent, and one in flight is not", func() {
			h.EndTask(now, k, job.NotRun, job.Result{})
			_, _ = h.Next(now)

			for _, r := range h.ReleaseAll(now) {
				if r.Job == "high" {
					So(r.Unsent, ShouldResemble, []uint32{k.Index()})
				}
			}
		})
		Convey("all results are reported when the leases are released", func() {
			h.EndTask(now, k, job.Uncertain, job.Result{})

			l := h.ReleaseAll(now)
			So(l, ShouldHaveLength, 2)
			So(len(l[0].Results)+len(l[1].Results), ShouldEqual, 1)
			So(h.HeldShards(), ShouldBeEmpty)
		})
	})
}
