package quarantine_test

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	minTargetDowntime = time.Second
	maxTargetDowntime = 6 * time.Second
	// slowStartPeriod is the time after its start in which a target is slow to begin responses.
	slowStartPeriod = 5 * time.Second
	// maxCrashDetection is the time after which all daemons have seen that a target has crashed.
	maxCrashDetection = 50 * time.Millisecond
	// maxSlowDetection is the same where a crash shows only as silence.
	maxSlowDetection = 800 * time.Millisecond
	// maxRegistrationDelay is the time after its start until which a target has the registration of its last incarnation.
	maxRegistrationDelay = 2 * time.Second
)

// freeTarget returns the target with the fewest attempts that has a free slot; nil if there is none.
func (f *fleet) freeTarget() *target {
	var free *target

	first := f.random.IntN(len(f.targets))

	for i := range f.targets {
		g := f.targets[(first+i)%len(f.targets)]
		if g.up && len(g.running) < f.scenario.slots && (free == nil || len(g.running) < len(free.running)) {
			free = g
		}
	}

	return free
}

// send starts an attempt of a task at a target.
func (f *fleet) send(t *task, g *target) {
	f.enter(t, taskRunning)

	t.target, t.sentAt, t.received = g, f.now, -1
	g.running = append(g.running, t)
	f.countSend(t)

	latency := between(f.random, 50*time.Millisecond, 300*time.Millisecond)
	if f.now-g.upSince < slowStartPeriod {
		latency *= 4
	}

	t.firstAt = f.now + latency

	if t.crashing != "" {
		n := time.Duration(f.random.IntN(maxCrashEvents + 1)) // events before the crash
		f.continueAfter(t, latency+n*eventInterval-eventInterval/2, func() { f.crash(g, t) })

		return
	}

	if g := t.generation; reportsSoundEarly {
		f.after(latency+maxCrashEvents*eventInterval, func() {
			if t.generation == g {
				f.reportSound(t)
			}
		})
	}

	f.continueAfter(t, latency+time.Duration(t.length-t.progress-1)*eventInterval, func() { f.finish(t) })
}

// reportSound reports an attempt that goes on as sound.
func (f *fleet) reportSound(t *task) {
	t.began = true

	d, o := f.daemons[t.daemon], t.owner
	isNews := d.registry.isNews(t.parts, t.trial, f.clock())

	f.markSound(d, t)

	if isNews {
		f.afterMessage(o, func() { f.markSound(o, t) })
	}
}

// attemptEvents returns the number of events of the current attempt.
func (t *task) attemptEvents(now time.Duration) int {
	if t.received >= 0 {
		return t.received
	}

	if now < t.firstAt {
		return 0
	}

	return min(t.length-t.progress, 1+int((now-t.firstAt)/eventInterval))
}

// leaveTarget frees the slot of a task.
func (f *fleet) leaveTarget(t *task) {
	if t.target == nil {
		return
	}

	t.target.running = slices.DeleteFunc(t.target.running, func(o *task) bool { return o == t })
	t.target = nil
}

// crashRandom crashes up to n targets at once.
func (f *fleet) crashRandom(n int) {
	for _, i := range f.random.Perm(len(f.targets)) {
		if g := f.targets[i]; g.up && n > 0 {
			n--
			f.crash(g, nil)
		}
	}
}

// crash crashes a target because of a task; nil if it crashes for reasons of its own.
func (f *fleet) crash(g *target, cause *task) {
	if !g.up {
		return
	}

	reason := "for reasons of its own"

	if cause != nil {
		reason = fmt.Sprintf("under %s %v", cause.id, cause.parts)
		f.crashes[cause.crashing] = append(f.crashes[cause.crashing], f.now)
	}

	var young []string

	for _, t := range g.running {
		if n := t.attemptEvents(f.now); n <= maxCrashEvents {
			young = append(young, fmt.Sprintf("%s (%d events, %d before)", t.id, n, t.progress))
		}
	}

	f.logf("%s crashes %s, attempts %d, young: %s", g.name, reason, len(g.running), strings.Join(young, ", "))

	g.up = false

	for _, t := range slices.Clone(g.running) {
		t.received = t.attemptEvents(f.now)
		t.generation++

		detection := maxCrashDetection
		if f.scenario.detectsSlowly && f.random.IntN(4) == 0 {
			detection = maxSlowDetection
		}

		f.continueAfter(t, between(f.random, 0, detection), func() { f.breakOff(t) })
	}

	f.after(between(f.random, minTargetDowntime, maxTargetDowntime), func() {
		g.up, g.upSince = true, f.now

		f.after(between(f.random, 0, maxRegistrationDelay), func() { g.incarnation++ })
		f.grantSlots()
	})
}
