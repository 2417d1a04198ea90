// Package config has the configuration: its form and checks, and the rule by which every daemon finds the same
// version in force.
package config

import "sync"

// Verdict says what became of a published version.
type Verdict uint8

const (
	// Adopted means that a version came into force.
	Adopted Verdict = iota + 1
	// Conflict means that it was based on a version that was not in force.
	Conflict
	// Invalid means that its document has findings.
	Invalid
	// Stale means that it is not newer than the version in force.
	Stale
	// Restated means that it carries a version again and changed nothing.
	Restated
	// Held means that it cannot be judged before a republication is read, as earlier records were dropped.
	Held
)

// InForce is an adopted version.
type InForce struct {
	offset   int64
	version  Version
	document Document
}

// Offset returns the version's offset; 0 when there is no version.
func (f InForce) Offset() int64 { return f.offset }

// Version returns the version as published.
func (f InForce) Version() Version { return f.version }

// Document returns the version's document. It must not be changed.
func (f InForce) Document() Document { return f.document }

// record is a version at an offset.
type record struct {
	offset  int64
	version Version
}

// Ledger replays published versions. The zero value has no version and starts at the beginning of the stream. It is
// safe for concurrent use.
type Ledger struct {
	mu      sync.Mutex
	inForce InForce
	broken  bool     // records before oldest were dropped unread
	oldest  int64    // first offset that is read after the gap
	held    []record // records behind the gap that cannot be judged yet
}

// maxHeld bounds the records that wait for a republication; at 270 changes a day it holds more than two weeks.
const maxHeld = 4096

// Apply replays the version at an offset.
func (l *Ledger) Apply(offset int64, v Version) (Verdict, error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if l.broken {
		return l.mend(offset, v)
	}

	return l.apply(offset, v)
}

// Restart reports that the log dropped records before offset oldest that were not replayed. The version in force
// stays; later ones are judged once a republication has been read.
func (l *Ledger) Restart(oldest int64) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.broken, l.oldest, l.held = true, oldest, nil
}

// Broken reports whether the ledger waits for a republication.
func (l *Ledger) Broken() bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.broken
}

// Receive takes a version that a peer has in force. The peer has replayed the log up to it, so only its offset
// is compared.
func (l *Ledger) Receive(offset int64, v Version) (Verdict, error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if offset <= l.inForce.offset {
		return Stale, nil
	}

	return l.adopt(offset, v)
}

// InForce returns the version in force.
func (l *Ledger) InForce() InForce {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.inForce
}

// Restate returns the republication of the version in force by a reader that has replayed the stream through an
// offset, and whether it may be published. A reader with a gap, or with a version from a peer that is ahead of its
// own replay, cannot vouch for it.
func (l *Ledger) Restate(through int64) (Version, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()

	v := l.inForce.version
	v.Restates, v.Through, v.Force = l.inForce.offset, through, false

	return v, !l.broken && l.inForce.offset > 0 && through >= l.inForce.offset
}

func (l *Ledger) apply(offset int64, v Version) (Verdict, error) {
	switch {
	case v.Restates > 0:
		return Restated, nil
	case offset <= l.inForce.offset:
		return Stale, nil
	case v.BaseOn != l.inForce.offset && !v.Force:
		return Conflict, nil
	}

	return l.adopt(offset, v)
}

// mend judges a record behind a gap. A republication whose author had replayed the stream beyond the gap closes it.
func (l *Ledger) mend(offset int64, v Version) (Verdict, error) {
	if v.Force && v.Restates == 0 {
		l.broken, l.held = false, nil

		return l.apply(offset, v)
	}

	if v.Restates == 0 || v.Through < l.oldest-1 {
		if len(l.held) < maxHeld {
			l.held = append(l.held, record{offset: offset, version: v})
		}

		return Held, nil
	}

	before := l.inForce.offset
	n := Ledger{}

	if d, err := n.adopt(v.Restates, v); err != nil {
		return d, err
	}

	for _, r := range l.held {
		if r.offset > v.Through {
			_, _ = n.apply(r.offset, r.version)
		}
	}

	l.broken, l.held = false, nil

	if n.inForce.offset <= before {
		return Restated, nil
	}

	l.inForce = n.inForce

	return Adopted, nil
}

func (l *Ledger) adopt(offset int64, v Version) (Verdict, error) {
	d, err := Parse("configuration", v.Text)
	if err != nil {
		return Invalid, err
	}

	l.inForce = InForce{offset: offset, version: v, document: d}

	return Adopted, nil
}
