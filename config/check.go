package config

import (
	"encoding/hex"
	"fmt"
	"slices"
	"strings"
	"time"
	"unicode"

	"github.com/pelletier/go-toml/v2"

	"github.com/agategap/agategap/finding"
	"github.com/agategap/agategap/tomlfile"
)

// Upper bounds of the settings and of requests.
const (
	MaxPartitions  = 4096
	MaxShardItems  = 10_000
	MaxAttempts    = 20
	MaxConcurrency = 1_000_000
	MaxBodyBytes   = 1 << 20   // body of a request
	MaxBatchBytes  = 64 << 20  // body of a batch job
	MaxLineBytes   = 256 << 10 // line of a batch body, which is one item
	maxRetention   = 30 * 24 * time.Hour
	maxRequestTime = time.Hour
	keyHashBytes   = 32
)

// Parse decodes a document, sets the defaults and checks the values. The error is a *finding.List; its findings name
// file.
func Parse(file string, b []byte) (Document, error) {
	var d Document

	var l finding.List

	x := tomlfile.Decode(file, b, &d, &l)
	if x.IsWellFormed() {
		d.setDefaults(x.Has)
		d.check(x, &l)
	}

	return d, l.Err()
}

// Default returns a document with the defaults of all settings and without services.
func Default() Document {
	var d Document

	d.setDefaults(hasNoKey)

	return d
}

// DefaultService returns a service with the defaults of all settings and without a name.
func DefaultService() ServiceRecord {
	var s ServiceRecord

	s.setDefaults("", hasNoKey)

	return s
}

// Format encodes a document that was built in code as TOML. Unlike Marshal, it replaces settings of 0 by their
// defaults.
func Format(d Document) ([]byte, error) {
	d.Services = slices.Clone(d.Services)
	d.setDefaults(hasNoKey)

	return toml.Marshal(d)
}

// Marshal encodes a document as TOML with exactly its values, also those of 0.
func Marshal(d Document) ([]byte, error) { return toml.Marshal(d) }

// hasNoKey is used in place of Index.Has for a document that was built in code: no key is present.
func hasNoKey(string) bool { return false }

// setDefaults sets the settings whose key is absent. An explicit setting keeps its value, also if that is 0.
func (d *Document) setDefaults(has func(key string) bool) {
	setDefault(has, "bounds.record_wait", &d.Bounds.RecordWait, tomlfile.NewDuration(2*time.Second))
	setDefault(has, "bounds.leaving_bound", &d.Bounds.LeavingBound, tomlfile.NewDuration(3*time.Second))
	setDefault(has, "batch.lease", &d.Batch.Lease, tomlfile.NewDuration(10*time.Second))
	setDefault(has, "batch.pause_bound", &d.Batch.PauseBound, tomlfile.NewDuration(10*time.Second))
	setDefault(has, "batch.cutoff_run_bound", &d.Batch.CutoffRunBound, tomlfile.NewDuration(time.Minute))
	setDefault(has, "batch.retain", &d.Batch.Retain, tomlfile.NewDuration(24*time.Hour))
	setDefault(has, "partitions", &d.Partitions, 16)
	setDefault(has, "batch.shard_items", &d.Batch.ShardItems, 200)
	setDefault(has, "batch.max_attempts", &d.Batch.MaxAttempts, 4)
	setDefault(has, "bounds.spill_share", &d.Bounds.SpillShare, 0.2)
	setDefault(has, "bounds.retry_share", &d.Bounds.RetryShare, 0.1)
	setDefault(has, "bounds.slow_share", &d.Bounds.SlowShare, 0.3)
	setDefault(has, "batch.at_risk_share", &d.Batch.AtRiskShare, 0.1)

	for i := range d.Services {
		d.Services[i].setDefaults(fmt.Sprintf("services[%d].", i), has)
	}
}

func (s *ServiceRecord) setDefaults(prefix string, has func(key string) bool) {
	setDefault(has, prefix+"deadline", &s.Deadline, tomlfile.NewDuration(30*time.Second))
	setDefault(has, prefix+"idle_bound", &s.IdleBound, tomlfile.NewDuration(2*time.Second))
	setDefault(has, prefix+"retain_results", &s.RetainResults, tomlfile.NewDuration(24*time.Hour))
	setDefault(has, prefix+"max_attempts", &s.MaxAttempts, 3)
}

func (d *Document) check(x tomlfile.Index, l *finding.List) {
	checkCount(x, l, "partitions", d.Partitions, MaxPartitions)
	d.checkBounds(x, l)
	d.checkBatch(x, l)

	names := map[string]bool{}
	hashes := map[string]string{}

	for i, a := range d.Accounts {
		a.check(x, l, fmt.Sprintf("accounts[%d]", i), names, hashes)
	}

	names = map[string]bool{}

	for i, s := range d.Services {
		s.check(x, l, fmt.Sprintf("services[%d]", i), names)
	}

	names = map[string]bool{}

	for i, t := range d.Targets {
		checkName(x, l, fmt.Sprintf("targets[%d].name", i), t.Name, names)
	}
}

