package batches_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/agategap/agategap/batch"
	"github.com/agategap/agategap/batches"
	"github.com/agategap/agategap/stream"
)

// lateLog is a log that executes some appends without confirming them, and only when executeHeld is called. Their
// conditions are checked then.
type lateLog struct {
	*memoryLog

	mu     sync.Mutex
	isLate func() bool // called for each append; nil for none
	held   []func()
}

func (l *lateLog) Append(ctx context.Context, name string, n int, records []stream.KeyedRecord, at int64) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if l.isLate != nil && l.isLate() {
		l.held = append(l.held, func() { _, _ = l.memoryLog.Append(context.Background(), name, n, records, at) })

		return 0, stream.ErrUnconfirmed
	}

	return l.memoryLog.Append(ctx, name, n, records, at)
}

// executeHeld executes the held appends in the order of r and confirms all appends from then on.
func (l *lateLog) executeHeld(r *rand.Rand) {
	l.mu.Lock()
	defer l.mu.Unlock()

	r.Shuffle(len(l.held), func(i, j int) { l.held[i], l.held[j] = l.held[j], l.held[i] })

	for _, execute := range l.held {
		execute()
	}

	l.held, l.isLate = nil, nil
}

// newLargeJob returns a job whose records do not fit into one append.
func newLargeJob(id string, items int) batch.Submission {
	l := make([]batch.Item, items)
	for i := range l {
		l[i] = batch.NewItem(fmt.Sprint(id, "-", i), "/x/", nil, slices.Repeat([]byte{byte('a' + i)}, 30<<10), 1)
	}

	return batch.NewSubmission(id, "h", "/x/", l).WithTimes(time.Now(), time.Minute, time.Hour)
}

// describeJob formats what a daemon says of a job once it has read to the end of the log: its results, and the size of the
// body of each item without one.
func describeJob(d *daemon, id string, items int) (string, error) {
	_, _ = readResults(d, "unknown") // makes the daemon read to the end

	s, err := readResults(d, id)

	for i := range items {
		b, err := d.Body(context.Background(), id, fmt.Sprint(id, "-", i))
		s += fmt.Sprint(" ", len(b), err == nil)
	}

	return s, err
}

// Guards against accepted jobs that are lost, or have other results or bodies, at daemons that start after an append was
// executed late: after its caller gave it up and the job went on without it. Small jobs fit into one append, large ones
// do not.
func TestLateAppendsHarmNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 3))
		percent := rapid.IntRange(5, 40).Draw(t, "late_percent")
		l := &lateLog{memoryLog: newMemoryLog()}
		l.isLate = func() bool { return r.IntN(100) < percent }

		daemons := []*daemon{startDaemonOn(l, 0), startDaemonOn(l, 1)}

		const items = 5

		var jobs []string

		for n := range 3 {
			id := fmt.Sprint("job", n)
			s := newJob(id, items)

			if rapid.Bool().Draw(t, "large") {
				s = newLargeJob(id, items)
			}

			accepted := slices.ContainsFunc(daemons, func(d *daemon) bool {
				ctx, stop := context.WithTimeout(context.Background(), callTimeout)
				defer stop()

				return d.Submit(ctx, s) == nil
			})
			if !accepted {
				continue
			}

			jobs = append(jobs, id)

			for i := range rapid.IntRange(0, items).Draw(t, "results") {
				ctx, stop := context.WithTimeout(context.Background(), callTimeout)
				_ = daemons[i%len(daemons)].PublishResult(ctx, id, batch.NewResult(fmt.Sprint(id, "-", i), "text", true))

				stop()
			}

			if rapid.IntRange(0, 3).Draw(t, "end") == 0 {
				ctx, stop := context.WithTimeout(context.Background(), callTimeout)
				_ = daemons[0].End(ctx, id)

				stop()
			}
		}

		l.executeHeld(r)

		if rapid.Bool().Draw(t, "truncate") {
			l.truncate()
		}

		late := startDaemonOn(l, 2)

		for _, id := range jobs {
			want, err := describeJob(daemons[0], id, items)
			if err != nil {
				t.Errorf("a daemon that followed lost accepted job %s: %s", id, err)
			}

			for k, d := range []*daemon{daemons[1], late} {
				if s, err := describeJob(d, id, items); err != nil || s != want {
					t.Errorf("daemon %d has %q of job %s (%v), a daemon that followed has %q", k+1, s, id, err, want)
				}
			}
		}

		for _, d := range append(daemons, late) {
			d.shutDown()
		}
	})
}

// Guards against a job of several appends that daemons cannot load, as its first items were appended once more after the
// job was completed. Found by review/1: the store executed that append 5 s after it had lost its response.
func TestLateItemsOfCompletedJob(t *testing.T) {
	Convey("When the first append of a large job is executed after the job is completed, a starting daemon knows the job", t, func() {
		l := &lateLog{memoryLog: newMemoryLog()}
		appends := 0
		l.isLate = func() bool { appends++; return appends == 1 }

		d := startDaemonOn(l, 0)
		defer d.shutDown()

		ctx, stop := newTestContext()
		defer stop()

		s := newLargeJob("j", 4)
		if d.Submit(ctx, s) != nil { // the first submission may fail with NotRun
			So(d.Submit(ctx, s), ShouldBeNil)
		}

		for i := range 4 {
			So(d.PublishResult(ctx, "j", batch.NewResult(fmt.Sprint("j-", i), "text", true)), ShouldBeNil)
		}

		l.executeHeld(rand.New(rand.NewPCG(1, 1)))

		late := startDaemonOn(l, 1)
		defer late.shutDown()

		v, err := readResults(late, "j")
		So(err, ShouldBeNil)

		w, err := readResults(d, "j")
		So(err, ShouldBeNil)
		So(v, ShouldEqual, w)
	})
}

// Guards against an accepted job that is lost as the removal of an earlier job with its identifier is executed late, and
// against expired jobs of which some records stay in the log.
func TestLateExpiryOfResubmittedJob(t *testing.T) {
	Convey("When expired jobs are dropped by an append that is executed late, a job submitted since then stays known", t, func() {
		l := &lateLog{memoryLog: newMemoryLog()}
		s := batches.NewLogLimits(1, 16<<10, 64<<10, 500*time.Millisecond).WithExpiryInterval(50 * time.Millisecond)

		a := startDaemonWithLimits(l, s, 0)
		defer a.shutDown()

		ctx, stop := newTestContext()
		defer stop()

		// Three jobs whose removal takes more than one append.
		id := strings.Repeat("j", 60)

		for n := range 3 {
			j := newJob(fmt.Sprint(id, n), 200)
			So(a.Submit(ctx, j), ShouldBeNil)

			for _, i := range j.Items() {
				_ = a.RecordFailure(ctx, j.ID(), i.ID(), 1)
			}

			So(a.End(ctx, j.ID()), ShouldBeNil)
		}

		// The first removal is late, a later one is not.
		var late atomic.Int32

		l.mu.Lock()
		l.isLate = func() bool { return late.Add(1) == 1 }
		l.mu.Unlock()

		for ctx.Err() == nil {
			if jobs, _ := a.Count(); jobs == 0 {
				break
			}

			time.Sleep(time.Millisecond)
		}

		So(l.newestRecords(), ShouldEqual, 0)
		So(a.Submit(ctx, newJob(id+"0", 3)), ShouldBeNil)
		l.executeHeld(rand.New(rand.NewPCG(1, 1)))

		_, err := describeJob(a, id+"0", 3)
		So(err, ShouldBeNil)
	})
}
