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

// Broken is a promise that was broken.
type Broken struct {
	promise Promise
	at      time.Duration
	id      string
	what    string
}

// Promise returns the promise.
func (b Broken) Promise() Promise { return b.promise }

// At returns the time from the start of the soak.
func (b Broken) At() time.Duration { return b.at }

// ID returns the identifier of the request, job or daemon.
func (b Broken) ID() string { return b.id }

// What says what was seen.
func (b Broken) What() string { return b.what }

// mostBroken bounds the broken promises that are kept.
const mostBroken = 200

// Ledger collects what was seen. It is safe for concurrent use.
type Ledger struct {
	start time.Time

	mu     sync.Mutex
	broken []Broken
	counts map[string]int
}

// NewLedger returns a ledger of a soak that starts now.
func NewLedger() *Ledger { return &Ledger{start: time.Now(), counts: map[string]int{}} }

// Break records a broken promise.
func (l *Ledger) Break(p Promise, id, what string) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.counts["broken"]++

	if len(l.broken) < mostBroken {
		l.broken = append(l.broken, Broken{promise: p, at: time.Since(l.start), id: id, what: what})
	}
}

// Count counts something that was seen.
func (l *Ledger) Count(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.counts[name]++
}

// Broken returns the promises that were broken.
func (l *Ledger) Broken() []Broken {
	l.mu.Lock()
	defer l.mu.Unlock()

	return append([]Broken(nil), l.broken...)
}

// Counts returns what was counted.
func (l *Ledger) Counts() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()

	m := make(map[string]int, len(l.counts))
	for k, n := range l.counts {
		m[k] = n
	}

	return m
}
