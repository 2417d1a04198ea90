package quarantine

import (
	"slices"
	"time"
)

const (
	// clearancePeriod is the time for which other daemons are told that parts were cleared. It outlasts the interval
	// between two heartbeats of hundreds of daemons.
	clearancePeriod = 10 * time.Second
	// maxClearedParts bounds the cleared parts of a service that are remembered.
	maxClearedParts = 4096
	// maxClearances bounds the clearances of a service. The oldest ones are dropped.
	maxClearances = 64
)

// Clearance says that parts of prompts are no longer quarantined.
type Clearance struct {
	service   string
	parts     []string
	explained bool
	at        time.Time
	age       time.Duration
}

// NewClearance returns the clearance of parts of the prompts of a service on which a response began some time ago.
func NewClearance(service string, parts []string, age time.Duration) Clearance {
	return Clearance{service: service, parts: parts, age: age}
}

// AsExplained returns a copy for parts that are not known to be sound: their crashes have another cause.
func (c Clearance) AsExplained() Clearance {
	c.explained = true

	return c
}

// IsExplained reports whether the parts are not known to be sound.
func (c Clearance) IsExplained() bool { return c.explained }

// Service returns the name of the service.
func (c Clearance) Service() string { return c.service }

// Parts returns the identifiers of the parts, which must not be changed.
func (c Clearance) Parts() []string { return c.parts }

// Age returns the time since the clearance.
func (c Clearance) Age() time.Duration { return c.age }

// announce adds a clearance of this time.
func (s *serviceState) announce(n Clearance, now time.Time) {
	if len(s.cleared) >= maxClearances {
		s.cleared = s.cleared[1:]
	}

	n.at = now
	s.cleared = append(s.cleared, n)
	s.noteCleared(n.parts, now)
}

// isAnnounced reports whether other daemons are told for a while yet that a part was cleared.
func (s *serviceState) isAnnounced(id string, now time.Time) bool {
	return slices.ContainsFunc(s.cleared, func(c Clearance) bool {
		return now.Sub(c.at) < clearancePeriod/2 && slices.Contains(c.parts, id) //nolint:mnd // half
	})
}

// noteCleared records when quarantines of parts have ended.
func (s *serviceState) noteCleared(parts []string, now time.Time) {
	if len(s.clearedAt) >= maxClearedParts {
		for id, at := range s.clearedAt {
			if now.Sub(at) >= memoryPeriod {
				delete(s.clearedAt, id)
			}
		}
	}

	if s.clearedAt == nil {
		s.clearedAt = map[string]time.Time{}
	}

	for _, id := range parts {
		if len(s.clearedAt) < maxClearedParts {
			s.clearedAt[id] = now
		}
	}
}

// wasClearedSince reports whether the quarantine of a part has ended since a crash under it.
func (s *serviceState) wasClearedSince(id string, crash time.Time) bool {
	at, ok := s.clearedAt[id]

	return ok && !crash.After(at.Add(maxMessageDelay))
}

// Clearances returns the parts that were cleared lately, by this daemon or by others.
func (r *Registry) Clearances(now time.Time) []Clearance {
	var l []Clearance

	for i := range r.shards {
		h := &r.shards[i]

		h.mu.Lock()
		for _, s := range h.services {
			s.cleared = slices.DeleteFunc(s.cleared, func(c Clearance) bool { return now.Sub(c.at) >= clearancePeriod })
			for _, c := range s.cleared {
				c.age = now.Sub(c.at)
				l = append(l, c)
			}
		}
		h.mu.Unlock()
	}

	return l
}

// ImportClearance takes over a clearance from another daemon. It returns the combinations whose quarantine has ended or
// applies to fewer parts now.
func (r *Registry) ImportClearance(c Clearance, now time.Time) []Entry {
	if c.age >= clearancePeriod {
		return nil
	}

	at := now.Add(-c.age)

	h := r.lock(c.service)
	defer h.mu.Unlock()

	s := h.state(c.service)

	if !c.explained {
		for _, id := range c.parts {
			r.sound.add(c.service, id, at)
		}

		s.evidence.clearParts(c.parts)
	}

	// The age passes on with the clearance, so that daemons do not repeat each other's clearances for ever.
	return s.clear(c, func(id string) bool { return slices.Contains(c.parts, id) }, at)
}
