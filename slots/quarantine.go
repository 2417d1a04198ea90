package slots

import (
	"time"

	"github.com/agategap/agategap/internal/serve/quarantine"
	"github.com/agategap/agategap/outcome"
)

// maxPromptParts bounds the parts of a prompt in one message. Prompts of long conversations have a part for each turn.
const maxPromptParts = 64

// minQuarantineRetryAfter is the least time after which a caller may send a request with a quarantined prompt again. A
// trial has a result within it.
const minQuarantineRetryAfter = time.Second

// Quarantine decides which prompts must not get to targets any more.
type Quarantine interface {
	// Find returns the quarantined combination of parts that a prompt has; false if there is none.
	Find(p quarantine.Prompt) (quarantine.Entry, bool)
	// Admit decides about a slot request. It admits single requests with a quarantined combination as a trial.
	Admit(p quarantine.Prompt, a quarantine.Applicant) quarantine.Admission
	// EndTrial ends the trials of a slot request that have shown nothing. sent says whether the request may have reached a
	// target.
	EndTrial(service, slotRequest string, sent bool)
	// Suspects returns the prompt without the shared parts that are known to be sound.
	Suspects(p quarantine.Prompt) quarantine.Prompt
	// MarkSound records that a response to a prompt got beyond its beginning.
	MarkSound(p quarantine.Prompt)
	// NoteCrash records a crash of a target at the daemon of the attempt, without a decision.
	NoteCrash(p quarantine.Prompt, c quarantine.Crash)
	// AddCrash records that a target crashed when it began the response to a prompt.
	AddCrash(p quarantine.Prompt, c quarantine.Crash)
	// CountRejection counts a request that was rejected because of a quarantined combination.
	CountRejection()
}

// noQuarantine is used without SetQuarantine.
type noQuarantine struct{}

func (noQuarantine) Find(quarantine.Prompt) (quarantine.Entry, bool) {
	return quarantine.Entry{}, false
}

func (noQuarantine) Admit(quarantine.Prompt, quarantine.Applicant) quarantine.Admission {
	return quarantine.Admission{}
}
func (noQuarantine) EndTrial(string, string, bool)                  {}
func (noQuarantine) Suspects(p quarantine.Prompt) quarantine.Prompt { return p }
func (noQuarantine) MarkSound(quarantine.Prompt)                    {}
func (noQuarantine) AddCrash(quarantine.Prompt, quarantine.Crash)   {}
func (noQuarantine) NoteCrash(quarantine.Prompt, quarantine.Crash)  {}
func (noQuarantine) CountRejection()                                {}

// newPrompt returns the prompt with the parts in a message. If there are too many, the first ones are kept, which more
// requests share, and the last one.
func newPrompt(service string, parts []string) quarantine.Prompt {
	if n := len(parts); n > maxPromptParts {
		parts = append(parts[:maxPromptParts-1:maxPromptParts-1], parts[n-1])
	}

	return quarantine.NewPrompt(service, parts)
}

// newCrash returns the crash that has ended the attempt of a lease.
func newCrash(q ReleaseArgs) quarantine.Crash {
	return quarantine.NewCrash(q.Target, q.Start).WithAttempt(q.ID, q.Request, q.Events, time.Duration(q.AgeMS)*time.Millisecond)
}

// newApplicant returns the slot request as the quarantine sees it.
func newApplicant(q AskArgs) quarantine.Applicant {
	a := quarantine.NewApplicant(q.ID, q.Request)
	if q.Batch {
		a = a.AsItem()
	}

	return a
}

// quarantinedError returns the error for a request whose prompt has a quarantined combination of parts.
func (h *Holder) quarantinedError(e quarantine.Entry) error {
	h.quarantine.CountRejection()

	return outcome.New(outcome.Quarantined, outcome.NotRun, "targets of service %q keep crashing under prompts with %s", e.Service(), e).
		WithRetryAfter(max(minQuarantineRetryAfter, e.Remaining()))
}

// quarantinedPromptError means that the owner rejected a request because of its prompt.
type quarantinedPromptError struct{ entry quarantine.Entry }

func (e *quarantinedPromptError) Error() string { return "the prompt is quarantined" }
