package quarantine_test

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/agategap/agategap/internal/serve/quarantine"
)

// property is what a run of the model must keep.
type property int

const (
	soundTasksRun       property = iota // sound items and requests are not held back for longer than their jobs bear
	crashBudget                         // few requests with a part that crashes targets reach targets after the fifth crash
	soundPartsLeave                     // a part that is sound at one daemon does not stay in quarantine at another one
	soundTasksRunBlamed                 // like soundTasksRun, also for parts that isBlamed tells
	openTasksHaveCause                  // open items run, or wait for something that comes
)

const (
	// runTarget is the time that a job has. An item needs a few seconds of it to run.
	runTarget = 18 * time.Second
	// maxRejectedTime is the time for which a sound item may be rejected in all.
	maxRejectedTime = 9 * time.Second
	// crashSettling is the time after the fifth crash caused by a part in which the fleet may still send requests with it.
	crashSettling = 3 * time.Second
	budgetCrashes = 5
	maxLateSends  = 3
	// maxStaleQuarantine is the time for which a part may stay in quarantine while another daemon knows that it is sound.
	maxStaleQuarantine = 2 * time.Second
	// soundPeriod is the time for which a daemon knows that a part is sound, with a margin.
	soundPeriod = 55 * time.Second
)

// failf records the first failure of a property.
func (f *fleet) failf(p property, format string, args ...any) {
	if _, ok := f.failures[p]; !ok {
		f.failures[p] = fmt.Sprintf("at %.3f s: ", f.now.Seconds()) + fmt.Sprintf(format, args...)
		f.logf("FAILS: %s", f.failures[p])
	}
}

// check checks what has to hold at each time.
func (f *fleet) check() {
	f.after(checkInterval, f.check)

	free := f.freeTarget()

	for _, t := range f.tasks {
		if !t.isOpen() {
			continue
		}

		if t.due < f.now {
			f.failf(openTasksHaveCause, "%s in state %d was due at %s", t.id, t.state, t.due)
		}

		if t.state == taskRunning && t.target == nil || free != nil && slices.Contains(f.waiting, t) {
			f.failf(openTasksHaveCause, "%s in state %d has no target, or waits beside a free slot", t.id, t.state)
		}

		if t.crashing == "" {
			f.checkTime(t)
		}
	}

	for _, d := range f.daemons {
		f.checkQuarantines(d)
	}
}

// checkRejection checks that a prompt has the parts because of which it is rejected.
func (f *fleet) checkRejection(t *task, e quarantine.Entry) {
	if len(e.Parts()) == 0 || slices.ContainsFunc(e.Parts(), func(id string) bool { return !slices.Contains(t.parts, id) }) {
		f.failf(openTasksHaveCause, "%s with %v is rejected because of %q", t.id, t.parts, e)
	}
}

// isBlamed reports whether targets have crashed under the parts of an entry at least budgetCrashes times, and in a trial after that.
// What is known of such parts is the same as of parts that crash targets, for which the budget allows few further trials.
func isBlamed(e quarantine.Entry) bool { return e.Crashes() > budgetCrashes && e.Trials() > 0 }

// checkTime checks the time that a sound task has spent. The time in which it waited for a slot, was moved, or was cut by
// crashes with the delays after that, is not the quarantine's.
func (f *fleet) checkTime(t *task) {
	now := t.spent
	now[t.state] += f.now - t.since

	if now[taskRejected] >= maxRejectedTime {
		f.failf(soundTasksRunBlamed, "%s %v has been rejected for %s, last because of %s", t.id, t.parts, now[taskRejected], t.lastEntry)
	}

	now[taskRejected] -= t.blamedTime

	if t.state == taskRejected && t.isBlamed {
		now[taskRejected] -= f.now - t.since
	}

	if now[taskRejected] >= maxRejectedTime {
		f.failf(soundTasksRun, "%s %v has been rejected for %s, last because of %s", t.id, t.parts, now[taskRejected], t.lastEntry)
	}

	if own := now[taskRejected] + now[taskRunning] - t.cutTime; own > runTarget {
		f.failf(soundTasksRun, "%s %v is not completed after %s, without the time of slots, crashes and restarts", t.id, t.parts, own)
	}
}

