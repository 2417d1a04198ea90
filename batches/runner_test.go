package batches_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/agategap/agategap/batch"
	"github.com/agategap/agategap/batches"
	"github.com/agategap/agategap/filter"
	"github.com/agategap/agategap/mesh"
	"github.com/agategap/agategap/outcome"
	"github.com/agategap/agategap/routing"
)

// alone is a daemon that knows another one, which is live or not.
type alone struct{ other, dropped bool }

func (a alone) Self() mesh.Peer                                 { return mesh.Peer{VM: "self", Start: 1} }
func (a alone) Runners(int, string, time.Time) []mesh.Peer      { return []mesh.Peer{a.Self()} }
func (a alone) HasStoppedFollowing(string, int, time.Time) bool { return a.dropped }
func (a alone) IsRunning(_ string, _ int64, _ time.Time) bool   { return a.other }

type noCalls struct{}

func (noCalls) Call(context.Context, string, string, any, any) error {
	return outcome.New(outcome.LogUnavailable, outcome.NotRun, "no peer")
}

type batchRoutes struct{}

func (batchRoutes) Table() *routing.Table {
	return routing.NewTable(1, []routing.Route{routing.New(routing.Spec{
		Name: "b", Host: "h", Prefix: "/x/", Kind: routing.Batch, Attempts: 3, Backends: []routing.Backend{routing.NewBackend("s", 1)},
	})}, routing.Limits{}, nil)
}

// engine answers items with events, slowly.
type engine struct {
	events int
	gap    time.Duration

	mu    sync.Mutex
	after map[string][]int
}

func (g *engine) Handle(ctx context.Context, r *filter.Request, s filter.Sink) error {
	g.mu.Lock()
	if g.after == nil {
		g.after = map[string][]int{}
	}

	g.after[r.ID()] = append(g.after[r.ID()], r.LastEvent())
	g.mu.Unlock()

	_ = s.Emit(filter.NewHead(r.ID(), 200, "text/event-stream"))

	for n := r.LastEvent() + 1; n <= g.events; n++ {
		select {
		case <-time.After(g.gap):
		case <-ctx.Done():
			return outcome.New(outcome.Cancelled, outcome.Unknown, "ended")
		}

		if err := s.Emit(filter.NewChunk(r.ID(), n, nil, fmt.Sprint(n))); err != nil {
			return err
		}
	}

	return nil
}

func (g *engine) asked(id string) []int {
	g.mu.Lock()
	defer g.mu.Unlock()

	return append([]int(nil), g.after[id]...)
}

func runner(d *daemon, g *engine, p alone) (*batches.Runner, func()) {
	ctx, stop := context.WithCancel(context.Background())
	r := batches.NewRunner(d.Batches, g, batchRoutes{}, p, noCalls{}, time.Now, zerolog.Nop())
	done := make(chan struct{})

	go func() {
		defer close(done)

		_ = r.Run(ctx)
	}()

	return r, func() { stop(); <-done }
}

func texts(from, to int) string {
	s := ""

	for n := from; n <= to; n++ {
		if n > 1 {
			s += "\n"
		}

		s += fmt.Sprint(n)
	}

	return s
}

// Guards against items that start from their first event again when their daemon is lost, against taking over from a
// daemon that is live, and against texts joined from events of two runs. Found by the bench (ORDER): a daemon recorded
// further events after it had handed an item over, and the new one went on behind them.
func TestRunnerGoesOn(t *testing.T) {
	l := newMemory()
	d := start(l, 0)

	defer d.end()

	ctx, stop := background()
	defer stop()

	Convey("With a job of another daemon that has recorded ten events of an item", t, func() {
		other := start(l, 1)
		defer other.end()

		Convey("this one goes on behind them when the other is lost, and the text is whole", func() {
			id := "k"
			So(other.Submit(ctx, job(id, 1)), ShouldBeNil)
			So(other.Save(ctx, id, "k-0", batch.NewEvents(texts(1, 10), 0, 10, 7, 0)), ShouldBeNil)
			time.Sleep(50 * time.Millisecond)

			g := &engine{events: 20, gap: time.Millisecond}
			_, end := runner(d, g, alone{})
			p, err := d.Results(ctx, id, 0, mostBytes, 4*time.Second)

			end()
			So(err, ShouldBeNil)
			So(p.Results(), ShouldHaveLength, 1)
			So(p.Results()[0].Text(), ShouldEqual, texts(1, 20))
			So(g.asked("k-0"), ShouldResemble, []int{10})
		})

		Convey("after a hand-over it does not record events behind those that the other records later", func() {
			id := "m"
			So(other.Submit(ctx, job(id, 1)), ShouldBeNil)
			So(other.Save(ctx, id, "m-0", batch.NewEvents(texts(1, 10), 0, 10, 7, 0)), ShouldBeNil)
			time.Sleep(50 * time.Millisecond)

			g := &engine{events: 1000, gap: 5 * time.Millisecond}
			r, end := runner(d, g, alone{other: true})

			var a batches.AdoptReply

			So(r.Adopt(batches.AdoptRequest{Job: id, Items: []batches.ProgressMessage{
				{ID: "m-0", Text: []byte(texts(1, 12)), Last: 12, Onto: 7},
			}}, &a), ShouldBeNil)
			So(a.Taken, ShouldBeTrue)

			// The item runs before the other daemon records more; otherwise it would go on behind that.
			for range 200 {
				if len(g.asked("m-0")) > 0 {
					break
				}

				time.Sleep(5 * time.Millisecond)
			}

			So(other.Save(ctx, id, "m-0", batch.NewEvents(texts(11, 14), 10, 14, 7, 7)), ShouldBeNil)
			time.Sleep(2 * time.Second)
			end()

			So(g.asked("m-0"), ShouldResemble, []int{12})

			last, chain := d.Saved(id, "m-0")
			So(last, ShouldEqual, 14)
			So(chain, ShouldEqual, 7)
		})
	})
}

// Guards against a job that nobody runs, as it was recorded for a live daemon that has dropped the partition. Found by the
// soak (seed 5012): the append was under way when the partition was dropped.
func TestRunnerTakesDroppedJobs(t *testing.T) {
	l := newMemory()
	d := start(l, 0)

	defer d.end()

	ctx, stop := background()
	defer stop()

	Convey("A job of a live daemon that does not follow the partition any more runs here", t, func() {
		other := start(l, 1)
		So(other.Submit(ctx, job("k", 1)), ShouldBeNil)
		other.end()

		_, end := runner(d, &engine{events: 3, gap: time.Millisecond}, alone{other: true, dropped: true})
		defer end()

		p, err := d.Results(ctx, "k", 0, mostBytes, 4*time.Second)
		So(err, ShouldBeNil)
		So(p.Results(), ShouldHaveLength, 1)
		So(p.Results()[0].Text(), ShouldEqual, texts(1, 3))
	})
}
