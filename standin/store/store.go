// Package store implements a stand-in for the platform's store, which keeps the platform's append-only log. It serves
// keyed and plain topics over HTTP and injects faults. The tests, the soak, the demo, the bench and the
// standin command use it.
package store

import (
	"cmp"
	"encoding/binary"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Options are the settings of a Store. With the zero value, the rate of appends is unlimited and records are kept
// forever.
type Options struct {
	AppendsPerSecond float64       // appends above this rate are refused; 0 for no limit
	Retention        time.Duration // age at which records are removed, except the newest of each key; 0 for never
	Seed             uint64        // seed of the random faults
}

// Faults are the injected faults. They are the body of PUT /control/faults. The zero value injects none.
type Faults struct {
	Down       bool    `json:"down"`        // all requests are refused without effect
	NoAppends  bool    `json:"no_appends"`  // appends are refused; reads work
	Silent     bool    `json:"silent"`      // requests get no response and have no effect
	LostShare  float64 `json:"lost_share"`  // share of appends that are applied but get no response
	LateMS     int     `json:"late_ms"`     // delay of appends without a response; their expected offset is checked after it
	DelayMS    int     `json:"delay_ms"`    // delay of every request before it takes effect
	KeepLast   int     `json:"keep_last"`   // number of newest records that each partition keeps; 0 for all
	RefuseFrom string  `json:"refuse_from"` // prefix of the remote addresses whose requests are refused
}

// Store is a stand-in for the platform's store. It is safe for concurrent use. Create one with New.
type Store struct {
	options Options
	limiter *rate.Limiter

	mu         sync.Mutex
	partitions map[string]*partition // by TOPIC/PARTITION
	faults     Faults
	random     *rand.Rand
	calls      map[string]int // number of requests by path
	appends    int64          // number of appends over HTTP that took effect
}

// partition is one partition of a topic. The store's lock guards it.
type partition struct {
	keyed       bool
	first       int64 // offset of the oldest record that is kept
	records     [][]byte
	appendTimes []time.Time             // times at which the records were appended
	newest      map[string]newestRecord // by key, of a keyed topic
	changed     chan struct{}           // closed and replaced with each append
}

// newestRecord is the newest record of a key.
type newestRecord struct {
	offset int64
	value  []byte
}

const (
	// maxReadWait bounds how long a read waits for a record.
	maxReadWait = 30 * time.Second
	// maxRecordBytes bounds one record, and maxAppendBytes all records of an append with their lengths.
	maxRecordBytes = 256 << 10
	maxAppendBytes = 2 << 20
	// maxReadBytes bounds the records in the response to a read. A larger first record is returned alone.
	maxReadBytes = 1 << 20
)

// New returns an empty store without faults.
func New(o Options) *Store {
	l := rate.NewLimiter(rate.Inf, 0)
	if o.AppendsPerSecond > 0 {
		l = rate.NewLimiter(rate.Limit(o.AppendsPerSecond), max(1, int(o.AppendsPerSecond/4))) //nolint:mnd // bursts of a quarter of a second
	}

	return &Store{
		options: o, limiter: l, partitions: map[string]*partition{}, calls: map[string]int{},
		random: rand.New(rand.NewPCG(o.Seed, 1)), //nolint:gosec // reproducible faults
	}
}

// Handler returns the HTTP interface of the store. The paths under /control are for tests.
func (s *Store) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /log-append", s.handleAppend)
	m.HandleFunc("GET /log-read", s.handleRead)
	m.HandleFunc("GET /log-newest", s.handleNewest)
	m.HandleFunc("PUT /control/faults", s.handleFaults)
	m.HandleFunc("PUT /control/workers", s.handleWorkers)

	return m
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.faults = f
}

// Calls returns the number of requests to a path, such as /log-append, including those that failed.
func (s *Store) Calls(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.calls[path]
}

// Appends returns the number of appends over HTTP that took effect. An append may have several records. Calls of Put do
// not count.
func (s *Store) Appends() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.appends
}

// Put writes the record of a key to a keyed topic, as the platform's operator and workers do. An empty value deletes
// the key. Faults do not affect it, except KeepLast.
func (s *Store) Put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.partition(topic, "0").add(encodeKeyed(key, value), s.faults.KeepLast)
}

// encodeKeyed encodes a record of a keyed topic: the length of the key in one byte, the key and the value.
func encodeKeyed(key string, value []byte) []byte {
	b := append([]byte{byte(len(key))}, key...)

	return append(b, value...)
}

