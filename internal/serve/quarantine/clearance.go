package quarantine

import (
	"slices"
	"time"
)

const (
	// clearancePeriod is the time for which other daemons are told that parts were cleared. It outlasts several
	// heartbeats, as messages may be lost.
	clearancePeriod = 5 * time.Second
	// maxClearances bounds the clearances of a service. The oldest ones are dropped.
	maxClearances = 64
)

// Clearance says that parts of prompts that were quarantined are sound.
type Clearance struct {
	service string
	parts   []string
	at      time.Time
	age     time.Duration
}

// NewClearance returns the clearance of parts of the prompts of a service, some time ago.
func NewClearance(service string, parts []string, age time.Duration) Clearance {
	return Clearance{service: service, parts: parts, age: age}
}

// Service returns the name of the service.
func (c Clearance) Service() string { return c.service }

// Parts returns the identifiers of the parts, which must not be changed.
func (c Clearance) Parts() []string { return c.parts }

// Age returns the time since a response has shown that the parts are sound.
func (c Clearance) Age() time.Duration { return c.age }

// announce adds a clearance. The caller holds the lock of the service.
func (s *serviceState) announce(service string, parts []string, at time.Time) {
	if len(s.cleared) >= maxClearances {
		s.cleared = s.cleared[1:]
	}

	s.cleared = append(s.cleared, Clearance{service: service, parts: parts, at: at})
}

// hasAnnounced reports whether the other daemons are told at this time that some parts are sound.
func (s *serviceState) hasAnnounced(parts []string, now time.Time) bool {
	return slices.ContainsFunc(s.cleared, func(c Clearance) bool { return now.Sub(c.at) < clearancePeriod/2 && slices.Equal(c.parts, parts) }) //nolint:mnd // half
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
				l = append(l, NewClearance(c.service, c.parts, now.Sub(c.at)))
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

	for _, id := range c.parts {
		r.sound.add(c.service, id, at)
	}

	h := r.lock(c.service)
	defer h.mu.Unlock()

	s, ok := h.services[c.service]
	if !ok {
		return nil
	}

	s.evidence.clearParts(c.parts)

	// The age passes on with the clearance, so that daemons do not repeat each other's clearances for ever.
	return r.clear(s, c.service, func(id string) bool { return slices.Contains(c.parts, id) }, at)
}
