package quarantine_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/agategap/agategap/internal/serve/quarantine"
)

// taskState is what an item or a request does at a time.
type taskState int

const (
	taskUnknown  taskState = iota
	taskMoving             // its daemon has stopped, another one takes it over
	taskWaiting            // for a slot
	taskRunning            // an attempt runs, or its daemon has not seen yet that it broke off
	taskRetrying           // the delay after an attempt that broke off
	taskRejected           // the delay after a rejection because of a quarantine
	taskDone
	taskStateCount
)

// task is an item of a batch job, or an online request that its client repeats until it has a response.
type task struct {
	id       string
	batch    bool
	parts    []string // of the prompt
	crashing string   // part that crashes targets; empty for none
	arrived  time.Duration
	length   int // events of the response
	progress int // events received
	began    bool

	daemon     int
	state      taskState
	since      time.Duration
	due        time.Duration // of the event that ends the state
	generation int           // of the state; events of an earlier one have no effect
	spent      [taskStateCount]time.Duration
	cutTime    time.Duration // of attempts that broke off
	retryDelay time.Duration
	lastEntry  string
	isBlamed   bool          // the last rejection was because of parts that isBlamed tells
	blamedTime time.Duration // in rejections of this kind

	// Of the current attempt.
	request string
	trial   bool
	owner   *daemon
	target  *target
	sentAt  time.Duration
	firstAt time.Duration // time of the first event
	// received is the number of events until the target crashed; negative before.
	received int
}

const eventInterval = 30 * time.Millisecond

func (t *task) isOpen() bool { return t.state != taskUnknown && t.state != taskDone }

// enter changes the state of a task.
func (f *fleet) enter(t *task, s taskState) {
	t.spent[t.state] += f.now - t.since
	if t.state == taskRejected && t.isBlamed {
		t.blamedTime += f.now - t.since
	}

	t.state, t.since, t.due = s, f.now, f.now
	t.generation++
}

// continueAfter runs the next step of a task after a delay, unless its state changes before.
func (f *fleet) continueAfter(t *task, d time.Duration, run func()) {
	g := t.generation
	t.due = f.now + d

	f.after(d, func() {
		if t.generation == g {
			run()
		}
	})
}

func (f *fleet) arrive(t *task) {
	t.since = f.now
	if !f.daemons[t.daemon].up {
		f.move(t)

		return
	}

	f.requestSlot(t)
}

// requestSlot makes an attempt, as Acquire of package slots does.
func (f *fleet) requestSlot(t *task) {
	f.enter(t, taskWaiting)

	d := f.daemons[t.daemon]
	if e, ok := d.registry.find(t.parts, t.batch, f.clock()); ok {
		f.reject(t, d, e)

		return
	}

	d.requests++
	t.request, t.trial = fmt.Sprintf("%s/%d/%d", d.name, d.incarnation, d.requests), false
	f.continueAfter(t, between(f.random, minMessageDelay, maxMessageDelay), func() { f.ask(t) })
}

// ask sends the slot request of a task to the owner, and repeats it while the task waits.
func (f *fleet) ask(t *task) {
	d := f.daemons[t.daemon]
	t.owner = f.daemons[d.ownerView]

	if !t.owner.up {
		d.ownerView = f.owner
		f.continueAfter(t, 100*time.Millisecond, func() { f.ask(t) })

		return
	}

	n := t.owner.registry.admit(t.parts, t.request, t.id, t.batch, f.clock())
	if e, ok := n.Rejected(); ok {
		f.withdraw(t)
		f.reject(t, t.owner, e)

		return
	}

	t.trial = n.IsTrial()

	if n.HasStarted() {
		f.logf("%s %v is a trial at %s", t.id, t.parts, t.owner.name)
		f.notifyPeers(t.owner)
	}

	if !slices.Contains(f.waiting, t) {
		// A trial goes before all others that wait.
		if t.trial {
			f.waiting = slices.Insert(f.waiting, 0, t)
		} else {
			f.waiting = append(f.waiting, t)
		}
	}

	interval := 400 * time.Millisecond
	if t.batch {
		interval = 2 * time.Second
	}

	f.continueAfter(t, interval, func() { f.ask(t) })
	f.grantSlots()
}

