package batches_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/agategap/agategap/batch"
	"github.com/agategap/agategap/outcome"
	"github.com/agategap/agategap/stream"
)

const (
	// storeTimeout is how long a call waits for a log that does not respond.
	storeTimeout = 15 * time.Millisecond
	// lateSpread spreads the execution of the appends that the log received while it did not respond.
	lateSpread = 4 * time.Millisecond
)

// silentLog is a log that responds to no call while it is silent. Afterwards it executes the appends that it received
// meanwhile, in any order. A read returns at most pageRecords records.
type silentLog struct {
	*memoryLog

	pageRecords int

	mu      sync.Mutex
	resumed chan struct{} // closed at the end of the silence; nil if the log is not silent
	held    sync.WaitGroup
}

func (l *silentLog) beSilent() {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.resumed = make(chan struct{})
}

// resume ends the silence and waits until the log has executed the appends that it received.
func (l *silentLog) resume() {
	l.mu.Lock()
	close(l.resumed)
	l.resumed = nil
	l.mu.Unlock()

	l.held.Wait()
}

// silence returns a channel that is closed at the end of the silence; nil if the log is not silent.
func (l *silentLog) silence() chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.resumed
}

func (l *silentLog) Append(ctx context.Context, name string, n int, records []stream.KeyedRecord, at int64) (int64, error) {
	l.mu.Lock()
	resumed := l.resumed

	if resumed != nil {
		l.held.Add(1)
	}
	l.mu.Unlock()

	if resumed == nil {
		return l.memoryLog.Append(ctx, name, n, records, at)
	}

	go func() {
		defer l.held.Done()

		<-resumed
		time.Sleep(rand.N(lateSpread))

		_, _ = l.memoryLog.Append(context.Background(), name, n, records, at)
	}()

	time.Sleep(storeTimeout)

	return 0, stream.ErrUnconfirmed
}

func (l *silentLog) Tail(ctx context.Context, name string, n int, from int64, wait time.Duration) (stream.KeyedPage, error) {
	if c := l.silence(); c != nil {
		select {
		case <-c:
		case <-time.After(storeTimeout):
			return stream.KeyedPage{}, stream.ErrUnavailable
		case <-ctx.Done():
			return stream.KeyedPage{}, stream.ErrUnavailable
		}
	}

	p, err := l.memoryLog.Tail(ctx, name, n, from, min(wait, storeTimeout))
	if err != nil {
		return p, err
	}

	r := p.Records()

	return stream.NewKeyedPage(r[:min(l.pageRecords, len(r))], p.End(), false), nil
}

func (l *silentLog) Newest(ctx context.Context, name string, n int, after string) (stream.KeyedPage, error) {
	if c := l.silence(); c != nil {
		time.Sleep(storeTimeout)

		return stream.KeyedPage{}, stream.ErrUnavailable
	}

	return l.memoryLog.Newest(ctx, name, n, after)
}

// Guards against a job that is in the log, now or later, although its only submission failed with NotRun, and against
// an accepted job that is not. The log is silent for a while and then executes the appends that it received meanwhile,
// and reads return few records.
func TestRejectedJobsAreNeverInLog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 2))
		l := &silentLog{memoryLog: newMemoryLog(), pageRecords: rapid.IntRange(1, 8).Draw(t, "page_records")}
		silence := time.Duration(rapid.IntRange(20, 250).Draw(t, "silence_ms")) * time.Millisecond
		daemons := []*daemon{startDaemonOn(l, 0), startDaemonOn(l, 1)}

		var wg sync.WaitGroup

		const jobs = 30

		results := make([]error, jobs)

		time.Sleep(10 * time.Millisecond) // for the daemons to load the partition
		l.beSilent()

		for n := range jobs {
			start, timeout := time.Duration(r.Int64N(int64(silence))), time.Duration(5+r.IntN(250))*time.Millisecond

			wg.Go(func() {
				time.Sleep(start)

				ctx, stop := context.WithTimeout(context.Background(), timeout)
				defer stop()

				results[n] = daemons[n%len(daemons)].Submit(ctx, newJob("job"+string(rune('a'+n)), 2))
			})
		}

		time.Sleep(silence)
		l.resume()
		wg.Wait()
		l.held.Wait()

		late := startDaemonOn(l, 2)

		for n := range jobs {
			id := "job" + string(rune('a'+n))
			_, err := readResults(late, id)

			switch {
			case err == nil && results[n] != nil && outcome.From(results[n]).Effect() == outcome.NotRun:
				t.Errorf("%s is in the log, but its submission failed with NotRun: %s", id, results[n])
			case err != nil && results[n] == nil:
				t.Errorf("%s was accepted and is lost: %s", id, err)
			}
		}

		for _, d := range append(daemons, late) {
			d.shutDown()
		}
	})
}

