package store_test

import (
	"context"
	"sync"
	"time"

	"github.com/agategap/agategap/stream"
)

// memLog is an in-memory log with a clock that is set by the test and with injected faults.
type memLog struct {
	mu      sync.Mutex
	now     time.Time
	streams map[string]*memStream
	faultAt func(name string, n int) fault // fault of the append to a stream that is the nth one since setFault
	appends int
	changed chan struct{} // closed and replaced at each append
}

type memStream struct {
	oldest  int64
	entries []stream.Entry
}

// fault is the fault that is injected into one append.
type fault uint8

const (
	noFault fault = iota
	refuse
	loseRequest  // the append has no effect, which the caller does not learn
	loseResponse // the append takes effect, which the caller does not learn
)

func newLog() *memLog {
	return &memLog{
		now: time.UnixMilli(1_700_000_000_000), streams: map[string]*memStream{}, changed: make(chan struct{}),
		faultAt: func(string, int) fault { return noFault },
	}
}

func (l *memLog) stream(name string) *memStream {
	s, ok := l.streams[name]
	if !ok {
		s = &memStream{oldest: 1}
		l.streams[name] = s
	}

	return s
}

func (l *memLog) appendEntry(name string, b []byte) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()

	s := l.stream(name)
	o := s.oldest + int64(len(s.entries))
	s.entries = append(s.entries, stream.NewEntry(o, l.now, b))

	close(l.changed)
	l.changed = make(chan struct{})

	return o
}

// truncateBefore removes the entries that were appended before t from all streams.
func (l *memLog) truncateBefore(t time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()

	for _, s := range l.streams {
		for len(s.entries) > 0 && s.entries[0].AppendedAt().Before(t) {
			s.entries = s.entries[1:]
			s.oldest++
		}
	}
}

func (l *memLog) advance(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.now = l.now.Add(d)
}

func (l *memLog) clock() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.now
}

func (l *memLog) setFault(f func(name string, n int) fault) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.faultAt, l.appends = f, 0
}

func (l *memLog) Append(_ context.Context, name string, b []byte) (int64, error) {
	l.mu.Lock()
	l.appends++
	f := l.faultAt(name, l.appends)
	l.mu.Unlock()

	switch f {
	case refuse:
		return 0, stream.ErrRefused
	case loseRequest:
		return 0, stream.ErrUnconfirmed
	case loseResponse:
		l.appendEntry(name, b)

		return 0, stream.ErrUnconfirmed
	default:
		return l.appendEntry(name, b), nil
	}
}

func (l *memLog) readPage(name string, from int64) (stream.Page, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	s := l.stream(name)
	next := s.oldest + int64(len(s.entries))

	if from < s.oldest {
		return stream.NewPage(nil, s.oldest, next), nil, stream.ErrTruncated
	}

	var e []stream.Entry
	if from < next {
		e = append(e, s.entries[from-s.oldest:]...)
	}

	return stream.NewPage(e, s.oldest, next), l.changed, nil
}

func (l *memLog) Read(ctx context.Context, name string, from int64, wait time.Duration) (stream.Page, error) {
	end := time.After(wait)

	for {
		p, ch, err := l.readPage(name, from)
		if err != nil || wait == 0 || len(p.Entries()) > 0 {
			return p, err
		}

		select {
		case <-ch:
		case <-end:
			return p, nil
		case <-ctx.Done():
			return p, stream.ErrUnavailable
		}
	}
}
