// Package quarantine decides which prompts crash targets. Requests with such a prompt are rejected before they take a
// slot. The package does no input or output.
//
// A part of a prompt is suspect if a target crashed when it began the response to a prompt with it, unless a response has
// got further on the part lately. A prompt that only ran beside the one that crashed its target is told apart by that, and by
// the numbers of crashes and of different prompts that are needed. Parts that all these prompts have in common are
// quarantined in combination: a prompt with only some of them is let through, and shows whether those are sound.
//
// A quarantine does not end by itself. Single requests try the combination, one at a time, and end the quarantine if
// their response begins. The number of trials is bounded once the combination has crashed many targets.
package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/agategap/agategap/shard"
)

const (
	// maxCombinations bounds the quarantined combinations of a service. Those with the fewest crashes are dropped.
	maxCombinations = 128
	// serviceShardCount is the number of shards of the services.
	serviceShardCount = 4
)

// Registry keeps which parts of prompts are sound, which targets crashed under which prompts, and which combinations of
// parts are quarantined. The zero value is empty. It is safe for concurrent use.
type Registry struct {
	sound  soundParts
	shards [serviceShardCount]serviceShard
}

type serviceShard struct {
	mu       sync.Mutex
	services map[string]*serviceState
}

// serviceState is what is known about the prompts of a service.
type serviceState struct {
	evidence     evidence
	combinations []*combination
	cleared      []Clearance
	clearedAt    map[string]time.Time // by part, when its last quarantine ended
}

// lock locks and returns the shard of a service.
func (r *Registry) lock(service string) *serviceShard {
	h := &r.shards[shard.Index(service, serviceShardCount)]
	h.mu.Lock()

	return h
}

// state returns the state of a service, and adds it if needed. The caller holds the lock.
func (h *serviceShard) state(service string) *serviceState {
	s, ok := h.services[service]
	if !ok {
		if h.services == nil {
			h.services = map[string]*serviceState{}
		}

		s = &serviceState{}
		h.services[service] = s
	}

	return s
}

// MarkSound records that a response to a prompt got beyond its beginning. Its parts are no longer suspect, and combinations of them are
// released. It returns the combinations whose quarantine has ended or applies to fewer parts now.
func (r *Registry) MarkSound(p Prompt, now time.Time) []Entry {
	for _, id := range p.shared {
		r.sound.add(p.service, id, now)
	}

	h := r.lock(p.service)
	defer h.mu.Unlock()

	s, ok := h.services[p.service]
	if !ok {
		return nil
	}

	s.evidence.clear(p)

	return s.clear(NewClearance(p.service, nil, 0), p.has, now)
}

// clear removes parts from the combinations of a service, and announces that with the parts added to a clearance.
func (s *serviceState) clear(n Clearance, isCleared func(id string) bool, now time.Time) []Entry {
	var l []Entry

	s.combinations = slices.DeleteFunc(s.combinations, func(c *combination) bool {
		rest := slices.DeleteFunc(slices.Clone(c.parts), isCleared)
		// Crashes that followed are not explained.
		if len(rest) == len(c.parts) || n.explained && c.lastCrash.After(now) {
			return false
		}

		l = append(l, c.entry(n.service, now))

		n.parts = slices.DeleteFunc(slices.Clone(c.parts), func(id string) bool { return slices.Contains(rest, id) })
		s.announce(n, now)

		c.parts = rest

		return len(rest) == 0
	})

	return l
}

// Suspects returns the prompt without the shared parts on which a response got beyond its beginning lately.
func (r *Registry) Suspects(p Prompt, now time.Time) Prompt {
	p.shared = slices.DeleteFunc(slices.Clone(p.shared), func(id string) bool { return r.sound.has(p.service, id, now) })

	return p
}

