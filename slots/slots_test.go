package slots_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/agategap/agategap/filter"
	"github.com/agategap/agategap/fleet"
	"github.com/agategap/agategap/internal/serve/quarantine"
	"github.com/agategap/agategap/mesh"
	"github.com/agategap/agategap/outcome"
	"github.com/agategap/agategap/routing"
	"github.com/agategap/agategap/slots"
)

// network connects the daemons of a test. Calls to a daemon that is down block until their context ends.
type network struct {
	mu          sync.Mutex
	daemons     map[string]*daemon
	down        map[string]bool
	lostNotices map[string]int // number of notices to lose, by address
	skew        time.Duration  // added to the time of the quarantines
}

// now returns the time of the quarantines.
func (n *network) now() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()

	return time.Now().Add(n.skew)
}

// advance advances the time of the quarantines.
func (n *network) advance(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()

	n.skew += d
}

type noCounter struct{}

func (noCounter) Count(string, int64) {}

// daemon is one daemon with its owner and holder. It is also the slots.Peers of its holder, and ranks daemons by name.
type daemon struct {
	network *network
	self    mesh.Peer
	owner   *slots.Owner
	holder  *slots.Holder
	prompts *quarantine.Controller

	mu     sync.Mutex
	failed map[string]bool
}

var errUnknownMethod = errors.New("no such method")

func (n *network) Call(ctx context.Context, address, method string, q, a any) error {
	n.mu.Lock()
	d, down, lost := n.daemons[address], n.down[address], method == "Holder.Notice" && n.lostNotices[address] > 0
	if lost {
		n.lostNotices[address]--
	}
	n.mu.Unlock()

	if down || d == nil {
		<-ctx.Done()

		return ctx.Err()
	}

	if lost {
		return nil // counts as delivered, as if the process were paused after the kernel has accepted the data
	}

	switch method {
	case "Slot.Ask":
		return d.owner.Ask(q.(slots.AskArgs), a.(*slots.AskReply))
	case "Slot.Withdraw":
		return d.owner.Withdraw(q.(slots.WithdrawArgs), nil)
	case "Slot.Release":
		return d.owner.Release(q.(slots.ReleaseArgs), nil)
	case "Slot.Report":
		return d.owner.Report(q.(slots.ReportArgs), nil)
	case "Holder.Notice":
		return d.holder.Notice(q.(slots.NoticeArgs), nil)
	default:
		return errUnknownMethod
	}
}

func (n *network) setDown(address string, down bool) {
	n.mu.Lock()
	defer n.mu.Unlock()

	n.down[address] = down
}

func (n *network) loseNotices(address string, count int) {
	n.mu.Lock()
	defer n.mu.Unlock()

	n.lostNotices[address] = count
}

func (d *daemon) Self() mesh.Peer { return d.self }

func (d *daemon) LivePeers(now time.Time) []mesh.Peer { return d.RankedPeers("", now) }

func (d *daemon) RankedPeers(string, time.Time) []mesh.Peer {
	d.network.mu.Lock()
	defer d.network.mu.Unlock()

	var l []mesh.Peer

	d.mu.Lock()
	defer d.mu.Unlock()

	for _, o := range d.network.daemons {
		if !d.failed[o.self.VM] {
			l = append(l, o.self)
		}
	}

	slices.SortFunc(l, func(a, b mesh.Peer) int {
		if a.VM < b.VM {
			return -1
		}

		return 1
	})

	return l
}

func (d *daemon) MarkFailed(vm string) {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.failed[vm] = true
}

// targetList has the targets of the service.
type targetList struct {
	mu      sync.Mutex
	targets []fleet.Target
}

func (w *targetList) UsableTargets(string, time.Time) []fleet.Target {
	w.mu.Lock()
	defer w.mu.Unlock()

	return slices.Clone(w.targets)
}

func (w *targetList) Version(time.Time) int64 { return int64(len(w.UsableTargets("", time.Time{}))) }

func (w *targetList) Find(name string, now time.Time) (fleet.Target, bool) {
	for _, t := range w.UsableTargets("", now) {
		if t.Name() == name {
			return t, true
		}
	}

	return fleet.Target{}, false
}

