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

// flakyLog is a log whose Newest returns one record per page and fails at every other call, like a store that has
// reached its limit of bytes per second.
type flakyLog struct {
	mu          sync.Mutex
	newestCalls int
	tailCalls   int
	returned    map[string]int
}

const flakyLogRecords = 20

func (l *flakyLog) Append(context.Context, string, int, []stream.KeyedRecord, int64) (int64, error) {
	return 0, stream.ErrRefused
}

func (l *flakyLog) Tail(context.Context, string, int, int64, time.Duration) (stream.KeyedPage, error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.tailCalls++

	return stream.NewKeyedPage(nil, flakyLogRecords, false), nil
}

func (l *flakyLog) Newest(_ context.Context, _ string, _ int, after string) (stream.KeyedPage, error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if l.newestCalls++; l.newestCalls%2 == 0 {
		return stream.KeyedPage{}, stream.ErrUnavailable
	}

	n := 0
	if after != "" {
		n, _ = strconv.Atoi(after)
		n++
	}

	k := fmt.Sprintf("%03d", n)
	l.returned[k]++

	return stream.NewKeyedPage([]stream.KeyedRecord{stream.NewKeyedRecord(int64(n), k, []byte("v"))}, flakyLogRecords, n < flakyLogRecords-1), nil
}

// countingSink holds the number of records of the last reset.
type countingSink struct {
	mu         sync.Mutex
	resetCount int
}

func (s *countingSink) Reset(l []stream.KeyedRecord, _ int64) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.resetCount = len(l)
}

func (s *countingSink) Apply(stream.KeyedRecord) {}

// Guards against a load that starts over after each failure, so that it never completes while the log is slow, and
// against reads that do not keep the read delay.
func TestConsumer(t *testing.T) {
	l := &flakyLog{returned: map[string]int{}}
	s := &countingSink{}
	f := keyed.New(l, "s", 0, s, zerolog.Nop()).WithReadDelay(func() time.Duration { return 100 * time.Millisecond })

	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})

	go func() {
		defer close(done)

		_ = f.Run(ctx)
	}()

	defer func() { stop(); <-done }()

	Convey("A load with failing pages completes and reads each page once, and later reads keep the delay", t, func() {
		select {
		case <-f.Ready():
		case <-time.After(20 * time.Second):
		}

		So(f.IsLoaded(), ShouldBeTrue)

		s.mu.Lock()
		So(s.resetCount, ShouldEqual, flakyLogRecords)
		s.mu.Unlock()

		l.mu.Lock()
		for _, n := range l.returned {
			So(n, ShouldEqual, 1)
		}
		l.tailCalls = 0
		l.mu.Unlock()

		time.Sleep(time.Second)

		l.mu.Lock()
		So(l.tailCalls, ShouldBeBetween, 0, 12)
		l.mu.Unlock()
	})
}
