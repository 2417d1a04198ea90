package soak

import (
	"fmt"
	"strings"
	"time"
)

const (
	// deadlyCrashBudget is the number of crashes under deadlyPart after which the system has to know it.
	deadlyCrashBudget = 5
	// deadlyRunBudget is the number of requests with deadlyPart that may reach workers later than stableWindow after
	// these crashes.
	deadlyRunBudget = 3
	// stableWindow is the time without faults after which a daemon counts as in touch.
	stableWindow = 3 * time.Second
)

// outOfTouch returns a function that matches the faults that excuse daemon n for stableWindow, as it was not in touch.
func outOfTouch(n int) func(f Fault) bool {
	return func(f Fault) bool {
		switch f.kind {
		case PeersCut, PeersDeaf, PeersSilent, PeersReset, PeersSlow:
			return f.index == n
		default:
			return affectsDaemon(n)(f)
		}
	}
}

// outOfTouchAny matches the faults that outOfTouch matches for any daemon.
func outOfTouchAny(f Fault) bool {
	switch f.kind {
	case PeersCut, PeersDeaf, PeersSilent, PeersReset, PeersSlow:
		return true
	default:
		return affectsAnyDaemon(f)
	}
}

// harmsLinkTo returns a function that matches the faults of the connections of daemons to worker n.
func harmsLinkTo(n int) func(f Fault) bool {
	return func(f Fault) bool {
		switch f.kind {
		case WorkerCut, WorkerReset, WorkerSilent, WorkerSlow:
			return f.index == n
		default:
			return false
		}
	}
}

// deadlyCrashes returns the times of the crashes of workers under deadlyPart, in order.
func (j *injector) deadlyCrashes() []time.Time {
	j.mu.Lock()
	defer j.mu.Unlock()

	var l []time.Time

	for _, f := range j.injected {
		if f.fault.kind == DeadlyCrash {
			l = append(l, f.from)
		}
	}

	return l
}

// checkBudget checks that few requests and items with deadlyPart reach workers once it has crashed deadlyCrashBudget
// workers. Runs that a daemon out of touch may have sent, and those over a connection that was harmed lately, do not
// count. As a worker does not see which daemon sends an item, all of them have to be in touch then.
func (x *callers) checkBudget(s *jobClients) {
	crashes := x.injector.deadlyCrashes()
	if len(crashes) < deadlyCrashBudget {
		return
	}

	items := s.deadlyItems()
	from := crashes[deadlyCrashBudget-1].Add(stableWindow)

	var late []string

	for n, t := range x.deployment.workers {
		for _, r := range t.worker.Runs() {
			excuse := outOfTouchAny

			x.mu.Lock()
			if d, ok := x.deadly[r.ID]; ok {
				excuse = outOfTouch(d)
			} else if !items[r.ID] {
				excuse = nil
			}
			x.mu.Unlock()

			if excuse == nil || r.Start.Before(from) {
				continue
			}

			excused := !x.injector.isFaultFree(r.Start.Add(-stableWindow), r.Start, func(f Fault) bool { return excuse(f) || harmsLinkTo(n)(f) })
			x.recorder.Count(fmt.Sprintf("late deadly runs, excused %t", excused))

			if !excused {
				late = append(late, fmt.Sprintf("%s at %s, %s after the fifth crash", r.ID, t.id, r.Start.Sub(from.Add(-stableWindow)).Round(time.Millisecond)))
			}
		}
	}

	if len(late) > deadlyRunBudget {
		x.recorder.RecordBroken(Budget, deadlyPart, fmt.Sprintf("%d requests with the part that crashes workers reached workers: %s", len(late), strings.Join(late, "; ")))
	}
}
