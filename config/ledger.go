// Package config has the configuration: its form and checks, and the rule by which every daemon finds the same
// version in force.
package config

import "sync"

// ApplyResult says what became of a published version.
type ApplyResult uint8

const (
	// Adopted means that a version came into force.
	Adopted ApplyResult = iota + 1
	// Invalid means that its document has findings.
	Invalid
	// Stale means that it is not newer than the version in force.
	Stale
)

// AdoptedVersion is an adopted version.
type AdoptedVersion struct {
	number   int64
	version  Version
	document Document
}

// Number returns the version's offset; 0 when there is no version.
func (f AdoptedVersion) Number() int64 { return f.number }

// Version returns the version as published.
func (f AdoptedVersion) Version() Version { return f.version }

// Document returns the version's document. It must not be changed.
func (f AdoptedVersion) Document() Document { return f.document }

// VersionTracker takes published versions in any order. The zero value has none. It is safe for concurrent use.
type VersionTracker struct {
	mu      sync.Mutex
	inForce AdoptedVersion
}

// Apply takes the version at an offset, from the log or from a peer. The newest valid version is in force: a publisher
// appends only behind the version that its own is based on.
func (l *VersionTracker) Apply(offset int64, v Version) (ApplyResult, error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if offset <= l.inForce.number {
		return Stale, nil
	}

	d, err := Parse("configuration", v.Text)
	if err != nil {
		return Invalid, err
	}

	l.inForce = AdoptedVersion{number: offset, version: v, document: d}

	return Adopted, nil
}

// InForce returns the version in force.
func (l *VersionTracker) InForce() AdoptedVersion {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.inForce
}
