// Package engine is a small stand-in for a model engine. It batches continuously: the time between tokens grows
// with the number of streams and their KV cache, prefill delays all streams, the queue is first in first out and
// the load report lags. Streams can be resumed and cancelled.
package engine

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Options are the settings of the stand-in. The zero value is a fast engine.
type Options struct {
	Models        []string      // models loaded at the start
	MaxStreams    int           // streams in a batch
	StepBase      time.Duration // time of a step without streams
	StepStream    time.Duration // more time of a step for each stream
	StepKV        time.Duration // more time of a step for each 1,000 tokens of KV cache
	PrefillToken  time.Duration // time for each prompt token that is not cached
	CacheTokens   int           // size of the prefix cache
	LoadLag       time.Duration // age of the load report
	ResumeFor     time.Duration // how long a stream without a reader can be resumed
	ChecksFencing bool          // orders with an old fencing token are refused
	Seed          uint64
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

func setDefault(p *time.Duration, v time.Duration) {
	if *p == 0 {
		*p = v
	}
}

// Faults is the fault script in force. It is a message of the control interface.
type Faults struct {
	Slow      float64 `json:"slow"`       // factor on the time of a step; 0 and 1 mean none
	Silent    bool    `json:"silent"`     // open streams send nothing more; new ones work once it is unset
	CrossIDs  bool    `json:"cross_ids"`  // answers carry another request's identifier
	DropEnd   int     `json:"drop_end"`   // number of answers that end without their end marker
	FailCalls int     `json:"fail_calls"` // number of calls that fail with status 500
}

// Engine is the stand-in. Run drives it.
type Engine struct {
	options Options

	mu      sync.Mutex
	random  *rand.Rand
	queue   []*generation
	running []*generation
	generations map[string]*generation
	models  map[string]bool
	cache   *prefixCache
	faults  Faults
	silenceEpoch int // generation of silences; streams opened before the last one stay silent
	fence   int64
	role    string
	leaving bool
	loadSamples    []loadSample
	cacheEvents  []cacheEvent
	counts  Counts
	wake    chan struct{}
}

// Counts are totals since the start.
type Counts struct {
	Started   map[string]int `json:"started"`   // generations started, by request identifier
	Tokens    int64          `json:"tokens"`    // tokens generated
	Cancelled int            `json:"cancelled"` // streams cancelled
	Resumed   int            `json:"resumed"`   // streams resumed
	Orders    int            `json:"orders"`    // orders taken
	Refused   int            `json:"refused"`   // orders refused
}

// New returns a stand-in.
func New(o Options) *Engine {
	o.setDefaults()

	e := &Engine{
		options: o,
		random:  rand.New(rand.NewPCG(o.Seed, 2)), //nolint:gosec // repeatable faults
		generations: map[string]*generation{},
		models:  map[string]bool{},
		cache:   newPrefixCache(o.CacheTokens),
		role:    "serve",
		counts:  Counts{Started: map[string]int{}},
		wake:    make(chan struct{}, 1),
	}
	for _, m := range o.Models {
		e.models[m] = true
	}

	return e
}

// SetFaults replaces the fault script.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()

	if f.Silent {
		e.silenceEpoch++
	}

	e.faults = f
}

// SetLeaving makes the engine say that it is leaving.
func (e *Engine) SetLeaving(l bool) {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.leaving = l
}

// Started returns the number of generations started for a request identifier.
func (e *Engine) Started(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.counts.Started[id]
}

// Tokens returns the number of tokens generated.
func (e *Engine) Tokens() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.counts.Tokens
}

// Run generates until done is closed. It sleeps while there is nothing to generate.
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

// startStep admits queued streams and returns the time of the next step.
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

// finishStep generates one token for each running stream.
func (e *Engine) finishStep() {
	e.mu.Lock()
	defer e.mu.Unlock()

	now := time.Now()
	left := e.running[:0]

	for _, g := range e.running {
		if g.cancelled || g.isAbandoned(now, e.options.ResumeFor) {
			g.cancelled = true

			continue
		}

		g.addToken()
		e.counts.Tokens++

		if !g.isFinished() {
			left = append(left, g)
		}
	}

	e.running = left
}

// wakeRun wakes Run. The caller holds the lock.
func (e *Engine) wakeRun() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}
