// Package config defines the configuration that all daemons share: its document, the checks and defaults, and the rule
// by which every daemon arrives at the same version in force. It does no input or output.
package config

import "sync"

// ApplyResult is the result of VersionTracker.Apply. The zero value is not a result.
type ApplyResult uint8

const (
	// Adopted means that the version is now in force.
	Adopted ApplyResult = iota + 1
	// Invalid means that the document has findings; the version in force is unchanged.
	Invalid
	// Stale means that the version is not newer than the version in force, which is unchanged.
	Stale
)

// AdoptedVersion is a valid version with its number and its parsed document. The zero value means no version.
type AdoptedVersion struct {
	number   int64
	version  Version
	document Document
}

// Number returns the number of the version, which is one more than its offset in the log; 0 if there is no version.
func (f AdoptedVersion) Number() int64 { return f.number }

// Version returns the version as published.
func (f AdoptedVersion) Version() Version { return f.version }

// Document returns the parsed document. It must not be changed.
func (f AdoptedVersion) Document() Document { return f.document }

// VersionTracker determines the version in force from published versions, which may arrive in any order and repeatedly.
// The zero value has no version. It is safe for concurrent use.
type VersionTracker struct {
	mu      sync.Mutex
	inForce AdoptedVersion
}

// Apply puts a version from the log or from a peer in force if it is valid and newer. The newest valid version wins
// without a merge, because a publisher appends a version only if the one that it is based on is the newest valid
// version. The error is that of Parse, and nil unless the result is Invalid.
func (l *VersionTracker) Apply(number int64, v Version) (ApplyResult, error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if number <= l.inForce.number {
		return Stale, nil
	}

	d, err := Parse("configuration", v.Text)
	if err != nil {
		return Invalid, err
	}

	l.inForce = AdoptedVersion{number: number, version: v, document: d}

	return Adopted, nil
}

// InForce returns the version in force; the zero value if there is none.
func (l *VersionTracker) InForce() AdoptedVersion {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.inForce
}