// startDaemons starts daemons that share one target with a number of slots.
func startDaemons(t *testing.T, daemons, slotCount int) (*network, []*daemon) {
	t.Helper()

	n := &network{daemons: map[string]*daemon{}, down: map[string]bool{}, lostNotices: map[string]int{}}
	w := &targetList{targets: []fleet.Target{fleet.NewTarget("t", "10.0.0.1:80", "a", "s", slotCount)}}

	ctx, stop := context.WithCancel(context.Background())

	var (
		l  []*daemon
		wg sync.WaitGroup
	)

	for i := range daemons {
		d := &daemon{network: n, failed: map[string]bool{}, self: mesh.Peer{VM: fmt.Sprint("vm", i), Address: fmt.Sprint("vm", i), Start: 1}}
		d.prompts = quarantine.NewController(noCounter{}, n.now, zerolog.Nop())
		d.owner = slots.NewOwner(n, w, d.self.Address)
		d.owner.SetQuarantine(d.prompts)
		d.holder = slots.NewHolder(d, n, d.owner, w)
		l = append(l, d)
		n.daemons[d.self.Address] = d
	}

	for _, d := range l {
		wg.Go(func() { _ = d.owner.Run(ctx) })
		wg.Go(func() { _ = d.holder.Run(ctx) })
	}

	t.Cleanup(func() { stop(); wg.Wait() })

	return n, l
}

type routeTable struct{}

var routes = routing.NewTable(1, []routing.Route{
	routing.New(routing.Spec{Name: "o", Host: "h", Prefix: "/o/", Kind: routing.Streaming, Objective: 2 * time.Second, Timeout: 5 * time.Second, Attempts: 1, Backends: []routing.Backend{routing.NewBackend("s", 1)}}),
	routing.New(routing.Spec{Name: "b", Host: "h", Prefix: "/b/", Kind: routing.Batch, Attempts: 3, Backends: []routing.Backend{routing.NewBackend("s", 1)}}),
}, routing.Limits{}, nil)

func (routeTable) Table() *routing.Table { return routes }

// slowTarget responds to requests after runTime and counts the concurrent ones.
type slowTarget struct {
	runTime time.Duration

	mu      sync.Mutex
	current int
	peak    int
}

func (g *slowTarget) Handle(ctx context.Context, r *filter.Request, s filter.Sink) error {
	g.mu.Lock()
	g.current++
	g.peak = max(g.peak, g.current)
	g.mu.Unlock()

	defer func() {
		g.mu.Lock()
		g.current--
		g.mu.Unlock()
	}()

	r.MarkSent()

	select {
	case <-time.After(g.runTime):
	case <-ctx.Done():
		return outcome.New(outcome.Cancelled, outcome.Unknown, "ended")
	}

	return errors.Join(s.Emit(filter.NewHead(r.ID(), 200, "")), s.Emit(filter.NewChunk(r.ID(), 1, nil, "x")), s.Emit(filter.NewEnd(r.ID(), "", 0, 0)))
}

func (g *slowTarget) runningCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()

	return g.current
}

func discardEvent(filter.Event) error { return nil }

func (d *daemon) runOnline(g *slowTarget, id string) error {
	q := filter.NewRequest(filter.Input{ID: id, Path: "/o/", Arrived: time.Now(), Timeout: 5 * time.Second, Call: filter.NewCall("POST", "h", "/o/", nil)})

	return filter.RoutedChain(routeTable{}, nil, d.holder, time.Now, nil, g).Handle(context.Background(), q, filter.SinkFunc(discardEvent))
}

func (d *daemon) runItem(ctx context.Context, g *slowTarget, id string) error {
	route, _ := routes.Match("h", "/b/")
	q := filter.NewItemRequest(filter.Input{ID: id, Path: "/b/", Arrived: time.Now(), Call: filter.NewCall("POST", "h", "/b/", nil)}, route, time.Now().Add(18*time.Second), time.Now().Add(time.Minute))

	return filter.ItemChain(d.holder, time.Now, nil, g).Handle(ctx, q, filter.SinkFunc(discardEvent))
}

// Guards against more requests at a target than it has slots when several daemons use it, and against requests that are
// neither served nor refused with effect NotRun. Some are refused, as the pool assumes at first that a request takes a
// second.
func TestDaemonsShareSlots(t *testing.T) {
	_, l := startDaemons(t, 3, 2)
	g := &slowTarget{runTime: 60 * time.Millisecond}

	Convey("The requests of all daemons never exceed the slots, and each is served or refused", t, func() {
		var wg sync.WaitGroup

		errs := make([]error, 24)
		for i := range errs {
			wg.Go(func() { errs[i] = l[i%3].runOnline(g, fmt.Sprint("r", i)) })
		}

		wg.Wait()

		served := 0

		for _, err := range errs {
			if err == nil {
				served++

				continue
			}

			So(outcome.Is(err, outcome.Overloaded), ShouldBeTrue)
			So(outcome.From(err).Effect(), ShouldEqual, outcome.NotRun)
		}

		So(served, ShouldBeGreaterThanOrEqualTo, 4)
		So(g.peak, ShouldEqual, 2)
	})
}

