// Package answers generates a configuration from a questionnaire, in which an operations team describes its callers,
// its deadlines and the harm of failures. It records which answer each setting follows from. It does no input or
// output.
package answers

import (
	"fmt"
	"time"

	"github.com/agategap/agategap/config"
	"github.com/agategap/agategap/finding"
	"github.com/agategap/agategap/tomlfile"
)

// Values of the answers form, during_outage and harm.
const (
	Online = "online"
	Batch  = "batch"
	Refuse = "refuse"
	Hold   = "hold"
	None   = "none"
	Minor  = "minor"
	Severe = "severe"
)

// Reason explains the value of a setting by the answer that it follows from.
type Reason struct {
	setting string
	value   string
	file    string
	line    int
	answer  string
	text    string
}

// Setting returns the dotted key of the setting in the configuration.
func (r Reason) Setting() string { return r.setting }

// Value returns the value of the setting as text.
func (r Reason) Value() string { return r.value }

// Answer returns the dotted key of the answer in the questionnaire.
func (r Reason) Answer() string { return r.answer }

// Line returns the line of the answer in the questionnaire, or of the enclosing table if the answer is absent.
func (r Reason) Line() int { return r.line }

// String formats the reason as setting = value, followed by the file, line and key of the answer and the rule that was
// applied.
func (r Reason) String() string {
	return fmt.Sprintf("%s = %s  # %s:%d: %s: %s", r.setting, r.value, r.file, r.line, r.answer, r.text)
}

// Result is a generated configuration with its reasons.
type Result struct {
	document config.Document
	reasons  []Reason
}

// Document returns the configuration.
func (r Result) Document() config.Document { return r.document }

// Reasons returns the reasons in the order in which they were recorded. Settings that no answer affects have none.
func (r Result) Reasons() []Reason { return r.reasons }

// Generate decodes and checks a questionnaire and generates the configuration. The error is a *finding.List with all
// invalid, contradictory and unachievable answers; its findings name file.
func Generate(file string, b []byte) (Result, error) {
	var q Questionnaire

	var l finding.List

	x := tomlfile.Decode(file, b, &q, &l)
	if x.IsWellFormed() {
		q.setDefaults(x)
		q.check(x, &l)
	}

	if l.Err() != nil {
		return Result{}, l.Err()
	}

	g := generator{index: x, questionnaire: q}
	g.generate()

	return Result{document: g.document, reasons: g.reasons}, nil
}

// generator builds the configuration from a checked questionnaire and records a reason for each setting.
type generator struct {
	index         tomlfile.Index
	questionnaire Questionnaire
	document      config.Document
	reasons       []Reason
}

func (g *generator) addReasonf(setting string, value any, answer, format string, a ...any) {
	v := fmt.Sprint(value)

	switch t := value.(type) {
	case tomlfile.Duration:
		v = t.Value().String()
	case string:
		v = fmt.Sprintf("%q", t)
	}

	g.reasons = append(g.reasons, Reason{
		setting: setting, value: v, file: g.index.File(), line: g.index.Line(answer), answer: answer, text: fmt.Sprintf(format, a...),
	})
}

func (g *generator) generate() {
	g.document = config.Default()
	g.generateBounds()
	g.generateBatch()

	for i, c := range g.questionnaire.Callers {
		k := fmt.Sprintf("accounts[%d]", i)
		a := fmt.Sprintf("callers[%d]", i)
		g.document.Accounts = append(g.document.Accounts, config.AccountRecord{Name: c.Name, KeyHashes: c.KeyHashes, Concurrency: c.Concurrency})
		g.addReasonf(k+".name", c.Name, a+".name", "each caller is an account")
		g.addReasonf(k+".key_hashes", c.KeyHashes, a+".key_hashes", "the caller's keys")
		g.addReasonf(k+".concurrency", c.Concurrency, a+".concurrency", "the caller's limit")
	}

	for i, f := range g.questionnaire.Flows {
		g.document.Services = append(g.document.Services, g.generateService(i, f))
	}
}

const (
	// partitionsPerVM is the number of journal partitions for each entry VM, so that each can write some of them.
	partitionsPerVM = 2
	// recordWaitDivisor limits the time that a request waits for the log to a quarter of its deadline, so that most of
	// the deadline is left for running it.
	recordWaitDivisor = 4
	minRecordWait     = 50 * time.Millisecond
	maxRecordWait     = 2 * time.Second
)

