package drain_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/agategap/agategap/drain"
)

// Guards against a shutdown that skips or repeats a phase, stops serving before the balancer's interval, or takes
// longer than its bound.
func TestPhasesAdvanceInOrderWithinTimeout(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		most := time.Duration(rapid.IntRange(1, 60_000).Draw(t, "most")) * time.Millisecond
		wait := time.Duration(rapid.IntRange(0, 60_000).Draw(t, "wait")) * time.Millisecond
		start := time.Unix(1_700_000_000, 0)
		s := drain.New(wait, most)

		if p, _ := s.Advance(start, true, true); p != drain.Serving {
			t.Fatalf("%s before the start", p)
		}

		s.Start(start)

		last, now := drain.Waiting, start

		for last != drain.Done {
			p, end := s.Advance(now, rapid.Bool().Draw(t, "handed_over"), rapid.Bool().Draw(t, "finished"))
			if p < last {
				t.Fatalf("%s after %s", p, last)
			}

			if p > drain.Waiting && now.Before(start.Add(min(wait, most/2))) {
				t.Fatalf("%s after %s of %s", p, now.Sub(start), wait)
			}

			if p != drain.Done && (!now.Before(start.Add(most)) || end.After(start.Add(most))) {
				t.Fatalf("%s until %s after the start, bound %s", p, end.Sub(start), most)
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
