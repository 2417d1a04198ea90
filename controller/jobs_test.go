package controller_test

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agategap/agategap/controller"
	"github.com/agategap/agategap/filter"
	"github.com/agategap/agategap/job"
	"github.com/agategap/agategap/outcome"
)

func newJobSpec(key, service string, items int) controller.JobSpec {
	l := make([]job.Item, items)
	for i := range l {
		l[i] = job.Item{CustomID: fmt.Sprint(i), Body: []byte(fmt.Sprintf(`{"n":%d}`, i))}
	}

	return controller.NewJobSpec("a", key, service, "/run", 0, time.Now().Add(time.Hour), l)
}

// waitForJob waits up to 15 s until f reports true for the status of a job, and returns the last status.
func waitForJob(n *daemon, id string, f func(s job.Status) bool) job.Status {
	var s job.Status

	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if v, err := n.jobs.Status(context.Background(), "a", id); err == nil {
			s = v
			if f(s) {
				break
			}
		}
	}

	return s
}

func isFinished(s job.Status) bool { return s.State == job.Finished }

// Guards against jobs and items that are lost with the daemon that accepted or ran them, and against non-idempotent
// items that run twice.
func TestJobsSurviveDaemonLoss(t *testing.T) {
	Convey("Given daemons in three failure domains, one of which only accepts jobs", t, func() {
		s := newCluster()
		a, b, c := s.startDaemon("one", "vm-a", false), s.startDaemon("two", "vm-b", true), s.startDaemon("three", "vm-c", true)
		Reset(s.stop)

		Convey("a job finishes if its daemon is lost right after the acknowledgement", func() {
			id, err := a.jobs.Submit(context.Background(), newJobSpec("k", "text", 23))
			So(err, ShouldBeNil)
			a.kill()

			v := waitForJob(b, id, isFinished)
			So(v.State, ShouldEqual, job.Finished)
			So(v.Done, ShouldEqual, 23)

			l, next, err := c.jobs.Results(context.Background(), "a", id, 0)
			So(err, ShouldBeNil)
			So(l, ShouldHaveLength, 23)
			So(next, ShouldEqual, 23)
		})
		Convey("a paused holder that resumes after the takeover runs no non-idempotent item twice", func() {
			var hold atomic.Bool

			hold.Store(true)

			resume := make(chan struct{})

			s.targets.setBehavior(func(context.Context, *filter.Request) error {
				if hold.Load() {
					<-resume // the item has run at the target, but the paused daemon does not read the response yet
				}

				return nil
			})

			c.unreachable.Store(true)
			s.removePeer("vm-c")

			id, err := a.jobs.Submit(context.Background(), newJobSpec("k", "bill", 10))
			So(err, ShouldBeNil)
			So(waitUntil(func() bool { return len(b.runner.HeldShards()) > 0 }), ShouldBeTrue)
			So(waitUntil(func() bool { _, n := s.targets.runTotals(); return n == 10 }), ShouldBeTrue)

			b.unreachable.Store(true)
			b.log.down.Store(true)
			s.removePeer("vm-b")
			hold.Store(false)

			d := s.startDaemon("four", "vm-d", true)

			v := waitForJob(a, id, func(v job.Status) bool { s.advance(100 * time.Millisecond); return isFinished(v) })
			So(v.State, ShouldEqual, job.Finished)
			So(v.Done, ShouldEqual, 10) // found at the target
			So(d.runner.HeldShards(), ShouldBeEmpty)

			close(resume)
			b.unreachable.Store(false)
			b.log.down.Store(false)
			So(waitUntil(func() bool { return len(b.runner.HeldShards()) == 0 }), ShouldBeTrue)

			maxRuns, requests := s.targets.runTotals()
			So(maxRuns, ShouldEqual, 1)
			So(requests, ShouldEqual, 10)
		})
		Convey("a daemon that hands over gives its shards to others, and no item is lost or runs twice", func() {
			s.targets.setBehavior(func(context.Context, *filter.Request) error {
				time.Sleep(200 * time.Millisecond)

				return nil
			})

			// c must not run the whole job before b pulls, as b would then have nothing to hand over.
			c.unreachable.Store(true)
			c.log.down.Store(true)

			id, err := a.jobs.Submit(context.Background(), newJobSpec("k", "bill", 60))
			So(err, ShouldBeNil)
			So(waitUntil(func() bool { _, n := s.targets.runTotals(); return n > 0 && len(b.runner.HeldShards()) > 0 }), ShouldBeTrue)

			c.unreachable.Store(false)
			c.log.down.Store(false)
			So(b.runner.HandOver(context.Background()), ShouldBeNil)
			So(b.runner.HeldShards(), ShouldBeEmpty)

			v := waitForJob(a, id, isFinished)
			So(v.Done, ShouldEqual, 60)

			maxRuns, _ := s.targets.runTotals()
			So(maxRuns, ShouldEqual, 1)
		})
		Convey("an item that always fails ends as failed, and the others are done", func() {
			s.targets.setBehavior(func(_ context.Context, r *filter.Request) error {
				if string(r.Body()) == `{"n":3}` {
					return outcome.New(outcome.TargetFailed, outcome.Failed, "broken")
				}

				return nil
			})

			id, err := a.jobs.Submit(context.Background(), newJobSpec("k", "text", 8))
			So(err, ShouldBeNil)

			v := waitForJob(a, id, isFinished)
			So(v.Done, ShouldEqual, 7)
			So(v.Failed, ShouldEqual, 1)
			So(s.targets.runCount(id+"-3"), ShouldEqual, 3)

			l, _, _ := a.jobs.Results(context.Background(), "a", id, 3)
			So(l[0].Result.Reason, ShouldEqual, "broken")
			So(l[0].Result.Attempts, ShouldEqual, 3)
		})
		Convey("a cancelled job is cancelled at its targets, and items that end later do not count", func() {
			var stopped atomic.Int64

			s.targets.setBehavior(func(ctx context.Context, r *filter.Request) error {
				if string(r.Body()) == `{"n":0}` {
					return nil
				}

				<-ctx.Done()
				stopped.Add(1)

				return outcome.New(outcome.DeadlineExceeded, outcome.Unknown, "cancelled")
			})

			id, err := a.jobs.Submit(context.Background(), newJobSpec("k", "text", 5))
			So(err, ShouldBeNil)
			waitForJob(a, id, func(v job.Status) bool { return v.Done == 1 })
			So(waitUntil(func() bool { _, n := s.targets.runTotals(); return n == 5 }), ShouldBeTrue)

			bound, err := c.jobs.Cancel(context.Background(), "a", id)
			So(err, ShouldBeNil)
			So(bound, ShouldEqual, 10*time.Second)
			So(waitUntil(func() bool { return stopped.Load() == 4 }), ShouldBeTrue)

			v := waitForJob(a, id, func(v job.Status) bool { return v.State == job.Cancelled })
			So(v.Done, ShouldEqual, 1)
			So(v.Pending, ShouldEqual, 4)
		})
	})
}