func (g *generator) generateBounds() {
	p, s, d := g.questionnaire.Platform, g.questionnaire.Shortage, &g.document

	d.Bounds.SpillShare, d.Bounds.RetryShare = s.OtherDomains, s.Repeats
	d.Bounds.SlowShare, d.Batch.AtRiskShare = s.SlowTargets, s.LateBatches
	g.addReasonf("bounds.spill_share", s.OtherDomains, "shortage.other_domains", "the answer")
	g.addReasonf("bounds.retry_share", s.Repeats, "shortage.repeats", "the answer")
	g.addReasonf("bounds.slow_share", s.SlowTargets, "shortage.slow_targets", "the answer")
	g.addReasonf("batch.at_risk_share", s.LateBatches, "shortage.batches_at_risk", "the answer")

	d.Partitions = 1
	for d.Partitions < min(config.MaxPartitions, partitionsPerVM*len(p.FailureDomains)*p.EntryVMsPerDomain) {
		d.Partitions *= 2
	}

	g.addReasonf("partitions", d.Partitions, "platform.entry_vms_per_domain",
		"the next power of two of %d partitions for each of %d entry VMs", partitionsPerVM, len(p.FailureDomains)*p.EntryVMsPerDomain)

	wait, from := maxRecordWait, "platform.log_retention"

	for i, f := range g.questionnaire.Flows {
		if f.shouldRecord() && f.Form == Online && f.Deadline.Value()/recordWaitDivisor < wait {
			wait, from = max(minRecordWait, f.Deadline.Value()/recordWaitDivisor), fmt.Sprintf("flows[%d].deadline", i)
		}
	}

	d.Bounds.RecordWait = tomlfile.NewDuration(wait)
	g.addReasonf("bounds.record_wait", d.Bounds.RecordWait, from, "a quarter of the shortest deadline of recorded online work, %s to %s", minRecordWait, maxRecordWait)
}

const (
	// shardsPerDomain is the number of shards of the largest job for each failure domain. It is large enough that the
	// failure domains finish a job at about the same time.
	shardsPerDomain = 16
	minShardItems   = 20
	maxShardItems   = 1000
)

func (g *generator) generateBatch() {
	p, b := g.questionnaire.Platform, &g.document.Batch

	b.PauseBound, b.Lease = p.LongestPause, p.LongestPause
	g.addReasonf("batch.pause_bound", b.PauseBound, "platform.longest_pause", "a holder that pauses for this long may still come back")

	if b.Lease.Value() < time.Second {
		b.Lease = tomlfile.NewDuration(time.Second)
	}

	g.addReasonf("batch.lease", b.Lease, "platform.longest_pause", "a pause is not taken for a loss; at least 1s")

	items, from := 0, ""

	for i, f := range g.questionnaire.Flows {
		if f.Form != Batch {
			continue
		}

		k := fmt.Sprintf("flows[%d]", i)
		if f.Items > items {
			items, from = f.Items, k+".items"
		}

		g.setIfShorter("batch.cutoff_run_bound", &b.CutoffRunBound, f.CancelWithin, k+".cancel_within", "the shortest answer of all batch flows")
	}

	if items == 0 {
		return
	}

	b.ShardItems = min(maxShardItems, max(minShardItems, items/(shardsPerDomain*len(p.FailureDomains))))
	g.addReasonf("batch.shard_items", b.ShardItems, from, "%d shards for each failure domain in the largest job, %d to %d items", shardsPerDomain, minShardItems, maxShardItems)

	longest := b.Retain

	for i, f := range g.questionnaire.Flows {
		if f.Form == Batch && f.ResultsReadable.Value() >= longest.Value() {
			longest = f.ResultsReadable
			g.replaceReason("batch.retain", longest, fmt.Sprintf("flows[%d].results_readable", i), "the longest answer of all batch flows")
		}
	}

	b.Retain = longest
}

// setIfShorter sets p to v and records the reason if v is shorter than p or the setting has no reason yet.
func (g *generator) setIfShorter(setting string, p *tomlfile.Duration, v tomlfile.Duration, answer, text string) {
	if g.hasReason(setting) && v.Value() >= p.Value() {
		return
	}

	*p = v
	g.replaceReason(setting, v, answer, text)
}

func (g *generator) hasReason(setting string) bool {
	for _, r := range g.reasons {
		if r.setting == setting {
			return true
		}
	}

	return false
}

