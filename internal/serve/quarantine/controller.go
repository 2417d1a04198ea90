package quarantine

import (
	"time"

	"github.com/rs/zerolog"
)

// Notifier sends the quarantined combinations to the other daemons.
type Notifier interface {
	NotifyPeers()
}

// Counter adds to a counter of the metrics.
type Counter interface {
	Count(name string, n int64)
}

// Controller applies what attempts have observed to a registry, and logs and counts its decisions. It is safe for
// concurrent use.
type Controller struct {
	registry Registry
	notifier Notifier
	counter  Counter
	clock    func() time.Time
	logger   zerolog.Logger
}

// NewController returns a controller with an empty registry. Without SetNotifier, other daemons learn of its
// decisions with the regular heartbeats.
func NewController(c Counter, clock func() time.Time, z zerolog.Logger) *Controller {
	return &Controller{counter: c, clock: clock, logger: z}
}

// SetNotifier sets what is told about new quarantines. It must be called before the controller is used.
func (c *Controller) SetNotifier(n Notifier) { c.notifier = n }

// Find returns the quarantined combination that a prompt has; false if there is none.
func (c *Controller) Find(p Prompt) (Entry, bool) { return c.registry.Find(p, c.clock()) }

// Admit decides about a slot request for a prompt. The daemon that grants the slots of the service calls it.
func (c *Controller) Admit(p Prompt, a Applicant) Admission {
	n := c.registry.Admit(p, a, c.clock())
	if n.HasStarted() {
		c.counter.Count("quarantine_trials", 1)
		c.logger.Info().Str("event", "quarantine_trial").Str("service", p.Service()).Str("request", a.request).Strs("prompt", p.Parts()).
			Msg("a request tries a quarantined combination of parts")
		c.notify()
	}

	return n
}

// EndTrial ends the trials of a slot request that have shown nothing. sent says whether the request may have reached a
// target.
func (c *Controller) EndTrial(service, slotRequest string, sent bool) {
	c.registry.EndTrial(service, slotRequest, sent, c.clock())
}

// notify sends the quarantined combinations to the other daemons.
func (c *Controller) notify() {
	if c.notifier != nil {
		c.notifier.NotifyPeers()
	}
}

// CountRejection counts a request that was rejected because of a quarantined combination.
func (c *Controller) CountRejection() { c.counter.Count("quarantine_rejections", 1) }

// MarkSound records that a response to a prompt got beyond its beginning.
func (c *Controller) MarkSound(p Prompt) {
	if l := c.registry.MarkSound(p, c.clock()); len(l) > 0 {
		c.logNarrowed(l, "")
		c.notify()
	}
}

// logNarrowed logs combinations whose quarantine has ended or applies to fewer parts. vm is the daemon that has found it;
// empty for this one.
func (c *Controller) logNarrowed(l []Entry, vm string) {
	for _, e := range l {
		n := c.logger.Info().Str("event", "quarantine_narrowed").Str("service", e.Service()).Strs("parts", e.Parts())
		if vm != "" {
			n = n.Str("peer", vm)
		}

		n.Msg("a response began on a quarantined part of a prompt, which does not crash targets by itself")
	}
}

// NoteCrash records a crash under a prompt at the daemon of the attempt, which tells the others of it.
func (c *Controller) NoteCrash(p Prompt, n Crash) {
	c.registry.ImportReport(NewReport(p, n, 0), c.clock())
}

// Reports returns the latest crashes under prompts with suspect shared parts.
func (c *Controller) Reports() []Report { return c.registry.Reports(c.clock()) }

// ImportReport records a crash that another daemon has told of.
func (c *Controller) ImportReport(n Report) { c.registry.ImportReport(n, c.clock()) }

// Clearances returns the parts that were cleared lately, by this daemon or by others.
func (c *Controller) Clearances() []Clearance { return c.registry.Clearances(c.clock()) }

// ImportClearance takes over a clearance from the daemon of a VM.
func (c *Controller) ImportClearance(l Clearance, vm string) {
	c.logNarrowed(c.registry.ImportClearance(l, c.clock()), vm)
}

// Suspects returns the prompt without the shared parts that are known to be sound.
func (c *Controller) Suspects(p Prompt) Prompt { return c.registry.Suspects(p, c.clock()) }

// AddCrash records that a target crashed when it began the response to a prompt. The daemon that grants the slots of the
// service calls it.
func (c *Controller) AddCrash(p Prompt, n Crash) {
	c.counter.Count("suspect_crashes", 1)

	l := c.registry.AddCrash(p, n, c.clock())

	for _, d := range l {
		e := d.Entry()

		c.counter.Count("quarantined_prompts", 1)
		c.logger.Warn().Str("event", "prompt_quarantined").Str("service", e.Service()).Strs("parts", e.Parts()).Str("target", n.Target()).
			Str("rule", string(d.Rule())).Strs("crashes", describeCrashes(d.Crashes())).Int("crash_count", e.Crashes()).Int("trials", e.Trials()).Dur("next_trial", e.Remaining()).
			Msg("targets keep crashing under prompts with these parts, requests with all of them are rejected")
	}

	if len(l) > 0 {
		c.notify()
	}
}

// maxLoggedCrashes bounds the crashes in one log line. The last ones are logged.
const maxLoggedCrashes = 8

func describeCrashes(l []Crash) []string {
	var s []string
	for _, c := range l[max(0, len(l)-maxLoggedCrashes):] {
		s = append(s, c.String())
	}

	return s
}

// Entries returns the quarantined combinations, those with the latest crash first.
func (c *Controller) Entries() []Entry { return c.registry.Entries(c.clock()) }

// Import takes over a quarantined combination from the daemon of a VM.
func (c *Controller) Import(e Entry, vm string) {
	if c.registry.Import(e, c.clock()) {
		c.logger.Warn().Str("event", "prompt_quarantined").Str("service", e.Service()).Strs("parts", e.Parts()).Str("peer", vm).
			Int("crash_count", e.Crashes()).Int("trials", e.Trials()).Dur("next_trial", e.Remaining()).Msg("another daemon reports parts of prompts under which targets crash, requests with all of them are rejected")
	}
}