// checkQuarantines checks for how long parts have been in quarantine at a daemon that another one knows to be sound.
func (f *fleet) checkQuarantines(d *daemon) {
	if !d.up {
		return
	}

	stale := map[string]bool{}

	for _, e := range d.registry.entries(f.clock()) {
		for _, id := range e.Parts() {
			by := f.knownSoundBy(id)
			if by == nil || f.isOwnOfDone(id) {
				continue
			}

			stale[id] = true

			since, ok := d.staleSince[id]
			if !ok {
				since = f.now
				d.staleSince[id] = f.now
			}

			if f.now-since > maxStaleQuarantine {
				f.failf(soundPartsLeave, "%s has %s in quarantine since %s, though %s has seen a response on %s at %s", d.name, e, since, by.name, id, by.soundAt[id])
			}
		}
	}

	for id := range d.staleSince {
		if !stale[id] {
			delete(d.staleSince, id)
		}
	}
}

// knownSoundBy returns a daemon that has seen a response on a part lately; nil if there is none.
func (f *fleet) knownSoundBy(id string) *daemon {
	for _, d := range f.daemons {
		if at, ok := d.soundAt[id]; ok && d.up && f.now-at < soundPeriod {
			return d
		}
	}

	return nil
}

// isOwnOfDone reports whether a part is the own one of a task that is done, so that its quarantine has no effect.
func (f *fleet) isOwnOfDone(id string) bool {
	return slices.ContainsFunc(f.tasks, func(t *task) bool { return t.state == taskDone && t.parts[len(t.parts)-1] == id })
}

// countSend counts a request with a part that crashes targets.
func (f *fleet) countSend(t *task) {
	l := f.crashes[t.crashing]
	if t.crashing == "" || len(l) < budgetCrashes || f.now <= l[budgetCrashes-1]+crashSettling {
		return
	}

	d := f.daemons[t.daemon]

	touch := "in touch"
	if d.upSince > 0 && f.now-d.upSince < crashSettling {
		touch = "started lately"
	}

	s := fmt.Sprintf("%s from %s (%s) at %.3f s, granted by %s", t.id, d.name, touch, f.now.Seconds(), t.owner.name)
	f.logf("late send of a prompt with %s: %s", t.crashing, s)
	f.sends[t.crashing] = append(f.sends[t.crashing], s)
}

// checkBudget checks the requests that reached targets after the fifth crash of a part.
func (f *fleet) checkBudget() {
	for i := range f.scenario.crashingParts {
		id := fmt.Sprint("crashing", i)
		if l := f.sends[id]; len(l) > maxLateSends {
			f.failf(crashBudget, "%d requests with %s reached targets later than %s after the fifth crash at %s: %s",
				len(l), id, crashSettling, f.crashes[id][budgetCrashes-1], strings.Join(l, "; "))
		}
	}
}

// maxTraceLines bounds the lines of a trace that are printed before the failure.
const maxTraceLines = 150

// defaultFleetChecks is the number of scenarios for each property unless -rapid.checks tells another one.
const defaultFleetChecks = "40"

// checkFleets runs drawn scenarios and fails with the trace of one that breaks a property.
func checkFleets(t *testing.T, p property) {
	t.Helper()

	if c := flag.Lookup("rapid.checks"); c.Value.String() == c.DefValue {
		_ = c.Value.Set(defaultFleetChecks)

		defer func() { _ = c.Value.Set(c.DefValue) }()
	}

	rapid.Check(t, func(t *rapid.T) {
		f := runFleet(drawScenario(t, "one", "half", "all", "series", "restart", "handover", "handovers"))

		m, ok := f.failures[p]
		if !ok {
			return
		}

		l := f.trace
		if i := slices.IndexFunc(l, func(s string) bool { return strings.HasSuffix(s, m) }); i >= 0 {
			l = l[max(0, i-maxTraceLines):i]
		}

		t.Logf("%s", strings.Join(l, "\n"))
		t.Fatalf("%s", m)
	})
}

// Guards against sound items and requests that a quarantine holds back until the time of their job is over.
func TestQuarantineHoldsNoSoundItemBack(t *testing.T) { checkFleets(t, soundTasksRun) }

// Guards against sound parts that stay in quarantine because prompts that crash targets have taken their trials, or other
// crashes have ended them. It is the property of the test above without the exception for parts that look the same as parts that
// crash targets.
func TestQuarantineReleasesBlamedSoundItems(t *testing.T) { checkFleets(t, soundTasksRunBlamed) }

// Guards against a part of prompts that keeps crashing targets after its quarantine, by trials, by daemons that do not
// know of it, or across restarts and changes of the slot owner.
func TestCrashBudgetOfPart(t *testing.T) { checkFleets(t, crashBudget) }

// Guards against daemons that go on rejecting a part which another daemon knows to be sound.
func TestSoundPartLeavesQuarantineEverywhere(t *testing.T) { checkFleets(t, soundPartsLeave) }

// Guards against open items that nothing works on, and against rejections because of parts that the prompt does not have.
func TestOpenItemsHaveCause(t *testing.T) { checkFleets(t, openTasksHaveCause) }
