package answers

import (
	"encoding/hex"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/agategap/agategap/config"
	"github.com/agategap/agategap/finding"
	"github.com/agategap/agategap/journal"
	"github.com/agategap/agategap/tomlfile"
)

// Defaults and bounds of the answers.
const (
	defaultLogRetention    = 72 * time.Hour
	defaultLongestPause    = 10 * time.Second
	defaultResultsReadable = 24 * time.Hour
	defaultCancelWithin    = time.Minute
	defaultOtherDomains    = 0.2
	defaultRepeats         = 0.1
	defaultSlowTargets     = 0.3
	defaultLateBatches     = 0.1

	maxEntryVMs    = 1000
	maxTargets     = 100_000
	maxTokens      = 1_000_000
	maxRetention   = 30 * 24 * time.Hour
	maxRequestTime = time.Hour
	maxDomainDelay = 10 * time.Second
	keyHashBytes   = 32
)

func (q *Questionnaire) setDefaults(x tomlfile.Index) {
	setDefaultDuration(x, "platform.log_retention", &q.Platform.LogRetention, defaultLogRetention)
	setDefaultDuration(x, "platform.longest_pause", &q.Platform.LongestPause, defaultLongestPause)
	setDefaultDuration(x, "platform.domain_delay", &q.Platform.DomainDelay, time.Millisecond)
	setDefault(x, "platform.entry_vms_per_domain", &q.Platform.EntryVMsPerDomain, 1)
	setDefault(x, "shortage.other_domains", &q.Shortage.OtherDomains, defaultOtherDomains)
	setDefault(x, "shortage.repeats", &q.Shortage.Repeats, defaultRepeats)
	setDefault(x, "shortage.slow_targets", &q.Shortage.SlowTargets, defaultSlowTargets)
	setDefault(x, "shortage.batches_at_risk", &q.Shortage.LateBatches, defaultLateBatches)

	for i := range q.Targets {
		k := fmt.Sprintf("targets[%d].", i)
		setDefault(x, k+"count", &q.Targets[i].Count, 1)
		setDefault(x, k+"in_flight", &q.Targets[i].ItemsInFlight, 1)
		setDefaultDuration(x, k+"first_token", &q.Targets[i].FirstToken, 0)
		setDefaultDuration(x, k+"per_token", &q.Targets[i].PerToken, 0)
	}

	for i := range q.Flows {
		k, f := fmt.Sprintf("flows[%d].", i), &q.Flows[i]
		setDefaultDuration(x, k+"results_readable", &f.ResultsReadable, defaultResultsReadable)
		setDefaultDuration(x, k+"cancel_within", &f.CancelWithin, defaultCancelWithin)
		setDefault(x, k+"during_outage", &f.DuringLogOutage, Refuse)
		setDefault(x, k+"harm.late", &f.Harm.Late, Minor)
		setDefault(x, k+"harm.lost", &f.Harm.Lost, Minor)
		setDefault(x, k+"harm.duplicated", &f.Harm.Duplicated, Minor)
	}
}

func setDefaultDuration(x tomlfile.Index, key string, p *tomlfile.Duration, v time.Duration) {
	if !x.Has(key) {
		*p = tomlfile.NewDuration(v)
	}
}

func setDefault[T any](x tomlfile.Index, key string, p *T, v T) {
	if !x.Has(key) {
		*p = v
	}
}

// checker checks the answers of a questionnaire and adds the findings to a list.
type checker struct {
	questionnaire *Questionnaire
	index         tomlfile.Index
	findings      *finding.List
}

func (q *Questionnaire) check(x tomlfile.Index, l *finding.List) {
	c := checker{questionnaire: q, index: x, findings: l}
	c.checkPlatform()
	c.checkShortage()
	c.checkCallers()
	c.checkTargets()

	if len(q.Flows) == 0 {
		c.addf("flows", "at least one flow is required")
	}

	names := map[string]bool{}

	for i, f := range q.Flows {
		k := fmt.Sprintf("flows[%d]", i)
		c.checkName(k+".name", f.Name, names)
		c.checkFlow(k, f)
	}
}

func (c checker) addf(key, format string, a ...any) { c.index.Addf(c.findings, key, format, a...) }

