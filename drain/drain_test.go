package drain_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/agategap/agategap/drain"
)

// Guards against a shutdown that skips or repeats a phase, stops serving before the load balancer had time to notice,
// or takes longer than its timeout.
func TestPhasesAdvanceInOrderWithinTimeout(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		timeout := time.Duration(rapid.IntRange(1, 60_000).Draw(t, "most")) * time.Millisecond
		notReadyDelay := time.Duration(rapid.IntRange(0, 60_000).Draw(t, "wait")) * time.Millisecond
		start := time.Unix(1_700_000_000, 0)
		s := drain.New(notReadyDelay, timeout)

		if p, _ := s.Advance(start, true, true); p != drain.Serving {
			t.Fatalf("phase %s before the start", p)
		}

		s.Start(start)

		last, now := drain.Waiting, start

		for last != drain.Done {
			p, end := s.Advance(now, rapid.Bool().Draw(t, "handed_over"), rapid.Bool().Draw(t, "finished"))
			if p < last {
				t.Fatalf("phase %s after phase %s", p, last)
			}

			if p > drain.Waiting && now.Before(start.Add(min(notReadyDelay, timeout/2))) {
				t.Fatalf("phase %s after %s, not-ready delay %s", p, now.Sub(start), notReadyDelay)
			}

			if p != drain.Done && (!now.Before(start.Add(timeout)) || end.After(start.Add(timeout))) {
				t.Fatalf("phase %s until %s after the start, timeout %s", p, end.Sub(start), timeout)
			}

			last = p
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "step")) * time.Millisecond)
		}
	})
}

func ExampleShutdown() {
	now := time.Unix(0, 0)
	s := drain.New(3*time.Second, 30*time.Second)
	s.Start(now)

	for _, v := range []time.Duration{0, 3, 4, 5} {
		p, _ := s.Advance(now.Add(v*time.Second), v == 4, v == 5)
		fmt.Println(p)
	}
	// Output:
	// waiting
	// handing_over
	// finishing
	// done
}

// Guards against a request that is admitted late in a shutdown and cut off at its end, against one that is rejected
// although the load balancer had no time to notice the shutdown, and against a shutdown without time for responses.
func TestAdmittedRequestsEndWithinShutdown(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms := func(name string, most int) time.Duration {
			return time.Duration(rapid.IntRange(1, most).Draw(t, name)) * time.Millisecond
		}

		timeout, notReadyDelay, start := ms("timeout", 60_000), ms("delay", 60_000), time.Unix(1_700_000_000, 0)
		s := drain.New(notReadyDelay, timeout)

		if !s.Admits(start.Add(time.Hour)) {
			t.Fatal("a request was rejected before the shutdown")
		}

		s.Start(start)

		for range 20 {
			now := start.Add(ms("after", 70_000))
			deadline := now.Add(ms("time_limit", 60_000))
			p, _ := s.Advance(now, rapid.Bool().Draw(t, "handed_over"), false)

			switch admitted := s.Admits(deadline); {
			case p == drain.Waiting && !admitted:
				t.Fatal("a request was rejected before the load balancer had time to notice the shutdown")
			case p > drain.Waiting && admitted && deadline.After(s.LastRequestEnd()):
				t.Fatalf("in phase %s, a request was admitted that may end after its cancellation", p)
			case p > drain.Waiting && !admitted && !deadline.After(s.LastRequestEnd()):
				t.Fatalf("in phase %s, a request was rejected that ends in time", p)
			}
		}

		if d := start.Add(timeout).Sub(s.LastRequestEnd()); d <= 0 || d > time.Second {
			t.Fatalf("%s for the responses to cancelled requests", d)
		}
	})
}
