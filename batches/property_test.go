package batches_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"github.com/agategap/agategap/batch"
	"github.com/agategap/agategap/batches"
	"github.com/agategap/agategap/keyed"
	"github.com/agategap/agategap/outcome"
)

// TestMain fixes the seed of the property tests, so that CI runs are repeatable. For more runs, use
// go test ./batches -rapid.checks 1000 -rapid.seed N.
func TestMain(m *testing.M) {
	flag.Parse()

	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("20261204")
	}

	if f := flag.Lookup("rapid.checks"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("25")
	}

	os.Exit(m.Run())
}

const (
	maxPageBytes = 1 << 20
	callTimeout  = 300 * time.Millisecond
)

var limits = batches.NewLogLimits(1, 16<<10, 64<<10, time.Hour)

// daemon is the controller of jobs of one daemon, which follows all partitions.
type daemon struct {
	*batches.Batches

	stop context.CancelFunc
	wg   sync.WaitGroup
}

func startDaemon(l *memoryLog, n int) *daemon { return startDaemonOn(l, n) }

func startDaemonOn(l keyed.Log, n int) *daemon { return startDaemonWithLimits(l, limits, n) }

func startDaemonWithLimits(l keyed.Log, s batches.LogLimits, n int) *daemon {
	ctx, stop := context.WithCancel(context.Background())
	d := &daemon{
		Batches: batches.New(l, s, batch.NewRunner(fmt.Sprint("vm", n), 1), time.Now, zerolog.Nop()), stop: stop,
	}

	d.wg.Go(func() { _ = batches.NewAssigner(d.Batches, nil, nil, nil, zerolog.Nop()).Run(ctx) })

	return d
}

func (d *daemon) shutDown() {
	d.stop()
	d.wg.Wait()
}

func newJob(id string, items int) batch.Submission {
	l := make([]batch.Item, items)
	for i := range l {
		l[i] = batch.NewItem(fmt.Sprint(id, "-", i), "/x/", nil, []byte(id), 1)
	}

	return batch.NewSubmission(id, "h", "/x/", l).WithTimes(time.Now(), time.Minute, time.Hour)
}

// readResults formats the number of items and the published results of a job.
func readResults(d *daemon, id string) (string, error) {
	ctx, stop := context.WithTimeout(context.Background(), 5*time.Second)
	defer stop()

	p, err := d.Results(ctx, id, 0, maxPageBytes, 0)
	if err != nil {
		return "", err
	}

	s := fmt.Sprint(p.ItemCount(), ":")
	for _, v := range p.Results() {
		s += fmt.Sprint(" ", v.Item(), "=", v.Text(), v.IsCompleted())
	}

	return s, nil
}

// Guards against a job that is accepted after all its submissions were refused with NotRun, an acknowledged job or
// result that is lost, an item with two published results, and daemons with results at different positions. Meanwhile
// appends are refused, lost before or after they take effect, or delayed, and the log truncates its history.
func TestJobsUnderAppendFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		weights := []int{
			60, rapid.IntRange(0, 30).Draw(t, "refused"), rapid.IntRange(0, 30).Draw(t, "lost"),
			rapid.IntRange(0, 30).Draw(t, "dropped"), rapid.IntRange(0, 30).Draw(t, "deferred"),
		}
		r := rand.New(rand.NewPCG(seed, 1))
		l := newMemoryLog()
		l.faults = func() fault { return fault(pickWeighted(r, weights)) }

		d := []*daemon{startDaemon(l, 0), startDaemon(l, 1), startDaemon(l, 2)}

		var (
			wg           sync.WaitGroup
			mu           sync.Mutex
			accepted     = map[string]bool{}
			refused      = map[string]bool{} // every submission failed with the effect NotRun
			acknowledged = map[string]int{}  // bit set of the items whose publication was acknowledged
		)

		for n := range 4 {
			id := fmt.Sprint("job", n)

			wg.Go(func() {
				allNotRun := true

				for _, x := range d {
					ctx, stop := context.WithTimeout(context.Background(), callTimeout)
					err := x.Submit(ctx, newJob(id, 3))

					stop()

					mu.Lock()
					if err == nil {
						accepted[id] = true
					}
					mu.Unlock()

					allNotRun = allNotRun && err != nil && outcome.From(err).Effect() == outcome.NotRun
				}

				mu.Lock()
				refused[id] = allNotRun
				mu.Unlock()

				for i := range 3 {
					for k, x := range d {
						ctx, stop := context.WithTimeout(context.Background(), callTimeout)
						err := x.PublishResult(ctx, id, batch.NewResult(fmt.Sprint(id, "-", i), fmt.Sprint("by", k), true))

						stop()

						mu.Lock()
						if err == nil && accepted[id] {
							acknowledged[id] |= 1 << i
						}
						mu.Unlock()
					}
				}
			})
		}

		if rapid.Bool().Draw(t, "forget") {
			time.Sleep(5 * time.Millisecond)
			l.truncate()
		}

		wg.Wait()
		time.Sleep(60 * time.Millisecond) // for the delayed appends

		l.mu.Lock()
		l.faults = nil
		l.mu.Unlock()

		d = append(d, startDaemon(l, 3))

		for n := range 4 {
			id := fmt.Sprint("job", n)
			first := ""

			for k, x := range d {
				s, err := readResults(x, id)

				switch {
				case err != nil && accepted[id]:
					t.Fatalf("daemon %d lost accepted job %s: %s", k, id, err)
				case err == nil && refused[id]:
					t.Fatalf("%s was accepted although all submissions were refused", id)
				case err == nil && first == "":
					first = s
				case err == nil && s != first:
					t.Fatalf("results of %s differ: %q and %q", id, first, s)
				}
			}

			if accepted[id] {
				checkResults(t, d[3], id, acknowledged[id])
			}
		}

		for _, x := range d {
			x.shutDown()
		}
	})
}

// checkResults fails if an item has two published results, or none although the publication was acknowledged.
func checkResults(t *rapid.T, d *daemon, id string, acknowledged int) {
	p, err := d.Results(context.Background(), id, 0, maxPageBytes, 0)
	if err != nil {
		t.Fatal(err)
	}

	seen := 0

	for _, v := range p.Results() {
		var i int

		_, _ = fmt.Sscanf(v.Item(), id+"-%d", &i)

		if seen&(1<<i) != 0 {
			t.Fatalf("%s has two published results", v.Item())
		}

		seen |= 1 << i
	}

	if acknowledged&^seen != 0 {
		t.Fatalf("results of %s are lost: acknowledged %b, published %b", id, acknowledged, seen)
	}
}

// pickWeighted returns a random index with the given weights.
func pickWeighted(r *rand.Rand, weights []int) int {
	n := 0
	for _, w := range weights {
		n += w
	}

	x := r.IntN(n)

	for i, w := range weights {
		if x < w {
			return i
		}

		x -= w
	}

	return 0
}
