package member_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/agategap/agategap/member"
)

const (
	tickInterval = 250 * time.Millisecond
	// removalTimeout bounds the time from killing a daemon to its removal from every view: two rounds of probes of 12
	// daemons (at most 6 s each until a daemon is probed again), the checks, the suspicion (4 s) and its propagation.
	removalTimeout = 20 * time.Second
	// agreementTimeout bounds the time until all views agree after a partition ends: probes outside the view, a full sync
	// at most every 10 s, and one suspicion with its refutation.
	agreementTimeout = 45 * time.Second
	// listLagElapsed is longer than the assumed lag of the platform's list (1 minute).
	listLagElapsed = 70 * time.Second
)

// Each check simulates minutes, so that the default of 100 checks per property takes too long. A flag on the command
// line takes precedence.
func init() { _ = flag.Set("rapid.checks", "30") }

// testNetwork connects tables that exchange messages in memory under a virtual clock.
type testNetwork struct {
	t               *rapid.T
	r               *rand.Rand
	now             time.Time
	nodes           map[string]*node // by address
	order           []string
	isCut           func(from, to string) bool
	maxIncarnations map[string]uint64 // highest incarnation seen, by "observer address/VM"
	startCount      uint64
}

type node struct {
	table   *member.Table
	paused  bool
	address string
}

func newTestNetwork(t *rapid.T, n int) *testNetwork {
	s := rapid.Uint64().Draw(t, "seed")
	x := &testNetwork{
		t: t, r: rand.New(rand.NewPCG(s, 1)), now: time.Unix(1_700_000_000, 0), nodes: map[string]*node{},
		isCut: func(string, string) bool { return false }, maxIncarnations: map[string]uint64{},
	}

	for i := range n {
		x.start(vmName(i), address(i, 0))
	}

	return x
}

func vmName(i int) string { return fmt.Sprintf("vm-%d", i) }

func address(i, incarnation int) string { return fmt.Sprintf("10.0.%d.%d:7000", incarnation, i) }

func (x *testNetwork) start(vm, a string) {
	x.startCount++
	x.nodes[a] = &node{address: a, table: member.New(member.Settings{
		VM: vm, Address: a, Domain: "kv-cheras", Incarnation: uint64(x.now.UnixMilli()) + x.startCount,
		Seeds: []string{address(0, 0), address(1, 0), address(2, 0)},
	})}
	x.order = append(x.order, a)
}

func (x *testNetwork) kill(a string) {
	delete(x.nodes, a)
	x.order = slices.DeleteFunc(x.order, func(o string) bool { return o == a })
}

// deliver delivers a message and returns the reply; nil if either is lost.
func (x *testNetwork) deliver(from, to string, m member.Message) *member.Message {
	n := x.nodes[to]
	if n == nil || n.paused || x.isCut(from, to) {
		return nil
	}

	a, err := n.table.Receive(x.now, m)
	if err != nil || x.isCut(to, from) {
		return nil
	}

	return &a
}

func (x *testNetwork) run(d time.Duration) {
	for end := x.now.Add(d); x.now.Before(end); x.now = x.now.Add(tickInterval) {
		for _, a := range x.order {
			if n := x.nodes[a]; !n.paused {
				x.send(n, n.table.Tick(x.now, x.r))

				if x.r.IntN(4) == 0 {
					x.checkIncarnations(n)
				}
			}
		}
	}
}

func (x *testNetwork) send(n *node, l []member.Request) {
	for _, s := range l {
		if s.Kind() == member.Check {
			h := x.nodes[s.Address()]
			ok := h != nil && !h.paused && !x.isCut(n.address, s.Address()) && !x.isCut(s.Address(), n.address) &&
				x.deliver(s.Address(), s.SubjectAddress(), h.table.Heartbeat(x.now, s.Subject())) != nil
			n.table.HandleCheckResult(x.now, s, ok)

			continue
		}

		if a := x.deliver(n.address, s.Address(), s.Message()); a != nil {
			more, _ := n.table.HandleReply(x.now, s, *a)
			x.send(n, more)
		} else {
			x.send(n, n.table.HandleFailure(x.now, s, x.r))
		}
	}
}

// checkIncarnations checks that no incarnation in the view of n has decreased.
func (x *testNetwork) checkIncarnations(n *node) {
	for _, p := range n.table.View() {
		k := n.address + "/" + p.VM()
		if p.Incarnation() < x.maxIncarnations[k] {
			x.t.Fatalf("in the view of %s the incarnation of %s decreased", n.address, p.VM())
		}

		x.maxIncarnations[k] = p.Incarnation()
	}
}

