package daemon_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/agategap/agategap/config"
	"github.com/agategap/agategap/configs"
	"github.com/agategap/agategap/daemon"
	"github.com/agategap/agategap/platform"
	"github.com/agategap/agategap/settings"
	"github.com/agategap/agategap/standin/engine"
	"github.com/agategap/agategap/standin/store"
	"github.com/agategap/agategap/wire"
)

const peerKey = "0123456789abcdef"

// cluster is a failure domain with a platform, one engine and some daemons.
type cluster struct {
	ctx            context.Context //nolint:containedctx // ends with the test
	store          *store.Store
	address        string
	engine         *httptest.Server
	engineRequests atomic.Int64 // POST requests that reached the engine
	daemons        []*daemon.Daemon
	stopFuncs      []context.CancelFunc
}

func newCluster(t *testing.T, n int) *cluster {
	t.Helper()

	x, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)

	s := &cluster{ctx: x, store: store.New(store.Options{})}
	e := engine.New(engine.Options{Models: []string{"signwriter"}})

	go e.Run(x.Done())

	h := e.Handler()
	s.engine = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			s.engineRequests.Add(1)
		}

		h.ServeHTTP(w, r)
	}))
	t.Cleanup(s.engine.Close)

	p := httptest.NewServer(s.store.Handler())
	t.Cleanup(p.Close)

	s.address = p.Listener.Addr().String()
	if err := s.store.PutRegistration("worker-1", store.Registration{
		Service: "signwriter", Address: s.engine.Listener.Addr().String(), Zone: "dk-fyn", Slots: 8, State: store.Ready,
	}); err != nil {
		t.Fatal(err)
	}

	s.publishConfig(t, "first", 0)

	for range n {
		s.startDaemon(t, s.address)
	}

	return s
}

func (s *cluster) publishConfig(t *testing.T, id string, base int64) {
	t.Helper()

	c, err := config.Format(config.Document{Partitions: 16, Services: []config.ServiceRecord{{Name: "signwriter", Kind: config.KindEngine}}})
	if err != nil {
		t.Fatal(err)
	}

	p := configs.NewPublisher(platform.NewStore(s.address), wire.VersionCodec{})
	if err := p.Read(s.ctx); err != nil {
		t.Fatal(err)
	}

	if _, err := p.Publish(s.ctx, config.Version{ID: id, Author: "test", BaseOn: base, Text: c}, 5*time.Second); err != nil {
		t.Fatal(err)
	}
}

// startDaemon starts a daemon that uses the platform at an address. Its peer is the first daemon of the cluster.
func (s *cluster) startDaemon(t *testing.T, address string) *daemon.Daemon {
	t.Helper()

	vm := "entry-" + string(rune('a'+len(s.daemons)))
	o := settings.Daemon{
		VM: vm, FailureDomain: "dk-fyn", Region: "dk", CallerAddress: "127.0.0.1:0", OperatorAddress: "127.0.0.1:0",
		PeerAddress: "127.0.0.1:0", Platform: address, PeerKeys: []string{peerKey}, Policy: "owner",
	}

	if len(s.daemons) > 0 {
		o.Peers = []string{s.daemons[0].PeerAddress()}
	}

	d, err := daemon.New(o, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}

	x, stop := context.WithCancel(s.ctx)

	go func() { _ = d.Run(x) }()

	s.daemons, s.stopFuncs = append(s.daemons, d), append(s.stopFuncs, stop)

	return d
}

// allHavePeers waits until each daemon has n peers, itself included, and reports whether that happened.
func (s *cluster) allHavePeers(n int) bool {
	return eventually(func() bool {
		return !slices.ContainsFunc(s.daemons, func(d *daemon.Daemon) bool { return len(d.Membership().Peers()) != n })
	})
}

// Guards against a new VM that cannot serve because its failure domain is cut off from the platform.
func TestNewVMStartsFromPeers(t *testing.T) {
	Convey("Given daemons with a configuration and a list of VMs", t, func() {
		s := newCluster(t, 2)
		So(s.allHavePeers(2), ShouldBeTrue)
		So(eventually(func() bool { ok, _ := s.daemons[0].Ready(); return ok }), ShouldBeTrue)

		Convey("a new daemon that cannot reach the platform becomes ready", func() {
			d := s.startDaemon(t, "127.0.0.1:1")
			So(eventually(func() bool { ok, _ := d.Ready(); return ok }), ShouldBeTrue)
			So(s.allHavePeers(3), ShouldBeTrue)
		})
	})
}

// Guards against a target that reports itself as leaving and still gets work, because the list of VMs shows it as live.
func TestTargetReportsItselfLeaving(t *testing.T) {
	Convey("Given a target that reports itself as leaving", t, func() {
		s := newCluster(t, 3)
		So(s.allHavePeers(3), ShouldBeTrue)

		q, _ := http.NewRequest(http.MethodPut, s.engine.URL+"/control/leaving", nil)
		a, err := http.DefaultClient.Do(q)
		So(err, ShouldBeNil)
		a.Body.Close()

		Convey("every daemon knows within seconds, and the list of VMs does not revert it", func() {
			known := func() bool {
				return !slices.ContainsFunc(s.daemons, func(d *daemon.Daemon) bool {
					return !d.Membership().IsTargetLeaving("worker-1", s.engine.Listener.Addr().String())
				})
			}
			So(eventually(known), ShouldBeTrue)
			time.Sleep(time.Second)
			So(known(), ShouldBeTrue)
			So(s.engineRequests.Load(), ShouldEqual, 0)
		})
	})
}

// Guards against a daemon that was shut down and stays in the membership of the others, and against a shutdown without
// a drain wait that does not hand over at once.
func TestADaemonThatLeavesIsRemovedAtOnce(t *testing.T) {
	Convey("Given three daemons", t, func() {
		s := newCluster(t, 3)
		So(s.allHavePeers(3), ShouldBeTrue)

		s.stopFuncs[2]()
		s.daemons = s.daemons[:2]

		began := time.Now()
		So(s.allHavePeers(2), ShouldBeTrue)
		So(time.Since(began), ShouldBeLessThan, 4*time.Second) // less than the time until a suspected daemon is removed
	})
}
