package quarantine

import (
	"time"
)

const (
	// reportPeriod is the time for which other daemons are told of a crash. It outlasts the interval between two heartbeats of
	// hundreds of daemons.
	reportPeriod = 10 * time.Second
	// maxReports bounds the crashes of a service that other daemons are told of. The last ones are told.
	maxReports = 16
)

// Report is a crash under a prompt, which a daemon tells the others of. Each of them may become the owner of the slots, and
// then has to know the crashes before.
type Report struct {
	crash  Crash
	prompt Prompt
	age    time.Duration
}

// NewReport returns the report of a crash some time ago, under a prompt with suspect parts.
func NewReport(p Prompt, c Crash, age time.Duration) Report {
	return Report{crash: c, prompt: p, age: age}
}

// Crash returns the crash.
func (r Report) Crash() Crash { return r.crash }

// Prompt returns the prompt without the parts that were known to be sound.
func (r Report) Prompt() Prompt { return r.prompt }

// Age returns the time since the crash.
func (r Report) Age() time.Duration { return r.age }

// Reports returns the latest crashes under prompts with suspect shared parts.
func (r *Registry) Reports(now time.Time) []Report {
	var l []Report

	for i := range r.shards {
		h := &r.shards[i]

		h.mu.Lock()
		for _, s := range h.services {
			l = append(l, s.evidence.reports(now)...)
		}
		h.mu.Unlock()
	}

	return l
}

// reports returns the latest crashes under prompts with suspect shared parts.
func (e *evidence) reports(now time.Time) []Report {
	var l []Report

	for _, c := range e.crashes {
		if now.Sub(c.at) < reportPeriod && len(c.prompt.shared) > 0 {
			l = append(l, NewReport(c.prompt, c.Crash, now.Sub(c.at)))
		}
	}

	return l[max(0, len(l)-maxReports):]
}

// ImportReport records a crash that another daemon has told of, without a decision.
func (r *Registry) ImportReport(n Report, now time.Time) {
	if n.prompt.own == "" || n.age >= reportPeriod {
		return
	}

	h := r.lock(n.prompt.service)
	defer h.mu.Unlock()

	r.record(h.state(n.prompt.service), n.prompt, n.crash, now.Add(-n.age))
}
