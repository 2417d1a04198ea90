// Package quarantine decides which prompts crash targets. Requests with such a prompt are rejected before they take a
// slot. The package does no input or output.
//
// A part of a prompt is suspect if a target crashed when it began the response to a prompt with it, unless a response has
// got further on the part lately. A prompt that only ran beside the one that crashed its target is told apart by that, and by
// the numbers of crashes and of different prompts that are needed. Parts that all these prompts have in common are
// quarantined in combination: a prompt with only some of them is let through, and shows whether those are sound.
package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/agategap/agategap/shard"
)

const (
	// minCrashes is the number of crashes under a shared part, or under the same prompt, before it is quarantined.
	minCrashes = 3
	// minPrompts is the number of different prompts among them that a shared part needs, as a prompt is often sent again
	// after a crash.
	minPrompts = 2
	// crashSpacing is the least time between two crashes of the same incarnation of a target. Requests that end within it
	// were ended by the same crash.
	crashSpacing = time.Second
	// evidencePeriod is the time for which a crash counts, and for which an expired quarantine is remembered.
	evidencePeriod = 10 * time.Minute
	// maxCrashes bounds the crashes that are kept of a service. The oldest ones are dropped.
	maxCrashes = 256
	// maxCombinations bounds the quarantined combinations of a service. Those that end first are dropped.
	maxCombinations = 128
	// minQuarantine is the length of the first quarantine of a combination. It doubles, up to maxQuarantine, each time
	// that a target crashes in a trial.
	minQuarantine = 2 * time.Minute
	maxQuarantine = time.Hour
	// maxStrikes bounds the quarantines that are counted. The length has reached maxQuarantine by then.
	maxStrikes = 16
	// trialPeriod is the time for which one request tries a combination whose quarantine has expired, while others with
	// it are still rejected.
	trialPeriod = 10 * time.Second
	// minImportPeriod is the least remaining time of a quarantine that is taken over from another daemon. Daemons would
	// otherwise prolong each other's expiring quarantines by the time of a message.
	minImportPeriod = time.Second
	// serviceShardCount is the number of shards of the services.
	serviceShardCount = 4
)

// quarantineLength returns the length of the quarantine number n of a combination, counted from 1.
func quarantineLength(n int) time.Duration {
	return min(maxQuarantine, minQuarantine<<(min(max(n, 1), maxStrikes)-1))
}

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
	crashes      []suspectCrash // one for each request that a crash ended
	lastCrash    int            // number of the last crash
	combinations []*combination
}

// suspectCrash is a crash of a target with the prompt of the attempt that it ended.
type suspectCrash struct {
	Crash

	prompt Prompt // without the parts that were known to be sound
	at     time.Time
	number int // the same for all requests that one crash ended
}

// combination is a combination of parts that is or was quarantined.
type combination struct {
	parts   []string // sorted
	until   time.Time
	strikes int    // number of quarantines
	trial   string // request that tries the combination until then; empty for none
}

func (c *combination) isActive(now time.Time) bool { return now.Before(c.until) }

func (c *combination) entry(service string, now time.Time) Entry {
	return NewEntry(service, c.parts, c.until.Sub(now), c.strikes)
}

// quarantine starts the next quarantine.
func (c *combination) quarantine(now time.Time) {
	c.strikes = min(c.strikes+1, maxStrikes)
	c.until, c.trial = now.Add(quarantineLength(c.strikes)), ""
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

	var l []Entry

	s.combinations = slices.DeleteFunc(s.combinations, func(c *combination) bool {
		rest := slices.DeleteFunc(slices.Clone(c.parts), p.has)
		if len(rest) == len(c.parts) {
			return false
		}

		if c.isActive(now) {
			l = append(l, c.entry(p.service, now))
		}

		c.parts = rest

		return len(rest) == 0
	})

	s.crashes = slices.DeleteFunc(s.crashes, func(c suspectCrash) bool { return c.prompt.own == p.own })

	for i := range s.crashes {
		s.crashes[i].prompt.shared = slices.DeleteFunc(s.crashes[i].prompt.shared, p.has)
	}

	return l
}

