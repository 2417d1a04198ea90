package driver_test

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Limits of the platform's metadata store, from the section of PROTOCOL.md on it and from the settings in DEPLOY.md.
const (
	pageRecords   = 500
	pageBytes     = 1 << 20
	recordBytes   = 262144
	callBytes     = 2097152
	answerDelay   = 4 * time.Millisecond
	appendDelay   = 2 * time.Millisecond // append_ms
	partRate      = 20e6                 // bytes a second of an append (part_mb_s)
	readRate      = 80e6                 // bytes a second of all reads (read_mb_s)
	lengthBytes   = 4
	defaultReadKB = 1024
	heldSpread    = 20 * time.Millisecond
)

// writeCall describes an append that has arrived at the store.
type writeCall struct {
	topic       string
	part        string
	conditional bool
	bytes       int
}

// fate is what the store does with an append.
type fate struct {
	lost bool          // it is done, but not answered
	late time.Duration // with lost: it is done after this time
}

// store is a stand-in for the platform's metadata store. It implements the calls that the daemons make.
type store struct {
	mu      sync.Mutex
	parts   map[string]*logPart
	decide  func(writeCall) fate // nil: every append is done and answered
	paused  chan struct{}        // not nil: calls get no answer until it is closed; they are done then
	readEnd time.Time            // end of the transfer of the last read
	appends int
	lost    int
}

type logPart struct {
	mu      sync.Mutex // an append at a time
	records [][]byte
	newest  map[string]int // offset of the newest record of each key
	changed chan struct{}
}

func newStore() *store { return &store{parts: map[string]*logPart{}} }

func (s *store) part(topic, part string) *logPart {
	k := topic + "/" + part
	p, ok := s.parts[k]
	if !ok {
		p = &logPart{newest: map[string]int{}, changed: make(chan struct{})}
		s.parts[k] = p
	}

	return p
}

// put writes a record as the operator or a worker does.
func (s *store) put(topic, key string, value []byte) {
	b := append([]byte{byte(len(key))}, key...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(s.part(topic, "0"), [][]byte{append(b, value...)})
}

// add appends records. The caller holds s.mu.
func (s *store) add(p *logPart, l [][]byte) {
	for _, b := range l {
		n := 1 + int(b[0])
		if len(b) == n {
			delete(p.newest, string(b[1:n]))
		} else {
			p.newest[string(b[1:n])] = len(p.records)
		}
		p.records = append(p.records, b)
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

func (s *store) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

func (s *store) handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /log-append", s.handleAppend)
	m.HandleFunc("GET /log-read", s.handleRead)
	m.HandleFunc("GET /log-newest", s.handleNewest)

	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		paused := s.paused
		s.mu.Unlock()
		if paused != nil {
			<-paused
			time.Sleep(rand.N(heldSpread)) // calls on different channels are done in any order
		}
		time.Sleep(answerDelay)
		m.ServeHTTP(w, r)
	})
}

func (s *store) handleAppend(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	q := r.URL.Query()
	c := writeCall{topic: q.Get("topic"), part: q.Get("part"), conditional: q.Has("at"), bytes: len(b)}

	var l [][]byte
	for rest := b; len(rest) > 0; {
		if len(rest) < lengthBytes {
			w.WriteHeader(http.StatusBadRequest)

			return
		}
		n := int(binary.BigEndian.Uint32(rest))
		if n > recordBytes || n > len(rest)-lengthBytes || len(b) > callBytes+len(b)/n {
			w.WriteHeader(http.StatusRequestEntityTooLarge)

			return
		}
		l = append(l, rest[lengthBytes:lengthBytes+n])
		rest = rest[lengthBytes+n:]
	}

	s.mu.Lock()
	s.appends++
	var f fate
	if s.decide != nil {
		f = s.decide(c)
	}
	if f.lost {
		s.lost++
	}
	p := s.part(c.topic, c.part)
	s.mu.Unlock()

	at := -1
	if c.conditional {
		at, _ = strconv.Atoi(q.Get("at"))
	}

	switch {
	case f.lost:
		if f.late > 0 {
			time.AfterFunc(f.late, func() { s.apply(p, at, l) })
		} else {
			s.apply(p, at, l)
		}
		<-r.Context().Done() // the channel returns nothing further
	default:
		first, end, ok := s.apply(p, at, l)
		if !ok {
			w.WriteHeader(http.StatusPreconditionFailed)
		}
		_ = json.NewEncoder(w).Encode(map[string]int{"offset": first, "end": end})
	}
}

// apply appends records on the condition that the partition ends at at, unless at is negative.
func (s *store) apply(p *logPart, at int, l [][]byte) (first, end int, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	size := 0
	for _, b := range l {
		size += len(b)
	}
	time.Sleep(appendDelay + time.Duration(float64(size)/partRate*float64(time.Second)))

	s.mu.Lock()
	defer s.mu.Unlock()
	first = len(p.records)
	if at >= 0 && at != first {
		return 0, first, false
	}
	s.add(p, l)

	return first, len(p.records), true
}

func (s *store) handleRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	maxBytes := defaultReadKB << 10
	if n, err := strconv.Atoi(q.Get("max_kb")); err == nil {
		maxBytes = n << 10
	}

	s.mu.Lock()
	p := s.part(q.Get("topic"), q.Get("part"))
	changed, end := p.changed, len(p.records)
	s.mu.Unlock()

	if from >= end && wait > 0 {
		select {
		case <-changed:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}

	s.mu.Lock()
	l := p.records
	s.mu.Unlock()

	b := binary.BigEndian.AppendUint64(nil, uint64(len(l)))
	b = binary.BigEndian.AppendUint64(b, 0)
	for o := from; o >= 0 && o < len(l); o++ {
		if o > from && len(b)+len(l[o]) > maxBytes {
			break
		}
		b = binary.BigEndian.AppendUint32(b, uint32(len(l[o])))
		b = append(b, l[o]...)
	}
	s.transfer(len(b))
	_, _ = w.Write(b)
}

// transfer waits until a number of bytes has been read. All reads share the rate.
func (s *store) transfer(n int) {
	s.mu.Lock()
	if now := time.Now(); s.readEnd.Before(now) {
		s.readEnd = now
	}
	s.readEnd = s.readEnd.Add(time.Duration(float64(n) / readRate * float64(time.Second)))
	end := s.readEnd
	s.mu.Unlock()
	time.Sleep(time.Until(end))
}

type newestItem struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Offset int    `json:"offset"`
}

func (s *store) handleNewest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after := q.Get("after")

	s.mu.Lock()
	p := s.part(q.Get("topic"), q.Get("part"))
	var keys []string
	for k := range p.newest {
		if k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)

	items, size, more := []newestItem{}, 0, false
	for _, k := range keys {
		o := p.newest[k]
		v := p.records[o][1+len(k):]
		if len(items) == pageRecords || len(items) > 0 && size+len(k)+len(v) > pageBytes {
			more = true

			break
		}
		size += len(k) + len(v)
		items = append(items, newestItem{Key: k, Value: v, Offset: o})
	}
	end := len(p.records)
	s.mu.Unlock()

	s.transfer(size)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "has_more": more, "end": end})
}
