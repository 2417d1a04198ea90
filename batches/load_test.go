package batches_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/agategap/agategap/batch"
	"github.com/agategap/agategap/stream"
)

// slowPagesLog is a log whose pages of newest records take a while, so that records are appended between them. A read
// returns at most pageRecords records.
type slowPagesLog struct {
	*memoryLog

	pageTime    time.Duration
	pageRecords int
}

func (l *slowPagesLog) Newest(ctx context.Context, name string, n int, after string) (stream.KeyedPage, error) {
	time.Sleep(l.pageTime)

	return l.memoryLog.Newest(ctx, name, n, after)
}

func (l *slowPagesLog) Tail(ctx context.Context, name string, n int, from int64, wait time.Duration) (stream.KeyedPage, error) {
	p, err := l.memoryLog.Tail(ctx, name, n, from, wait)
	r := p.Records()

	return stream.NewKeyedPage(r[:min(l.pageRecords, len(r))], p.End(), false), err
}

// Guards against a daemon that starts while jobs are submitted, completed and ended, and then does not know a job, or
// has other results or bodies than a daemon that followed all along. Found by review/2: a job was completed between two
// pages of the newest records, so that its first chunks had their items and the others did not.
func TestStartingDaemonsKnowWhatFollowersKnow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const jobs, items = 6, 5

		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 5))
		l := newMemoryLog()
		follower := startDaemonOn(l, 0)
		daemons := []*daemon{follower}

		ctx, stop := newTestContext()
		defer stop()

		var wg sync.WaitGroup

		for n := range jobs {
			id := fmt.Sprint("job", n)
			s, results, end := newJob(id, items), rapid.IntRange(0, items).Draw(t, "results"), rapid.Bool().Draw(t, "end")
			start, pause := time.Duration(r.IntN(30))*time.Millisecond, time.Duration(r.IntN(3000))*time.Microsecond

			if rapid.Bool().Draw(t, "large") {
				s = newLargeJob(id, items)
			}

			wg.Go(func() {
				time.Sleep(start)

				if follower.Submit(ctx, s) != nil {
					return
				}

				for i := range results {
					time.Sleep(pause)

					_ = follower.PublishResult(ctx, id, batch.NewResult(fmt.Sprint(id, "-", i), "text", true))
				}

				if end {
					_ = follower.End(ctx, id)
				}
			})
		}

		for n := range 4 {
			time.Sleep(time.Duration(r.IntN(15)) * time.Millisecond)

			daemons = append(daemons, startDaemonOn(&slowPagesLog{
				memoryLog: l, pageTime: time.Duration(r.IntN(5)) * time.Millisecond, pageRecords: 1 + r.IntN(8),
			}, 1+n))
		}

		wg.Wait()

		for n := range jobs {
			id := fmt.Sprint("job", n)

			want, err := describeJob(follower, id, items)
			if err != nil {
				t.Fatalf("the follower does not know %s: %s", id, err)
			}

			for k, d := range daemons[1:] {
				if s, err := describeJob(d, id, items); err != nil || s != want {
					t.Errorf("starting daemon %d has %q of %s (%v), the follower has %q", k, s, id, err, want)
				}
			}
		}

		for _, d := range daemons {
			d.shutDown()
		}
	})
}
