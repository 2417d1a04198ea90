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
