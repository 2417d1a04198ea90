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

	"github.com/agategap/agategap/batches"
	"github.com/agategap/agategap/stream"
)

// memoryLog is a log in memory that injects faults into appends. Besides each partition it keeps one with the newest
// record of each key.
type memoryLog struct {
	mu         sync.Mutex
	partitions map[string]*logPartition
	faults     func() fault // called for each append; nil for no faults
	down       bool
}

type logPartition struct {
	first   int64 // offset of the oldest record
	records []stream.KeyedRecord
	changed chan struct{} // closed and replaced at each append
}

// fault is a fault of one append.
type fault uint8

const (
	noFault       fault = iota
	appendRefused       // no effect, ErrRefused
	replyLost           // takes effect, ErrUnconfirmed
	appendLost          // no effect, ErrUnconfirmed
	appendDelayed       // takes effect later if its condition still holds, ErrUnconfirmed
)

func newMemoryLog() *memoryLog { return &memoryLog{partitions: map[string]*logPartition{}} }

func (m *memoryLog) partition(name string, n int) *logPartition {
	k := fmt.Sprint(name, "/", n)

	p, ok := m.partitions[k]
	if !ok {
		p = &logPartition{changed: make(chan struct{})}
		m.partitions[k] = p
	}

	return p
}

func (p *logPartition) end() int64 { return p.first + int64(len(p.records)) }

// setDown makes all calls fail until it is called with false.
func (m *memoryLog) setDown(d bool) {
	m.mu.Lock()
	defer m.mu.Unlock()

	m.down = d
}

// truncate drops all records of all partitions, except the newest of each key, which Newest returns.
func (m *memoryLog) truncate() {
	m.mu.Lock()
	defer m.mu.Unlock()

	for k, p := range m.partitions {
		if strings.Contains(k, " newest/") {
			continue
		}

		p.first = p.end()
		p.records = nil
	}
}

func (m *memoryLog) Append(_ context.Context, name string, n int, records []stream.KeyedRecord, at int64) (int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()

	if m.down {
		return 0, stream.ErrRefused
	}

	f := noFault
	if m.faults != nil {
		f = m.faults()
	}

	switch f {
	case appendRefused:
		return 0, stream.ErrRefused
	case appendLost:
		return 0, stream.ErrUnconfirmed
	case appendDelayed:
		time.AfterFunc(time.Duration(rand.IntN(40))*time.Millisecond, func() {
			m.mu.Lock()
			defer m.mu.Unlock()

			_, _ = m.appendAt(name, n, records, at)
		})

		return 0, stream.ErrUnconfirmed
	}

	o, err := m.appendAt(name, n, records, at)
	if f == replyLost {
		return 0, stream.ErrUnconfirmed
	}

	return o, err
}

// appendAt appends records if the partition ends at offset at, or at is stream.AnyOffset.
func (m *memoryLog) appendAt(name string, n int, records []stream.KeyedRecord, at int64) (int64, error) {
	p := m.partition(name, n)

	o := p.end()
	if at != stream.AnyOffset && at != o {
		return 0, stream.ErrOffsetMismatch
	}

	for i, k := range records {
		p.records = append(p.records, k.WithOffset(o+int64(i)))
		m.keepNewest(name, n, k.WithOffset(o+int64(i)))
	}

	close(p.changed)
	p.changed = make(chan struct{})

	return o, nil
}

// keepNewest replaces the newest record of a key, or removes it if the key is dropped.
func (m *memoryLog) keepNewest(name string, n int, k stream.KeyedRecord) {
	p := m.partition(name+" newest", n)
	p.records = slices.DeleteFunc(p.records, func(o stream.KeyedRecord) bool { return o.Key() == k.Key() })

	if len(k.Value()) > 0 {
		p.records = append(p.records, k)
	}
}

// newestRecords returns the number of keys that have a record.
func (m *memoryLog) newestRecords() int {
	m.mu.Lock()
	defer m.mu.Unlock()

	return len(m.partition(batches.Stream+" newest", 0).records)
}

func (m *memoryLog) Tail(ctx context.Context, name string, n int, from int64, wait time.Duration) (stream.KeyedPage, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()

	for {
		m.mu.Lock()
		p := m.partition(name, n)
		down, first, l, e, ch := m.down, p.first, p.records, p.end(), p.changed
		m.mu.Unlock()

		switch {
		case down:
			return stream.KeyedPage{}, stream.ErrUnavailable
		case from < first:
			return stream.KeyedPage{}, stream.ErrTruncated
		case from < e:
			return stream.NewKeyedPage(slices.Clone(l[from-first:]), e, false), nil
		case wait == 0:
			return stream.NewKeyedPage(nil, e, false), nil
		}

		select {
		case <-ch:
		case <-timer.C:
			wait = 0
		case <-ctx.Done():
			return stream.KeyedPage{}, errors.Join(stream.ErrUnavailable, ctx.Err())
		}
	}
}

func (m *memoryLog) Newest(_ context.Context, name string, n int, after string) (stream.KeyedPage, error) {
	m.mu.Lock()
	defer m.mu.Unlock()

	if m.down {
		return stream.KeyedPage{}, stream.ErrUnavailable
	}

	var l []stream.KeyedRecord
	for _, k := range m.partition(name+" newest", n).records {
		if k.Key() > after {
			l = append(l, k)
		}
	}

	slices.SortFunc(l, func(a, b stream.KeyedRecord) int {
		if a.Key() < b.Key() {
			return -1
		}

		return 1
	})

	const page = 3

	return stream.NewKeyedPage(l[:min(page, len(l))], m.partition(name, n).end(), len(l) > page), nil
}
