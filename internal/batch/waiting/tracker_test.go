package waiting_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/agategap/agategap/internal/batch/waiting"
)

var start = time.Unix(1_800_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// Guards against items that wait without a log line, and against a line for each of the many ordinary waits.
func TestTrackerReportsItems(t *testing.T) {
	Convey("Given an item that waits for a slot", t, func() {
		var k waiting.Tracker

		slot := waiting.New(waiting.Slot, start)

		Convey("it gets a line after a second, and the next ones after 10 and 20 s more", func() {
			var l []string

			for d := time.Duration(0); d <= 40*time.Second; d += 500 * time.Millisecond {
				if r := k.Observe("j", "i", slot, start, at(d)); r != waiting.Quiet {
					l = append(l, d.String())
				}
			}

			So(l, ShouldResemble, []string{"1s", "11s", "31s"})
		})

		Convey("a new reason gets a line, but not within a second of the last one", func() {
			q := waiting.New(waiting.Quarantined, at(time.Second)).WithError("quarantined", "m")

			So(k.Observe("j", "i", slot, start, at(time.Second)), ShouldEqual, waiting.Changed)
			So(k.Observe("j", "i", q, start, at(1500*time.Millisecond)), ShouldEqual, waiting.Quiet)
			So(k.Observe("j", "i", q, start, at(2*time.Second)), ShouldEqual, waiting.Changed)
		})

		Convey("an attempt in between starts the second anew", func() {
			So(k.Observe("j", "i", slot, start, at(time.Second)), ShouldEqual, waiting.Changed)
			So(k.Observe("j", "i", slot, at(2*time.Second), at(2500*time.Millisecond)), ShouldEqual, waiting.Quiet)
			So(k.Observe("j", "i", slot, at(2*time.Second), at(3*time.Second)), ShouldEqual, waiting.Changed)
		})

		Convey("its job gets the counts at once and then every 5 s, and is forgotten when it is no longer observed", func() {
			var l []string

			for d := time.Second; d <= 12*time.Second; d += 500 * time.Millisecond {
				k.ObserveRun("j", waiting.AcceptedHere, "vm", at(d))
				k.Observe("j", "i", slot, start, at(d))

				for _, s := range k.EndPass(at(d), at(d)) {
					l = append(l, fmt.Sprint(d, " ", s.Job(), " ", s.Counts().Of(waiting.Slot), " ", s.Run()))
				}
			}

			So(l, ShouldResemble, []string{"1s j 1 accepted_here", "6s j 1 accepted_here", "11s j 1 accepted_here"})

			w, c := k.Longest(10)
			So(w, ShouldHaveLength, 1)
			So(c.Total(), ShouldEqual, 1)

			s := k.EndPass(at(13*time.Second), at(13*time.Second))
			So(s, ShouldHaveLength, 1)
			So(s[0].IsClosed(), ShouldBeTrue)

			w, c = k.Longest(10)
			So(w, ShouldBeEmpty)
			So(c.Total(), ShouldEqual, 0)
		})
	})

	Convey("The decision who runs a job is reported when it changes", t, func() {
		var k waiting.Tracker

		So(k.ObserveRun("j", waiting.RunnerLive, "a", start), ShouldBeTrue)
		So(k.ObserveRun("j", waiting.RunnerLive, "a", start), ShouldBeFalse)
		So(k.ObserveRun("j", waiting.RunnerNotLive, "b", start), ShouldBeTrue)
	})

	Convey("All reasons and decisions have different names", t, func() {
		names := map[string]bool{}
		for _, r := range waiting.Reasons() {
			names[r.String()] = true
			So(r.String(), ShouldEqual, strings.ToLower(r.String()))
		}

		So(names, ShouldHaveLength, len(waiting.Reasons()))
		So(waiting.JobClosed.String(), ShouldEqual, "job_closed")
		So(waiting.JobClosed.Runs(), ShouldBeFalse)
		So(waiting.RunnerStoppedFollowing.Runs(), ShouldBeTrue)
	})
}

// Guards against a job whose items fill the memory or the log of a daemon: whatever items wait for which reasons, an item
// has at most one line a second, the tracked items are bounded, and all of them are counted.
func TestTrackerIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var k waiting.Tracker

		items := rapid.IntRange(1, 3000).Draw(t, "items")
		reasons := rapid.SliceOfN(rapid.SampledFrom(waiting.Reasons()), 1, 7).Draw(t, "reasons")
		last := map[int]time.Time{}

		for pass := range 12 {
			now := at(time.Duration(pass) * 500 * time.Millisecond)

			for i := range items {
				c := waiting.New(reasons[(i+pass)%len(reasons)], now)

				if k.Observe("j", fmt.Sprint(i), c, start, now) == waiting.Quiet {
					continue
				}

				if l, ok := last[i]; ok && now.Sub(l) < time.Second {
					t.Fatalf("item %d has two lines within %v", i, now.Sub(l))
				}

				last[i] = now
			}

			k.EndPass(now, now)
		}

		l, c := k.Longest(items)
		if c.Total() != items || len(l) > 1000 {
			t.Fatalf("%d of %d items are counted, %d are tracked", c.Total(), items, len(l))
		}
	})
}

// Measures a pass over the items of the largest job.
func BenchmarkTrackerPass(b *testing.B) {
	const items = 150_000

	ids := make([]string, items)
	for i := range ids {
		ids[i] = fmt.Sprint(i)
	}

	var k waiting.Tracker

	c := waiting.New(waiting.NoPlace, start)
	now := start

	for b.Loop() {
		now = now.Add(500 * time.Millisecond)

		for _, i := range ids {
			k.Observe("j", i, c, start, now)
		}

		k.EndPass(now, now)
	}
}