// Suspects returns the prompt without the shared parts on which a response got beyond its beginning lately.
func (r *Registry) Suspects(p Prompt, now time.Time) Prompt {
	p.shared = slices.DeleteFunc(slices.Clone(p.shared), func(id string) bool { return r.sound.has(p.service, id, now) })

	return p
}

// AddCrash records that a target crashed when it began the response to a prompt. It returns the quarantines that start.
func (r *Registry) AddCrash(p Prompt, n Crash, now time.Time) []Decision {
	if p.own == "" {
		return nil
	}

	h := r.lock(p.service)
	defer h.mu.Unlock()

	s := h.state(p.service)

	for _, c := range s.combinations {
		if !p.hasAll(c.parts) || !c.isActive(now) && c.strikes == 0 {
			continue
		}

		if c.isActive(now) && c.trial == "" {
			return nil // the request was sent before the quarantine
		}

		c.quarantine(now)

		return []Decision{{entry: c.entry(p.service, now), rule: FailedTrial, crashes: []Crash{n}}}
	}

	s.addCrash(suspectCrash{Crash: n, prompt: r.Suspects(p, now), at: now})

	var l []Decision

	if parts := r.commonParts(s, p, now); len(parts) > 0 {
		l = append(l, Decision{entry: s.add(parts, now).entry(p.service, now), rule: SharedPart, crashes: s.crashesWith(parts)})
	}

	if parts := s.repeatedPrompt(p); len(parts) > 0 {
		l = append(l, Decision{entry: s.add(parts, now).entry(p.service, now), rule: RepeatedPrompt, crashes: s.crashesWith(parts)})
	}

	return l
}

// crashesWith returns the crashes under prompts with all of some parts.
func (s *serviceState) crashesWith(parts []string) []Crash {
	var l []Crash

	for _, c := range s.crashes {
		if c.prompt.hasAll(parts) {
			l = append(l, c.Crash)
		}
	}

	return l
}

// addCrash adds a crash and removes those that no longer count.
func (s *serviceState) addCrash(n suspectCrash) {
	s.crashes = slices.DeleteFunc(s.crashes, func(c suspectCrash) bool { return n.at.Sub(c.at) >= evidencePeriod })
	if len(s.crashes) >= maxCrashes {
		s.crashes = s.crashes[1:]
	}

	for _, c := range s.crashes {
		if c.incarnation() == n.incarnation() && n.at.Sub(c.at) < crashSpacing {
			n.number = c.number
		}
	}

	if n.number == 0 {
		s.lastCrash++
		n.number = s.lastCrash
	}

	s.crashes = append(s.crashes, n)
}

// commonParts returns the parts that have caused enough crashes to be quarantined in combination, sorted, if the prompt p
// has them; nil if there are none. They are a suspect part of p and the parts that are suspect in all crashes under it.
func (r *Registry) commonParts(s *serviceState, p Prompt, now time.Time) []string {
	var common []string

	most := 0

	for _, id := range r.Suspects(p, now).shared {
		crashes, prompts, n := map[int]bool{}, map[string]bool{}, 0

		var inAll []string

		for _, c := range s.crashes {
			if !slices.Contains(c.prompt.shared, id) {
				continue
			}

			if n++; n == 1 {
				inAll = r.Suspects(c.prompt, now).shared
			}

			inAll = slices.DeleteFunc(inAll, func(o string) bool { return !slices.Contains(c.prompt.shared, o) })
			crashes[c.number], prompts[c.prompt.own] = true, true
		}

		if len(crashes) >= minCrashes && len(prompts) >= minPrompts && n > most {
			common, most = inAll, n
		}
	}

	slices.Sort(common)

	return common
}

// repeatedPrompt returns the own part of the prompt p if there were enough crashes under this same prompt; nil otherwise.
func (s *serviceState) repeatedPrompt(p Prompt) []string {
	crashes := map[int]bool{}

	for _, c := range s.crashes {
		if c.prompt.own == p.own {
			crashes[c.number] = true
		}
	}

	if len(crashes) < minCrashes {
		return nil
	}

	return []string{p.own}
}

