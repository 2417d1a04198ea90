package quarantine_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/agategap/agategap/internal/serve/quarantine"
)

// fleet is a model of daemons with a registry each in front of targets that crash. It runs on a simulated clock.
type fleet struct {
	scenario scenario
	random   *rand.Rand
	now      time.Duration
	events   eventQueue
	lastID   int // of events

	daemons []*daemon
	owner   int // daemon that grants the slots
	targets []*target
	tasks   []*task
	waiting []*task // for a slot, in the order of their requests

	crashes map[string][]time.Duration // caused by a part
	sends   map[string][]string        // to targets with a part, later than crashSettling after its fifth crash

	failures map[property]string // the first of each
	trace    []string
}

// daemon is a daemon of the model.
type daemon struct {
	name        string
	up          bool
	upSince     time.Duration
	incarnation int
	requests    int
	ownerView   int // daemon that this one takes for the owner
	registry    *fleetRegistry
	soundAt     map[string]time.Duration // parts that a response has shown to be sound here
	staleSince  map[string]time.Duration // parts in quarantine here that another daemon knows to be sound
}

// target is a target of the model.
type target struct {
	name        string
	up          bool
	upSince     time.Duration
	incarnation int // as its registration tells
	running     []*task
}

// event is what happens at a time. Those at the same time happen in the order of their numbers.
type event struct {
	at  time.Duration
	id  int
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].id < q[j].id
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(e any) { *q = append(*q, e.(event)) }

func (q *eventQueue) Pop() any {
	l := *q
	e := l[len(l)-1]
	*q = l[:len(l)-1]

	return e
}

const (
	minMessageDelay = time.Millisecond
	maxMessageDelay = 20 * time.Millisecond
	// maxOwnerViewDelay is the time after which all daemons know of a new owner.
	maxOwnerViewDelay = 300 * time.Millisecond
	checkInterval     = 100 * time.Millisecond
)

// runFleet runs a scenario to its end and returns the fleet, with the failures of the properties that it broke.
func runFleet(s scenario) *fleet {
	f := &fleet{
		scenario: s, random: rand.New(rand.NewPCG(s.seed, 34)), crashes: map[string][]time.Duration{}, sends: map[string][]string{},
		failures: map[property]string{},
	}

	for i := range s.daemons {
		f.daemons = append(f.daemons, &daemon{name: fmt.Sprint("d", i), up: true, registry: &fleetRegistry{}, soundAt: map[string]time.Duration{}, staleSince: map[string]time.Duration{}})
	}

	for i := range s.targets {
		f.targets = append(f.targets, &target{name: fmt.Sprint("t", i), up: true, upSince: -time.Hour})
	}

	f.tasks = s.newTasks(f.random)
	for _, t := range f.tasks {
		f.after(t.arrived, func() { f.arrive(t) })
	}

	for _, v := range s.faults {
		f.after(v.at, func() { f.impair(v) })
	}

	interval := 250*time.Millisecond + 20*time.Millisecond*time.Duration(s.daemons-1) // as in package mesh

	for i := range f.daemons {
		for j := range f.daemons {
			if i != j {
				f.after(between(f.random, 0, interval), func() { f.sendHeartbeats(f.daemons[i], f.daemons[j], interval) })
			}
		}
	}

	f.after(checkInterval, f.check)

	for len(f.events) > 0 && f.events[0].at <= s.end() {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.run()
	}

	f.checkBudget()

	return f
}

// after runs something after a delay.
func (f *fleet) after(d time.Duration, run func()) {
	f.lastID++
	heap.Push(&f.events, event{at: f.now + d, id: f.lastID, run: run})
}

// afterMessage runs something when a message to a daemon arrives, unless the daemon is down then.
func (f *fleet) afterMessage(to *daemon, run func()) {
	f.after(between(f.random, minMessageDelay, maxMessageDelay), func() {
		if to.up {
			run()
		}
	})
}

// clock returns the simulated time for calls of the package.
func (f *fleet) clock() time.Time { return time.Unix(1_700_000_000, 0).Add(f.now) }

func (f *fleet) logf(format string, args ...any) {
	f.trace = append(f.trace, fmt.Sprintf("%8.3f ", f.now.Seconds())+fmt.Sprintf(format, args...))
}

func entryNames(l []quarantine.Entry) string {
	var b strings.Builder

	for _, e := range l {
		fmt.Fprintf(&b, " %s (for %s, crashes %d, trials %d)", e, e.Remaining().Round(time.Millisecond), e.Crashes(), e.Trials())
	}

	return b.String()
}

