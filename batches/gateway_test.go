package batches_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/agategap/agategap/batch"
	"github.com/agategap/agategap/batches"
	"github.com/agategap/agategap/mesh"
	"github.com/agategap/agategap/outcome"
)

// fakeRouter returns the daemons to try, and records those that did not reply.
type fakeRouter struct {
	mu     sync.Mutex
	vms    []string // also their addresses
	failed []string
}

func (n *fakeRouter) CallCandidates(int, string, time.Time) []mesh.Peer {
	var l []mesh.Peer
	for _, v := range n.vms {
		l = append(l, mesh.Peer{VM: v, Address: v})
	}

	return l
}

func (n *fakeRouter) MarkFailed(vm string) {
	n.mu.Lock()
	defer n.mu.Unlock()

	n.failed = append(n.failed, vm)
}

// fakeNetwork calls services by address. A call to any other address fails with the effect NotRun.
type fakeNetwork struct {
	services    map[string]*batches.Service
	lostReplies map[string]bool // addresses whose calls take effect, but whose replies are lost
}

func (n *fakeNetwork) Call(_ context.Context, address, method string, q, a any) error {
	s, ok := n.services[address]
	if !ok {
		return outcome.New(outcome.LogUnavailable, outcome.NotRun, "not sent")
	}

	var err error

	switch method {
	case "Jobs.Submit":
		err = s.Submit(q.(batches.SubmitArgs), a.(*batches.ErrorMessage))
	case "Jobs.Results":
		err = s.Results(q.(batches.ResultsArgs), a.(*batches.ResultsReply))
	case "Jobs.Body":
		err = s.Body(q.(batches.ItemArgs), a.(*batches.BodyReply))
	case "Jobs.End":
		err = s.End(q.(batches.ItemArgs), a.(*batches.ErrorMessage))
	default:
		err = errors.New("no such method")
	}

	if n.lostReplies[address] {
		return outcome.New(outcome.LogUnavailable, outcome.Unknown, "no reply")
	}

	return err
}

// noPartitions is the assignment of a daemon that follows no partition.
type noPartitions struct{}

func (noPartitions) ShouldFollow(int, time.Time) bool { return false }
func (noPartitions) IsPartitionInUse(int) bool        { return false }

// startNonFollower starts the controller of a daemon that follows no partition.
func startNonFollower(l *memoryLog) (*batches.Batches, func()) {
	ctx, stop := context.WithCancel(context.Background())
	b := batches.New(l, limits, batch.NewRunner("by", 1), time.Now, zerolog.Nop())
	done := make(chan struct{})

	go func() {
		defer close(done)

		_ = batches.NewAssigner(b, noPartitions{}, noPartitions{}, nil, zerolog.Nop()).Run(ctx)
	}()

	return b, func() { stop(); <-done }
}

// Guards against wrong errors of a daemon that does not follow the partition of a job: NotFound for a job that exists,
// and NotRun for a job that another daemon may have accepted.
func TestGateway(t *testing.T) {
	l := newMemoryLog()
	a := startDaemon(l, 0)

	defer a.shutDown()

	b, end := startNonFollower(l)
	defer end()

	ctx, stop := newTestContext()
	defer stop()

	n := &fakeRouter{}
	w := &fakeNetwork{services: map[string]*batches.Service{"a": batches.NewService(a.Batches), "b": batches.NewService(b)}, lostReplies: map[string]bool{}}
	g := batches.NewGateway(b, n, n, w, zerolog.Nop())

	Convey("Calls skip daemons that are unreachable or do not follow the partition", t, func() {
		n.vms = []string{"gone", "b", "a"}
		So(g.Submit(ctx, newJob("j", 2)), ShouldBeNil)
		So(n.failed, ShouldContain, "gone")
		So(n.failed, ShouldNotContain, "b")

		v, err := g.Body(ctx, "j", "j-1")
		So(err, ShouldBeNil)
		So(string(v), ShouldEqual, "j")

		So(a.PublishResult(ctx, "j", batch.NewResult("j-0", "text", true)), ShouldBeNil)

		p, err := g.Results(ctx, "j", 0, maxPageBytes, time.Second)
		So(err, ShouldBeNil)
		So(p.Results(), ShouldResemble, []batch.Result{batch.NewResult("j-0", "text", true)})
		So(p.ItemCount(), ShouldEqual, 2)

		_, err = g.Results(ctx, "none", 0, maxPageBytes, 0)
		So(outcome.Is(err, outcome.NotFound), ShouldBeTrue)
		So(g.End(ctx, "j"), ShouldBeNil)
	})

	Convey("When no follower of the partition can be reached, the error is not NotFound", t, func() {
		n.vms = []string{"gone", "b"}

		_, err := g.Results(ctx, "j", 0, maxPageBytes, 0)
		So(outcome.Is(err, outcome.NotFound), ShouldBeFalse)
		So(outcome.From(err).Effect(), ShouldEqual, outcome.NotRun)
	})

	Convey("When the reply to a submission is lost, the error does not have the effect NotRun", t, func() {
		w.lostReplies["a"] = true
		n.vms = []string{"a", "gone"}

		err := g.Submit(ctx, newJob("k", 1))
		So(outcome.From(err).Effect(), ShouldEqual, outcome.Unknown)

		w.lostReplies["a"] = false

		So(g.Submit(ctx, newJob("k", 1)), ShouldBeNil)
	})
}

