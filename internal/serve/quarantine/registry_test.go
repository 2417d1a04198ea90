package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agategap/agategap/internal/serve/quarantine"
)

var start = time.Now()

// at returns the time s seconds after the start.
func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

// prompt returns a prompt of service "s".
func prompt(parts ...string) quarantine.Prompt { return quarantine.NewPrompt("s", parts) }

// crashOf returns the crash of a target.
func crashOf(target string) quarantine.Crash { return quarantine.NewCrash(target, 0) }

func isRejected(r *quarantine.Registry, p quarantine.Prompt, now time.Time) bool {
	_, ok := r.Find(p, now)

	return ok
}

// Guards against prompts that keep crashing targets, and against sound prompts that are rejected with them.
func TestPromptsThatCrashTargets(t *testing.T) {
	Convey("Given a registry that has seen responses to prompts with the parts route and caller", t, func() {
		r := &quarantine.Registry{}
		So(r.MarkSound(prompt("route", "caller", "r0"), at(0)), ShouldBeEmpty)

		Convey("crashes of three targets under two prompts quarantine the part that they have in common", func() {
			So(r.AddCrash(prompt("route", "caller", "bad", "r1"), crashOf("t1"), at(1)), ShouldBeEmpty)
			So(isRejected(r, prompt("route", "caller", "bad", "r9"), at(1)), ShouldBeFalse)
			r.AddCrash(prompt("route", "caller", "bad", "r1"), crashOf("t2"), at(1.1))
			So(isRejected(r, prompt("route", "caller", "bad", "r9"), at(1.2)), ShouldBeFalse)

			l := r.AddCrash(prompt("route", "caller", "bad", "r2"), crashOf("t3"), at(1.3))
			So(l, ShouldHaveLength, 1)
			So(l[0].Rule(), ShouldEqual, quarantine.SharedPart)
			So(l[0].Crashes(), ShouldHaveLength, 3)
			So(l[0].Entry().Parts(), ShouldResemble, []string{"bad"})
			So(l[0].Entry().Remaining(), ShouldEqual, 2*time.Minute)

			So(isRejected(r, prompt("route", "caller", "bad", "r9"), at(2)), ShouldBeTrue)
			So(isRejected(r, prompt("other", "bad", "r8"), at(2)), ShouldBeTrue)
			So(isRejected(r, prompt("route", "caller", "r3"), at(2)), ShouldBeFalse)
			So(isRejected(r, quarantine.NewPrompt("other", []string{"bad", "r9"}), at(2)), ShouldBeFalse)

			Convey("and crashes of requests that were sent before have no further effect", func() {
				So(r.AddCrash(prompt("route", "caller", "bad", "r4"), crashOf("t4"), at(2)), ShouldBeEmpty)
				So(r.Entries(at(2)), ShouldHaveLength, 1)
			})
		})

		Convey("the same prompt is not sent to a fourth target", func() {
			r.AddCrash(prompt("route", "caller", "bad", "r1"), crashOf("t1"), at(1))
			r.AddCrash(prompt("route", "caller", "bad", "r1"), crashOf("t2"), at(2))
			So(r.AddCrash(prompt("route", "caller", "bad", "r1"), crashOf("t3"), at(3)), ShouldHaveLength, 1)
			So(isRejected(r, prompt("route", "caller", "bad", "r1"), at(3)), ShouldBeTrue)
			So(isRejected(r, prompt("route", "caller", "bad", "r2"), at(3)), ShouldBeFalse)

			Convey("and the part is quarantined after the next crash under another one", func() {
				l := r.AddCrash(prompt("route", "caller", "bad", "r2"), crashOf("t4"), at(4))
				So(l, ShouldHaveLength, 1)
				So(l[0].Entry().Parts(), ShouldResemble, []string{"bad"})
			})
		})

		Convey("all requests that one crash ends count once", func() {
			for i := range 10 {
				So(r.AddCrash(prompt("route", "cold", fmt.Sprint("r", i)), crashOf("t1"), at(1)), ShouldBeEmpty)
			}

			Convey("but the same incarnation may crash again before its registration is renewed", func() {
				r.AddCrash(prompt("route", "cold", "r1"), crashOf("t1"), at(3))
				So(r.AddCrash(prompt("route", "cold", "r2"), crashOf("t1"), at(5)), ShouldHaveLength, 1)
			})
		})

		Convey("sound parts are not blamed, however many targets crash at once", func() {
			for i := range 50 {
				So(r.AddCrash(prompt("route", "caller", fmt.Sprint("r", i)), crashOf(fmt.Sprint("t", i)), at(30)), ShouldBeEmpty)
			}

			So(r.Entries(at(30)), ShouldBeEmpty)
		})

		Convey("a part that is not known to be sound is quarantined only in combination with the one beside it", func() {
			for i := range 3 {
				r.AddCrash(prompt("route", "quiet caller", "bad", fmt.Sprint("r", i)), crashOf(fmt.Sprint("t", i)), at(1))
			}

			So(isRejected(r, prompt("route", "quiet caller", "bad", "r9"), at(2)), ShouldBeTrue)
			So(isRejected(r, prompt("route", "quiet caller", "r9"), at(2)), ShouldBeFalse)
			So(isRejected(r, prompt("route", "bad", "r9"), at(2)), ShouldBeFalse)

			Convey("until a response begins on it, which leaves the other one", func() {
				So(r.MarkSound(prompt("route", "quiet caller", "r9"), at(3)), ShouldHaveLength, 1)
				So(isRejected(r, prompt("route", "quiet caller", "r9"), at(4)), ShouldBeFalse)
				So(isRejected(r, prompt("route", "bad", "r9"), at(4)), ShouldBeTrue)
			})

			Convey("until the other one crashes a target without it", func() {
				So(r.AddCrash(prompt("route", "caller", "bad", "r8"), crashOf("t8"), at(3)), ShouldHaveLength, 1)
				So(isRejected(r, prompt("route", "bad", "r9"), at(4)), ShouldBeTrue)
				So(isRejected(r, prompt("route", "quiet caller", "r9"), at(4)), ShouldBeFalse)
			})

			Convey("until a response begins on both", func() {
				So(r.MarkSound(prompt("quiet caller", "bad", "r9"), at(3)), ShouldHaveLength, 1)
				So(r.Entries(at(4)), ShouldBeEmpty)
			})
		})

		Convey("old crashes do not count", func() {
			r.AddCrash(prompt("route", "bad", "r1"), crashOf("t1"), at(1))
			r.AddCrash(prompt("route", "bad", "r2"), crashOf("t2"), at(2))
			So(r.AddCrash(prompt("route", "bad", "r3"), crashOf("t3"), at(1000)), ShouldBeEmpty)
		})
	})
}

