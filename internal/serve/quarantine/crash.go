package quarantine

import (
	"fmt"
	"time"
)

// Rule is the rule by which a combination of parts was quarantined. The values occur in logs.
type Rule string

// Rules.
const (
	// SharedPart means that targets crashed under several prompts with the parts.
	SharedPart Rule = "shared_part"
	// RepeatedPrompt means that targets crashed under one prompt each time that it was sent. The part is its own.
	RepeatedPrompt Rule = "repeated_prompt"
	// FailedTrial means that a target crashed under a request that tried the combination during its quarantine.
	FailedTrial Rule = "failed_trial"
)

// Crash is the crash of a target that ended an attempt of a request when the response began.
type Crash struct {
	target      string
	start       int64
	slotRequest string
	request     string
	events      int
	age         time.Duration
}

// NewCrash returns the crash of a target whose process started at the given Unix millisecond, 0 if that is not known.
func NewCrash(target string, start int64) Crash { return Crash{target: target, start: start} }

// WithAttempt returns a copy with the identifiers of the slot request and of the request, and the events and the age of
// its attempt at the crash.
func (c Crash) WithAttempt(slotRequest, request string, events int, age time.Duration) Crash {
	c.slotRequest, c.request, c.events, c.age = slotRequest, request, events, age

	return c
}

// SlotRequest returns the identifier of the slot request; empty if it is not known.
func (c Crash) SlotRequest() string { return c.slotRequest }

// Start returns the start of the target's process in Unix milliseconds; 0 if it is not known.
func (c Crash) Start() int64 { return c.start }

// Events returns the number of events of the attempt at the crash.
func (c Crash) Events() int { return c.events }

// Age returns the age of the attempt at the crash.
func (c Crash) Age() time.Duration { return c.age }

// Target returns the name of the target.
func (c Crash) Target() string { return c.target }

// Request returns the identifier of the request; empty if it is not known.
func (c Crash) Request() string { return c.request }

// String returns the request, the target, and the events and the age of the attempt at the crash.
func (c Crash) String() string {
	return fmt.Sprintf("%s at %s after %d events and %d ms", c.request, c.incarnation(), c.events, c.age.Milliseconds())
}

// incarnation identifies the process of the target that crashed.
func (c Crash) incarnation() string { return fmt.Sprintf("%s/%d", c.target, c.start) }

// Decision is the start of a quarantine.
type Decision struct {
	entry   Entry
	rule    Rule
	crashes []Crash
}

// Entry returns the combination that is quarantined.
func (d Decision) Entry() Entry { return d.entry }

// Rule returns the rule by which it is quarantined.
func (d Decision) Rule() Rule { return d.rule }

// Crashes returns the crashes on which the decision was made, in order of their time.
func (d Decision) Crashes() []Crash { return d.crashes }
