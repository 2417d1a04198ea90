package mesh_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/agategap/agategap/internal/serve/quarantine"
	"github.com/agategap/agategap/mesh"
)

var errCut = errors.New("no reply")

// meshNetwork delivers the heartbeats of daemons by address and counts them.
type meshNetwork struct {
	mu    sync.Mutex
	nodes map[string]*mesh.Mesh
	beats int
	cut   map[string]bool // directions "from>to" in which nothing arrives
}

// client is the connection of one daemon to the network.
type client struct {
	network *meshNetwork
	from    string
}

func (c client) Call(_ context.Context, address, _ string, q, a any) error {
	n := c.network

	n.mu.Lock()
	n.beats++
	m, lost, replyLost := n.nodes[address], n.cut[c.from+">"+address], n.cut[address+">"+c.from]
	n.mu.Unlock()

	if m == nil || lost {
		return errCut
	}

	err := m.Beat(q.(mesh.Heartbeat), a.(*mesh.HeartbeatReply))
	if replyLost {
		return errCut
	}

	return err
}

func (n *meshNetwork) count() int {
	n.mu.Lock()
	defer n.mu.Unlock()

	return n.beats
}

func (n *meshNetwork) setCut(direction string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()

	n.cut[direction] = cut
}

// startMeshes runs n daemons that know the first one as their seed. They are stopped at the end of the test.
func startMeshes(t *testing.T, n int) *meshNetwork {
	t.Helper()

	x := &meshNetwork{nodes: map[string]*mesh.Mesh{}, cut: map[string]bool{}}
	ctx, stop := context.WithCancel(context.Background())

	var wg sync.WaitGroup

	for i := range n {
		vm := fmt.Sprint("vm", i)
		x.nodes[vm] = mesh.NewMesh(mesh.New(mesh.Peer{VM: vm, Address: vm, Start: time.Now().UnixMilli()}), client{x, vm}, []string{"vm0"}, zerolog.Nop())
	}

	for _, m := range x.nodes {
		wg.Go(func() { _ = m.Run(ctx) })
		time.Sleep(20 * time.Millisecond)
	}

	t.Cleanup(func() { stop(); wg.Wait() })

	return x
}

func (n *meshNetwork) live(vm string) int { return len(n.nodes[vm].Table().LivePeers(time.Now())) }

func (n *meshNetwork) allLive() bool {
	for vm := range n.nodes {
		if n.live(vm) != len(n.nodes)-1 {
			return false
		}
	}

	return true
}

func within(d time.Duration, holds func() bool) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return true
		}
	}

	return holds()
}

// Guards against two heartbeats between each pair of daemons where one shows both that they are live, and against
// daemons that count as live although they do not get what is sent to them.
func TestOneHeartbeatForEachPair(t *testing.T) {
	n := startMeshes(t, 6)

	Convey("All daemons find each other", t, func() { So(within(3*time.Second, n.allLive), ShouldBeTrue) })

	Convey("In each interval, about one heartbeat is sent for each pair", t, func() {
		time.Sleep(time.Second)

		before := n.count()
		time.Sleep(2 * time.Second) // eight intervals of 250 ms

		const pairs = 15

		So(n.count()-before, ShouldBeBetween, 6*pairs, 11*pairs)
		So(n.allLive(), ShouldBeTrue)
	})

	Convey("When nothing arrives in one direction, both daemons notice", t, func() {
		n.setCut("vm1>vm2", true)
		So(within(3*time.Second, func() bool { return n.live("vm1") == 4 && n.live("vm2") == 4 }), ShouldBeTrue)

		n.setCut("vm1>vm2", false)
		So(within(3*time.Second, n.allLive), ShouldBeTrue)
	})
}

// versions records the offers of other daemons.
type versions struct {
	mu     sync.Mutex
	own    int64
	offers map[string]int64
}

func (v *versions) Version() int64 { return v.own }

func (v *versions) HandleVersion(vm, _ string, version int64) {
	v.mu.Lock()
	defer v.mu.Unlock()

	v.offers[vm] = version
}

func (v *versions) offer(vm string) int64 {
	v.mu.Lock()
	defer v.mu.Unlock()

	return v.offers[vm]
}

// Guards against a daemon that does not learn which version of the routes others have in force, from their heartbeats or
// from the replies to its own.
func TestHeartbeatsExchangeRouteVersions(t *testing.T) {
	Convey("Given two daemons with different versions of the routes", t, func() {
		x := &meshNetwork{nodes: map[string]*mesh.Mesh{}, cut: map[string]bool{}}
		a, b := &versions{own: 4, offers: map[string]int64{}}, &versions{own: 9, offers: map[string]int64{}}
		x.nodes["a"] = mesh.NewMesh(mesh.New(mesh.Peer{VM: "a", Address: "a", Start: 1}), client{x, "a"}, nil, zerolog.Nop()).WithVersions(a)
		x.nodes["b"] = mesh.NewMesh(mesh.New(mesh.Peer{VM: "b", Address: "b", Start: 1}), client{x, "b"}, []string{"a"}, zerolog.Nop()).WithVersions(b)

		ctx, stop := context.WithCancel(context.Background())
		done := make(chan error, 1)

		go func() { done <- x.nodes["b"].Run(ctx) }()

		for end := time.Now().Add(2 * time.Second); time.Now().Before(end) && (a.offer("b") == 0 || b.offer("a") == 0); {
			time.Sleep(time.Millisecond)
		}

		stop()
		So(<-done, ShouldBeNil)

		Convey("each knows the version of the other after one heartbeat", func() {
			So(a.offer("b"), ShouldEqual, 9)
			So(b.offer("a"), ShouldEqual, 4)
		})
	})
}