func (c checker) checkPlatform() {
	p := c.questionnaire.Platform
	names := map[string]bool{}

	if len(p.FailureDomains) == 0 {
		c.addf("platform.failure_domains", "at least one failure domain is required")
	}

	for i, d := range p.FailureDomains {
		c.checkName(fmt.Sprintf("platform.failure_domains[%d]", i), d, names)
	}

	c.checkRange("platform.entry_vms_per_domain", p.EntryVMsPerDomain, 1, maxEntryVMs)
	p.DomainDelay.Check(c.index, c.findings, "platform.domain_delay", 0, maxDomainDelay)
	p.LogRetention.Check(c.index, c.findings, "platform.log_retention", time.Minute, maxRetention)
	p.LongestPause.Check(c.index, c.findings, "platform.longest_pause", 0, maxRequestTime)
}

func (c checker) checkShortage() {
	s := c.questionnaire.Shortage
	for _, v := range []struct {
		key   string
		value float64
	}{
		{"other_domains", s.OtherDomains},
		{"repeats", s.Repeats},
		{"slow_targets", s.SlowTargets},
		{"batches_at_risk", s.LateBatches},
	} {
		if !(v.value >= 0 && v.value <= 1) {
			c.addf("shortage."+v.key, "%g is not a share from 0 to 1", v.value)
		}
	}
}

func (c checker) checkCallers() {
	names, hashes := map[string]bool{}, map[string]string{}

	for i, a := range c.questionnaire.Callers {
		k := fmt.Sprintf("callers[%d]", i)
		c.checkName(k+".name", a.Name, names)
		c.checkRange(k+".concurrency", a.Concurrency, 0, config.MaxConcurrency)

		for _, h := range a.KeyHashes {
			if b, err := hex.DecodeString(h); err != nil || len(b) != keyHashBytes {
				c.addf(k+".key_hashes", "%q is not a SHA-256 in hex; run printf %%s KEY | sha256sum", h)
			} else if o, ok := hashes[h]; ok {
				c.addf(k+".key_hashes", "the same key belongs to caller %q", o)
			}

			hashes[h] = a.Name
		}
	}
}

func (c checker) checkTargets() {
	names := map[string]bool{}

	for i, t := range c.questionnaire.Targets {
		k := fmt.Sprintf("targets[%d]", i)
		c.checkName(k+".name", t.Name, names)
		c.checkOneOf(k+".kind", t.Kind, config.KindEngine, config.KindPlain)
		c.checkRange(k+".count", t.Count, 1, maxTargets)
		c.checkRange(k+".in_flight", t.ItemsInFlight, 1, maxTargets)
		t.FirstToken.Check(c.index, c.findings, k+".first_token", 0, maxRequestTime)
		t.PerToken.Check(c.index, c.findings, k+".per_token", 0, time.Minute)
	}
}

// checkFlow checks the answers about a flow, first each on its own, then against each other.
func (c checker) checkFlow(k string, f FlowAnswers) {
	c.checkOneOf(k+".form", f.Form, Online, Batch)
	c.checkOneOf(k+".during_outage", f.DuringLogOutage, Refuse, Hold)
	c.checkOneOf(k+".harm.late", f.Harm.Late, None, Minor, Severe)
	c.checkOneOf(k+".harm.lost", f.Harm.Lost, None, Minor, Severe)
	c.checkOneOf(k+".harm.duplicated", f.Harm.Duplicated, None, Minor, Severe)

	if !c.index.Has(k + ".deadline") {
		c.addf(k+".deadline", "is required")
	} else {
		f.Deadline.Check(c.index, c.findings, k+".deadline", time.Millisecond, maxRequestTime)
	}

	f.ResultsReadable.Check(c.index, c.findings, k+".results_readable", time.Second, maxRetention)
	f.CancelWithin.Check(c.index, c.findings, k+".cancel_within", 0, maxRequestTime)
	c.checkRange(k+".answer_tokens", f.AnswerTokens, 0, maxTokens)

	c.checkMinLatency(k, f)
	c.checkRepetition(k, f)
	c.checkForm(k, f)
}

// checkMinLatency reports a deadline that is shorter than the time that a target takes at least for a response,
// including a round trip between failure domains.
func (c checker) checkMinLatency(k string, f FlowAnswers) {
	t, i := c.questionnaire.findTarget(f.Targets)
	if i < 0 {
		c.addf(k+".targets", "%q is not the name of any targets", f.Targets)

		return
	}

	least := t.FirstToken.Value() + time.Duration(f.AnswerTokens)*t.PerToken.Value() + 2*c.questionnaire.Platform.DomainDelay.Value()
	if d := f.Deadline.Value(); d > 0 && d < least {
		c.addf(k+".deadline", "%s is shorter than the floor of %q: %d tokens take at least %s (line %d)",
			d, f.Targets, f.AnswerTokens, least, c.index.Line(fmt.Sprintf("targets[%d].first_token", i)))
	}
}

