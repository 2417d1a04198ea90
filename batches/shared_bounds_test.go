package batches_test

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"github.com/agategap/agategap/batch"
	"github.com/agategap/agategap/batches"
	"github.com/agategap/agategap/filter"
	"github.com/agategap/agategap/outcome"
	"github.com/agategap/agategap/routing"
	"github.com/agategap/agategap/stream"
)

// twoServices routes the jobs under /lost/ to service "lost" and all others to service "sound".
type twoServices struct{}

func (twoServices) Table() *routing.Table {
	route := func(prefix, service string) routing.Route {
		return routing.New(routing.Spec{
			Name: service, Host: "h", Prefix: prefix, Kind: routing.Batch, Attempts: 3, Backends: []routing.Backend{routing.NewBackend(service, 1)},
		})
	}

	return routing.NewTable(1, []routing.Route{route("/lost/", "lost"), route("/", "sound")}, routing.Limits{}, nil)
}

// faultyServices lets items of the lost service wait for a slot, rejects those of jobs whose identifiers begin with
// "rejected", and completes all others.
type faultyServices struct{ fakeEngine }

func (g *faultyServices) Handle(ctx context.Context, r *filter.Request, s filter.Sink) error {
	switch {
	case strings.HasPrefix(r.ID(), "lost"):
		<-ctx.Done()

		return outcome.New(outcome.DeadlineExceeded, outcome.NotRun, "no slot became free in time")
	case strings.HasPrefix(r.ID(), "rejected"):
		return outcome.New(outcome.Overloaded, outcome.NotRun, "all workers refused the request")
	default:
		return g.fakeEngine.Handle(ctx, r, s)
	}
}

// brokenPartitionLog refuses the appends to one partition once it is broken.
type brokenPartitionLog struct {
	*memoryLog

	broken atomic.Int32 // number of the partition plus 1; 0 for none
}

func (l *brokenPartitionLog) Append(ctx context.Context, name string, n int, records []stream.KeyedRecord, at int64) (int64, error) {
	if int(l.broken.Load()) == n+1 {
		return 0, stream.ErrRefused
	}

	return l.memoryLog.Append(ctx, name, n, records, at)
}

// newJobWithPath returns a job for a path that is due at a time after now.
func newJobWithPath(id, path string, items int, dueAfter time.Duration) batch.Submission {
	l := make([]batch.Item, items)
	for i := range l {
		l[i] = batch.NewItem(fmt.Sprint(id, "-", i), path, nil, []byte(id), 1)
	}

	return batch.NewSubmission(id, "h", path, l).WithTimes(time.Now(), dueAfter, time.Hour)
}

// jobInPartition returns an identifier with a prefix of a job in a partition.
func jobInPartition(d *daemon, prefix string, partition int) string {
	for n := 0; ; n++ {
		if id := fmt.Sprint(prefix, n); d.Partition(id) == partition {
			return id
		}
	}
}

// Guards against items that cannot run and keep those of other services, jobs and partitions from running, as they hold
// the places of the daemon: items of a service without workers (found by review/3), items that all workers reject, and
// items whose results the log does not take.
func TestItemsThatCannotRunLeavePlacesToOthers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const partitions = 4

		l := &brokenPartitionLog{memoryLog: newMemoryLog()}
		d := startDaemonWithLimits(l, batches.NewLogLimits(partitions, 16<<10, 64<<10, time.Hour), 0)

		defer d.shutDown()

		ctx, stop := newTestContext()
		defer stop()

		kind := rapid.SampledFrom([]string{"lost", "rejected", "unpublished"}).Draw(t, "kind")
		blocked := rapid.IntRange(50, 200).Draw(t, "items")
		broken := rapid.IntRange(0, partitions-1).Draw(t, "partition")
		path := "/x/"

		if kind == "lost" {
			path = "/lost/"
		}

		if err := d.Submit(ctx, newJobWithPath(jobInPartition(d, kind, broken), path, blocked, time.Second)); err != nil {
			t.Fatal(err)
		}

		if kind == "unpublished" {
			l.broken.Store(int32(broken) + 1) //nolint:gosec // a small number
		}

		r := batches.NewRunner(d.Batches, &faultyServices{fakeEngine{events: 2}}, twoServices{}, fakePeers{}, unreachablePeers{}, time.Now, zerolog.Nop())
		run, end := context.WithCancel(context.Background())
		done := make(chan error, 1)

		go func() { done <- r.Run(run) }()

		defer func() { end(); <-done }()

		time.Sleep(50 * time.Millisecond) // the items that cannot run take their places

		sound := jobInPartition(d, "sound", (broken+1)%partitions)
		if err := d.Submit(ctx, newJobWithPath(sound, "/x/", 10, time.Minute)); err != nil {
			t.Fatal(err)
		}

		for ctx.Err() == nil {
			if p, err := d.Results(ctx, sound, 0, maxPageBytes, time.Second); err == nil && len(p.Results()) == 10 {
				return
			}
		}

		t.Fatalf("the items of the sound job did not run beside %d items of kind %s", blocked, kind)
	})
}
