package soak

import (
	"sync"
	"time"
)

// Promise is something that the system promises to callers and targets.
type Promise string

// Promises that are checked.
const (
	Once      Promise = "once"      // a request that must not be repeated runs at most once
	Whole     Promise = "whole"     // an answer that looks complete is the whole answer to the caller's own request
	NotRun    Promise = "not_run"   // a request that is refused as not run never runs
	Listed    Promise = "listed"    // each item of an accepted job is listed once, whole, at the same position everywhere
	Readable  Promise = "readable"  // an accepted job is found
	Ended     Promise = "ended"     // the items of a job that was ended do not start any more
	Forward   Promise = "forward"   // a configuration that a daemon has shown is not replaced by an older one
	InForce   Promise = "in_force"  // a confirmed configuration is in force soon
	Shutdown  Promise = "shutdown"  // a daemon that is stopped cuts off no request
	Recovered Promise = "recovered" // requests are served when all faults have ended
)

// BrokenPromise is a promise that was broken.
type BrokenPromise struct {
	promise Promise
	at      time.Duration
	id      string
	description    string
}

// Promise returns the promise.
func (b BrokenPromise) Promise() Promise { return b.promise }

// At returns the time from the start of the soak.
func (b BrokenPromise) At() time.Duration { return b.at }

// ID returns the identifier of the request, job or daemon.
func (b BrokenPromise) ID() string { return b.id }

// Description says what was seen.
func (b BrokenPromise) Description() string { return b.description }

// maxBrokenPromises bounds the broken promises that are kept.
const maxBrokenPromises = 200

// Recorder collects what was seen. It is safe for concurrent use.
type Recorder struct {
	start time.Time

	mu     sync.Mutex
	broken []BrokenPromise
	counts map[string]int
}

// NewRecorder returns a ledger of a soak that starts now.
func NewRecorder() *Recorder { return &Recorder{start: time.Now(), counts: map[string]int{}} }

// RecordBroken records a broken promise.
func (l *Recorder) RecordBroken(p Promise, id, what string) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.counts["broken"]++

	if len(l.broken) < maxBrokenPromises {
		l.broken = append(l.broken, BrokenPromise{promise: p, at: time.Since(l.start), id: id, description: what})
	}
}

// Count counts something that was seen.
func (l *Recorder) Count(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.counts[name]++
}

// BrokenPromises returns the promises that were broken.
func (l *Recorder) BrokenPromises() []BrokenPromise {
	l.mu.Lock()
	defer l.mu.Unlock()

	return append([]BrokenPromise(nil), l.broken...)
}

// Counts returns what was counted.
func (l *Recorder) Counts() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()

	m := make(map[string]int, len(l.counts))
	for k, n := range l.counts {
		m[k] = n
	}

	return m
}
