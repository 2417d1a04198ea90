package retry_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/agategap/agategap/retry"
)

// Guards against a retry storm: more extra attempts than the share of requests.
func TestBudgetBoundsExtraAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := retry.NewBudget()
		share := rapid.Float64Range(0, 1).Draw(t, "share")
		requests, extra := 0, 0

		for range rapid.IntRange(0, 500).Draw(t, "requests") {
			b.AddRequest(share)

			requests++

			for range rapid.IntRange(0, 3).Draw(t, "attempts") {
				if b.TryAcquire() {
					extra++
				}
			}

			if float64(extra) > share*float64(requests)+10 {
				t.Fatalf("%d extra attempts for %d requests at a share of %g", extra, requests, share)
			}
		}
	})
}

// Guards against delays that grow without bound or vanish.
func TestBackoffIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))

		d := retry.Backoff(rapid.IntRange(0, 1000).Draw(t, "n"), r)
		if d < 5*time.Millisecond || d > 2*time.Second+5*time.Millisecond {
			t.Fatalf("the delay is %s", d)
		}
	})
}

// Guards against hedges of usual requests, which double the load.
func TestHedgeDelayIsAboveHighPercentile(t *testing.T) {
	Convey("Given first tokens of 1 to 100 ms", t, func() {
		h := retry.NewHedge()
		_, ok := h.Delay()
		So(ok, ShouldBeFalse)

		for i := range 1000 {
			h.Observe(time.Duration(1+i%100) * time.Millisecond)
		}

		d, ok := h.Delay()
		So(ok, ShouldBeTrue)
		So(d, ShouldBeBetween, 95*time.Millisecond, 200*time.Millisecond)
	})
}

func ExampleBudget() {
	b := retry.NewBudget()
	n := 0

	for b.TryAcquire() {
		n++
	}

	b.AddRequest(1)
	fmt.Println(n, b.TryAcquire(), b.TryAcquire())
	// Output: 10 true false
}

func ExampleStartsBeforeDeadline() {
	now := time.Unix(0, 0)
	fmt.Println(retry.StartsBeforeDeadline(now, time.Second, now.Add(2*time.Second)), retry.StartsBeforeDeadline(now, time.Second, now.Add(time.Second)))
	// Output: true false
}
