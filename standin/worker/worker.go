// Package worker implements a stand-in for a worker of the platform. It runs a limited number of requests at a time in
// order of arrival, streams events, can resume a stream after any event, and drops a request when its connection
// closes. The soak and the tests use it.
package worker

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Options are the settings of a Worker. Slots has to be positive.
type Options struct {
	ID     string        // instance ID of the worker
	Slots  int           // requests that run at a time
	Queue  int           // requests that may wait for a slot; further ones get status 503
	Events int           // number of events of each response
	Gap    time.Duration // time before each event

	ColdTime time.Duration // time after New or Restart for which the worker is slow
	ColdGap  time.Duration // time before each event during ColdTime

	// OnCrash is called at each crash, before the responses that are under way are aborted. It has to make the worker
	// refuse connections, or close all of them. It may be nil, and then only the responses are aborted.
	OnCrash func()
}

// Faults are the injected faults. They are the body of PUT /control/faults. The zero value injects none.
type Faults struct {
	BreakAfter int    `json:"break_after"` // responses are aborted after this event; 0 for never
	TearEvent  bool   `json:"tear_event"`  // an aborted response ends in the middle of the next event
	Breaks     int    `json:"breaks"`      // number of responses that are aborted; 0 for all
	Silent     bool   `json:"silent"`      // requests get a slot and no response
	Fail       string `json:"fail"`        // requests whose body contains this text fail with status 500
	Leaving    string `json:"leaving"`     // value of the header field Server-Leaving in all responses; none if empty
	Impossible string `json:"impossible"`  // requests whose body contains this text fail with status 422
	Deadly     string `json:"deadly"`      // the worker crashes when it begins the response to a prompt with this part

	CrashReset    bool `json:"crash_reset"`     // a crash resets the connections of responses instead of ending them; it needs ConnContext
	CrashSpreadMS int  `json:"crash_spread_ms"` // each response is aborted at a random time up to this after a crash
}

// Run is one run of a request that got a slot, as returned by GET /control/runs.
type Run struct {
	ID    string    `json:"id"`
	Start time.Time `json:"start"`
	After int       `json:"after"` // event after which the stream was resumed; 0 for a run from the start
	Sent  int       `json:"sent"`  // number of the last event that was sent; 0 for none
	Whole bool      `json:"whole"` // all events were sent
}

// Worker is a stand-in for a worker. It is safe for concurrent use. Create one with New.
type Worker struct {
	options Options
	slots   chan struct{}

	mu      sync.Mutex
	start   time.Time
	faults  Faults
	waiting int    // requests that wait for a slot
	runs    []*Run // in order of their start
	crashes int
	crashed chan struct{} // closed at the next crash
}

// New returns a worker without faults.
func New(o Options) *Worker {
	return &Worker{options: o, slots: make(chan struct{}, o.Slots), start: time.Now(), crashed: make(chan struct{})}
}

// Crashes returns the number of crashes so far.
func (k *Worker) Crashes() int {
	k.mu.Lock()
	defer k.mu.Unlock()

	return k.crashes
}

// Crash calls Options.OnCrash and aborts all responses that are under way.
func (k *Worker) Crash() {
	k.mu.Lock()
	k.crashes++
	k.mu.Unlock()

	if k.options.OnCrash != nil {
		k.options.OnCrash()
	}

	k.mu.Lock()
	defer k.mu.Unlock()

	close(k.crashed)
	k.crashed = make(chan struct{})
}

// nextCrash returns a channel that is closed at the next crash.
func (k *Worker) nextCrash() <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()

	return k.crashed
}

// hasPart reports whether the prompt of a request has a part, in any place but the last.
func hasPart(h http.Header, part string) bool {
	l := strings.Split(h.Get("Prompt-Prefix"), ",")

	return part != "" && slices.ContainsFunc(l[:len(l)-1], func(e string) bool { return strings.HasPrefix(e, part+":") })
}

// SetFaults replaces the injected faults.
func (k *Worker) SetFaults(f Faults) {
	k.mu.Lock()
	defer k.mu.Unlock()

	k.faults = f
}

// Runs returns the runs so far, in order of their start.
func (k *Worker) Runs() []Run {
	k.mu.Lock()
	defer k.mu.Unlock()

	l := make([]Run, len(k.runs))
	for i, r := range k.runs {
		l[i] = *r
	}

	return l
}

// Handler returns the HTTP interface: the paths under /control are for tests, every other path runs a request.
func (k *Worker) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /control/runs", func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(k.Runs()) })
	m.HandleFunc("PUT /control/faults", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)

			return
		}

		k.SetFaults(f)
	})
	m.HandleFunc("/", k.handleRequest)

	return m
}

