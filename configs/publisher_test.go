package configs_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agategap/agategap/config"
	"github.com/agategap/agategap/configs"
	"github.com/agategap/agategap/outcome"
	"github.com/agategap/agategap/platform"
	"github.com/agategap/agategap/standin/store"
	"github.com/agategap/agategap/wire"
)

const publishTimeout = 5 * time.Second

// Guards against a publication whose fate is misreported, that comes into force twice, or that overwrites a change that
// its author has not seen.
func TestPublisher(t *testing.T) {
	Convey("Given a store and two operators", t, func() {
		s := store.New(store.Options{})
		h := httptest.NewServer(s.Handler())

		Reset(h.Close)

		ctx := context.Background()
		operator := func() *configs.Publisher {
			return configs.NewPublisher(platform.NewStore(h.Listener.Addr().String()), wire.VersionCodec{})
		}
		version := func(id string, based int64, n int) config.Version {
			return config.Version{ID: id, Author: id, BaseOn: based, Text: documentText(n)}
		}

		ada, bo := operator(), operator()
		So(ada.Read(ctx), ShouldBeNil)
		So(bo.Read(ctx), ShouldBeNil)
		So(ada.InForce().Number(), ShouldEqual, 0)

		Convey("versions count from 1, and earlier ones can be compared", func() {
			for i := range 20 {
				n, err := ada.Publish(ctx, version(fmt.Sprint(i), int64(i), i+1), publishTimeout)
				So(err, ShouldBeNil)
				So(n, ShouldEqual, i+1)
			}

			So(bo.Read(ctx), ShouldBeNil)
			So(bo.InForce().Number(), ShouldEqual, 20)

			c := operator()
			So(c.Read(ctx), ShouldBeNil)
			So(c.InForce().Number(), ShouldEqual, 20)

			f, ok := c.Version(14)
			So(ok, ShouldBeTrue)
			So(f.Document().Partitions, ShouldEqual, 14)

			_, ok = c.Version(12)
			So(ok, ShouldBeFalse)
		})

		Convey("of two operators who have read the same version one is refused, whoever appends first", func() {
			var wg sync.WaitGroup

			errs := make([]error, 2)

			for i, p := range []*configs.Publisher{ada, bo} {
				wg.Go(func() { _, errs[i] = p.Publish(ctx, version(fmt.Sprint(i), 0, i+1), publishTimeout) })
			}

			wg.Wait()
			So(errs[0] == nil, ShouldNotEqual, errs[1] == nil)
			So(s.Appends(), ShouldEqual, 1)

			for i, err := range errs {
				if err != nil {
					So(outcome.From(err).Code(), ShouldEqual, outcome.Conflict)
					So(outcome.From(err).Effect(), ShouldEqual, outcome.NotRun)

					p := []*configs.Publisher{ada, bo}[i]
					So(p.InForce().Number(), ShouldEqual, 1) // the rival's
				}
			}
		})

		Convey("a version that is based on an older one is refused without an append", func() {
			_, err := ada.Publish(ctx, version("a", 0, 1), publishTimeout)
			So(err, ShouldBeNil)

			_, err = ada.Publish(ctx, version("b", 0, 2), publishTimeout)
			So(outcome.From(err).Code(), ShouldEqual, outcome.Conflict)
			So(s.Appends(), ShouldEqual, 1)
		})

		Convey("an append whose answer is lost comes into force once", func() {
			s.SetFaults(store.Faults{LostShare: 1})

			n, err := ada.Publish(ctx, version("a", 0, 1), publishTimeout)
			So(err, ShouldBeNil)
			So(n, ShouldEqual, 1)
			So(s.Appends(), ShouldEqual, 1)
		})

		Convey("an append that takes effect late comes into force once", func() {
			s.SetFaults(store.Faults{LostShare: 1, LateMS: 700})

			n, err := ada.Publish(ctx, version("a", 0, 1), publishTimeout)
			So(err, ShouldBeNil)
			So(n, ShouldEqual, 1)

			time.Sleep(time.Second) // the other attempts' time
			So(s.Appends(), ShouldEqual, 1)
		})

		Convey("an append that is refused has no effect", func() {
			s.SetFaults(store.Faults{NoAppends: true})

			_, err := ada.Publish(ctx, version("a", 0, 1), publishTimeout)
			So(outcome.From(err).Effect(), ShouldEqual, outcome.NotRun)
			So(s.Appends(), ShouldEqual, 0)
		})

		Convey("one that is neither confirmed nor found in time is unknown", func() {
			s.SetFaults(store.Faults{LostShare: 1, LateMS: 60_000})

			_, err := ada.Publish(ctx, version("a", 0, 1), 300*time.Millisecond)
			So(outcome.From(err).Effect(), ShouldEqual, outcome.Unknown)
		})
	})
}