func (n *node) viewNames() []string {
	var l []string
	for _, p := range n.table.View() {
		l = append(l, p.VM())
	}

	return l
}

// requireViews fails the test unless the view of every running daemon is exactly want.
func (x *testNetwork) requireViews(phase string, want ...string) {
	x.t.Helper()
	slices.Sort(want)

	for _, a := range x.order {
		if g := x.nodes[a].viewNames(); !slices.Equal(g, want) {
			x.t.Fatalf("%s: %s sees %v, want %v", phase, a, g, want)
		}
	}
}

func vmNames(n int, without ...int) []string {
	var l []string

	for i := range n {
		if !slices.Contains(without, i) {
			l = append(l, vmName(i))
		}
	}

	return l
}

// drawDaemonCount draws a number of daemons. The timeouts above hold up to 12.
func drawDaemonCount(t *rapid.T) int { return rapid.IntRange(4, 12).Draw(t, "daemons") }

// Guards against a killed daemon that stays in a view, and against the removal of live daemons together with it.
func TestKilledDaemonIsRemovedEverywhere(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := drawDaemonCount(t)
		x := newTestNetwork(t, n)
		x.run(agreementTimeout)
		x.requireViews("start", vmNames(n)...)

		k := rapid.IntRange(0, n-1).Draw(t, "killed")
		x.kill(address(k, 0))
		x.run(removalTimeout)
		x.requireViews("killed", vmNames(n, k)...)
	})
}

// Guards against a paused daemon that stays removed after it resumes, or that then removes the other daemons.
func TestPausedDaemonReturns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := drawDaemonCount(t)
		x := newTestNetwork(t, n)
		x.run(agreementTimeout)

		p := x.nodes[address(rapid.IntRange(0, n-1).Draw(t, "paused"), 0)]
		p.paused = true
		x.run(time.Duration(rapid.IntRange(1, 60).Draw(t, "seconds")) * time.Second)
		p.paused = false
		x.run(tickInterval)

		if len(p.viewNames()) != n {
			t.Fatalf("the resumed daemon sees %v", p.viewNames())
		}

		x.run(agreementTimeout)
		x.requireViews("resumed", vmNames(n)...)
	})
}

// Guards against the removal of a daemon that other daemons can reach, because of one broken network path.
func TestOneWayPartitionRemovesNoDaemon(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := drawDaemonCount(t)
		x := newTestNetwork(t, n)
		x.run(agreementTimeout)

		x.isCut = func(from, to string) bool { return from == address(1, 0) && to == address(2, 0) }

		for range 60 {
			x.run(time.Second)
			x.requireViews("cut", vmNames(n)...)
		}
	})
}

// Guards against the two sides of a network partition not finding each other after it ends without the platform's list,
// and against views that stay different.
func TestViewsAgreeAfterPartition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := drawDaemonCount(t)
		x := newTestNetwork(t, n)
		x.run(agreementTimeout)

		side := map[string]bool{}
		for i := range n {
			side[address(i, 0)] = rapid.Bool().Draw(t, "side")
		}

		x.isCut = func(from, to string) bool { return side[from] != side[to] }
		x.run(time.Duration(rapid.IntRange(1, 300).Draw(t, "seconds")) * time.Second)
		x.isCut = func(string, string) bool { return false }
		x.run(agreementTimeout)
		x.requireViews("healed", vmNames(n)...)
	})
}

// Guards against old incarnations that stay in a view after a mass replacement, and against missing new ones.
func TestReplacementOfHalfTheDaemons(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := drawDaemonCount(t)
		x := newTestNetwork(t, n)
		x.run(agreementTimeout)

		// All seeds may have been replaced, so the new addresses come from the platform's list, which lags.
		var list []member.ListedVM

		first := rapid.IntRange(0, n-n/2).Draw(t, "first")
		for i := first; i < first+n/2; i++ {
			x.kill(address(i, 0))
			x.start(vmName(i), address(i, 1))
			list = append(list, member.ListedVM{VM: vmName(i), Address: address(i, 1), Domain: "kv-cheras"})
		}

		x.run(10 * time.Second)

		for _, a := range x.order {
			x.nodes[a].table.ObserveList(x.now, list, 0)
		}

		x.run(agreementTimeout)
		x.requireViews("replaced", vmNames(n)...)

		for _, a := range x.order {
			for _, p := range x.nodes[a].table.View() {
				if x.nodes[p.Address()] == nil {
					t.Fatalf("%s sees %s at its old address", a, p.VM())
				}
			}
		}
	})
}