func (k *Worker) handleRequest(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}

	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)

	if v := k.leaving(); v != "" {
		w.Header().Set("Server-Leaving", v)
	}

	if e := r.Header.Get("Expect-Instance"); e != "" && e != k.options.ID {
		w.Header().Set("Instance-Id", k.options.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)

		return
	}

	crashed := k.nextCrash()

	if !k.acquireSlot(r, crashed) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)

		return
	}
	defer func() { <-k.slots }()

	if r.Context().Err() == nil {
		k.streamEvents(w, r, id, string(b), crashed)
	}
}

func (k *Worker) leaving() string {
	k.mu.Lock()
	defer k.mu.Unlock()

	return k.faults.Leaving
}

// acquireSlot waits for a slot and reports whether it got one. It gets none if the queue is full or the client
// disconnects while it waits. It aborts the response if the worker crashes while the request waits.
func (k *Worker) acquireSlot(r *http.Request, crashed <-chan struct{}) bool {
	select {
	case k.slots <- struct{}{}:
		return true
	default:
	}

	k.mu.Lock()
	full := k.waiting >= k.options.Queue
	if !full {
		k.waiting++
	}
	k.mu.Unlock()

	if full {
		return false
	}

	defer func() {
		k.mu.Lock()
		k.waiting--
		k.mu.Unlock()
	}()

	select {
	case k.slots <- struct{}{}:
	case <-crashed:
		panic(http.ErrAbortHandler)
	case <-r.Context().Done():
		return false
	}

	select {
	case <-crashed:
		<-k.slots

		panic(http.ErrAbortHandler)
	default:
		return true
	}
}

// startRun records a run and applies the fault BreakAfter to it. It returns the run, the injected faults, and the event
// after which the response is to be aborted, or 0 for none.
func (k *Worker) startRun(id string, after int) (*Run, Faults, int) {
	k.mu.Lock()
	defer k.mu.Unlock()

	v := &Run{ID: id, Start: time.Now(), After: after}
	k.runs = append(k.runs, v)
	f := k.faults
	abortAfter := 0

	if f.BreakAfter > 0 && after < f.BreakAfter {
		abortAfter = f.BreakAfter

		if k.faults.Breaks > 0 {
			if k.faults.Breaks--; k.faults.Breaks == 0 {
				k.faults.BreakAfter = 0
			}
		}
	}

	return v, f, abortAfter
}

// streamEvents writes the response to a request that has a slot, from the event after the Last-Event-Id header on.
func (k *Worker) streamEvents(w http.ResponseWriter, r *http.Request, id, body string, crashed <-chan struct{}) {
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	v, f, abortAfter := k.startRun(id, after)

	w.Header().Set("Server-Signature", k.options.ID+"."+id)

	switch {
	case f.Silent:
		<-r.Context().Done()

		return
	case f.Fail != "" && strings.Contains(body, f.Fail):
		w.WriteHeader(http.StatusInternalServerError)

		return
	case f.Impossible != "" && strings.Contains(body, f.Impossible):
		w.WriteHeader(http.StatusUnprocessableEntity)

		return
	}

	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)

	if hasPart(r.Header, f.Deadly) {
		flush(w)
		k.Crash()
	}

	for n := after + 1; n <= k.options.Events; n++ {
		select {
		case <-time.After(k.gap()):
		case <-crashed:
			abortCrashed(r, f)
		case <-r.Context().Done():
			return
		}

		if abortAfter > 0 && n > abortAfter {
			if f.TearEvent {
				_, _ = fmt.Fprintf(w, "id: %d\ndata: %s", n, id[:len(id)/2])
				flush(w)
			}

			panic(http.ErrAbortHandler)
		}

		_, _ = fmt.Fprint(w, EncodeEvent(id, n))
		flush(w)

		k.mu.Lock()
		v.Sent = n
		k.mu.Unlock()
	}

	k.mu.Lock()
	v.Whole = true
	k.mu.Unlock()
}

// gap returns the time before the next event.
func (k *Worker) gap() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()

	if time.Since(k.start) < k.options.ColdTime {
		return k.options.ColdGap
	}

	return k.options.Gap
}

func flush(w http.ResponseWriter) { _ = http.NewResponseController(w).Flush() }

// EncodeEvent returns event n of the response to a request as it is sent in the event stream. Events are counted from
// 1.
func EncodeEvent(id string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", n, EventData(id, n))
}

// EventData returns the data of event n of the response to a request.
func EventData(id string, n int) string { return fmt.Sprintf("%s-%d", id, n) }

// ResultText returns the text of the result of a batch item: the data of all events of its response, one per line.
func ResultText(id string, events int) string {
	l := make([]string, events)
	for i := range l {
		l[i] = EventData(id, i+1)
	}

	return strings.Join(l, "\n")
}