// Guards against a quarantine that never ends, and against one that ends with a crash for each request that waited.
func TestTrialAfterQuarantine(t *testing.T) {
	Convey("Given a quarantine that has expired", t, func() {
		r := &quarantine.Registry{}
		r.MarkSound(prompt("route", "r0"), at(0))

		for i := range 3 {
			r.AddCrash(prompt("route", "bad", fmt.Sprint("r", i)), crashOf(fmt.Sprint("t", i)), at(1))
		}

		now := at(122)
		p := prompt("route", "bad", "r8")
		So(isRejected(r, p, at(120)), ShouldBeTrue)
		So(isRejected(r, p, now), ShouldBeFalse)

		_, rejected := r.Admit(p, "first", now)
		So(rejected, ShouldBeFalse)

		Convey("one request is admitted, also when it asks again", func() {
			_, rejected := r.Admit(p, "first", now)
			So(rejected, ShouldBeFalse)

			_, rejected = r.Admit(prompt("route", "bad", "r9"), "second", now)
			So(rejected, ShouldBeTrue)
			So(r.Entries(now), ShouldBeEmpty)

			Convey("and another one if nothing is known of it after a while", func() {
				_, rejected := r.Admit(p, "third", now.Add(11*time.Second))
				So(rejected, ShouldBeFalse)
			})
		})

		Convey("a crash starts a quarantine of twice the length", func() {
			l := r.AddCrash(p, crashOf("t9"), now)
			So(l, ShouldHaveLength, 1)
			So(l[0].Entry().Remaining(), ShouldEqual, 4*time.Minute)
			So(l[0].Entry().Strikes(), ShouldEqual, 2)

			_, rejected := r.Admit(p, "first", now)
			So(rejected, ShouldBeTrue)
		})

		Convey("a response ends it for all", func() {
			r.MarkSound(p, now)

			_, rejected := r.Admit(prompt("route", "bad", "r9"), "second", now)
			So(rejected, ShouldBeFalse)
		})
	})

	Convey("The length of a quarantine is bounded", t, func() {
		r := &quarantine.Registry{}
		now := at(0)

		var last quarantine.Entry

		for i := range 20 {
			p := prompt("bad", "r1")
			r.Admit(p, fmt.Sprint("a", i), now)

			if l := r.AddCrash(p, crashOf(fmt.Sprint("t", i)), now); len(l) > 0 {
				last = l[0].Entry()
				now = now.Add(last.Remaining())
			}
		}

		So(last.Remaining(), ShouldEqual, time.Hour)
	})
}

