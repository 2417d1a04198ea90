package slots

import (
	"github.com/agategap/agategap/internal/serve/quarantine"
	"github.com/agategap/agategap/outcome"
)

// maxPromptParts bounds the parts of a prompt in one message. Prompts of long conversations have a part for each turn.
const maxPromptParts = 64

// Quarantine decides which prompts must not get to targets any more.
type Quarantine interface {
	// Find returns the quarantined combination of parts that a prompt has; false if there is none.
	Find(p quarantine.Prompt) (quarantine.Entry, bool)
	// Admit is like Find, but admits one request that tries a combination whose quarantine has expired.
	Admit(p quarantine.Prompt, request string) (quarantine.Entry, bool)
	// Suspects returns the prompt without the shared parts that are known to be sound.
	Suspects(p quarantine.Prompt) quarantine.Prompt
	// MarkSound records that a response to a prompt got beyond its beginning.
	MarkSound(p quarantine.Prompt)
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

func (noQuarantine) Admit(quarantine.Prompt, string) (quarantine.Entry, bool) {
	return quarantine.Entry{}, false
}
func (noQuarantine) Suspects(p quarantine.Prompt) quarantine.Prompt { return p }
func (noQuarantine) MarkSound(quarantine.Prompt)                    {}
func (noQuarantine) AddCrash(quarantine.Prompt, quarantine.Crash)   {}
func (noQuarantine) CountRejection()                                {}

// newPrompt returns the prompt with the parts in a message. If there are too many, the first ones are kept, which more
// requests share, and the last one.
func newPrompt(service string, parts []string) quarantine.Prompt {
	if n := len(parts); n > maxPromptParts {
		parts = append(parts[:maxPromptParts-1:maxPromptParts-1], parts[n-1])
	}

	return quarantine.NewPrompt(service, parts)
}

// quarantinedError returns the error for a request whose prompt has a quarantined combination of parts.
func (h *Holder) quarantinedError(e quarantine.Entry) error {
	h.quarantine.CountRejection()

	return outcome.New(outcome.Quarantined, outcome.NotRun, "targets of service %q keep crashing under prompts with %s", e.Service(), e).
		WithRetryAfter(e.Remaining())
}

// quarantinedPromptError means that the owner rejected a request because of its prompt.
type quarantinedPromptError struct{ entry quarantine.Entry }

func (e *quarantinedPromptError) Error() string { return "the prompt is quarantined" }
