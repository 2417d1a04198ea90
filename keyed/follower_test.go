package keyed_test

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/agategap/agategap/keyed"
	"github.com/agategap/agategap/stream"
)

// slowLog lists its records one a page, and fails every other page, as a store whose bytes a second are used up.
type slowLog struct {
	mu     sync.Mutex
	pages  int
	tails  int
	listed map[string]int
}

const slowRecords = 20

func (l *slowLog) Append(context.Context, string, int, []stream.Keyed, int64) (int64, error) {
	return 0, stream.ErrRefused
}

func (l *slowLog) Tail(context.Context, string, int, int64, time.Duration) (stream.KeyedPage, error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.tails++

	return stream.NewKeyedPage(nil, slowRecords, false), nil
}

func (l *slowLog) Newest(_ context.Context, _ string, _ int, after string) (stream.KeyedPage, error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if l.pages++; l.pages%2 == 0 {
		return stream.KeyedPage{}, stream.ErrUnavailable
	}

	n := 0
	if after != "" {
		n, _ = strconv.Atoi(after)
		n++
	}

	k := fmt.Sprintf("%03d", n)
	l.listed[k]++

	return stream.NewKeyedPage([]stream.Keyed{stream.NewKeyed(int64(n), k, []byte("v"))}, slowRecords, n < slowRecords-1), nil
}

// sink counts the records of the last reset.
type sink struct {
	mu sync.Mutex
	n  int
}

func (s *sink) Reset(l []stream.Keyed, _ int64) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.n = len(l)
}

func (s *sink) Apply(stream.Keyed) {}

// Guards against a listing that starts over after each failure, so that it is never complete while the log is slow; and
// against reads in a row without the pause that bounds them.
func TestFollower(t *testing.T) {
	l := &slowLog{listed: map[string]int{}}
	s := &sink{}
	f := keyed.New(l, "s", 0, s, zerolog.Nop()).WithPause(func() time.Duration { return 100 * time.Millisecond })

	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})

	go func() {
		defer close(done)

		_ = f.Run(ctx)
	}()

	defer func() { stop(); <-done }()

	Convey("A listing whose pages fail now and then is complete, and reads each page once", t, func() {
		select {
		case <-f.Ready():
		case <-time.After(20 * time.Second):
		}

		So(f.Loaded(), ShouldBeTrue)

		s.mu.Lock()
		So(s.n, ShouldEqual, slowRecords)
		s.mu.Unlock()

		l.mu.Lock()
		for _, n := range l.listed {
			So(n, ShouldEqual, 1)
		}
		l.tails = 0
		l.mu.Unlock()

		time.Sleep(time.Second)

		l.mu.Lock()
		So(l.tails, ShouldBeBetween, 0, 12)
		l.mu.Unlock()
	})
}
