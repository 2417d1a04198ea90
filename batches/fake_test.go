package batches_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/agategap/agategap/stream"
)

// memory is a log in memory.
type memory struct {
	mu     sync.Mutex
	parts  map[string]*part
	faults func() fault // drawn for each append
	down   bool
}

type part struct {
	first   int64
	records []stream.Keyed
	changed chan struct{}
}

// fault is what happens to an append.
type fault uint8

const (
	none     fault = iota
	refused        // not made
	lost           // made, and not answered
	dropped        // not made, and not answered
	deferred       // made later if its condition still holds, and not answered
)

func newMemory() *memory { return &memory{parts: map[string]*part{}} }

func (m *memory) part(name string, n int) *part {
	k := fmt.Sprint(name, "/", n)

	p, ok := m.parts[k]
	if !ok {
		p = &part{changed: make(chan struct{})}
		m.parts[k] = p
	}

	return p
}

func (p *part) end() int64 { return p.first + int64(len(p.records)) }

// setDown makes all calls fail, or not.
func (m *memory) setDown(d bool) {
	m.mu.Lock()
	defer m.mu.Unlock()

	m.down = d
}

// forget drops the oldest records of all partitions. The newest of each key are kept apart.
func (m *memory) forget() {
	m.mu.Lock()
	defer m.mu.Unlock()

	for k, p := range m.parts {
		if strings.Contains(k, " newest/") {
			continue
		}

		p.first = p.end()
		p.records = nil
	}
}

func (m *memory) Append(_ context.Context, name string, n int, records []stream.Keyed, at int64) (int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()

	if m.down {
		return 0, stream.ErrRefused
	}

	f := none
	if m.faults != nil {
		f = m.faults()
	}

	switch f {
	case refused:
		return 0, stream.ErrRefused
	case dropped:
		return 0, stream.ErrLost
	case deferred:
		time.AfterFunc(time.Duration(rand.IntN(40))*time.Millisecond, func() {
			m.mu.Lock()
			defer m.mu.Unlock()

			_, _ = m.make(name, n, records, at)
		})

		return 0, stream.ErrLost
	}

	o, err := m.make(name, n, records, at)
	if f == lost {
		return 0, stream.ErrLost
	}

	return o, err
}

func (m *memory) make(name string, n int, records []stream.Keyed, at int64) (int64, error) {
	p := m.part(name, n)

	o := p.end()
	if at != stream.Anywhere && at != o {
		return 0, stream.ErrMoved
	}

	for i, k := range records {
		p.records = append(p.records, k.At(o+int64(i)))
		m.keep(name, n, k.At(o+int64(i)))
	}

	close(p.changed)
	p.changed = make(chan struct{})

	return o, nil
}

// keep records the newest record of a key.
func (m *memory) keep(name string, n int, k stream.Keyed) {
	p := m.part(name+" newest", n)
	p.records = slices.DeleteFunc(p.records, func(o stream.Keyed) bool { return o.Key() == k.Key() })

	if len(k.Value()) > 0 {
		p.records = append(p.records, k)
	}
}

func (m *memory) Tail(ctx context.Context, name string, n int, from int64, wait time.Duration) (stream.KeyedPage, error) {
	end := time.NewTimer(wait)
	defer end.Stop()

	for {
		m.mu.Lock()
		p := m.part(name, n)
		down, first, l, e, ch := m.down, p.first, p.records, p.end(), p.changed
		m.mu.Unlock()

		switch {
		case down:
			return stream.KeyedPage{}, stream.ErrUnavailable
		case from < first:
			return stream.KeyedPage{}, stream.ErrDropped
		case from < e:
			return stream.NewKeyedPage(slices.Clone(l[from-first:]), e, false), nil
		case wait == 0:
			return stream.NewKeyedPage(nil, e, false), nil
		}

		select {
		case <-ch:
		case <-end.C:
			wait = 0
		case <-ctx.Done():
			return stream.KeyedPage{}, errors.Join(stream.ErrUnavailable, ctx.Err())
		}
	}
}

func (m *memory) Newest(_ context.Context, name string, n int, after string) (stream.KeyedPage, error) {
	m.mu.Lock()
	defer m.mu.Unlock()

	if m.down {
		return stream.KeyedPage{}, stream.ErrUnavailable
	}

	var l []stream.Keyed
	for _, k := range m.part(name+" newest", n).records {
		if k.Key() > after {
			l = append(l, k)
		}
	}

	slices.SortFunc(l, func(a, b stream.Keyed) int {
		if a.Key() < b.Key() {
			return -1
		}

		return 1
	})

	const page = 3

	return stream.NewKeyedPage(l[:min(page, len(l))], m.part(name, n).end(), len(l) > page), nil
}