// replaceReason records a reason and removes an earlier one of the same setting.
func (g *generator) replaceReason(setting string, v tomlfile.Duration, answer, text string) {
	for i, r := range g.reasons {
		if r.setting == setting {
			g.reasons = append(g.reasons[:i], g.reasons[i+1:]...)

			break
		}
	}

	g.addReasonf(setting, v, answer, "%s", text)
}

const (
	// idleBoundDivisor limits the time without an event to a quarter of the deadline, so that a stream that is resumed
	// after it can still end in time.
	idleBoundDivisor = 4
	minIdleBound     = 100 * time.Millisecond
	maxIdleBound     = 2 * time.Second
	// repeatableAttempts is the number of attempts for work that may run more than once.
	repeatableAttempts = 3
)

func (g *generator) generateService(i int, f FlowAnswers) config.ServiceRecord {
	k, a := fmt.Sprintf("services[%d]", i), fmt.Sprintf("flows[%d]", i)
	t, at := g.questionnaire.findTarget(f.Targets)
	ta := fmt.Sprintf("targets[%d]", at)
	s := config.DefaultService()

	s.Name, s.Targets, s.Kind, s.Lookup = f.Name, f.Targets, t.Kind, t.TellsIfRan
	g.addReasonf(k+".name", s.Name, a+".name", "each flow is a service")
	g.addReasonf(k+".targets", s.Targets, a+".targets", "the flow's targets")
	g.addReasonf(k+".kind", s.Kind, ta+".kind", "the kind of its targets")
	g.addReasonf(k+".lookup", s.Lookup, ta+".tells_if_ran", "the answer")

	s.Idempotent = f.MayRepeat
	g.addReasonf(k+".idempotent", s.Idempotent, a+".may_repeat", "the answer")

	s.Record = f.shouldRecord()

	switch {
	case !f.MayRepeat:
		g.addReasonf(k+".record", s.Record, a+".may_repeat", "work that may not run twice is recorded before it is sent")
	case f.CallerWaits:
		g.addReasonf(k+".record", s.Record, a+".caller_waits", "a caller that waits sends lost work again")
	default:
		g.addReasonf(k+".record", s.Record, a+".harm.lost", "work is recorded when its loss does severe harm and nobody waits for it")
	}

	s.HoldOnOutage = f.DuringLogOutage == Hold
	g.addReasonf(k+".hold_on_outage", s.HoldOnOutage, a+".during_outage", "the answer")

	s.Deadline = f.Deadline
	g.addReasonf(k+".deadline", s.Deadline, a+".deadline", "the answer")

	s.MaxAttempts = 1
	if f.MayRepeat {
		s.MaxAttempts = repeatableAttempts
	}

	g.addReasonf(k+".max_attempts", s.MaxAttempts, a+".may_repeat", "%d where work may be repeated, else 1", repeatableAttempts)
	g.setHedge(&s, k, a, f)

	s.IdleBound = tomlfile.NewDuration(min(maxIdleBound, max(minIdleBound, f.Deadline.Value()/idleBoundDivisor)))
	g.addReasonf(k+".idle_bound", s.IdleBound, a+".deadline", "a quarter of the deadline, %s to %s", minIdleBound, maxIdleBound)

	s.RetainResults = f.ResultsReadable
	g.addReasonf(k+".retain_results", s.RetainResults, a+".results_readable", "the answer")

	return s
}

func (g *generator) setHedge(s *config.ServiceRecord, k, a string, f FlowAnswers) {
	switch {
	case !f.MayRepeat:
		g.addReasonf(k+".hedge", false, a+".may_repeat", "work that may not run twice is never hedged")
	case f.Hedge != nil:
		s.Hedge = *f.Hedge
		g.addReasonf(k+".hedge", s.Hedge, a+".hedge", "the answer")
	default:
		s.Hedge = f.Form == Online && f.Harm.Late == Severe
		g.addReasonf(k+".hedge", s.Hedge, a+".harm.late", "online work is hedged when lateness does severe harm")
	}
}

// shouldRecord reports whether work is recorded in the log before it is sent to a target. A caller that waits notices a
// loss and sends the work again, so such work needs no record and can run while the log is down.
func (f FlowAnswers) shouldRecord() bool {
	return !f.MayRepeat || f.Harm.Lost == Severe && !f.CallerWaits
}

// findTarget returns the targets with a name and their index; -1 if there are none.
func (q Questionnaire) findTarget(name string) (TargetAnswers, int) {
	for i, t := range q.Targets {
		if t.Name == name {
			return t, i
		}
	}

	return TargetAnswers{}, -1
}