// AddCrash records that a target crashed when it began the response to a prompt. It returns the quarantines that start,
// and those that go on because the crash ended their trial.
func (r *Registry) AddCrash(p Prompt, n Crash, now time.Time) []Decision {
	if p.own == "" {
		return nil
	}

	h := r.lock(p.service)
	defer h.mu.Unlock()

	s := h.state(p.service)

	l, isKnown, isKnownByOwnPart := r.record(s, p, n, now)
	if isKnown {
		return l
	}

	if parts := r.commonParts(s, p, now); len(parts) > 0 {
		l = append(l, s.quarantine(p.service, parts, SharedPart, now))
		s.evidence.explainWith(parts)
		s.clearExplained(p.service, now)

		return l
	}

	if !isKnownByOwnPart && s.evidence.countUnexplained(p.own) >= minCrashes {
		l = append(l, s.quarantine(p.service, []string{p.own}, RepeatedPrompt, now))
	}

	return l
}

// record records a crash. It returns the quarantines whose trial it has ended, and whether the prompt has a quarantined combination of
// shared parts, or one with its own part. The caller holds the lock of the service.
func (r *Registry) record(s *serviceState, p Prompt, n Crash, at time.Time) (l []Decision, isKnown, isKnownByOwnPart bool) {
	number, isNew := s.evidence.add(suspectCrash{Crash: n, prompt: r.Suspects(p, at), at: at})

	for _, c := range s.combinations {
		if !p.hasAll(c.parts) {
			continue
		}

		if slices.Contains(c.parts, p.own) {
			isKnownByOwnPart = true
		} else {
			isKnown = true
		}

		if isNew && c.addCrash(number, n, at) {
			l = append(l, Decision{entry: c.entry(p.service, at), rule: FailedTrial, crashes: []Crash{n}})
		}
	}

	if isKnown {
		s.evidence.explain(number)
	}

	return l, isKnown, isKnownByOwnPart
}

// commonParts returns the parts that have caused enough crashes to be quarantined in combination, sorted, if the prompt p
// has them; nil if there are none.
func (r *Registry) commonParts(s *serviceState, p Prompt, now time.Time) []string {
	return s.evidence.commonParts(r.Suspects(p, now).shared, func(o Prompt) []string { return r.Suspects(o, now).shared })
}

// clearExplained ends the quarantines of prompts' own parts whose crashes were caused by prompts with a quarantined
// combination of shared parts.
func (s *serviceState) clearExplained(service string, now time.Time) {
	explained := map[string]bool{}

	for _, c := range s.combinations {
		if len(c.parts) == 1 && s.evidence.hasPrompt(c.parts[0]) && s.evidence.countUnexplained(c.parts[0]) < minCrashes {
			explained[c.parts[0]] = true
		}
	}

	if len(explained) > 0 {
		s.clear(NewClearance(service, nil, 0).AsExplained(), func(id string) bool { return explained[id] }, now)
	}
}

// quarantine starts the quarantine of a combination of sorted parts.
func (s *serviceState) quarantine(service string, parts []string, rule Rule, now time.Time) Decision {
	c := s.combination(parts, now)
	crashes, trials := s.evidence.count(parts)
	c.start(crashes, trials, s.evidence.lastNumber, now)

	return Decision{entry: c.entry(service, now), rule: rule, crashes: s.evidence.with(parts)}
}

// combination returns the combination of sorted parts, and adds it if needed.
func (s *serviceState) combination(parts []string, now time.Time) *combination {
	for _, c := range s.combinations {
		if slices.Equal(c.parts, parts) {
			return c
		}
	}

	s.forget(now)

	if len(s.combinations) >= maxCombinations {
		least := slices.MinFunc(s.combinations, func(a, b *combination) int {
			return cmp.Or(cmp.Compare(a.crashes, b.crashes), a.lastCrash.Compare(b.lastCrash))
		})
		s.combinations = slices.DeleteFunc(s.combinations, func(c *combination) bool { return c == least })
	}

	c := &combination{parts: parts}
	s.combinations = append(s.combinations, c)

	return c
}