// checkRepetition reports contradictions between the answers about repeating, hedging and recording work.
func (c checker) checkRepetition(k string, f FlowAnswers) {
	if f.Hedge != nil && *f.Hedge && !f.MayRepeat {
		c.addf(k+".hedge", "work that may not be repeated (line %d) cannot be hedged", c.index.Line(k+".may_repeat"))
	}

	if f.MayRepeat && f.Harm.Duplicated == Severe {
		c.addf(k+".may_repeat", "contradicts harm.duplicated = %q (line %d)", Severe, c.index.Line(k+".harm.duplicated"))
	}

	if f.DuringLogOutage == Hold && !f.shouldRecord() {
		c.addf(k+".during_outage", "%q has no effect, as the work is not recorded: it may be repeated, and its loss does no severe harm or its caller waits", Hold)
	}
}

// checkForm checks the sizes, and the answers that only batch flows have.
func (c checker) checkForm(k string, f FlowAnswers) {
	if f.Form == Online {
		for _, v := range []string{"window", "items"} {
			if c.index.Has(k + "." + v) {
				c.addf(k+"."+v, "belongs to batch flows only")
			}
		}

		c.checkRange(k+".body_bytes", f.BodyBytes, 0, config.MaxBodyBytes)

		return
	}

	if f.Form != Batch {
		return
	}

	c.checkRange(k+".items", f.Items, 1, journal.MaxJobItems)
	c.checkRange(k+".body_bytes", f.BodyBytes, 0, config.MaxLineBytes)

	if f.BodyBytes > 0 && f.Items > config.MaxBatchBytes/f.BodyBytes {
		c.addf(k+".items", "%d items of %d bytes are above the %d bytes of one batch body; split the job", f.Items, f.BodyBytes, config.MaxBatchBytes)
	}

	c.checkWindow(k, f)
}

func (c checker) checkWindow(k string, f FlowAnswers) {
	if !c.index.Has(k + ".window") {
		c.addf(k+".window", "is required for a batch flow")

		return
	}

	f.Window.Check(c.index, c.findings, k+".window", time.Second, maxRetention)

	w, p := f.Window.Value(), c.questionnaire.Platform
	if r := p.LogRetention.Value(); w > r {
		c.addf(k+".window", "%s is longer than the log keeps records: %s (line %d)", w, r, c.index.Line("platform.log_retention"))
	}

	if w < f.Deadline.Value() {
		c.addf(k+".window", "%s is shorter than the deadline of one item, %s (line %d)", w, f.Deadline.Value(), c.index.Line(k+".deadline"))
	}

	if f.ResultsReadable.Value() < w {
		c.addf(k+".results_readable", "%s is shorter than the window of %s (line %d): results would end before their job", f.ResultsReadable.Value(), w, c.index.Line(k+".window"))
	}

	c.checkCapacity(k, f)
}

// checkCapacity reports a batch job that all targets together cannot finish within its window even if they are idle.
func (c checker) checkCapacity(k string, f FlowAnswers) {
	t, i := c.questionnaire.findTarget(f.Targets)
	if i < 0 || t.Count < 1 || t.ItemsInFlight < 1 {
		return
	}

	item := t.FirstToken.Value() + time.Duration(f.AnswerTokens)*t.PerToken.Value()
	if need := time.Duration(float64(item) * float64(f.Items) / float64(t.Count*t.ItemsInFlight)); need > f.Window.Value() {
		c.addf(k+".window", "%d items take %s on %d idle targets, longer than the window of %s", f.Items, need.Round(time.Second), t.Count, f.Window.Value())
	}
}

func (c checker) checkName(key, name string, seen map[string]bool) {
	if p := config.NameProblem(name, seen); p != "" {
		c.addf(key, "%s", p)
	}
}

func (c checker) checkRange(key string, v, minimum, maximum int) {
	if v < minimum || v > maximum {
		c.addf(key, "%d is outside %d to %d", v, minimum, maximum)
	}
}

func (c checker) checkOneOf(key, v string, allowed ...string) {
	if !slices.Contains(allowed, v) {
		c.addf(key, "%q is not one of %s", v, strings.Join(allowed, ", "))
	}
}
