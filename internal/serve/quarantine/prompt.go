package quarantine

import (
	"slices"
	"strings"
	"time"
)

// Prompt is the prompt of a request to a service, as the parts that it consists of.
type Prompt struct {
	service string
	shared  []string
	own     string
}

// NewPrompt returns a prompt with the identifiers of its parts in order, which are unique among the parts of the service.
// The last one belongs to the request alone, or to its session; other requests may share the others.
func NewPrompt(service string, parts []string) Prompt {
	if len(parts) == 0 {
		return Prompt{service: service}
	}

	n := len(parts) - 1

	return Prompt{service: service, shared: parts[:n], own: parts[n]}
}

// Service returns the name of the service.
func (p Prompt) Service() string { return p.service }

// Parts returns the identifiers of all parts; it is empty if the prompt has none.
func (p Prompt) Parts() []string {
	if p.own == "" {
		return nil
	}

	return append(p.shared[:len(p.shared):len(p.shared)], p.own)
}

// has reports whether the prompt has a part.
func (p Prompt) has(id string) bool { return id == p.own || slices.Contains(p.shared, id) }

// hasAll reports whether the prompt has all of some parts.
func (p Prompt) hasAll(ids []string) bool {
	return !slices.ContainsFunc(ids, func(id string) bool { return !p.has(id) })
}

// Entry is a combination of parts in quarantine. Prompts with all of its parts are rejected.
type Entry struct {
	service   string
	parts     []string
	remaining time.Duration
	crashes   int
	trials    int
	age       time.Duration
}

// NewEntry returns the entry of a combination of parts that no request may try for the remaining time.
func NewEntry(service string, parts []string, remaining time.Duration) Entry {
	return Entry{service: service, parts: parts, remaining: remaining}
}

// WithHistory returns a copy with the number of crashes under the parts so far, the number of trials that count against their
// limit, and the time since the last crash.
func (e Entry) WithHistory(crashes, trials int, age time.Duration) Entry {
	e.crashes, e.trials, e.age = crashes, trials, age

	return e
}

// Service returns the name of the service.
func (e Entry) Service() string { return e.service }

// Parts returns the identifiers of the parts, which must not be changed.
func (e Entry) Parts() []string { return e.parts }

// String returns the identifiers of the parts, separated by plus signs.
func (e Entry) String() string { return strings.Join(e.parts, "+") }

// Remaining returns the time until a request may try the combination; 0 if one may do so now.
func (e Entry) Remaining() time.Duration { return e.remaining }

// Crashes returns the number of crashes of targets under the parts so far.
func (e Entry) Crashes() int { return e.crashes }

// Trials returns the number of trials that count against their limit.
func (e Entry) Trials() int { return e.trials }

// Age returns the time since the last crash.
func (e Entry) Age() time.Duration { return e.age }