// partition returns a partition of a topic, which it creates on first use. The caller holds the lock.
func (s *Store) partition(topic, part string) *partition {
	k := topic + "/" + part

	p, ok := s.partitions[k]
	if !ok {
		p = &partition{keyed: strings.HasPrefix(topic, "keyed."), newest: map[string]newestRecord{}, changed: make(chan struct{})}
		s.partitions[k] = p
	}

	return p
}

func (p *partition) end() int64 { return p.first + int64(len(p.records)) }

// add appends a record, and then removes the oldest records until maxRecords are left, unless that is 0.
func (p *partition) add(b []byte, maxRecords int) {
	o := p.end()
	p.records, p.appendTimes = append(p.records, b), append(p.appendTimes, time.Now())

	if p.keyed {
		if n := 1 + int(b[0]); len(b) == n {
			delete(p.newest, string(b[1:n]))
		} else {
			p.newest[string(b[1:n])] = newestRecord{offset: o, value: b[n:]}
		}
	}

	if maxRecords > 0 {
		p.truncate(len(p.records) - maxRecords)
	}

	close(p.changed)
	p.changed = make(chan struct{})
}

// truncate removes the oldest n records.
func (p *partition) truncate(n int) {
	if n <= 0 {
		return
	}

	p.first += int64(n)
	p.records, p.appendTimes = slices.Clone(p.records[n:]), slices.Clone(p.appendTimes[n:])
}

// truncateBefore removes the records that were appended before a time.
func (p *partition) truncateBefore(t time.Time) {
	n, _ := slices.BinarySearchFunc(p.appendTimes, t, func(a, b time.Time) int { return a.Compare(b) })
	p.truncate(n)
}

// beginCall counts a request and applies the faults that concern all requests. It returns the faults, and false if the
// handler must return, as the request was refused or its client has disconnected.
func (s *Store) beginCall(w http.ResponseWriter, r *http.Request) (Faults, bool) {
	s.mu.Lock()
	f := s.faults
	s.calls[r.URL.Path]++
	s.mu.Unlock()

	switch {
	case f.Silent:
		_, _ = io.Copy(io.Discard, r.Body) // the server detects a closed connection only after the body has been read
		<-r.Context().Done()

		return f, false
	case f.Down, f.RefuseFrom != "" && len(r.RemoteAddr) > len(f.RefuseFrom) && r.RemoteAddr[:len(f.RefuseFrom)] == f.RefuseFrom:
		http.Error(w, "refused", http.StatusServiceUnavailable)

		return f, false
	}

	select {
	case <-time.After(time.Duration(f.DelayMS) * time.Millisecond):
	case <-r.Context().Done():
		return f, false
	}

	return f, true
}

func (s *Store) handleAppend(w http.ResponseWriter, r *http.Request) {
	f, ok := s.beginCall(w, r)
	if !ok {
		return
	}

	b, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}

	q := r.URL.Query()

	records, ok := splitRecords(b, strings.HasPrefix(q.Get("topic"), "keyed."))
	if !ok {
		http.Error(w, "malformed records", http.StatusBadRequest)

		return
	}

	if f.NoAppends || !s.limiter.Allow() {
		http.Error(w, "refused", http.StatusTooManyRequests)

		return
	}

	at := int64(-1)
	if v := q.Get("at"); v != "" {
		at, _ = strconv.ParseInt(v, 10, 64)
	}

	if s.shouldLoseResponse(f) {
		s.loseResponse(f, q.Get("topic"), q.Get("part"), at, records)

		return
	}

	o, end, appended := s.appendRecords(q.Get("topic"), q.Get("part"), at, records)
	if !appended {
		w.WriteHeader(http.StatusPreconditionFailed)
	}

	writeJSON(w, map[string]int64{"offset": o, "end": end})
}

func (s *Store) shouldLoseResponse(f Faults) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.random.Float64() < f.LostShare
}

// loseResponse applies an append, now or after LateMS, and aborts the connection without a response. It does not
// return, but panics with http.ErrAbortHandler.
func (s *Store) loseResponse(f Faults, topic, part string, at int64, records [][]byte) {
	if f.LateMS > 0 {
		time.AfterFunc(time.Duration(f.LateMS)*time.Millisecond, func() { s.appendRecords(topic, part, at, records) })
	} else {
		s.appendRecords(topic, part, at, records)
	}

	panic(http.ErrAbortHandler)
}

// appendRecords appends all records, or none if at is not negative and differs from the end of the partition. It
// returns the offset of the first record, or 0 if it appended none, the end of the partition, and whether it appended
// the records.
func (s *Store) appendRecords(topic, part string, at int64, records [][]byte) (offset, end int64, appended bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	p := s.partition(topic, part)
	offset = p.end()

	if at >= 0 && at != offset {
		return 0, offset, false
	}

	for _, b := range records {
		p.add(b, s.faults.KeepLast)
	}

	s.appends++

	return offset, p.end(), true
}

