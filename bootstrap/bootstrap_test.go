package bootstrap_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/agategap/agategap/bootstrap"
	"github.com/agategap/agategap/fleet"
	"github.com/agategap/agategap/mesh"
)

// fakeRoutes holds a version that is encoded as one byte.
type fakeRoutes struct {
	mu      sync.Mutex
	version byte
}

func (r *fakeRoutes) Version() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()

	return int64(r.version)
}

func (r *fakeRoutes) Encoded() []byte { return []byte{byte(r.Version())} }

func (r *fakeRoutes) Adopt(b []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.version = max(r.version, b[0])

	return nil
}

// fakePeers has daemons by address. Calls to an address without a daemon fail.
type fakePeers map[string]*bootstrap.Bootstrap

func (p fakePeers) LivePeers(time.Time) []mesh.Peer {
	return []mesh.Peer{{VM: "a", Address: "a"}, {VM: "b", Address: "b"}, {VM: "c", Address: "c"}}
}

func (p fakePeers) Call(_ context.Context, address, _ string, q, a any) error {
	if b := p[address]; b != nil {
		return b.State(q.(bootstrap.StateArgs), a.(*bootstrap.StateReply))
	}

	return errors.New("no reply")
}

// Guards against a daemon that starts while the log is unavailable and cannot serve although another daemon has the
// routes and the targets, because the first ones that it calls have none or do not reply.
func TestNewDaemonBootstrapsFromPeers(t *testing.T) {
	Convey("Given a daemon that is down, a daemon without any state and a daemon that serves", t, func() {
		var old, fresh fleet.Registry

		old.Put(fleet.NewTarget("t", "10.0.0.1:80", "a", "s", 8), 5)
		old.Put(fleet.NewTarget("u", "10.0.0.2:80", "a", "s", 8).WithStart(7).AsLeaving(), 6)
		old.MarkLogRead()

		p := fakePeers{}
		p["b"] = bootstrap.New(p, p, &fakeRoutes{}, &fleet.Registry{}, zerolog.Nop())
		p["c"] = bootstrap.New(p, p, &fakeRoutes{version: 4}, &old, zerolog.Nop())

		Convey("a new daemon gets the routes and the targets within seconds, and runs until it is stopped", func() {
			r := &fakeRoutes{}
			b := bootstrap.New(p, p, r, &fresh, zerolog.Nop())

			ctx, stop := context.WithCancel(context.Background())
			done := make(chan error, 1)

			go func() { done <- b.Run(ctx) }()

			for end := time.Now().Add(5 * time.Second); r.Version() == 0 && time.Now().Before(end); {
				time.Sleep(10 * time.Millisecond)
			}

			So(r.Version(), ShouldEqual, 4)

			l := fresh.Targets(time.Now())
			So(l, ShouldHaveLength, 2)
			So(l, ShouldResemble, old.Targets(time.Now()))

			stop()
			So(<-done, ShouldBeNil)
		})
	})
}
