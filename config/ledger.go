// Package config has the configuration: its form and checks, and the rule by which every daemon finds the same
// version in force.
package config

import "sync"

// Verdict says what became of a published version.
type Verdict uint8

const (
	// Adopted means that a version came into force.
	Adopted Verdict = iota + 1
	// Invalid means that its document has findings.
	Invalid
	// Stale means that it is not newer than the version in force.
	Stale
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

// Ledger takes published versions in any order. The zero value has none. It is safe for concurrent use.
type Ledger struct {
	mu      sync.Mutex
	inForce InForce
}

// Apply takes the version at an offset, from the log or from a peer. The newest valid version is in force: a publisher
// appends only behind the version that its own is based on.
func (l *Ledger) Apply(offset int64, v Version) (Verdict, error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if offset <= l.inForce.offset {
		return Stale, nil
	}

	d, err := Parse("configuration", v.Text)
	if err != nil {
		return Invalid, err
	}

	l.inForce = InForce{offset: offset, version: v, document: d}

	return Adopted, nil
}

// InForce returns the version in force.
func (l *Ledger) InForce() InForce {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.inForce
}
