package platform

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"github.com/agategap/agategap/platform"
)

// Options are the settings of the stand-in. The zero value means 300 appends a second, retention without end,
// no lag and no faults.
type Options struct {
	AppendsPerSecond float64
	Retention        time.Duration
	ListLag          time.Duration
	Seed             uint64
}

const (
	defaultAppendsPerSecond = 300
	maxAppendBytes          = 16 << 20
	longestWait             = 30 * time.Second
)

// Faults is the fault script in force. It is a message of the stand-in's control interface.
type Faults struct {
	Down       bool    `json:"down"`        // every call fails; appends have no effect
	LostShare  float64 `json:"lost_share"`  // share of appends that take effect and whose answer is lost
	AppendMS   int     `json:"append_ms"`   // delay of every append
	ReadMS     int     `json:"read_ms"`     // delay of every read
	RefuseMore bool    `json:"refuse_more"` // appends are refused, reads go on
}

// Platform is the stand-in.
type Platform struct {
	options Options
	limit   *rate.Limiter

	mu      sync.Mutex
	random  *rand.Rand
	topics  map[string]*topic
	faults  Faults
	vms     []platform.VM
	shown   []platform.VM
	appends map[string]int64
}

// New returns a stand-in.
func New(o Options) *Platform {
	if o.AppendsPerSecond == 0 {
		o.AppendsPerSecond = defaultAppendsPerSecond
	}

	return &Platform{
		options: o,
		limit:   rate.NewLimiter(rate.Limit(o.AppendsPerSecond), max(1, int(o.AppendsPerSecond/4))),
		random:  rand.New(rand.NewPCG(o.Seed, 1)), //nolint:gosec // repeatable faults
		topics:  map[string]*topic{},
		appends: map[string]int64{},
	}
}

// Handler returns the HTTP interface.
func (p *Platform) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/streams/append", p.append)
	m.HandleFunc("GET /v1/streams/read", p.read)
	m.HandleFunc("GET /v1/vms", p.list)
	m.HandleFunc("PUT /control/vms", p.putVMs)
	m.HandleFunc("PUT /control/faults", p.putFaults)
	m.HandleFunc("GET /control/counts", p.counts)

	return m
}

// SetVMs replaces the list of VMs. Readers see it after the lag.
func (p *Platform) SetVMs(v []platform.VM) {
	p.mu.Lock()
	p.vms = v
	p.mu.Unlock()

	if p.options.ListLag == 0 {
		p.show(v)

		return
	}

	time.AfterFunc(p.options.ListLag, func() { p.show(v) })
}

// SetFaults replaces the fault script.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.faults = f
}

// Appends returns the number of appends that took effect.
func (p *Platform) Appends() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()

	var n int64
	for _, v := range p.appends {
		n += v
	}

	return n
}

func (p *Platform) show(v []platform.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.shown = v
}

func (p *Platform) script() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.faults
}

func (p *Platform) topic(name string) *topic {
	p.mu.Lock()
	defer p.mu.Unlock()

	t, ok := p.topics[name]
	if !ok {
		t = newTopic()
		p.topics[name] = t
	}

	return t
}

func (p *Platform) append(w http.ResponseWriter, r *http.Request) {
	f := p.script()
	if f.Down || f.RefuseMore || !p.limit.Allow() {
		http.Error(w, "refused", http.StatusServiceUnavailable)

		return
	}

	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAppendBytes))
	if err != nil {
		http.Error(w, "the record is too large", http.StatusRequestEntityTooLarge)

		return
	}

	pause(r, f.AppendMS)

	name := r.URL.Query().Get("stream")
	o := p.topic(name).append(time.Now(), b)

	if p.countAppend(name, f.LostShare) {
		panic(http.ErrAbortHandler) // the answer is lost
	}

	writeJSON(w, map[string]int64{"offset": o})
}

// countAppend counts an append and reports whether its answer is lost.
func (p *Platform) countAppend(name string, lost float64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.appends[name]++

	return p.random.Float64() < lost
}

func (p *Platform) read(w http.ResponseWriter, r *http.Request) {
	f := p.script()
	if f.Down {
		http.Error(w, "down", http.StatusServiceUnavailable)

		return
	}

	pause(r, f.ReadMS)

	q := r.URL.Query()
	from, _ := strconv.ParseInt(q.Get("from"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	t := p.topic(q.Get("stream"))

	if p.options.Retention > 0 {
		t.drop(time.Now().Add(-p.options.Retention))
	}

	e, oldest, next, changed := t.read(from)
	if len(e) == 0 && from >= oldest && wait > 0 {
		select {
		case <-changed:
		case <-time.After(min(time.Duration(wait)*time.Millisecond, longestWait)):
		case <-r.Context().Done():
		}

		e, oldest, next, _ = t.read(from)
	}

	if from < oldest {
		w.WriteHeader(http.StatusGone)
	}

	writeJSON(w, page(e, oldest, next))
}

func page(e []entry, oldest, next int64) any {
	type record struct {
		Offset int64  `json:"offset"`
		TimeMS int64  `json:"time_ms"`
		Data   []byte `json:"data"`
	}

	l := make([]record, len(e))
	for i, v := range e {
		l[i] = record{Offset: v.offset, TimeMS: v.at.UnixMilli(), Data: v.data}
	}

	return map[string]any{"oldest": oldest, "next": next, "entries": l}
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	down, v := p.faults.Down, p.shown
	p.mu.Unlock()

	if down {
		http.Error(w, "down", http.StatusServiceUnavailable)

		return
	}

	b, err := json.Marshal(map[string]any{"vms": v})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)

		return
	}

	tag := fmt.Sprintf(`"%x"`, xxhash.Sum64(b))
	w.Header().Set("ETag", tag)

	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)

		return
	}

	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(b)
}

func (p *Platform) putVMs(w http.ResponseWriter, r *http.Request) {
	var v []platform.VM
	if readJSON(w, r, &v) {
		p.SetVMs(v)
	}
}

func (p *Platform) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if readJSON(w, r, &f) {
		p.SetFaults(f)
	}
}

func (p *Platform) counts(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()

	writeJSON(w, map[string]any{"appends": p.appends})
}

func pause(r *http.Request, ms int) {
	if ms <= 0 {
		return
	}

	select {
	case <-time.After(time.Duration(ms) * time.Millisecond):
	case <-r.Context().Done():
	}
}

func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)

		return false
	}

	return true
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
