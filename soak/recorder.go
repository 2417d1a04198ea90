package soak

import (
	"sync"
	"time"
)

// Promise names a property that the system guarantees to callers and targets. The names occur in reports.
type Promise string

// Promises that are checked.
const (
	Once      Promise = "once"      // a request that may not be repeated runs at most once
	Whole     Promise = "whole"     // a response that looks complete is the whole response to the caller's request
	NotRun    Promise = "not_run"   // a request or job that is refused as not run never runs
	Listed    Promise = "listed"    // each item of an accepted job has one result, complete and at the same position at every daemon
	Readable  Promise = "readable"  // an accepted job is found at every daemon
	Ended     Promise = "ended"     // no item of a cancelled job starts
	Forward   Promise = "forward"   // a daemon never goes back to an older configuration
	InForce   Promise = "in_force"  // a confirmed configuration is soon in force
	Shutdown  Promise = "shutdown"  // a daemon that shuts down cuts off no response and exits in time
	Budget    Promise = "budget"    // a part of prompts that crashes workers soon reaches workers no more
	Recovered Promise = "recovered" // daemons serve requests after all faults have ended
)

// BrokenPromise is an observation that contradicts a promise.
type BrokenPromise struct {
	promise     Promise
	at          time.Duration // since the start of the soak
	id          string
	description string
}

// Promise returns the promise that was broken.
func (b BrokenPromise) Promise() Promise { return b.promise }

// At returns the time of the observation since the start of the soak.
func (b BrokenPromise) At() time.Duration { return b.at }

// ID returns the ID of the request or job, the VM of the daemon, or the kind of a fault that failed.
func (b BrokenPromise) ID() string { return b.id }

// Description returns what was observed.
func (b BrokenPromise) Description() string { return b.description }

// maxBrokenPromises bounds the broken promises that a Recorder keeps. Further ones are only counted.
const maxBrokenPromises = 200

// Recorder collects the broken promises and counts of a soak. It is safe for concurrent use.
type Recorder struct {
	start time.Time

	mu     sync.Mutex
	broken []BrokenPromise
	counts map[string]int
}

// NewRecorder returns a recorder of a soak that starts now.
func NewRecorder() *Recorder { return &Recorder{start: time.Now(), counts: map[string]int{}} }

// RecordBroken records that a promise was broken just now. id is that of BrokenPromise.
func (r *Recorder) RecordBroken(p Promise, id, description string) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.counts["broken"]++

	if len(r.broken) < maxBrokenPromises {
		r.broken = append(r.broken, BrokenPromise{promise: p, at: time.Since(r.start), id: id, description: description})
	}
}

// Count increments the counter with a name, which starts at 0.
func (r *Recorder) Count(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.counts[name]++
}

// BrokenPromises returns the broken promises in the order of their observation, at most the first maxBrokenPromises.
func (r *Recorder) BrokenPromises() []BrokenPromise {
	r.mu.Lock()
	defer r.mu.Unlock()

	return append([]BrokenPromise(nil), r.broken...)
}

// Counts returns a copy of the counters by name. The counter "broken" has the number of all broken promises.
func (r *Recorder) Counts() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()

	m := make(map[string]int, len(r.counts))
	for k, n := range r.counts {
		m[k] = n
	}

	return m
}
