// Package engine implements a stand-in for a model engine with continuous batching. The time between tokens grows with
// the number of streams and the size of their KV cache, prefill delays all streams, the queue is first in, first out,
// and the load report lags. Streams can be resumed and cancelled. The tests, the demo, the bench and
// the standin command use it.
package engine

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Options are the settings of an Engine. MaxStreams, CacheTokens and durations that are zero get the defaults in
// setDefaults. The zero value gives a fast engine without models.
type Options struct {
	Models        []string      // models that are loaded at the start
	MaxStreams    int           // number of streams that run at a time; further ones are queued
	StepBase      time.Duration // fixed part of the time of a step
	StepStream    time.Duration // added to a step for each stream
	StepKV        time.Duration // added to a step for each 1,000 tokens of KV cache
	PrefillToken  time.Duration // prefill time of each prompt token that is not cached
	CacheTokens   int           // size of the prefix cache in tokens
	LoadLag       time.Duration // age of the reported load
	ResumeFor     time.Duration // time after which a stream without a reader is cancelled
	ChecksFencing bool          // orders with an old fencing token are refused
	Seed          uint64        // seed for random faults; none of the present faults is random
}

func (o *Options) setDefaults() {
	setDefault(&o.StepBase, 2*time.Millisecond)
	setDefault(&o.StepStream, 50*time.Microsecond)
	setDefault(&o.StepKV, 20*time.Microsecond)
	setDefault(&o.PrefillToken, 20*time.Microsecond)
	setDefault(&o.LoadLag, 2*time.Second)
	setDefault(&o.ResumeFor, 10*time.Second)

	if o.MaxStreams == 0 {
		o.MaxStreams = 32
	}

	if o.CacheTokens == 0 {
		o.CacheTokens = 20_000
	}
}

// setDefault sets *p to v if it is zero.
func setDefault(p *time.Duration, v time.Duration) {
	if *p == 0 {
		*p = v
	}
}

// Faults are the injected faults. They are the body of PUT /control/faults. The zero value injects none.
type Faults struct {
	Slow      float64 `json:"slow"`       // factor on the time of a step; up to 1 it has no effect
	Silent    bool    `json:"silent"`     // open streams send nothing more; streams started or resumed later work
	CrossIDs  bool    `json:"cross_ids"`  // responses carry a wrong request ID
	DropEnd   int     `json:"drop_end"`   // number of event streams that are aborted before their end marker
	FailCalls int     `json:"fail_calls"` // number of completion requests that fail with status 500
}

// Engine is a stand-in for a model engine. It is safe for concurrent use. Create one with New; it generates tokens only
// while Run is running.
type Engine struct {
	options Options

	mu           sync.Mutex
	random       *rand.Rand
	queue        []*generation
	running      []*generation
	generations  map[string]*generation // by request ID, for resumption and cancellation
	models       map[string]bool
	cache        *prefixCache
	faults       Faults
	silenceEpoch int   // number of Silent faults so far; streams of earlier epochs send nothing
	fence        int64 // highest fencing token received
	role         string
	leaving      bool
	loadSamples  []loadSample // oldest first
	cacheEvents  []cacheEvent // oldest first
	counts       Counts
	wake         chan struct{} // unblocks Run when a stream was queued
}

// Counts are totals since the start of the engine, as returned by GET /control/counts.
type Counts struct {
	Started   map[string]int `json:"started"`   // generations started, by request ID
	Tokens    int64          `json:"tokens"`    // tokens generated
	Cancelled int            `json:"cancelled"` // streams cancelled
	Resumed   int            `json:"resumed"`   // streams resumed
	Orders    int            `json:"orders"`    // orders accepted
	Refused   int            `json:"refused"`   // orders refused for an old fencing token
}

// New returns an engine without faults.
func New(o Options) *Engine {
	o.setDefaults()

	e := &Engine{
		options:     o,
		random:      rand.New(rand.NewPCG(o.Seed, 2)), //nolint:gosec // reproducible faults
		generations: map[string]*generation{},
		models:      map[string]bool{},
		cache:       newPrefixCache(o.CacheTokens),
		role:        "serve",
		counts:      Counts{Started: map[string]int{}},
		wake:        make(chan struct{}, 1),
	}
	for _, m := range o.Models {
		e.models[m] = true
	}

	return e
}

// SetFaults replaces the injected faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()

	if f.Silent {
		e.silenceEpoch++
	}

	e.faults = f
}

// SetLeaving sets whether the engine reports that it is leaving. It serves requests in both cases.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.leaving = leaving
}

// Started returns the number of generations that were started for a request ID. Resumptions do not count.
func (e *Engine) Started(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.counts.Started[id]
}

// Tokens returns the number of tokens generated since the start.
func (e *Engine) Tokens() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.counts.Tokens
}

// Run generates tokens until done is closed. It blocks while there is nothing to generate. Only one Run may be active.
func (e *Engine) Run(done <-chan struct{}) {
	for {
		d, busy := e.startStep()
		if !busy {
			select {
			case <-e.wake:
			case <-done:
				return
			}

			continue
		}

		select {
		case <-time.After(d):
		case <-done:
			return
		}

		e.finishStep()
	}
}

// startStep starts queued streams while fewer than MaxStreams run. It returns the duration of the next step, or false
// if no stream is running.
func (e *Engine) startStep() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()

	var prefill time.Duration

	for len(e.queue) > 0 && len(e.running) < e.options.MaxStreams {
		g := e.queue[0]
		e.queue = e.queue[1:]

		if g.cancelled {
			continue
		}

		n := e.cache.admit(g.prompt)
		e.recordCacheEvent(g.prompt)

		prefill += time.Duration(n) * e.options.PrefillToken
		e.running = append(e.running, g)
	}

	if len(e.running) == 0 {
		return 0, false
	}

	kv := 0
	for _, g := range e.running {
		kv += g.kvTokens()
	}

	d := e.options.StepBase + prefill + time.Duration(len(e.running))*e.options.StepStream +
		time.Duration(kv)*e.options.StepKV/1000
	if e.faults.Slow > 1 {
		d = time.Duration(float64(d) * e.faults.Slow)
	}

	e.recordLoad()

	return d, true
}

// finishStep generates one token for each running stream, and removes the streams that are finished, cancelled or
// abandoned.
func (e *Engine) finishStep() {
	e.mu.Lock()
	defer e.mu.Unlock()

	now := time.Now()
	unfinished := e.running[:0]

	for _, g := range e.running {
		if g.cancelled || g.isAbandoned(now, e.options.ResumeFor) {
			g.cancelled = true

			continue
		}

		g.addToken()
		e.counts.Tokens++

		if !g.isFinished() {
			unfinished = append(unfinished, g)
		}
	}

	e.running = unfinished
}

// wakeRun unblocks Run. The caller holds the lock.
func (e *Engine) wakeRun() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}