func (f *fleet) withdraw(t *task) {
	f.waiting = slices.DeleteFunc(f.waiting, func(o *task) bool { return o == t })
}

// grantSlots starts the first waiting tasks while there are free slots.
func (f *fleet) grantSlots() {
	for len(f.waiting) > 0 {
		g := f.freeTarget()
		if g == nil {
			return
		}

		t, d := f.waiting[0], f.daemons[f.waiting[0].daemon]
		f.waiting = f.waiting[1:]

		if e, ok := d.registry.findGranted(t.parts, t.trial, f.clock()); ok {
			f.endTrial(t, false)
			f.reject(t, d, e)

			continue
		}

		f.send(t, g)
	}
}

// endTrial tells the owner that a trial has no result.
func (f *fleet) endTrial(t *task, sent bool) {
	if !t.trial {
		return
	}

	o, id := t.owner, t.request
	t.trial = false

	f.afterMessage(o, func() { o.registry.endTrial(id, sent, f.clock()) })
}

// reject delays a task because of a quarantine.
func (f *fleet) reject(t *task, d *daemon, e quarantine.Entry) {
	if n := d.name + " " + e.String(); n != t.lastEntry {
		t.lastEntry = n
		f.logf("%s %v is rejected at %s because of%s", t.id, t.parts, d.name, entryNames([]quarantine.Entry{e}))
	}

	f.checkRejection(t, e)
	f.enter(t, taskRejected)
	t.isBlamed = isBlamed(e)

	delay := rejectionRetryDelay(e)
	if !t.batch {
		delay = time.Second // of the client
	}

	f.continueAfter(t, delay, func() { f.requestSlot(t) })
}

// move hands a task over to another daemon.
func (f *fleet) move(t *task) {
	f.withdraw(t)
	f.leaveTarget(t)
	f.enter(t, taskMoving)
	f.continueAfter(t, between(f.random, 500*time.Millisecond, 1500*time.Millisecond), func() {
		t.daemon = f.random.IntN(len(f.daemons))
		if !f.daemons[t.daemon].up {
			f.move(t)

			return
		}

		f.requestSlot(t)
	})
	f.grantSlots()
}

// endAttempt ends the attempt of a task and reports what it has shown, as release of package slots does.
func (f *fleet) endAttempt(t *task, complete bool) {
	d, n := f.daemons[t.daemon], t.attemptEvents(f.now)
	if complete {
		n = t.length - t.progress
	}

	sound, suspect := promptOutcome(n, complete, t.began)
	t.progress = min(t.progress+n, t.length-1)
	t.began = t.began || n > maxCrashEvents

	owners := []*daemon{t.owner}
	if o := f.daemons[d.ownerView]; o != t.owner {
		owners = append(owners, o)
	}

	switch {
	case sound:
		f.markSound(d, t)

		for _, o := range owners {
			f.afterMessage(o, func() { f.markSound(o, t) })
		}
	case suspect:
		c := fleetCrash{
			parts: d.registry.suspects(t.parts, f.clock()), request: t.request, events: n, age: f.now - t.sentAt,
			target: t.target.name, start: int64(t.target.incarnation),
		}

		d.registry.noteCrash(c, f.clock())

		for _, o := range owners {
			f.afterMessage(o, func() { f.addCrash(o, c) })
		}
	default:
		f.endTrial(t, true)
	}

	f.leaveTarget(t)
}

// breakOff ends an attempt whose target has crashed.
func (f *fleet) breakOff(t *task) {
	f.endAttempt(t, false)
	t.cutTime += f.now - t.sentAt
	f.enter(t, taskRetrying)

	t.retryDelay = min(time.Second, max(20*time.Millisecond, 2*t.retryDelay))
	f.continueAfter(t, t.retryDelay, func() { f.requestSlot(t) })
}

func (f *fleet) finish(t *task) {
	f.endAttempt(t, true)
	f.enter(t, taskDone)
	f.grantSlots()
}
