package job_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/agategap/agategap/job"
)

// newJobWithOneItemShards returns an accepted job with shards of one item each.
func newJobWithOneItemShards(id string, items, priority int, deadline time.Time) *job.Job {
	j := job.New(job.OpenRecord{
		Job: id, Account: "a", Items: items, ShardItems: 1, MaxAttempts: 3, Idempotent: true,
		Priority: priority, DeadlineMS: deadline.UnixMilli(),
	})
	j.ApplyItems(job.ItemsRecord{Items: make([]job.Item, items)})
	j.Accept(deadline)

	return j
}

// Guards against a lease that is replaced while its holder may still run its items, and against one that is never
// replaced although it is not renewed.
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
			t.Fatal("a shard was offered when its lease was observed for the first time")
		}

		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
			replaceable := now.Sub(renewed) > leaseDuration+maxPause

			if n := offers(); (n == 1) != replaceable {
				t.Fatalf("got %d offers of the shard %s after the last renewal of its lease", n, now.Sub(renewed))
			}

			if rapid.Bool().Draw(t, "renew") {
				v, _ := j.Lease(0)
				g.RecordRenewal(now, job.ShardRef{Job: "j"}, v)

				renewed = now
			}
		}
	})
}

// Guards against urgent jobs that wait for less urgent ones, and against a failure domain that gets all shards of a job
// while another one requests shards as well.
func TestShardsAreGrantedInOrderAndInShares(t *testing.T) {
	Convey("Given jobs of different priority and deadline", t, func() {
		now := time.Unix(1000, 0)
		late, soon, high := newJobWithOneItemShards("late", 1, 0, now.Add(time.Hour)), newJobWithOneItemShards("soon", 1, 0, now.Add(time.Minute)), newJobWithOneItemShards("high", 1, 1, now.Add(time.Hour))

		var g job.Grantor

		q := job.NewShardRequest("a", "vm1/1", 8, nil, nil)

		var c []job.Candidate
		for _, j := range []*job.Job{late, soon, high} {
			c = append(c, j.Candidates(8)...)
		}

		Convey("the higher priority comes first, then the earlier deadline", func() {
			var ids []string
			for _, o := range g.Choose(now, g.Offers(now, c, q, maxPause), q) {
				ids = append(ids, o.Ref().Job)
			}

			So(ids, ShouldResemble, []string{"high", "soon", "late"})
		})
		Convey("the shards of a stopped job are not offered to the daemon that stopped it", func() {
			So(g.Offers(now, high.Candidates(8), job.NewShardRequest("a", "vm1/1", 8, nil, []string{"high"}), maxPause), ShouldBeEmpty)
		})
		Convey("a shard is offered at once after its lease was released", func() {
			high.ApplyLease(job.LeaseRecord{Job: "high", Holder: "vm2/1", DurationMS: leaseDuration.Milliseconds()}, 3)
			So(g.Offers(now, high.Candidates(8), q, maxPause), ShouldBeEmpty)

			high.ApplyProgress(job.ProgressRecord{Job: "high", Lease: 3, Release: true}, now)
			So(g.Offers(now, high.Candidates(8), q, maxPause), ShouldHaveLength, 1)
		})
	})

	Convey("Given a job of 12 shards and two failure domains that request the same capacity", t, func() {
		now := time.Unix(1000, 0)
		j := newJobWithOneItemShards("j", 12, 0, now)
		a, b := job.NewShardRequest("a", "vm1/1", 20, nil, nil), job.NewShardRequest("b", "vm2/1", 20, nil, nil)

		var g job.Grantor

		g.Choose(now, nil, a)

		So(g.Choose(now, g.Offers(now, j.Candidates(64), b, maxPause), b), ShouldHaveLength, 6)
		Convey("the first gets half of the other shards, and all shards once the second has stopped requesting", func() {
			So(g.Choose(now, g.Offers(now, j.Candidates(64), a, maxPause), a), ShouldHaveLength, 3)

			now = now.Add(13 * time.Second)
			So(g.Choose(now, g.Offers(now, j.Candidates(64), a, maxPause), a), ShouldHaveLength, 12)
		})
	})
}

// Guards against a duplicate of a report that releases a lease: it must not remove the start mark of an item that was
// sent in between, as another holder would then send the item again.
func TestDuplicateReleaseHasNoEffect(t *testing.T) {
	Convey("Given a shard that was released before its started item was sent", t, func() {
		j := job.New(job.OpenRecord{Job: "j", Account: "a", Items: 1, ShardItems: 1})
		j.ApplyItems(job.ItemsRecord{Items: make([]job.Item, 1)})
		j.Accept(time.Unix(1000, 0))

		items, err := job.EncodeIndexes([]int{0})
		So(err, ShouldBeNil)

		release := job.ProgressRecord{Lease: 1, Release: true, Unsent: []uint32{0}}

		j.ApplyLease(job.LeaseRecord{Holder: "vm1/1"}, 1)
		So(j.ApplyStart(job.StartRecord{Lease: 1, Items: items}), ShouldBeTrue)
		j.ApplyProgress(release, time.Unix(1000, 0))
		So(j.IsStarted(0), ShouldBeFalse)

		Convey("the item cannot be started under the same lease", func() {
			So(j.ApplyStart(job.StartRecord{Lease: 1, Items: items}), ShouldBeFalse)
		})
		Convey("a duplicate of the release does not undo its start under a new lease", func() {
			So(j.ApplyLease(job.LeaseRecord{Holder: "vm1/1", Replaces: 1}, 2), ShouldBeTrue)
			So(j.ApplyStart(job.StartRecord{Lease: 2, Items: items}), ShouldBeTrue)
			j.ApplyProgress(release, time.Unix(1000, 0))
			So(j.IsStarted(0), ShouldBeTrue)
		})
	})
}
