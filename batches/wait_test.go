package batches_test

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/agategap/agategap/batches"
	"github.com/agategap/agategap/internal/batch/waiting"
)

// lineBuffer keeps log lines.
type lineBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lineBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.b.Write(b)
}

// find returns the first line with an event, or nil.
func (l *lineBuffer) find(event string) map[string]any {
	l.mu.Lock()
	defer l.mu.Unlock()

	for _, s := range strings.Split(l.b.String(), "\n") {
		m := map[string]any{}
		if json.Unmarshal([]byte(s), &m) == nil && m["event"] == event {
			return m
		}
	}

	return nil
}

// waitCounts counts the items that wait, by reason.
type waitCounts struct {
	mu sync.Mutex
	m  map[string]int
}

func (c *waitCounts) CountItemWait(reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.m[reason]++
}

// everyLine allows all log lines.
type everyLine struct{}

func (everyLine) Allow(string, time.Time) bool { return true }

// Guards against an open item that waits and of which the log does not tell why (issue 34): neither the reason with its
// inputs, nor who runs its job.
func TestItemsThatWaitAreLogged(t *testing.T) {
	Convey("The log has the reason of an item whose prompt is quarantined, the counts of its job, and who runs that", t, func() {
		d := startDaemon(newMemoryLog(), 0)
		defer d.shutDown()

		ctx, stop := newTestContext()
		defer stop()

		l, c := &lineBuffer{}, &waitCounts{m: map[string]int{}}
		r := batches.NewRunner(d.Batches, &rejectingChain{}, fixedRoutes{}, fakePeers{}, unreachablePeers{}, time.Now, zerolog.New(l)).
			WithPromptParts(func(map[string][]string) []string { return []string{"bad", "own"} }).WithWaitReports(everyLine{}, c)
		run, end := context.WithCancel(context.Background())
		done := make(chan error, 1)

		go func() { done <- r.Run(run) }()

		So(d.Submit(ctx, newJob("q", 2)), ShouldBeNil)

		for until := time.Now().Add(5 * time.Second); l.find("job_waiting") == nil && time.Now().Before(until); {
			time.Sleep(20 * time.Millisecond)
		}

		k, waits := r.Explain("q", "q-0")
		items, counts := r.Waits(10)

		end()
		So(<-done, ShouldBeNil)

		i := l.find("item_waiting")
		So(i, ShouldNotBeNil)
		So(i["job"], ShouldEqual, "q")
		So(i["reason"], ShouldEqual, "quarantined")
		So(i["code"], ShouldEqual, "quarantined")
		So(i["error"], ShouldEqual, "targets keep crashing")
		So(i["parts"], ShouldResemble, []any{"bad", "own"})
		So(i["idle_ms"], ShouldBeGreaterThanOrEqualTo, 1000)
		So(i["retry_in_ms"], ShouldBeGreaterThan, 0)

		j := l.find("job_waiting")
		So(j, ShouldNotBeNil)
		So(j["quarantined"], ShouldEqual, 2)

		w := l.find("job_runner")
		So(w, ShouldNotBeNil)
		So(w["runs"], ShouldEqual, true)

		So(waits, ShouldBeTrue)
		So(k.Reason(), ShouldEqual, waiting.Quarantined)
		So(items, ShouldHaveLength, 2)
		So(counts.Of(waiting.Quarantined), ShouldEqual, 2)

		c.mu.Lock()
		defer c.mu.Unlock()

		So(c.m, ShouldResemble, map[string]int{"quarantined": 2})
	})
}
