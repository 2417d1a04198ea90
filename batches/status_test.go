package batches_test

import (
	"context"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agategap/agategap/filter"
)

// failingEngine responds to the first attempts of each item with a status and completes the next one.
type failingEngine struct {
	fakeEngine

	status, failures int

	attemptsMu sync.Mutex
	attempts   map[string]int
}

func (g *failingEngine) Handle(ctx context.Context, r *filter.Request, s filter.Sink) error {
	g.attemptsMu.Lock()
	if g.attempts == nil {
		g.attempts = map[string]int{}
	}

	g.attempts[r.ID()]++
	n := g.attempts[r.ID()]
	g.attemptsMu.Unlock()

	if n > g.failures {
		return g.fakeEngine.Handle(ctx, r, s)
	}

	return s.Emit(filter.NewHead(r.ID(), g.status, "text/plain"))
}

// Guards against items that are given up although no worker said that they fail: status 500 is a failed attempt, other
// statuses are those of a faulty worker or of something else at its address.
func TestOnlyStatus500CountsAsFailedAttempt(t *testing.T) {
	for status, isCompleted := range map[int]bool{500: false, 503: true, 504: true, 404: true, 204: true} {
		Convey("After more failures than a job has attempts, its items have a result", t, func() {
			d := startDaemon(newMemoryLog(), 0)
			defer d.shutDown()

			ctx, stop := newTestContext()
			defer stop()

			_, end := startRunner(d, &failingEngine{fakeEngine: fakeEngine{events: 2}, status: status, failures: 4}, fakePeers{})
			defer end()

			So(d.Submit(ctx, newJob("k", 1)), ShouldBeNil)

			p, err := d.Results(ctx, "k", 0, maxPageBytes, 4*time.Second)
			So(err, ShouldBeNil)
			So(p.Results(), ShouldHaveLength, 1)
			So(p.Results()[0].IsCompleted(), ShouldEqual, isCompleted)
		})
	}
}
