package mesh

import (
	"time"

	"github.com/agategap/agategap/internal/serve/quarantine"
)

const (
	// maxQuarantinedPerMessage bounds the quarantined prompts in one message.
	maxQuarantinedPerMessage = 128
	// minQuarantineCrashes is the least number of crashes before a quarantine. Daemons of earlier versions do not send it.
	minQuarantineCrashes = 3
)

// Quarantine has the combinations of parts of prompts that must not get to targets.
type Quarantine interface {
	// Entries returns the quarantined combinations, those with the latest crash first.
	Entries() []quarantine.Entry
	// Import takes over a quarantined combination from the daemon of a VM.
	Import(e quarantine.Entry, vm string)
	// Reports returns the latest crashes under prompts with suspect shared parts.
	Reports() []quarantine.Report
	// ImportReport records a crash that another daemon has told of.
	ImportReport(r quarantine.Report)
	// Clearances returns the parts that were cleared lately.
	Clearances() []quarantine.Clearance
	// ImportClearance takes over a clearance from the daemon of a VM.
	ImportClearance(c quarantine.Clearance, vm string)
}

// QuarantinedPrompt is a combination of parts of the prompts of a service that must not get to targets. It is part of
// heartbeats.
type QuarantinedPrompt struct {
	Service     string   `msgpack:"service"`
	Parts       []string `msgpack:"parts"`
	RemainingMS int64    `msgpack:"remaining_ms"` // time until a request may try the combination
	Crashes     int      `msgpack:"crashes"`      // number of crashes of targets so far
	Trials      int      `msgpack:"trials"`       // number of trials that count against their limit
	AgeMS       int64    `msgpack:"age_ms"`       // time since the last crash
}

// ClearedParts are parts of the prompts of a service that are no longer quarantined. It is part of heartbeats.
type ClearedParts struct {
	Service string   `msgpack:"service"`
	Parts   []string `msgpack:"parts"`
	// Explained says that the parts are not known to be sound, as opposed to those on which a response began.
	Explained bool  `msgpack:"explained"`
	AgeMS     int64 `msgpack:"age_ms"` // time since then
}

// SuspectCrash is a crash of a target that ended an attempt at its beginning. It is part of heartbeats.
type SuspectCrash struct {
	Service     string   `msgpack:"service"`
	Parts       []string `msgpack:"parts"` // of the prompt, without those that were known to be sound
	Target      string   `msgpack:"target"`
	Start       int64    `msgpack:"start"` // of the target's process, Unix milliseconds
	SlotRequest string   `msgpack:"slot_request"`
	Request     string   `msgpack:"request"`
	Events      int      `msgpack:"events"` // of the attempt
	AttemptMS   int64    `msgpack:"attempt_ms"`
	AgeMS       int64    `msgpack:"age_ms"` // time since the crash
}

// quarantined returns the quarantined prompts.
func (m *Mesh) quarantined() []QuarantinedPrompt {
	if m.quarantine == nil {
		return nil
	}

	l := m.quarantine.Entries()
	l = l[:min(len(l), maxQuarantinedPerMessage)]
	r := make([]QuarantinedPrompt, 0, len(l))

	for _, e := range l {
		r = append(r, QuarantinedPrompt{
			Service: e.Service(), Parts: e.Parts(), RemainingMS: e.Remaining().Milliseconds(), Crashes: e.Crashes(), Trials: e.Trials(), AgeMS: e.Age().Milliseconds(),
		})
	}

	return r
}

// cleared returns the parts of prompts that were cleared lately.
func (m *Mesh) cleared() []ClearedParts {
	if m.quarantine == nil {
		return nil
	}

	var r []ClearedParts

	for _, c := range m.quarantine.Clearances() {
		if len(r) == maxQuarantinedPerMessage {
			break
		}

		r = append(r, ClearedParts{Service: c.Service(), Parts: c.Parts(), Explained: c.IsExplained(), AgeMS: c.Age().Milliseconds()})
	}

	return r
}

// suspectCrashes returns the latest crashes under prompts with suspect parts.
func (m *Mesh) suspectCrashes() []SuspectCrash {
	if m.quarantine == nil {
		return nil
	}

	var r []SuspectCrash

	for _, e := range m.quarantine.Reports() {
		if len(r) == maxQuarantinedPerMessage {
			break
		}

		c, p := e.Crash(), e.Prompt()
		r = append(r, SuspectCrash{
			Service: p.Service(), Parts: p.Parts(), Target: c.Target(), Start: c.Start(), SlotRequest: c.SlotRequest(), Request: c.Request(),
			Events: c.Events(), AttemptMS: c.Age().Milliseconds(), AgeMS: e.Age().Milliseconds(),
		})
	}

	return r
}

// importQuarantined takes over the crashes, the cleared and the quarantined prompts in a message of the peer with the given VM.
func (m *Mesh) importQuarantined(l []QuarantinedPrompt, cleared []ClearedParts, crashes []SuspectCrash, peer string) {
	if m.quarantine == nil {
		return
	}

	for _, c := range crashes[:min(len(crashes), maxQuarantinedPerMessage)] {
		n := quarantine.NewCrash(c.Target, c.Start).WithAttempt(c.SlotRequest, c.Request, c.Events, time.Duration(c.AttemptMS)*time.Millisecond)
		m.quarantine.ImportReport(quarantine.NewReport(quarantine.NewPrompt(c.Service, c.Parts), n, time.Duration(c.AgeMS)*time.Millisecond))
	}

	for _, c := range cleared[:min(len(cleared), maxQuarantinedPerMessage)] {
		n := quarantine.NewClearance(c.Service, c.Parts, time.Duration(c.AgeMS)*time.Millisecond)
		if c.Explained {
			n = n.AsExplained()
		}

		m.quarantine.ImportClearance(n, peer)
	}

	for _, q := range l[:min(len(l), maxQuarantinedPerMessage)] {
		e := quarantine.NewEntry(q.Service, q.Parts, time.Duration(q.RemainingMS)*time.Millisecond)
		m.quarantine.Import(e.WithHistory(max(minQuarantineCrashes, q.Crashes), q.Trials, time.Duration(q.AgeMS)*time.Millisecond), peer)
	}
}
