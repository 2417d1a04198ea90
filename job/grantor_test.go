package job_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/agategap/agategap/job"
)

// newJobWithOneItemShards returns a job with shards of one item each.
func newJobWithOneItemShards(id string, items, priority int, deadline time.Time) *job.Job {
	j := job.New(job.OpenRecord{
		Job: id, Account: "a", Items: items, ShardItems: 1, MaxAttempts: 3, Idempotent: true,
		Priority: priority, DeadlineMS: deadline.UnixMilli(),
	})
	j.ApplyItems(job.ItemsRecord{Items: make([]job.Item, items)})
	j.Accept(deadline)

	return j
}

// Guards against a lease that is replaced while its holder still counts on it, and against one that is never replaced.
func TestLeaseIsReplacedOnlyAfterDurationAndMaxPause(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1000, 0)
		now, renewed := start, start
		j := newJobWithOneItemShards("j", 1, 0, start)
		j.ApplyLease(job.LeaseRecord{Job: "j", Holder: "one", DurationMS: leaseDuration.Milliseconds()}, 7)

		var g job.Grantor

		other := job.NewShardRequest("d", "two", 1, nil, nil)
		offers := func() int { return len(g.Offers(now, j.Candidates(8), other, maxPause)) }

		if offers() != 0 {
			t.Fatal("a lease that was just seen was offered")
		}

		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
			free := now.Sub(renewed) > leaseDuration+maxPause

			if n := offers(); (n == 1) != free {
				t.Fatalf("%d offers %s after the last renewal", n, now.Sub(renewed))
			}

			if rapid.Bool().Draw(t, "renew") {
				v, _ := j.Lease(0)
				g.RecordRenewal(now, job.ShardRef{Job: "j"}, v)

				renewed = now
			}
		}
	})
}

// Guards against urgent jobs that wait behind others, and against a failure domain that takes all shards of a job while
// others ask as well.
func TestShardsAreGrantedInOrderAndInShares(t *testing.T) {
	Convey("Given jobs of different priority and deadline", t, func() {
		now := time.Unix(1000, 0)
		late, soon, high := newJobWithOneItemShards("late", 1, 0, now.Add(time.Hour)), newJobWithOneItemShards("soon", 1, 0, now.Add(time.Minute)), newJobWithOneItemShards("high", 1, 1, now.Add(time.Hour))

		var g job.Grantor

		d := job.NewShardRequest("a", "vm1/1", 8, nil, nil)

		var c []job.Candidate
		for _, j := range []*job.Job{late, soon, high} {
			c = append(c, j.Candidates(8)...)
		}

		Convey("the higher priority comes first, then the earlier deadline", func() {
			var ids []string
			for _, o := range g.Choose(now, g.Offers(now, c, d, maxPause), d) {
				ids = append(ids, o.Ref().Job)
			}

			So(ids, ShouldResemble, []string{"high", "soon", "late"})
		})
		Convey("a stopped job is not offered to the daemon that stopped it", func() {
			So(g.Offers(now, high.Candidates(8), job.NewShardRequest("a", "vm1/1", 8, nil, []string{"high"}), maxPause), ShouldBeEmpty)
		})
		Convey("a released lease is offered at once", func() {
			high.ApplyLease(job.LeaseRecord{Job: "high", Holder: "vm2/1", DurationMS: leaseDuration.Milliseconds()}, 3)
			So(g.Offers(now, high.Candidates(8), d, maxPause), ShouldBeEmpty)

			high.ApplyProgress(job.ProgressRecord{Job: "high", Lease: 3, Release: true}, now)
			So(g.Offers(now, high.Candidates(8), d, maxPause), ShouldHaveLength, 1)
		})
	})

	Convey("Given a job of 12 shards and two failure domains that ask for the same capacity", t, func() {
		now := time.Unix(1000, 0)
		j := newJobWithOneItemShards("j", 12, 0, now)
		a, b := job.NewShardRequest("a", "vm1/1", 20, nil, nil), job.NewShardRequest("b", "vm2/1", 20, nil, nil)

		var g job.Grantor

		g.Choose(now, nil, a)

		So(g.Choose(now, g.Offers(now, j.Candidates(64), b, maxPause), b), ShouldHaveLength, 6)
		Convey("the first gets its share of the rest, and all of it once the other asks no more", func() {
			So(g.Choose(now, g.Offers(now, j.Candidates(64), a, maxPause), a), ShouldHaveLength, 3)

			now = now.Add(13 * time.Second)
			So(g.Choose(now, g.Offers(now, j.Candidates(64), a, maxPause), a), ShouldHaveLength, 12)
		})
	})
}

// Guards against a report that is delivered twice and undoes the start of an item that was sent in between, which would
// let another holder send it again.
func TestDuplicateReleaseHasNoEffect(t *testing.T) {
	Convey("Given a started item of a shard that was given back without sending it", t, func() {
		j := job.New(job.OpenRecord{Job: "j", Account: "a", Items: 1, ShardItems: 1})
		j.ApplyItems(job.ItemsRecord{Items: make([]job.Item, 1)})
		j.Accept(time.Unix(1000, 0))

		items, err := job.EncodeIndexes([]int{0})
		So(err, ShouldBeNil)

		back := job.ProgressRecord{Lease: 1, Release: true, Unsent: []uint32{0}}

		j.ApplyLease(job.LeaseRecord{Holder: "vm1/1"}, 1)
		So(j.ApplyStart(job.StartRecord{Lease: 1, Items: items}), ShouldBeTrue)
		j.ApplyProgress(back, time.Unix(1000, 0))
		So(j.IsStarted(0), ShouldBeFalse)

		Convey("it cannot be started under the same lease", func() {
			So(j.ApplyStart(job.StartRecord{Lease: 1, Items: items}), ShouldBeFalse)
		})
		Convey("its start under a new lease stays", func() {
			So(j.ApplyLease(job.LeaseRecord{Holder: "vm1/1", Replaces: 1}, 2), ShouldBeTrue)
			So(j.ApplyStart(job.StartRecord{Lease: 2, Items: items}), ShouldBeTrue)
			j.ApplyProgress(back, time.Unix(1000, 0))
			So(j.IsStarted(0), ShouldBeTrue)
		})
	})
}