// quarantines records the entries of other daemons.
type quarantines struct {
	own     []quarantine.Entry
	cleared []quarantine.Clearance
	reports []quarantine.Report

	mu              sync.Mutex
	imported        []quarantine.Entry
	importedCleared []quarantine.Clearance
	importedReports []quarantine.Report
}

func (q *quarantines) Entries() []quarantine.Entry { return q.own }

func (q *quarantines) Import(e quarantine.Entry, _ string) {
	q.mu.Lock()
	defer q.mu.Unlock()

	q.imported = append(q.imported, e)
}

func (q *quarantines) Reports() []quarantine.Report { return q.reports }

func (q *quarantines) ImportReport(r quarantine.Report) {
	q.mu.Lock()
	defer q.mu.Unlock()

	q.importedReports = append(q.importedReports, r)
}

func (q *quarantines) allReports() []quarantine.Report {
	q.mu.Lock()
	defer q.mu.Unlock()

	return append([]quarantine.Report(nil), q.importedReports...)
}

func (q *quarantines) Clearances() []quarantine.Clearance { return q.cleared }

func (q *quarantines) ImportClearance(c quarantine.Clearance, _ string) {
	q.mu.Lock()
	defer q.mu.Unlock()

	q.importedCleared = append(q.importedCleared, c)
}

func (q *quarantines) allCleared() []quarantine.Clearance {
	q.mu.Lock()
	defer q.mu.Unlock()

	return append([]quarantine.Clearance(nil), q.importedCleared...)
}

func (q *quarantines) all() []quarantine.Entry {
	q.mu.Lock()
	defer q.mu.Unlock()

	return append([]quarantine.Entry(nil), q.imported...)
}

// Guards against daemons that go on sending prompts to targets after another daemon has found that they crash these.
func TestQuarantinedPromptsReachAllDaemons(t *testing.T) {
	Convey("Given a daemon with a quarantined prompt and two live ones", t, func() {
		x := &meshNetwork{nodes: map[string]*mesh.Mesh{}, cut: map[string]bool{}}
		e := quarantine.NewEntry("s", []string{"a", "b"}, time.Minute).WithHistory(6, 1, time.Second)
		c := quarantine.NewClearance("s", []string{"sound"}, time.Second)
		r := quarantine.NewReport(quarantine.NewPrompt("s", []string{"c", "own"}), quarantine.NewCrash("t", 7).WithAttempt("slot", "r", 2, time.Second), time.Second)
		l := map[string]*quarantines{"vm0": {own: []quarantine.Entry{e}, cleared: []quarantine.Clearance{c}, reports: []quarantine.Report{r}}, "vm1": {}, "vm2": {}}
		now := time.Now()

		for vm, q := range l {
			table := mesh.New(mesh.Peer{VM: vm, Address: vm, Start: now.UnixMilli()})
			for o := range l {
				table.MarkReplied(mesh.Peer{VM: o, Address: o, Start: now.UnixMilli()}, now)
			}

			x.nodes[vm] = mesh.NewMesh(table, client{x, vm}, nil, zerolog.Nop()).WithQuarantine(q)
		}

		Convey("a notification tells both at once", func() {
			x.nodes["vm0"].NotifyPeers()

			for end := time.Now().Add(2 * time.Second); time.Now().Before(end) && (len(l["vm1"].all()) == 0 || len(l["vm2"].all()) == 0); {
				time.Sleep(time.Millisecond)
			}

			for _, vm := range []string{"vm1", "vm2"} {
				So(l[vm].all(), ShouldHaveLength, 1)
				So(l[vm].all()[0], ShouldResemble, e)
				So(l[vm].allCleared(), ShouldResemble, []quarantine.Clearance{c})
				So(l[vm].allReports(), ShouldResemble, []quarantine.Report{r})
			}
		})

		Convey("a daemon that starts learns it with the reply to its first heartbeat", func() {
			var a mesh.HeartbeatReply

			So(x.nodes["vm0"].Beat(mesh.Heartbeat{From: mesh.Peer{VM: "vm3", Address: "vm3", Start: 1}}, &a), ShouldBeNil)
			So(a.Quarantined, ShouldResemble, []mesh.QuarantinedPrompt{{Service: "s", Parts: []string{"a", "b"}, RemainingMS: 60000, Crashes: 6, Trials: 1, AgeMS: 1000}})
			So(a.Cleared, ShouldResemble, []mesh.ClearedParts{{Service: "s", Parts: []string{"sound"}, AgeMS: 1000}})
		})
	})
}