// splitRecords decodes the records of an append, each of which follows its length. Those of a keyed topic begin with a
// key. It returns false if the body is malformed or too large.
func splitRecords(b []byte, keyed bool) ([][]byte, bool) {
	const lengthBytes = 4

	var l [][]byte

	if len(b) > maxAppendBytes {
		return nil, false
	}

	for len(b) > 0 {
		if len(b) < lengthBytes {
			return nil, false
		}

		n := int(binary.BigEndian.Uint32(b))
		if n > len(b)-lengthBytes || n > maxRecordBytes || keyed && (n < 1 || int(b[lengthBytes]) > n-1) {
			return nil, false
		}

		l = append(l, b[lengthBytes:lengthBytes+n])
		b = b[lengthBytes+n:]
	}

	return l, true
}

// handleRead responds with the end and the first offset of a partition, 8 bytes each, followed by records, each after
// its length in 4 bytes. It waits for up to wait_ms, and at most maxReadWait, if there are no records yet. If records
// from the requested offset on have been removed, it responds with status 410 and the first offset.
func (s *Store) handleRead(w http.ResponseWriter, r *http.Request) {
	if _, ok := s.beginCall(w, r); !ok {
		return
	}

	q := r.URL.Query()
	from, _ := strconv.ParseInt(q.Get("from"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)

	p, records, changed := s.readFrom(q.Get("topic"), q.Get("part"), from)
	if from >= p.first && len(records) == 0 && wait > 0 {
		select {
		case <-changed:
		case <-time.After(min(maxReadWait, time.Duration(wait)*time.Millisecond)):
		case <-r.Context().Done():
			return
		}

		p, records, _ = s.readFrom(q.Get("topic"), q.Get("part"), from)
	}

	if from < p.first {
		w.WriteHeader(http.StatusGone)
		writeJSON(w, map[string]int64{"first": p.first})

		return
	}

	b := binary.BigEndian.AppendUint64(nil, uint64(p.end())) //nolint:gosec // an offset is not negative
	b = binary.BigEndian.AppendUint64(b, uint64(p.first))    //nolint:gosec // an offset is not negative

	for _, v := range records {
		b = binary.BigEndian.AppendUint32(b, uint32(len(v))) //nolint:gosec // at most maxRecordBytes
		b = append(b, v...)
	}

	_, _ = w.Write(b)
}

// readFrom removes expired records. It returns a copy of the partition that is only good for its bounds, the records
// from an offset on, up to maxReadBytes, and a channel that is closed at the next append.
func (s *Store) readFrom(topic, part string, from int64) (partition, [][]byte, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()

	p := s.partition(topic, part)
	if s.options.Retention > 0 {
		p.truncateBefore(time.Now().Add(-s.options.Retention))
	}

	var l [][]byte

	for n, o := 0, from; o >= p.first && o < p.end(); o++ {
		b := p.records[o-p.first]
		if n += len(b); n > maxReadBytes && len(l) > 0 {
			break
		}

		l = append(l, b)
	}

	return partition{first: p.first, records: p.records}, l, p.changed
}

// maxPageRecords is the greatest number of records in one page of the newest records.
const maxPageRecords = 100

type newestItem struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Offset int64  `json:"offset"`
}

// handleNewest responds with one page of the newest record of each key, in order of the keys, and with the end of the
// partition.
func (s *Store) handleNewest(w http.ResponseWriter, r *http.Request) {
	if _, ok := s.beginCall(w, r); !ok {
		return
	}

	q := r.URL.Query()

	s.mu.Lock()
	p := s.partition(q.Get("topic"), q.Get("part"))
	l := []newestItem{}

	for k, v := range p.newest {
		if k > q.Get("after") {
			l = append(l, newestItem{Key: k, Value: v.value, Offset: v.offset})
		}
	}

	end := p.end()
	s.mu.Unlock()

	slices.SortFunc(l, func(a, b newestItem) int { return cmp.Compare(a.Key, b.Key) })

	more := len(l) > maxPageRecords
	writeJSON(w, map[string]any{"items": l[:min(len(l), maxPageRecords)], "has_more": more, "end": end})
}

func (s *Store) handleFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if readJSON(w, r, &f) {
		s.SetFaults(f)
	}
}

// handleWorkers replaces the registrations of all workers.
func (s *Store) handleWorkers(w http.ResponseWriter, r *http.Request) {
	var l map[string]Registration
	if !readJSON(w, r, &l) {
		return
	}

	if err := s.PutRegistrations(l); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}

// readJSON decodes the body of a request into v. If it cannot, it responds with status 400 and returns false.
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
