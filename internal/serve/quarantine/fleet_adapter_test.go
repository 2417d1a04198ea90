package quarantine_test

import (
	"time"

	"github.com/agategap/agategap/internal/serve/quarantine"
)

// This file holds all uses that the model of a fleet makes of the package, and the rules of the callers that go with it.

const (
	fleetService = "s"
	// maxCrashEvents is the number of events up to which a crash counts as caused by the prompt, as in package filter.
	maxCrashEvents = 3
	// reportsSoundEarly tells whether a response is reported as sound at its fourth event, and not at its end.
	reportsSoundEarly = true
)

// rejectionRetryDelay returns the delay after which an item that was rejected because of an entry is tried again.
func rejectionRetryDelay(e quarantine.Entry) time.Duration {
	return min(2*time.Second, max(time.Second, e.Remaining()))
}

// fleetRegistry is the registry of a daemon of the model.
type fleetRegistry struct{ registry quarantine.Registry }

func fleetPrompt(parts []string) quarantine.Prompt {
	return quarantine.NewPrompt(fleetService, parts)
}

// fleetCrash is the crash of a target as the slot owner learns of it.
type fleetCrash struct {
	parts   []string
	request string
	target  string
	start   int64
	events  int           // of the attempt
	age     time.Duration // of the attempt
}

// promptOutcome returns what an attempt that has ended shows about its prompt. began tells whether an earlier attempt of the
// same item got beyond maxCrashEvents.
func promptOutcome(events int, complete, began bool) (sound, suspect bool) {
	sound = complete || events > maxCrashEvents

	return sound, !sound && !began
}

// find is the check of a daemon before it requests a slot. Items go to the slot owner in any case.
func (r *fleetRegistry) find(parts []string, batch bool, now time.Time) (quarantine.Entry, bool) {
	e, ok := r.registry.Find(fleetPrompt(parts), now)

	return e, ok && e.Remaining() > 0 && !batch
}

// findGranted is the check of a daemon after its request was granted a slot.
func (r *fleetRegistry) findGranted(parts []string, trial bool, now time.Time) (quarantine.Entry, bool) {
	e, ok := r.registry.Find(fleetPrompt(parts), now)

	return e, ok && !trial
}

// admit returns the decision about a slot request at the slot owner.
func (r *fleetRegistry) admit(parts []string, slotRequest, request string, batch bool, now time.Time) quarantine.Admission {
	a := quarantine.NewApplicant(slotRequest, request)
	if batch {
		a = a.AsItem()
	}

	return r.registry.Admit(fleetPrompt(parts), a, now)
}

// endTrial ends a trial that has no result.
func (r *fleetRegistry) endTrial(slotRequest string, sent bool, now time.Time) {
	r.registry.EndTrial(fleetService, slotRequest, sent, now)
}

// markSound returns the entries whose quarantine ends or is narrowed.
func (r *fleetRegistry) markSound(parts []string, now time.Time) []quarantine.Entry {
	return r.registry.MarkSound(fleetPrompt(parts), now)
}

// suspects returns the parts that a daemon reports to the slot owner after a crash.
func (r *fleetRegistry) suspects(parts []string, now time.Time) []string {
	return r.registry.Suspects(fleetPrompt(parts), now).Parts()
}

// isNews reports whether a response beyond its beginning tells the slot owner something new about the prompt.
func (r *fleetRegistry) isNews(parts []string, trial bool, now time.Time) bool {
	return trial || len(r.suspects(parts, now)) > 1
}

func (c fleetCrash) crash() quarantine.Crash {
	return quarantine.NewCrash(c.target, c.start).WithAttempt(c.request, c.request, c.events, c.age)
}

// noteCrash records a crash at the daemon of the attempt.
func (r *fleetRegistry) noteCrash(c fleetCrash, now time.Time) {
	r.registry.ImportReport(quarantine.NewReport(fleetPrompt(c.parts), c.crash(), 0), now)
}

// addCrash returns the entries whose quarantine starts.
func (r *fleetRegistry) addCrash(c fleetCrash, now time.Time) []quarantine.Entry {
	var l []quarantine.Entry
	for _, d := range r.registry.AddCrash(fleetPrompt(c.parts), c.crash(), now) {
		l = append(l, d.Entry())
	}

	return l
}

func (r *fleetRegistry) entries(now time.Time) []quarantine.Entry { return r.registry.Entries(now) }

// fleetHeartbeat is what a heartbeat carries of a registry.
type fleetHeartbeat struct {
	entries []quarantine.Entry
	cleared []quarantine.Clearance
	reports []quarantine.Report
}

func (r *fleetRegistry) export(now time.Time) fleetHeartbeat {
	return fleetHeartbeat{entries: r.registry.Entries(now), cleared: r.registry.Clearances(now), reports: r.registry.Reports(now)}
}

// merge takes over a heartbeat and returns the entries that were new, and those that were narrowed by a clearance.
func (r *fleetRegistry) merge(h fleetHeartbeat, now time.Time) (added, narrowed []quarantine.Entry) {
	for _, n := range h.reports {
		r.registry.ImportReport(n, now)
	}

	for _, c := range h.cleared {
		narrowed = append(narrowed, r.registry.ImportClearance(c, now)...)
	}

	for _, e := range h.entries {
		if r.registry.Import(e, now) {
			added = append(added, e)
		}
	}

	return added, narrowed
}
