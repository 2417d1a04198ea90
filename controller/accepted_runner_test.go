package controller_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agategap/agategap/filter"
	"github.com/agategap/agategap/journal"
	"github.com/agategap/agategap/outcome"
)

// acceptRecords returns the records of accepted work, and a claim on it unless claim is "". Work of the service "text"
// is idempotent.
func acceptRecords(k journal.Key, service string, async bool, claim, holder string) []journal.Record {
	idempotent := service == "text"
	kind := filter.Plain

	if idempotent {
		kind = filter.Chat
	}

	r := []journal.Record{{Accept: &journal.AcceptRecord{
		Account: k.Account(), Key: k.Key(), Service: service, Path: "/run", Kind: uint8(kind), Idempotent: idempotent,
		Async: async, Body: []byte("{}"), DeadlineMS: time.Now().Add(time.Minute).UnixMilli(), RetainMS: 3_600_000,
	}}}

	if claim != "" {
		r = append(r, journal.Record{Claim: &journal.ClaimRecord{Account: k.Account(), Key: k.Key(), ID: claim, Holder: holder}})
	}

	return r
}

func contextWithTimeout(d time.Duration) context.Context {
	x, stop := context.WithTimeout(context.Background(), d)
	time.AfterFunc(d, stop)

	return x
}

// Guards against accepted work that is lost with its daemon, and against non-idempotent work that is dispatched twice.
func TestAcceptedWorkSurvivesDaemonLoss(t *testing.T) {
	Convey("Given daemons in three failure domains, one of which only accepts work", t, func() {
		s := newCluster()
		a, b := s.startDaemon("one", "vm-a", false), s.startDaemon("two", "vm-b", true)
		s.startDaemon("three", "vm-c", true)
		Reset(s.stop)

		// Without a, only daemons that run accepted work are left as writers.
		lose := func() {
			a.kill()
			s.advance(6 * time.Second)
		}
		await := func(k journal.Key) journal.CompleteRecord {
			for range 10 {
				s.advance(2 * time.Second)

				if w, err := b.journal.Await(contextWithTimeout(time.Second), k); err == nil {
					return w.Result()
				}
			}

			return journal.CompleteRecord{}
		}

		Convey("an asynchronous request runs once if its daemon is lost right after the acknowledgement", func() {
			k := journal.NewKey("a", "async")
			_, err := a.journal.Submit(contextWithTimeout(5*time.Second), k, acceptRecords(k, "bill", true, "", "")...)
			So(err, ShouldBeNil)
			lose()

			So(await(k).Effect, ShouldEqual, journal.Done)

			maxRuns, requests := s.targets.runTotals()
			So(maxRuns, ShouldEqual, 1)
			So(requests, ShouldEqual, 1)
		})
		Convey("idempotent work is run by another daemon", func() {
			k := journal.NewKey("a", "again")
			_, err := a.journal.Submit(contextWithTimeout(5*time.Second), k, acceptRecords(k, "text", false, "claim-1", "vm-a/1")...)
			So(err, ShouldBeNil)
			lose()

			So(await(k).Effect, ShouldEqual, journal.Done)
		})
		Convey("non-idempotent work is looked up at the targets, and ends as unknown if none knows it", func() {
			for claim, effect := range map[string]journal.Effect{"claim-known": journal.Done, "claim-unknown": journal.Unknown} {
				k := journal.NewKey("a", claim)
				_, err := a.journal.Submit(contextWithTimeout(5*time.Second), k, acceptRecords(k, "bill", false, claim, "vm-a/1")...)
				So(err, ShouldBeNil)

				if effect == journal.Done {
					s.targets.runCounts[claim] = 1
				}
			}

			lose()
			So(await(journal.NewKey("a", "claim-known")).Effect, ShouldEqual, journal.Done)
			So(await(journal.NewKey("a", "claim-unknown")).Effect, ShouldEqual, journal.Unknown)

			_, requests := s.targets.runTotals()
			So(requests, ShouldEqual, 1)
		})
		Convey("work is not claimed while its holder is among the peers and has time left", func() {
			k := journal.NewKey("a", "held")
			_, err := a.journal.Submit(contextWithTimeout(5*time.Second), k, acceptRecords(k, "text", false, "claim-2", "vm-c/other")...)
			So(err, ShouldBeNil)
			time.Sleep(1200 * time.Millisecond)

			w, _, err := b.journal.Find(contextWithTimeout(time.Second), k)
			So(err, ShouldBeNil)
			So(w.IsEnded() && w.ClaimID() == "claim-2", ShouldBeFalse)
		})
	})
}

// Guards against records that took effect being reported as not run, and against a daemon that returns an error
// although it can reach the log.
func TestRecordsReachTheLogThroughAnyFollower(t *testing.T) {
	Convey("Given a daemon that does not follow a partition, and the two followers of the partition", t, func() {
		s := newCluster()
		b, c := s.startDaemon("two", "vm-b", false), s.startDaemon("three", "vm-c", false)
		Reset(s.stop)

		a := s.startDaemon("one", "vm-a", false)
		k := journal.NewKey("a", "k")

		for n := 0; slices.Contains(a.store.FollowedPartitions(), a.store.Partition(k.String())); n++ {
			k = journal.NewKey("a", fmt.Sprint(n))
		}

		submit := func() (journal.Work, error) {
			return a.journal.Submit(contextWithTimeout(2*time.Second), k, acceptRecords(k, "bill", false, "claim-1", "vm-a/1")...)
		}

		Convey("a record whose confirmation is lost is found through the log", func() {
			b.losesReplies.Store(true)
			c.losesReplies.Store(true)

			w, err := submit()
			So(err, ShouldBeNil)
			So(w.ClaimID(), ShouldEqual, "claim-1")
		})
		Convey("a record that may still be queued at a follower is not reported as not run", func() {
			b.log.down.Store(true)
			c.log.down.Store(true)
			a.log.down.Store(true)
			b.losesReplies.Store(true)
			c.losesReplies.Store(true)

			_, err := submit()
			So(err, ShouldNotBeNil)
			So(outcome.From(err).Effect(), ShouldEqual, outcome.Unknown)
		})
		Convey("if no follower can be reached, the daemon follows the partition itself", func() {
			b.unreachable.Store(true)
			c.unreachable.Store(true)

			w, err := submit()
			So(err, ShouldBeNil)
			So(w.ClaimID(), ShouldEqual, "claim-1")
			So(a.store.FollowedPartitions(), ShouldContain, a.store.Partition(k.String()))
		})
		Convey("without the log nothing is recorded, and the error says not run", func() {
			a.log.down.Store(true)
			b.unreachable.Store(true)
			c.unreachable.Store(true)

			_, err := submit()
			So(outcome.From(err).Effect(), ShouldEqual, outcome.NotRun)
		})
		Convey("a queued completion is recorded once followers can be reached again", func() {
			_, err := submit()
			So(err, ShouldBeNil)

			a.log.down.Store(true)
			b.unreachable.Store(true)
			c.unreachable.Store(true)
			a.journal.Enqueue(k, journal.Record{Complete: &journal.CompleteRecord{Account: "a", Key: k.Key(), Claim: "claim-1", Effect: journal.Done}})
			time.Sleep(300 * time.Millisecond)
			So(a.journal.QueuedCount(), ShouldEqual, 1)
			b.unreachable.Store(false)
			c.unreachable.Store(false)

			w, err := b.journal.Await(contextWithTimeout(5*time.Second), k)
			So(err, ShouldBeNil)
			So(w.Result().Effect, ShouldEqual, journal.Done)
		})
	})
}