func (f *fleet) sendHeartbeats(from, to *daemon, interval time.Duration) {
	f.sendHeartbeat(from, to)
	f.after(interval, func() { f.sendHeartbeats(from, to, interval) })
}

func (f *fleet) sendHeartbeat(from, to *daemon) {
	if !from.up || !to.up {
		return
	}

	h := from.registry.export(f.clock())

	f.afterMessage(to, func() {
		added, narrowed := to.registry.merge(h, f.clock())
		if len(narrowed) > 0 {
			f.logf("%s narrows after a clearance of %s:%s", to.name, from.name, entryNames(narrowed))
		}

		if len(added) > 0 {
			f.logf("%s imports from %s:%s", to.name, from.name, entryNames(added))
		}
	})
}

// notifyPeers sends a heartbeat to all other daemons.
func (f *fleet) notifyPeers(from *daemon) {
	for _, d := range f.daemons {
		if d != from {
			f.sendHeartbeat(from, d)
		}
	}
}

// markSound records a response at a daemon.
func (f *fleet) markSound(d *daemon, t *task) {
	if l := d.registry.markSound(t.parts, f.clock()); len(l) > 0 {
		f.logf("%s narrows after a response on %v:%s", d.name, t.parts, entryNames(l))
		f.notifyPeers(d)
	}

	for _, id := range t.parts {
		d.soundAt[id] = f.now
	}
}

// addCrash records the crash of a target at the owner.
func (f *fleet) addCrash(d *daemon, c fleetCrash) {
	l := d.registry.addCrash(c, f.clock())
	if len(l) == 0 {
		return
	}

	f.logf("%s quarantines after a crash under %v:%s", d.name, c.parts, entryNames(l))
	f.notifyPeers(d)
}

// impair applies a fault.
func (f *fleet) impair(v fault) {
	switch v.kind {
	case "one":
		f.crashRandom(1)
	case "half":
		f.crashRandom((len(f.targets) + 1) / 2)
	case "all":
		f.crashRandom(len(f.targets))
	case "series":
		interval := between(f.random, 150*time.Millisecond, time.Second)
		for i := range int(between(f.random, 3*time.Second, 15*time.Second) / interval) {
			f.after(time.Duration(i)*interval, func() { f.crashRandom(1) })
		}
	case "restart":
		f.restart(f.daemons[f.random.IntN(len(f.daemons))])
	case "handover":
		f.handOver(f.random.IntN(len(f.daemons)))
	case "handovers":
		for range 5 {
			f.after(between(f.random, 0, 5*time.Second), func() { f.handOver(f.random.IntN(len(f.daemons))) })
		}
	}
}

// handOver makes a daemon the owner. The others learn of it one after the other.
func (f *fleet) handOver(to int) {
	if !f.daemons[to].up || f.owner == to {
		return
	}

	f.logf("%s becomes the owner", f.daemons[to].name)
	f.owner = to

	for _, d := range f.daemons {
		f.after(between(f.random, 0, maxOwnerViewDelay), func() { d.ownerView = f.owner })
	}
}

// restart stops a daemon and starts it again with an empty registry, unless all others are down or have just started, so
// that what the fleet knows would be lost.
func (f *fleet) restart(d *daemon) {
	var others []int

	for i, o := range f.daemons {
		if o != d && o.up && f.now-o.upSince >= 2*time.Second {
			others = append(others, i)
		}
	}

	if !d.up || len(others) == 0 {
		return
	}

	f.logf("%s stops", d.name)
	d.up = false
	wasOwner := f.daemons[f.owner] == d

	if wasOwner {
		f.handOver(others[f.random.IntN(len(others))])
	}

	for _, t := range f.tasks {
		if f.daemons[t.daemon] == d && t.isOpen() {
			f.move(t)
		}
	}

	f.after(between(f.random, 300*time.Millisecond, 3*time.Second), func() {
		f.logf("%s starts", d.name)
		d.up, d.upSince, d.registry, d.ownerView = true, f.now, &fleetRegistry{}, f.owner
		d.incarnation++
		clear(d.soundAt)
		clear(d.staleSince)

		if wasOwner {
			f.after(between(f.random, 0, 500*time.Millisecond), func() { f.handOver(indexOf(f.daemons, d)) })
		}
	})
}

func indexOf(l []*daemon, d *daemon) int {
	for i := range l {
		if l[i] == d {
			return i
		}
	}

	return 0
}