// Guards against a daemon that runs a cancelled job forever because the cancellation cannot reach it.
func TestCutOffDaemonStopsJob(t *testing.T) {
	Convey("Given a daemon that runs a job and is cut off from the log and all peers", t, func() {
		s := newCluster()
		a, b := s.startDaemon("one", "vm-a", false), s.startDaemon("two", "vm-b", true)
		Reset(s.stop)

		var stopped atomic.Int64

		s.targets.setBehavior(func(ctx context.Context, _ *filter.Request) error {
			<-ctx.Done()
			stopped.Add(1)

			return errors.New("cancelled")
		})

		id, err := a.jobs.Submit(context.Background(), newJobSpec("k", "text", 5))
		So(err, ShouldBeNil)
		So(waitUntil(func() bool { _, n := s.targets.runTotals(); return n == 5 }), ShouldBeTrue)
		b.unreachable.Store(true)
		b.log.down.Store(true)

		Convey("it continues within the cut-off run bound and stops after it", func() {
			s.advance(8 * time.Second)
			time.Sleep(300 * time.Millisecond)
			So(stopped.Load(), ShouldEqual, 0)

			s.advance(3 * time.Second)
			So(waitUntil(func() bool { return stopped.Load() == 5 }), ShouldBeTrue)
			So(b.runner.HeldShards(), ShouldBeEmpty)
		})
		Convey("an operator can stop the job at this daemon at once", func() {
			So(b.runner.StopJob(id), ShouldEqual, 1)
			So(waitUntil(func() bool { return stopped.Load() == 5 }), ShouldBeTrue)
		})
	})
}

// Guards against a resubmission that becomes a second job or mixes its items with those of another job.
func TestResubmittedJobs(t *testing.T) {
	Convey("Given a submission that was cancelled and then completed by a resubmission", t, func() {
		s := newCluster()
		a, b := s.startDaemon("one", "vm-a", true), s.startDaemon("two", "vm-b", true)
		Reset(s.stop)

		x, stop := context.WithCancel(context.Background())
		stop()

		_, err := a.jobs.Submit(x, newJobSpec("k", "text", 7))
		So(err, ShouldNotBeNil)

		first, err := a.jobs.Submit(context.Background(), newJobSpec("k", "text", 7))
		So(err, ShouldBeNil)

		Convey("the same submission at another daemon is the same job", func() {
			again, err := b.jobs.Submit(context.Background(), newJobSpec("k", "text", 7))
			So(err, ShouldBeNil)
			So(again, ShouldEqual, first)
			So(waitForJob(b, first, isFinished).Done, ShouldEqual, 7)

			maxRuns, requests := s.targets.runTotals()
			So(maxRuns, ShouldEqual, 1)
			So(requests, ShouldEqual, 7)
		})
		Convey("a different job under the same key is rejected", func() {
			_, err := b.jobs.Submit(context.Background(), newJobSpec("k", "text", 8))
			So(outcome.Is(err, outcome.KeyReused), ShouldBeTrue)
		})
	})
}

// Guards against two daemons that both grant a shard because each considers itself the writer of the partition.
func TestConcurrentWritersRunItemsOnce(t *testing.T) {
	Convey("Given two daemons that cannot reach each other and both reach the log", t, func() {
		s := newCluster()
		a, b := s.startDaemon("one", "vm-a", true), s.startDaemon("two", "vm-b", true)
		Reset(s.stop)

		a.unreachable.Store(true)
		b.unreachable.Store(true)

		Convey("a non-idempotent item runs once", func() {
			id, err := a.jobs.Submit(context.Background(), newJobSpec("k", "bill", 20))
			So(err, ShouldBeNil)

			v := waitForJob(b, id, isFinished)
			So(v.Done, ShouldEqual, 20)

			maxRuns, requests := s.targets.runTotals()
			So(maxRuns, ShouldEqual, 1)
			So(requests, ShouldEqual, 20)
		})
	})
}

func waitUntil(f func() bool) bool {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if f() {
			return true
		}
	}

	return false
}