// add starts the quarantine of a combination of sorted parts.
func (s *serviceState) add(parts []string, now time.Time) *combination {
	i := slices.IndexFunc(s.combinations, func(c *combination) bool { return slices.Equal(c.parts, parts) })
	if i < 0 {
		s.drop(now)

		i = len(s.combinations)
		s.combinations = append(s.combinations, &combination{parts: parts})
	}

	c := s.combinations[i]
	c.quarantine(now)

	return c
}

// drop removes the combinations that expired long ago and, if there are too many, the one that ends first.
func (s *serviceState) drop(now time.Time) {
	s.combinations = slices.DeleteFunc(s.combinations, func(c *combination) bool { return now.Sub(c.until) >= evidencePeriod })

	if len(s.combinations) >= maxCombinations {
		first := slices.MinFunc(s.combinations, func(a, b *combination) int { return a.until.Compare(b.until) })
		s.combinations = slices.DeleteFunc(s.combinations, func(c *combination) bool { return c == first })
	}
}

// Find returns the quarantined combination that a prompt has, unless it is on trial; false if there is none.
func (r *Registry) Find(p Prompt, now time.Time) (Entry, bool) {
	h := r.lock(p.service)
	defer h.mu.Unlock()

	if s, ok := h.services[p.service]; ok {
		for _, c := range s.combinations {
			if c.isActive(now) && c.trial == "" && p.hasAll(c.parts) {
				return c.entry(p.service, now), true
			}
		}
	}

	return Entry{}, false
}

// Admit is like Find, but starts the trial of combinations whose quarantine has expired: it admits the request that comes
// first, and no other one until its outcome is known or trialPeriod has passed. The daemon that grants the slots of the
// service calls it.
func (r *Registry) Admit(p Prompt, request string, now time.Time) (Entry, bool) {
	h := r.lock(p.service)
	defer h.mu.Unlock()

	s, ok := h.services[p.service]
	if !ok {
		return Entry{}, false
	}

	for _, c := range s.combinations {
		switch {
		case !p.hasAll(c.parts):
		case !c.isActive(now):
			c.until, c.trial = now.Add(trialPeriod), request
		case c.trial != request:
			return c.entry(p.service, now), true
		}
	}

	return Entry{}, false
}

// Entries returns the quarantined combinations, those with the most time remaining first. It leaves out those on trial.
func (r *Registry) Entries(now time.Time) []Entry {
	var l []Entry

	for i := range r.shards {
		h := &r.shards[i]

		h.mu.Lock()
		for n, s := range h.services {
			for _, c := range s.combinations {
				if c.isActive(now) && c.trial == "" {
					l = append(l, c.entry(n, now))
				}
			}
		}
		h.mu.Unlock()
	}

	slices.SortFunc(l, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(b.remaining, a.remaining), cmp.Compare(a.service, b.service), slices.Compare(a.parts, b.parts))
	})

	return l
}

// Import takes over the quarantine of a combination from another daemon, without the parts that are known to be sound,
// unless it is quarantined already. It reports whether it did.
func (r *Registry) Import(e Entry, now time.Time) bool {
	parts := slices.DeleteFunc(slices.Clone(e.parts), func(id string) bool { return r.sound.has(e.service, id, now) })
	if e.remaining < minImportPeriod || len(parts) == 0 {
		return false
	}

	slices.Sort(parts)

	h := r.lock(e.service)
	defer h.mu.Unlock()

	s := h.state(e.service)
	if slices.ContainsFunc(s.combinations, func(c *combination) bool {
		return c.isActive(now) && c.trial == "" && slices.Equal(c.parts, parts)
	}) {
		return false
	}

	c := s.add(parts, now)
	c.strikes = min(max(c.strikes, e.strikes), maxStrikes)
	c.until = now.Add(min(e.remaining, maxQuarantine))

	return true
}