func (d *Document) checkBounds(x tomlfile.Index, l *finding.List) {
	checkShare(x, l, "bounds.spill_share", d.Bounds.SpillShare)
	checkShare(x, l, "bounds.retry_share", d.Bounds.RetryShare)
	checkShare(x, l, "bounds.slow_share", d.Bounds.SlowShare)
	d.Bounds.RecordWait.Check(x, l, "bounds.record_wait", time.Millisecond, maxRequestTime)
	d.Bounds.LeavingBound.Check(x, l, "bounds.leaving_bound", 0, time.Minute)
}

func (d *Document) checkBatch(x tomlfile.Index, l *finding.List) {
	checkCount(x, l, "batch.shard_items", d.Batch.ShardItems, MaxShardItems)
	checkCount(x, l, "batch.max_attempts", d.Batch.MaxAttempts, MaxAttempts)
	checkShare(x, l, "batch.at_risk_share", d.Batch.AtRiskShare)
	d.Batch.Lease.Check(x, l, "batch.lease", time.Second, maxRequestTime)
	d.Batch.PauseBound.Check(x, l, "batch.pause_bound", 0, maxRequestTime)
	d.Batch.CutoffRunBound.Check(x, l, "batch.cutoff_run_bound", 0, maxRequestTime)
	d.Batch.Retain.Check(x, l, "batch.retain", time.Second, maxRetention)
}

func (a AccountRecord) check(x tomlfile.Index, l *finding.List, key string, names map[string]bool, hashes map[string]string) {
	checkName(x, l, key+".name", a.Name, names)

	if a.Concurrency < 0 || a.Concurrency > MaxConcurrency {
		x.Addf(l, key+".concurrency", "%d is outside 0 to %d", a.Concurrency, MaxConcurrency)
	}

	for _, h := range a.KeyHashes {
		if b, err := hex.DecodeString(h); err != nil || len(b) != keyHashBytes {
			x.Addf(l, key+".key_hashes", "%q is not a SHA-256 in hex", h)
		}

		if o, ok := hashes[h]; ok {
			x.Addf(l, key+".key_hashes", "the same key belongs to account %q", o)
		}

		hashes[h] = a.Name
	}
}

func (s ServiceRecord) check(x tomlfile.Index, l *finding.List, key string, names map[string]bool) {
	checkName(x, l, key+".name", s.Name, names)

	if s.Kind != KindEngine && s.Kind != KindPlain {
		x.Addf(l, key+".kind", "%q is neither %q nor %q", s.Kind, KindEngine, KindPlain)
	}

	if s.Hedge && !s.Idempotent {
		x.Addf(l, key+".hedge", "work that may not be repeated cannot be hedged; set idempotent or remove hedge")
	}

	checkCount(x, l, key+".max_attempts", s.MaxAttempts, MaxAttempts)
	s.Deadline.Check(x, l, key+".deadline", time.Millisecond, maxRequestTime)
	s.IdleBound.Check(x, l, key+".idle_bound", 10*time.Millisecond, maxRequestTime)
	s.RetainResults.Check(x, l, key+".retain_results", time.Second, maxRetention)
}

// Values of the setting kind of a service.
const (
	KindEngine = "engine"
	KindPlain  = "plain"
)

func checkName(x tomlfile.Index, l *finding.List, key, name string, names map[string]bool) {
	if p := NameProblem(name, names); p != "" {
		x.Addf(l, key, "%s", p)
	}
}

// MaxNameBytes is the maximum length of a name in bytes.
const MaxNameBytes = 128

// NameProblem returns what is wrong with a name, or an empty string, and adds the name to seen. Control characters are
// invalid, because the journal joins the name of an account and an idempotency key with a NUL character: with a NUL in
// the name, the keys of two accounts could collide.
func NameProblem(name string, seen map[string]bool) string {
	twice := seen[name]
	seen[name] = true

	switch {
	case name == "":
		return "is required"
	case len(name) > MaxNameBytes:
		return fmt.Sprintf("has %d bytes, above the bound of %d", len(name), MaxNameBytes)
	case strings.ContainsFunc(name, unicode.IsControl):
		return fmt.Sprintf("%q has a control character", name)
	case twice:
		return fmt.Sprintf("%q occurs twice", name)
	}

	return ""
}

func checkCount(x tomlfile.Index, l *finding.List, key string, v, maximum int) {
	if v < 1 || v > maximum {
		x.Addf(l, key, "%d is outside 1 to %d", v, maximum)
	}
}

func checkShare(x tomlfile.Index, l *finding.List, key string, v float64) {
	if v < 0 || v > 1 {
		x.Addf(l, key, "%g is not a share from 0 to 1", v)
	}
}

// setDefault sets a value whose key is absent, unless code has already set it to a value other than 0.
func setDefault[T comparable](has func(key string) bool, key string, p *T, v T) {
	var zero T
	if !has(key) && *p == zero {
		*p = v
	}
}