// Guards against requests that fail when the slot owner is lost, and against a new owner that grants slots in use.
func TestOwnerFailover(t *testing.T) {
	n, l := startDaemons(t, 3, 2)
	g := &slowTarget{runTime: 600 * time.Millisecond}

	Convey("When the owner is lost while a request runs, the next owner grants the remaining slots", t, func() {
		first := make(chan error, 1)
		go func() { first <- l[1].runOnline(g, "first") }()

		time.Sleep(300 * time.Millisecond) // until the first lease is reported to the next owner
		n.setDown("vm0", true)

		began := time.Now()

		var wg sync.WaitGroup

		errs := make([]error, 2)
		for i := range errs {
			wg.Go(func() { errs[i] = l[1+i].runOnline(g, fmt.Sprint("r", i)) })
		}

		wg.Wait()
		So(errs, ShouldResemble, []error{nil, nil})
		So(<-first, ShouldBeNil)
		So(time.Since(began), ShouldBeLessThan, 2*time.Second)
		So(g.peak, ShouldEqual, 2)
	})
}

// Guards against online requests that wait for batch items to end, and against items that get no slot again.
func TestOnlineRequestPreemptsItem(t *testing.T) {
	_, l := startDaemons(t, 2, 1)
	items, online := &slowTarget{runTime: 10 * time.Second}, &slowTarget{runTime: 20 * time.Millisecond}

	Convey("When an item of one daemon holds the only slot, an online request of another daemon preempts it", t, func() {
		ctx, stop := context.WithCancel(context.Background())
		defer stop()

		ended := make(chan error, 1)
		go func() { ended <- l[1].runItem(ctx, items, "item") }()

		for range 200 {
			if items.runningCount() == 1 {
				break
			}

			time.Sleep(5 * time.Millisecond)
		}

		began := time.Now()
		So(l[0].runOnline(online, "r"), ShouldBeNil)
		So(time.Since(began), ShouldBeLessThan, 500*time.Millisecond)
		So(filter.IsPreempted(<-ended), ShouldBeTrue)

		go func() { ended <- l[1].runItem(ctx, items, "item") }()

		restarted := false
		for range 200 {
			if restarted = items.runningCount() == 1; restarted {
				break
			}

			time.Sleep(5 * time.Millisecond)
		}

		So(restarted, ShouldBeTrue)
	})
}

// Guards against an online request that waits until a batch item ends because the notice of the preemption was lost, or
// arrived before the item's holder had the reply that granted its slot.
func TestLostPreemptionIsRepeated(t *testing.T) {
	n, l := startDaemons(t, 2, 1)
	items, online := &slowTarget{runTime: 10 * time.Second}, &slowTarget{runTime: 20 * time.Millisecond}

	Convey("When the notice is lost, the item is preempted after the next reports of its holder", t, func() {
		ctx, stop := context.WithCancel(context.Background())
		defer stop()

		ended := make(chan error, 1)
		go func() { ended <- l[1].runItem(ctx, items, "item") }()

		for end := time.Now().Add(2 * time.Second); items.runningCount() == 0 && time.Now().Before(end); {
			time.Sleep(5 * time.Millisecond)
		}

		n.loseNotices("vm1", 1)

		began := time.Now()
		So(l[0].runOnline(online, "r"), ShouldBeNil)
		So(time.Since(began), ShouldBeLessThan, time.Second)
		So(filter.IsPreempted(<-ended), ShouldBeTrue)
	})
}

// Guards against a slot that stays unused because the notice of its grant was lost.
func TestLostGrantIsRepeated(t *testing.T) {
	n, l := startDaemons(t, 2, 1)
	g := &slowTarget{runTime: 50 * time.Millisecond}

	Convey("A request whose notice is lost is repeated and gets the same slot", t, func() {
		first := make(chan error, 1)
		go func() { first <- l[0].runOnline(&slowTarget{runTime: 200 * time.Millisecond}, "first") }()

		time.Sleep(50 * time.Millisecond)
		n.loseNotices("vm1", 1)

		began := time.Now()
		So(l[1].runOnline(g, "second"), ShouldBeNil)
		So(<-first, ShouldBeNil)
		So(time.Since(began), ShouldBeBetween, 300*time.Millisecond, 1500*time.Millisecond)
	})
}