// lateReplyNetwork is a network in which the reply of one daemon arrives after its call timed out, during the call to
// the next daemon.
type lateReplyNetwork struct {
	*fakeNetwork

	address string // of the daemon that replies late
	reply   any    // of its call
}

func (n *lateReplyNetwork) Call(ctx context.Context, address, method string, q, a any) error {
	if address == n.address {
		n.reply = a

		return outcome.New(outcome.LogUnavailable, outcome.Unknown, "no reply in time")
	}

	err := n.fakeNetwork.Call(ctx, address, method, q, a)

	if m, ok := n.reply.(*batches.ResultsReply); ok {
		*m = batches.ResultsReply{Total: 99}
	}

	return err
}

// Guards against a reply that is overwritten by the late reply of a daemon that was tried before.
func TestLateReplyIsIgnored(t *testing.T) {
	l := newMemoryLog()
	a := startDaemon(l, 0)

	defer a.shutDown()

	b, end := startNonFollower(l)
	defer end()

	ctx, stop := newTestContext()
	defer stop()

	Convey("A late reply does not change the reply that is returned", t, func() {
		So(a.Submit(ctx, newJob("j", 2)), ShouldBeNil)

		n := &fakeRouter{vms: []string{"slow", "a"}}
		w := &lateReplyNetwork{fakeNetwork: &fakeNetwork{services: map[string]*batches.Service{"a": batches.NewService(a.Batches)}}, address: "slow"}

		p, err := batches.NewGateway(b, n, n, w, zerolog.Nop()).Results(ctx, "j", 0, maxPageBytes, 0)
		So(err, ShouldBeNil)
		So(p.ItemCount(), ShouldEqual, 2)
	})
}

// Guards against a daemon that becomes unready, or delays its callers, because it is assigned another partition that it
// cannot load.
func TestUnloadablePartition(t *testing.T) {
	l := newMemoryLog()
	a := startDaemon(l, 0)

	defer a.shutDown()

	ctx, stop := newTestContext()
	defer stop()

	s := &fakeAssignment{}
	unreadable := newMemoryLog()
	b := batches.New(unreadable, limits, batch.NewRunner("cut", 1), time.Now, zerolog.Nop())

	x, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})

	go func() {
		defer close(done)

		_ = batches.NewAssigner(b, s, s, nil, zerolog.Nop()).Run(x)
	}()

	defer func() { cancel(); <-done }()

	Convey("The daemon stays ready, and its calls go to a daemon that has loaded the partition", t, func() {
		So(eventually(b.IsReady), ShouldBeTrue)

		unreadable.setDown(true)
		s.set(true, false)
		So(eventually(func() bool { return b.IsFollowing("j") }), ShouldBeTrue)
		So(b.IsReady(), ShouldBeTrue)

		g := batches.NewGateway(b, &fakeRouter{vms: []string{"a"}}, &fakeRouter{}, &fakeNetwork{services: map[string]*batches.Service{"a": batches.NewService(a.Batches)}}, zerolog.Nop())
		start := time.Now()
		So(g.Submit(ctx, newJob("j", 1)), ShouldBeNil)

		p, err := g.Results(ctx, "j", 0, maxPageBytes, 0)
		So(err, ShouldBeNil)
		So(p.ItemCount(), ShouldEqual, 1)
		So(time.Since(start), ShouldBeLessThan, time.Second)
	})
}

// fakeAssignment is the assignment and the usage of all partitions, as set by a test.
type fakeAssignment struct {
	mu      sync.Mutex
	follows bool
	uses    bool
}

func (s *fakeAssignment) set(follows, uses bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.follows, s.uses = follows, uses
}

func (s *fakeAssignment) ShouldFollow(int, time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.follows
}

func (s *fakeAssignment) IsPartitionInUse(int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.uses
}

// eventually reports whether f returns true within 10 seconds.
func eventually(f func() bool) bool {
	for range 1000 {
		if f() {
			return true
		}

		time.Sleep(10 * time.Millisecond)
	}

	return false
}

// Guards against a partition that is dropped while its jobs run here, calls that hang because their partition was
// dropped, and jobs that are missing when a partition is followed again.
func TestAssigner(t *testing.T) {
	l := newMemoryLog()
	s := &fakeAssignment{follows: true}
	b := batches.New(l, limits, batch.NewRunner("vm", 1), time.Now, zerolog.Nop())

	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})

	go func() {
		defer close(done)

		_ = batches.NewAssigner(b, s, s, nil, zerolog.Nop()).Run(ctx)
	}()

	defer func() { stop(); <-done }()

	Convey("A partition is followed, kept while it is in use, dropped, and followed again", t, func() {
		So(b.Submit(ctx, newJob("j", 1)), ShouldBeNil)

		s.set(false, true)
		time.Sleep(6 * time.Second)
		So(b.IsFollowing("j"), ShouldBeTrue)

		s.set(false, false)
		So(eventually(func() bool { return !b.IsFollowing("j") }), ShouldBeTrue)
		So(b.IsReady(), ShouldBeTrue)

		_, err := b.Results(ctx, "j", 0, maxPageBytes, 0)
		So(outcome.Is(err, outcome.NotReady), ShouldBeTrue)
		So(outcome.Is(b.Submit(ctx, newJob("k", 1)), outcome.NotReady), ShouldBeTrue)

		s.set(true, false)
		So(eventually(func() bool { return b.IsFollowing("j") }), ShouldBeTrue)

		p, err := b.Results(ctx, "j", 0, maxPageBytes, 0)
		So(err, ShouldBeNil)
		So(p.ItemCount(), ShouldEqual, 1)
	})
}