// Guards against a quarantine that other daemons do not apply, that two daemons keep alive between them, or that rejects
// prompts that another daemon knows to be sound.
func TestQuarantineOfAnotherDaemon(t *testing.T) {
	Convey("Given the quarantine of another daemon", t, func() {
		r := &quarantine.Registry{}
		e := quarantine.NewEntry("s", []string{"caller", "bad"}, time.Minute, 1)

		Convey("it applies for the remaining time", func() {
			So(r.Import(e, at(0)), ShouldBeTrue)
			So(isRejected(r, prompt("route", "caller", "bad", "r1"), at(59)), ShouldBeTrue)
			So(isRejected(r, prompt("route", "caller", "bad", "r1"), at(61)), ShouldBeFalse)

			Convey("and is neither prolonged nor taken over when it is about to end", func() {
				So(r.Import(e, at(1)), ShouldBeFalse)
				So(r.Import(quarantine.NewEntry("s", []string{"caller", "bad"}, time.Millisecond, 1), at(61)), ShouldBeFalse)
			})

			Convey("and one that followed a trial replaces it", func() {
				So(r.Import(quarantine.NewEntry("s", []string{"caller", "bad"}, 4*time.Minute, 2), at(62)), ShouldBeTrue)
				So(r.Entries(at(62))[0].Strikes(), ShouldEqual, 2)
			})
		})

		Convey("parts that are sound here are left out", func() {
			r.MarkSound(prompt("caller", "r1"), at(0))
			So(r.Import(e, at(1)), ShouldBeTrue)
			So(isRejected(r, prompt("caller", "r2"), at(2)), ShouldBeFalse)
			So(isRejected(r, prompt("bad", "r2"), at(2)), ShouldBeTrue)

			r.MarkSound(prompt("bad", "caller", "r2"), at(3))
			So(r.Import(e, at(4)), ShouldBeFalse)
		})

		Convey("an entry without parts is ignored", func() {
			So(r.Import(quarantine.NewEntry("s", nil, time.Minute, 1), at(0)), ShouldBeFalse)
			So(isRejected(r, prompt("r1"), at(0)), ShouldBeFalse)
		})
	})
}

// Guards against memory that grows with the number of prompts.
func TestRegistryIsBounded(t *testing.T) {
	Convey("Many prompts and crashes neither end the quarantine in force nor slow a lookup down", t, func() {
		r := &quarantine.Registry{}
		So(r.Import(quarantine.NewEntry("s", []string{"bad"}, 30*time.Minute, 1), at(0)), ShouldBeTrue)

		for i := range 50000 {
			r.MarkSound(prompt(fmt.Sprint("p", i), fmt.Sprint("r", i)), at(0))
		}

		for i := range 2000 {
			p := prompt(fmt.Sprint("q", i), fmt.Sprint("r", i))
			for _, n := range []string{"t1", "t2", "t3"} {
				r.AddCrash(p, crashOf(n), at(0))
			}
		}

		So(len(r.Entries(at(1))), ShouldBeLessThanOrEqualTo, 128)
		So(isRejected(r, prompt("bad", "r"), at(1)), ShouldBeTrue)

		before := time.Now()

		for range 1000 {
			r.Find(prompt("a", "b", "c"), at(1))
		}

		So(time.Since(before), ShouldBeLessThan, time.Second)
	})
}

// Guards against prompts without parts, as on routes of other services, that are counted or rejected.
func TestPromptsWithoutParts(t *testing.T) {
	Convey("A prompt without parts is never rejected", t, func() {
		r := &quarantine.Registry{}

		for i := range 10 {
			So(r.AddCrash(quarantine.NewPrompt("s", nil), crashOf(fmt.Sprint("t", i)), at(1)), ShouldBeEmpty)
		}

		So(isRejected(r, quarantine.NewPrompt("s", nil), at(1)), ShouldBeFalse)
		So(quarantine.NewPrompt("s", nil).Parts(), ShouldBeEmpty)
	})
}
