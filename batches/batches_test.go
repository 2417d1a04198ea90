package batches_test

import (
	"context"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agategap/agategap/batch"
	"github.com/agategap/agategap/outcome"
	"github.com/agategap/agategap/stream"
)

func newTestContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), 5*time.Second)
}

// Guards against a reader that is told that a result does not exist which it has read at another daemon. Found by the
// bench: while the store drops its history, a read that waits hears nothing.
func TestReadersSeeResultsOfOtherDaemons(t *testing.T) {
	l := newMemoryLog()
	a, b := startDaemon(l, 0), startDaemonOn(&stalledTailLog{memoryLog: l}, 1)

	defer a.shutDown()
	defer b.shutDown()

	ctx, stop := newTestContext()
	defer stop()

	Convey("When a daemon hears nothing of new records", t, func() {
		So(a.Submit(ctx, newJob("j", 2)), ShouldBeNil)
		time.Sleep(400 * time.Millisecond)

		Convey("it still knows the job and its results", func() {
			_, err := b.Results(ctx, "j", 0, maxPageBytes, 0)
			So(err, ShouldBeNil)
			So(a.PublishResult(ctx, "j", batch.NewResult("j-0", "text", true)), ShouldBeNil)
			time.Sleep(400 * time.Millisecond)

			p, err := b.Results(ctx, "j", 0, maxPageBytes, 0)
			So(err, ShouldBeNil)
			So(p.Results(), ShouldHaveLength, 1)
			So(p.NextPosition(), ShouldEqual, 1)
		})
	})
}

// stalledTailLog is a log whose reads that wait never hear of a record.
type stalledTailLog struct{ *memoryLog }

// Tail answers only reads that do not wait.
func (d *stalledTailLog) Tail(ctx context.Context, name string, n int, from int64, wait time.Duration) (stream.KeyedPage, error) {
	if wait == 0 {
		return d.memoryLog.Tail(ctx, name, n, from, 0)
	}

	<-ctx.Done()

	return stream.KeyedPage{}, ctx.Err()
}

// Guards against 404 for a job that may exist.
func TestUnknownJobs(t *testing.T) {
	l := newMemoryLog()
	a := startDaemon(l, 0)

	defer a.shutDown()

	ctx, stop := newTestContext()
	defer stop()

	Convey("A job that nobody submitted is not found", t, func() {
		_, err := a.Results(ctx, "none", 0, maxPageBytes, 0)
		So(outcome.Is(err, outcome.NotFound), ShouldBeTrue)
	})

	Convey("While the log is down, a job that is not known may exist", t, func() {
		l.setDown(true)
		time.Sleep(400 * time.Millisecond)

		x, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()

		_, err := a.Results(x, "none", 0, maxPageBytes, 0)
		So(outcome.Is(err, outcome.LogUnavailable), ShouldBeTrue)

		_, err = a.Body(x, "none", "item")
		So(outcome.Is(err, outcome.LogUnavailable), ShouldBeTrue)
		So(outcome.Is(a.End(x, "none"), outcome.LogUnavailable), ShouldBeTrue)
		l.setDown(false)
	})
}

// Guards against bodies that are lost, results behind an end, and waits that miss a result.
func TestJobLifecycle(t *testing.T) {
	l := newMemoryLog()
	a, b := startDaemon(l, 0), startDaemon(l, 1)

	defer a.shutDown()
	defer b.shutDown()

	ctx, stop := newTestContext()
	defer stop()

	Convey("A job is read, waited for and ended at any daemon", t, func() {
		So(a.Submit(ctx, newJob("j", 3)), ShouldBeNil)
		So(b.Submit(ctx, newJob("j", 3)), ShouldBeNil)

		v, err := b.Body(ctx, "j", "j-1")
		So(err, ShouldBeNil)
		So(string(v), ShouldEqual, "j")

		time.AfterFunc(50*time.Millisecond, func() { _ = b.PublishResult(ctx, "j", batch.NewResult("j-1", "text", true)) })

		began := time.Now()
		p, err := a.Results(ctx, "j", 0, maxPageBytes, 3*time.Second)
		So(err, ShouldBeNil)
		So(p.Results(), ShouldHaveLength, 1)
		So(time.Since(began), ShouldBeLessThan, 2*time.Second)

		_, err = a.Body(ctx, "j", "j-1")
		So(outcome.Is(err, outcome.NotFound), ShouldBeTrue)

		So(a.End(ctx, "j"), ShouldBeNil)
		So(a.End(ctx, "j"), ShouldBeNil)
		So(a.PublishResult(ctx, "j", batch.NewResult("j-2", "text", true)), ShouldBeNil)
		time.Sleep(50 * time.Millisecond)

		p, err = b.Results(ctx, "j", 0, maxPageBytes, time.Second)
		So(err, ShouldBeNil)
		So(p.Results(), ShouldHaveLength, 1)
		So(p.ItemCount(), ShouldEqual, 3)
		So(b.Submit(ctx, newJob("j", 3)), ShouldBeNil)
	})

	Convey("A job that exceeds a record and an append is accepted whole, and so is a long text", t, func() {
		big := make([]batch.Item, 40)
		for i := range big {
			big[i] = batch.NewItem(strings.Repeat("i", i+1), "/x/", map[string][]string{"Model": {"m"}}, []byte(strings.Repeat("b", 5000*i)), 1)
		}

		So(a.Submit(ctx, batch.NewSubmission("big", "h", "/x/", big).WithTimes(time.Now(), time.Minute, time.Hour)), ShouldBeNil)

		v, err := b.Body(ctx, "big", big[39].ID())
		So(err, ShouldBeNil)
		So(len(v), ShouldEqual, 5000*39)

		So(a.PublishResult(ctx, "big", batch.NewResult("i", strings.Repeat("t", 50_000), true)), ShouldBeNil)

		p, err := b.Results(ctx, "big", 0, maxPageBytes, time.Second)
		So(err, ShouldBeNil)
		So(len(p.Results()[0].Text()), ShouldEqual, 50_000)

		l.truncate()

		c := startDaemon(l, 2)
		defer c.shutDown()

		p, err = c.Results(ctx, "big", 0, maxPageBytes, 0)
		So(err, ShouldBeNil)
		So(len(p.Results()[0].Text()), ShouldEqual, 50_000)

		v, err = c.Body(ctx, "big", big[39].ID())
		So(err, ShouldBeNil)
		So(len(v), ShouldEqual, 5000*39)
	})
}