// unconfirmedLog executes appends without confirming them. Reads that wait return nothing, and others block until
// release is closed and then return one record.
type unconfirmedLog struct {
	*stalledTailLog

	release  chan struct{}
	appended chan struct{} // closed at the first append
	once     sync.Once
}

func (l *unconfirmedLog) Append(ctx context.Context, name string, n int, records []stream.KeyedRecord, at int64) (int64, error) {
	_, _ = l.stalledTailLog.Append(ctx, name, n, records, at)
	l.once.Do(func() { close(l.appended) })

	return 0, stream.ErrUnconfirmed
}

func (l *unconfirmedLog) Tail(ctx context.Context, name string, n int, from int64, wait time.Duration) (stream.KeyedPage, error) {
	if wait == 0 {
		<-l.release
	}

	p, err := l.stalledTailLog.Tail(ctx, name, n, from, wait)
	if err != nil {
		return p, err
	}

	r := p.Records()

	return stream.NewKeyedPage(r[:min(1, len(r))], p.End(), false), nil
}

// Guards against NotRun (503) for a job that is in the log. Found by review/5: the time of the caller was over when the
// writer had read that the unconfirmed append is in the log, or only the first records of that append.
func TestUnconfirmedJobOfCallerThatLeft(t *testing.T) {
	Convey("When the log confirms an append only by its records, after the caller's time is over", t, func() {
		m := newMemoryLog()
		l := &unconfirmedLog{stalledTailLog: &stalledTailLog{memoryLog: m}, release: make(chan struct{}), appended: make(chan struct{})}
		d := startDaemonOn(l, 0)

		defer d.shutDown()

		ctx, stop := context.WithCancel(context.Background())
		result := make(chan error, 1)

		go func() { result <- d.Submit(ctx, newJob("j", 2)) }()

		<-l.appended
		stop()
		close(l.release)

		Convey("the submission does not fail with NotRun", func() {
			err := <-result
			So(err == nil || outcome.From(err).Effect() != outcome.NotRun, ShouldBeTrue)

			other := startDaemon(m, 1)
			defer other.shutDown()

			_, err = readResults(other, "j")
			So(err, ShouldBeNil)
		})
	})
}

// fullLog executes the first append without confirming it and cannot be read. It reports that it is full from the
// second append on.
type fullLog struct {
	*stalledTailLog

	mu      sync.Mutex
	appends int
}

func (l *fullLog) Append(ctx context.Context, name string, n int, records []stream.KeyedRecord, at int64) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.appends++
	if l.appends > 1 {
		return 0, stream.ErrTooLarge
	}

	_, _ = l.stalledTailLog.Append(ctx, name, n, records, at)

	return 0, stream.ErrUnconfirmed
}

func (l *fullLog) Tail(ctx context.Context, name string, n int, from int64, wait time.Duration) (stream.KeyedPage, error) {
	if wait == 0 {
		return stream.KeyedPage{}, stream.ErrUnavailable
	}

	return l.stalledTailLog.Tail(ctx, name, n, from, wait)
}

// Guards against NotRun for a job whose unconfirmed append is in the log when the log refuses the next one for good.
func TestUnconfirmedJobWhenLogIsFull(t *testing.T) {
	Convey("When the log is full at the second append of a job, the submission does not fail with NotRun", t, func() {
		d := startDaemonOn(&fullLog{stalledTailLog: &stalledTailLog{memoryLog: newMemoryLog()}}, 0)
		defer d.shutDown()

		err := d.Submit(context.Background(), batch.NewSubmission("j", "h", "/x/", newJob("j", 1).Items()))
		So(outcome.From(err).Effect(), ShouldEqual, outcome.Unknown)
	})
}
