package filter_test

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agategap/agategap/filter"
	"github.com/agategap/agategap/journal"
	"github.com/agategap/agategap/outcome"
)

// partitionRecorder applies records directly to a partition, without a log.
type partitionRecorder struct {
	partition   journal.Partition
	groupNumber uint64
}

func (p *partitionRecorder) Find(_ context.Context, k journal.Key) (journal.Work, bool, error) {
	w, ok := p.partition.Lookup(k)

	return w, ok, nil
}

func (p *partitionRecorder) Await(ctx context.Context, k journal.Key) (journal.Work, error) {
	w, _, err := p.Find(ctx, k)

	return w, err
}

func (p *partitionRecorder) Submit(_ context.Context, k journal.Key, r ...journal.Record) (journal.Work, error) {
	p.Enqueue(k, r...)
	w, _ := p.partition.Lookup(k)

	return w, nil
}

func (p *partitionRecorder) Enqueue(_ journal.Key, r ...journal.Record) {
	p.groupNumber++
	p.partition.Apply(journal.NewEntry(int64(p.groupNumber), time.Now(), journal.Group{Writer: "w", Number: p.groupNumber, Records: r}))
}

// delayedLookup finds a known request after a number of lookups that find nothing.
type delayedLookup struct {
	misses int
	known  bool
}

func (l *delayedLookup) Find(context.Context, string, string) (filter.LookupResponse, bool, error) {
	l.misses--

	return filter.NewLookupResponse(200, "text/plain", []byte("ran")), l.known && l.misses < 0, nil
}

// Guards against a call that ran and is reported with an unknown effect although its target knows it, and against a
// call that is reported as done or as not run although no target knows it.
func TestLostResponseIsLookedUp(t *testing.T) {
	Convey("Given a call that may not run twice and whose response is lost", t, func() {
		s := filter.NewService(filter.ServiceSettings{Name: "bill", Plain: true, Lookup: true, RetainResults: time.Hour})
		r := filter.NewBatchRequest(filter.Input{ID: "r1", Kind: filter.Plain, Service: "bill", Key: "k"}, filter.NewAccount("a", 0), s, time.Now().Add(time.Minute))
		lost := filter.HandlerFunc(func(context.Context, *filter.Request, filter.Sink) error {
			return outcome.New(outcome.LostResponse, outcome.Unknown, "lost")
		})

		var p partitionRecorder

		var c filter.Collector

		run := func(l *delayedLookup) error {
			return filter.NewRecord(&p, "vm", oneSecondTimeouts{}).WithLookup(l).Apply(context.Background(), r, &c, lost)
		}

		Convey("the response of a target that knows it at the second lookup is recorded", func() {
			So(run(&delayedLookup{misses: 1, known: true}), ShouldBeNil)
			So(string(c.Complete().Body), ShouldEqual, "ran")

			w, _, _ := p.Find(context.Background(), r.WorkKey())
			So(w.Result().Effect, ShouldEqual, journal.Done)
		})
		Convey("if no target knows it, the effect is recorded as unknown", func() {
			err := run(&delayedLookup{})
			So(outcome.From(err).Effect(), ShouldEqual, outcome.Unknown)

			w, _, _ := p.Find(context.Background(), r.WorkKey())
			So(w.Result().Effect, ShouldEqual, journal.Unknown)
		})
	})
}

type oneSecondTimeouts struct{}

func (oneSecondTimeouts) RecordWait() time.Duration { return time.Second }