// forget removes the combinations whose last crash is too long ago.
func (s *serviceState) forget(now time.Time) {
	s.combinations = slices.DeleteFunc(s.combinations, func(c *combination) bool { return c.isForgotten(now) })
}

// Find returns the quarantined combination that a prompt has; false if there is none. Its remaining time is 0 if a request may
// try it.
func (r *Registry) Find(p Prompt, now time.Time) (Entry, bool) {
	h := r.lock(p.service)
	defer h.mu.Unlock()

	if s, ok := h.services[p.service]; ok {
		for _, c := range s.combinations {
			if p.hasAll(c.parts) && !c.isForgotten(now) {
				return c.entry(p.service, now), true
			}
		}
	}

	return Entry{}, false
}

// Admit decides about a slot request for a prompt. It admits those without a quarantined combination, and one at a time as
// a trial of each combination. The daemon that grants the slots of the service calls it.
func (r *Registry) Admit(p Prompt, a Applicant, now time.Time) Admission {
	h := r.lock(p.service)
	defer h.mu.Unlock()

	s, ok := h.services[p.service]
	if !ok {
		return Admission{}
	}

	s.forget(now)

	var l []*combination

	for _, c := range s.combinations {
		if p.hasAll(c.parts) {
			l = append(l, c)
		}
	}

	// A request that cannot try one combination must not wait for the trials of another one.
	for _, c := range l {
		if !c.hasTrialsLeft() && c.trial != a.slotRequest {
			return Admission{entry: c.entry(p.service, now), rejected: true}
		}
	}

	for _, c := range l {
		if !c.isReadyFor(a, now) {
			return Admission{entry: c.entry(p.service, now), rejected: true}
		}
	}

	started := false

	for _, c := range l {
		started = c.startTrial(a, now) || started
	}

	return Admission{trial: len(l) > 0, started: started}
}

// EndTrial ends the trials of a slot request that have shown nothing. sent says whether the request may have reached a
// target.
func (r *Registry) EndTrial(service, slotRequest string, sent bool, now time.Time) {
	h := r.lock(service)
	defer h.mu.Unlock()

	if s, ok := h.services[service]; ok {
		for _, c := range s.combinations {
			if c.trial == slotRequest {
				c.endTrial(sent, now)
			}
		}
	}
}

// Entries returns the quarantined combinations, those with the latest crash first.
func (r *Registry) Entries(now time.Time) []Entry {
	var l []Entry

	for i := range r.shards {
		h := &r.shards[i]

		h.mu.Lock()
		for n, s := range h.services {
			for _, c := range s.combinations {
				if !c.isForgotten(now) {
					l = append(l, c.entry(n, now))
				}
			}
		}
		h.mu.Unlock()
	}

	slices.SortFunc(l, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(a.age, b.age), cmp.Compare(a.service, b.service), slices.Compare(a.parts, b.parts))
	})

	return l
}

// Import takes over the quarantine of a combination from another daemon, without the parts that are known to be sound,
// which the others are told of. It reports whether that has started a quarantine here.
func (r *Registry) Import(e Entry, now time.Time) bool {
	if e.age > memoryPeriod-minImportPeriod {
		return false
	}

	h := r.lock(e.service)
	defer h.mu.Unlock()

	s := h.state(e.service)

	var parts, sound []string

	for _, id := range e.parts {
		switch {
		case s.wasClearedSince(id, now.Add(-e.age)): // the sender has not learned of that
		case r.sound.has(e.service, id, now):
			sound = append(sound, id)
		default:
			parts = append(parts, id)
		}
	}

	slices.Sort(parts)

	if slices.ContainsFunc(sound, func(id string) bool { return !s.isAnnounced(id, now) }) {
		s.announce(NewClearance(e.service, sound, 0), now)
	}

	if len(parts) == 0 {
		return false
	}

	isNew := !slices.ContainsFunc(s.combinations, func(c *combination) bool { return slices.Equal(c.parts, parts) && !c.isForgotten(now) })
	s.combination(parts, now).merge(e, now)

	return isNew
}
