package slots

import (
	"sync"
	"time"

	"github.com/agategap/agategap/filter"
	"github.com/agategap/agategap/mesh"
)

// lease is a slot that this daemon holds. It is the filter.Slot that Acquire returns.
type lease struct {
	holder      *Holder
	id          string
	service     string
	targetName  string
	batch       bool
	owner       mesh.Peer
	due         time.Time
	expectedEnd time.Time
	target      filter.Target // set by Acquire
	request     string        // identifier of the request; set by Acquire
	trial       bool          // tries quarantined parts of the prompt
	parts       []string      // of the prompt
	preempted   chan struct{}
	preemptOnce sync.Once
	releaseOnce sync.Once
}

// Target returns the target.
func (s *lease) Target() filter.Target { return s.target }

// Preempted returns a channel that is closed when the owner preempts the lease.
func (s *lease) Preempted() <-chan struct{} { return s.preempted }

// Release ends the lease and reports the fault of the target to the owner. Further calls have no effect.
func (s *lease) Release(o filter.Observation) {
	s.releaseOnce.Do(func() { s.holder.release(s, o) })
}

func (s *lease) preempt() { s.preemptOnce.Do(func() { close(s.preempted) }) }

// release ends a lease. The owner gets the fault of its target, and what the attempt has shown about its prompt. Parts
// that are known to be sound here are not reported as suspect, as the owner may have become the owner just now.
func (h *Holder) release(s *lease, v filter.Observation) {
	k := h.shard(s.id)

	k.mu.Lock()
	delete(k.leases, s.id)
	k.mu.Unlock()

	q := ReleaseArgs{Service: s.service, ID: s.id, Target: s.targetName, Fault: uint8(v.Fault()), Prompt: uint8(v.Prompt()), Sent: v.IsSent()}

	switch v.Prompt() {
	case filter.PromptSound:
		q.Parts = s.parts
		h.quarantine.MarkSound(newPrompt(s.service, s.parts))
	case filter.PromptSuspect:
		p := h.quarantine.Suspects(newPrompt(s.service, s.parts))
		q.Parts, q.Start = p.Parts(), s.target.Start()
		q.Request, q.Events, q.AgeMS = s.request, v.Tokens(), v.Total().Milliseconds()

		if s.owner.VM != h.peers.Self().VM {
			h.quarantine.NoteCrash(p, newCrash(q))
		}
	case filter.PromptUntested:
	}

	h.sendRelease(s.owner, q)

	// A daemon that has become the owner since knows the lease from reports.
	if o := h.findOwner(s.service, nil); o.VM != s.owner.VM {
		h.sendRelease(o, q)
	}
}

// MarkPromptSound reports that the response got beyond its beginning. The owner is told at once if that is news about the
// prompt, as a long response ends much later.
func (s *lease) MarkPromptSound() {
	h, p := s.holder, newPrompt(s.service, s.parts)
	isNews := s.trial || len(h.quarantine.Suspects(p).Parts()) > 1

	h.quarantine.MarkSound(p)

	if !isNews {
		return
	}

	q := SoundArgs{Service: s.service, Parts: p.Parts()}
	if s.owner.VM == h.peers.Self().VM {
		_ = h.owner.Sound(q, nil)

		return
	}

	go h.sendMessage(s.owner, "Slot.Sound", q)
}