// Guards against a leaving daemon that returns in the same incarnation, because an outdated list or the report of a
// peer shows it as live or because it was paused. Guards also against a new incarnation that is kept out because the
// previous one left.
func TestLeavingDaemonNeverReturns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := drawDaemonCount(t)
		x := newTestNetwork(t, n)
		x.run(agreementTimeout)

		k := rapid.IntRange(0, n-1).Draw(t, "leaving")
		listOf := func(leaving bool) []member.ListedVM {
			return []member.ListedVM{{VM: vmName(k), Address: address(k, 0), Domain: "kv-cheras", Leaving: leaving}}
		}
		informed := rapid.IntRange(0, n-2).Draw(t, "informed")
		x.nodes[address((k+1+informed)%n, 0)].table.ObserveList(x.now, listOf(true), 0)
		x.run(5 * time.Second)

		for range 30 {
			observer := x.nodes[address((k+1+x.r.IntN(n-1))%n, 0)].table
			observer.ObserveList(x.now, listOf(x.r.IntN(2) == 0), 0)
			x.run(time.Second)
			x.requireViews("leaving", vmNames(n, k)...)
		}

		x.kill(address(k, 0))
		x.start(vmName(k), address(k, 1))

		for i, a := range x.order {
			x.nodes[a].table.ObserveList(x.now, listOf(i%2 == 0), 0)
		}

		x.run(agreementTimeout)
		x.requireViews("new incarnation", vmNames(n)...)

		for _, a := range x.order {
			x.nodes[a].table.ObserveList(x.now, listOf(false), 0)
		}

		x.run(listLagElapsed)
		x.requireViews("new incarnation, later", vmNames(n)...)
	})
}

// Guards against a daemon that keeps using a leaving target because its list of VMs lags.
func TestDepartureReachesEveryDaemon(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := drawDaemonCount(t)
		x := newTestNetwork(t, n)
		x.run(agreementTimeout)
		x.nodes[x.order[rapid.IntRange(0, n-1).Draw(t, "informed")]].table.MarkTargetLeaving(x.now, "worker-1", "10.1.0.1:9000")
		x.run(4 * time.Second)

		for _, a := range x.order {
			if !x.nodes[a].table.IsTargetLeaving("worker-1", "10.1.0.1:9000") || x.nodes[a].table.IsTargetLeaving("worker-1", "10.1.0.2:9000") {
				t.Fatalf("%s does not know which target is leaving", a)
			}
		}
	})
}

// Guards against a rejected message that changes the view or is not counted.
func TestRejectedMessagesChangeNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := newTestNetwork(t, 4)
		x.run(agreementTimeout)

		n := x.nodes[x.order[0]]
		good := x.nodes[x.order[1]].table.Heartbeat(x.now, vmName(0))
		bad := member.Change{VM: vmName(2), Address: address(2, 5), Incarnation: 1 << 62, State: member.Live}
		kind := rapid.SampledFrom([]string{"stale", "malformed", "oversized"}).Draw(t, "kind")

		m := good
		m.Changes = []member.Change{bad}

		switch kind {
		case "stale":
			m.From.Incarnation--
		case "malformed":
			broken := rapid.SampledFrom([]func(*member.Message){
				func(m *member.Message) { m.Domain = "" },
				func(m *member.Message) { m.Config = -1 },
				func(m *member.Message) { m.From.VM = "" },
				func(m *member.Message) { m.Changes = append(m.Changes, member.Change{VM: "x"}) },
				func(m *member.Message) { m.Changes[0].State = 9 },
				func(m *member.Message) { m.Changes[0].VM = string(make([]byte, 4000)) },
				func(m *member.Message) { m.Departures = []member.Departure{{VM: "w", Address: "a"}} },
			}).Draw(t, "broken")
			broken(&m)
		case "oversized":
			m.Changes = slices.Repeat(m.Changes, 5000)
		}

		before, version := n.table.Counts()[kind], n.table.Version()
		_, err := n.table.Receive(x.now, m)

		if err == nil || n.table.Counts()[kind] != before+1 || n.table.Version() != version {
			t.Fatalf("%s: error %v, counts %v", kind, err, n.table.Counts())
		}
	})
}
