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
			So(l[0].Entry().Remaining(), ShouldEqual, 2*time.Second)

			So(isRejected(r, prompt("route", "caller", "bad", "r9"), at(2)), ShouldBeTrue)
			So(isRejected(r, prompt("other", "bad", "r8"), at(2)), ShouldBeTrue)
			So(isRejected(r, prompt("route", "caller", "bad", "r9"), at(1800)), ShouldBeTrue)
			So(isRejected(r, prompt("route", "caller", "r3"), at(2)), ShouldBeFalse)
			So(isRejected(r, quarantine.NewPrompt("other", []string{"bad", "r9"}), at(2)), ShouldBeFalse)

			Convey("and another request that the same crash has ended does not count", func() {
				So(r.AddCrash(prompt("route", "caller", "bad", "r5"), crashOf("t3"), at(1.4)), ShouldBeEmpty)
				So(r.AddCrash(prompt("route", "caller", "bad", "r6"), crashOf("t1"), at(1.5)), ShouldBeEmpty)
				So(r.Entries(at(2))[0].Crashes(), ShouldEqual, 3)
			})

			Convey("and crashes of requests that were sent before have no further effect", func() {
				So(r.AddCrash(prompt("route", "caller", "bad", "r4"), crashOf("t4"), at(2)), ShouldBeEmpty)
				So(r.Entries(at(2)), ShouldHaveLength, 1)
				So(r.Entries(at(2))[0].Crashes(), ShouldEqual, 4)
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
				So(r.Entries(at(4)), ShouldHaveLength, 1) // its crashes are explained by the shared part
			})
		})

		Convey("a prompt is not blamed for crashes of targets where it ran beside one that is known to crash them", func() {
			for i := range 3 {
				r.AddCrash(prompt("route", "bad", fmt.Sprint("r", i)), crashOf(fmt.Sprint("t", i)), at(1))
			}

			for i := range 3 {
				n := crashOf(fmt.Sprint("u", i))
				r.AddCrash(prompt("route", "bad", fmt.Sprint("r", i)), n, at(2))
				So(r.AddCrash(prompt("route", "item"), n, at(2.1)), ShouldBeEmpty)
			}

			So(isRejected(r, prompt("route", "item"), at(3)), ShouldBeFalse)
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

// admit asks for the admission of an online request, and reports whether it is admitted.
func admit(r *quarantine.Registry, p quarantine.Prompt, request string, now time.Time) bool {
	_, rejected := r.Admit(p, quarantine.NewApplicant(request, request), now).Rejected()

	return !rejected
}

// admitItem is like admit, for an attempt of a batch item.
func admitItem(r *quarantine.Registry, p quarantine.Prompt, item string, attempt int, now time.Time) bool {
	_, rejected := r.Admit(p, quarantine.NewApplicant(fmt.Sprint(item, "/", attempt), item).AsItem(), now).Rejected()

	return !rejected
}

// failTrial records the crash that a slot request has caused.
func failTrial(r *quarantine.Registry, p quarantine.Prompt, slotRequest string, now time.Time) []quarantine.Decision {
	return r.AddCrash(p, crashOf("target of "+slotRequest).WithAttempt(slotRequest, "", 0, 0), now)
}

// Guards against a quarantine that never ends, against one that ends with a crash for each request that waited, and
// against trials that go on when the parts are known to crash targets.
func TestTrialsOfQuarantinedParts(t *testing.T) {
	Convey("Given a quarantine", t, func() {
		r := &quarantine.Registry{}
		r.MarkSound(prompt("route", "r0"), at(0))

		for i := range 3 {
			r.AddCrash(prompt("route", "bad", fmt.Sprint("r", i)), crashOf(fmt.Sprint("t", i)), at(1))
		}

		p := prompt("route", "bad", "r8")
		So(admit(r, p, "early", at(2.9)), ShouldBeFalse)

		now := at(3.1)

		Convey("one request is admitted after two seconds, also when it asks again", func() {
			So(admit(r, p, "first", now), ShouldBeTrue)
			So(admit(r, p, "first", now), ShouldBeTrue)
			So(admit(r, prompt("route", "bad", "r9"), "second", now), ShouldBeFalse)

			Convey("and another one if nothing is known of it after a while", func() {
				So(admit(r, p, "third", now.Add(2900*time.Millisecond)), ShouldBeFalse)
				So(admit(r, p, "third", now.Add(3100*time.Millisecond)), ShouldBeTrue)
				So(admit(r, p, "first", now.Add(3100*time.Millisecond)), ShouldBeFalse)
			})

			Convey("and another one at once if it was not sent", func() {
				r.EndTrial("s", "first", false, now)
				So(admit(r, p, "third", now), ShouldBeTrue)
			})

			Convey("and another one later if it has shown nothing", func() {
				r.EndTrial("s", "first", true, now)
				So(admit(r, p, "third", now.Add(1900*time.Millisecond)), ShouldBeFalse)
				So(admit(r, p, "third", now.Add(2100*time.Millisecond)), ShouldBeTrue)
			})

			Convey("and a response ends the quarantine for all", func() {
				So(r.MarkSound(p, now), ShouldHaveLength, 1)
				So(admit(r, prompt("route", "bad", "r9"), "second", now), ShouldBeTrue)
				So(isRejected(r, prompt("route", "bad", "r9"), now), ShouldBeFalse)
			})

			Convey("and the next one follows two seconds after its crash", func() {
				l := failTrial(r, p, "first", now)
				So(l, ShouldHaveLength, 1)
				So(l[0].Rule(), ShouldEqual, quarantine.FailedTrial)
				So(l[0].Entry().Remaining(), ShouldEqual, 2*time.Second)
				So(l[0].Entry().Crashes(), ShouldEqual, 4)
				So(admit(r, p, "second", now.Add(1900*time.Millisecond)), ShouldBeFalse)
				So(admit(r, p, "second", now.Add(2100*time.Millisecond)), ShouldBeTrue)
			})
		})

		Convey("two trials follow the fifth crash, and no more for an hour", func() {
			trials := 0

			for i := range 3600 {
				now := now.Add(time.Duration(i) * time.Second)
				if admit(r, p, fmt.Sprint("a", i), now) {
					trials++

					failTrial(r, p, fmt.Sprint("a", i), now)
				}
			}

			So(trials, ShouldEqual, 2+2)
		})

		Convey("items that wait take turns, and go before other requests", func() {
			var tried []string

			for i := range 50 {
				now := now.Add(time.Duration(i) * 100 * time.Millisecond)
				So(admit(r, p, fmt.Sprint("online", i), now), ShouldEqual, i == 0)

				if i == 0 {
					r.EndTrial("s", "online0", false, now)
				}

				for _, item := range []string{"i1", "i2", "i3"} {
					p := prompt("route", "bad", item)
					if admitItem(r, p, item, i, now) {
						tried = append(tried, item)

						failTrial(r, p, fmt.Sprint(item, "/", i), now)
					}
				}
			}

			So(tried, ShouldResemble, []string{"i1", "i2", "i3"}) // two seconds apart

			for _, item := range []string{"i2", "i3", "i1"} {
				So(admitItem(r, prompt("route", "bad", item), item, 97, now.Add(15900*time.Millisecond)), ShouldBeFalse)
			}

			for _, item := range []string{"i2", "i3", "i1"} {
				So(admitItem(r, prompt("route", "bad", item), item, 98, now.Add(16100*time.Millisecond)), ShouldEqual, item == "i1")
			}
		})

		Convey("the last trial comes later", func() {
			var at []int // tenths of a second

			for i := range 300 {
				now := now.Add(time.Duration(i) * 100 * time.Millisecond)
				if admit(r, p, fmt.Sprint("a", i), now) {
					at = append(at, i)

					failTrial(r, p, fmt.Sprint("a", i), now)
				}
			}

			So(at, ShouldResemble, []int{0, 20, 40, 160})
		})

		Convey("trials that may have reached a target count after the fifth crash, whatever becomes of them", func() {
			So(r.Import(quarantine.NewEntry("s", []string{"bad"}, 0).WithHistory(5, 0, 0), now), ShouldBeFalse)

			started := 0

			for i := range 600 {
				now, id := now.Add(time.Duration(i)*100*time.Millisecond), fmt.Sprint("a", i)
				if r.Admit(p, quarantine.NewApplicant(id, id), now).HasStarted() {
					started++

					if started == 1 {
						r.EndTrial("s", id, true, now)
					}
				}
			}

			So(started, ShouldEqual, 2)
		})

		Convey("an item that cannot try another one of its parts does not hold others back", func() {
			So(r.Import(quarantine.NewEntry("s", []string{"worse"}, 0).WithHistory(7, 2, 0), now), ShouldBeTrue)

			tried := 0

			for i := range 20 {
				now := now.Add(time.Duration(i) * time.Second)
				So(admitItem(r, prompt("bad", "worse", "i1"), "i1", i, now), ShouldBeFalse)

				if admitItem(r, prompt("bad", "i2"), "i2", i, now) {
					tried++

					r.EndTrial("s", fmt.Sprint("i2/", i), true, now)
				}
			}

			So(tried, ShouldEqual, 10) // each two seconds
		})

		Convey("a crash counts once, however late and often it is reported", func() {
			n := crashOf("t9").WithAttempt("slot", "r8", 0, 0)
			r.AddCrash(p, n, now)
			r.AddCrash(p, n, now.Add(5*time.Second))
			r.ImportReport(quarantine.NewReport(p, n, 9*time.Second), now.Add(9*time.Second))
			So(r.Entries(now)[0].Crashes(), ShouldEqual, 4)

			other := &quarantine.Registry{}
			other.Import(r.Entries(now)[0], now)
			other.ImportReport(quarantine.NewReport(p, n, 0), now)
			So(other.Entries(now)[0].Crashes(), ShouldEqual, 4)
		})

		Convey("reports of crashes do not change when a part is cleared", func() {
			l := r.Reports(now)
			So(l, ShouldNotBeEmpty)

			r.MarkSound(prompt("bad", "r50"), now)

			for _, n := range l {
				So(n.Prompt().Parts()[0], ShouldEqual, "bad")
			}
		})

		Convey("other requests may try as well if no item comes for its trial", func() {
			So(admitItem(r, prompt("route", "bad", "i1"), "i1", 1, now), ShouldBeTrue)
			So(admitItem(r, prompt("route", "bad", "i2"), "i2", 1, now.Add(2*time.Second)), ShouldBeFalse)
			So(admit(r, p, "online", now.Add(2900*time.Millisecond)), ShouldBeFalse)
			So(admit(r, p, "online", now.Add(3100*time.Millisecond)), ShouldBeFalse) // for the item that waits
			So(admit(r, p, "online", now.Add(4100*time.Millisecond)), ShouldBeTrue)
		})
	})
}

// Guards against a quarantine that other daemons do not apply, that two daemons keep alive between them, or that rejects
// prompts that another daemon knows to be sound.
func TestQuarantineOfAnotherDaemon(t *testing.T) {
	Convey("Given the quarantine of another daemon", t, func() {
		r := &quarantine.Registry{}
		e := quarantine.NewEntry("s", []string{"caller", "bad"}, 3*time.Second).WithHistory(3, 0, 0)

		Convey("it applies until a trial", func() {
			So(r.Import(e, at(0)), ShouldBeTrue)
			So(isRejected(r, prompt("route", "caller", "bad", "r1"), at(2)), ShouldBeTrue)
			So(admit(r, prompt("route", "caller", "bad", "r1"), "r1", at(2)), ShouldBeFalse)

			Convey("which is admitted here after the remaining time", func() {
				So(admit(r, prompt("route", "caller", "bad", "r1"), "r1", at(4)), ShouldBeTrue)
			})

			Convey("and is neither prolonged nor taken over when it is about to be forgotten", func() {
				So(r.Import(e, at(1)), ShouldBeFalse)
				So(r.Entries(at(1))[0].Remaining(), ShouldEqual, 2*time.Second)

				old := quarantine.NewEntry("s", []string{"caller", "old"}, 0).WithHistory(3, 0, time.Hour-time.Millisecond)
				So(r.Import(old, at(1)), ShouldBeFalse)
				So(isRejected(r, prompt("caller", "old", "r1"), at(1)), ShouldBeFalse)
			})

			Convey("and its later trials count here", func() {
				So(r.Import(quarantine.NewEntry("s", []string{"caller", "bad"}, time.Hour).WithHistory(8, 3, 0), at(5)), ShouldBeFalse)
				So(r.Entries(at(5))[0].Crashes(), ShouldEqual, 8)
				So(admit(r, prompt("caller", "bad", "r2"), "r2", at(3500)), ShouldBeFalse)
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
			So(r.Import(quarantine.NewEntry("s", nil, time.Minute), at(0)), ShouldBeFalse)
			So(isRejected(r, prompt("r1"), at(0)), ShouldBeFalse)
		})
	})
}

// Guards against parts that have turned out to be sound and that daemons other than those of the response and of the slot
// owner go on rejecting.
func TestClearedPartsReachOtherDaemons(t *testing.T) {
	Convey("Given three daemons with a quarantined part", t, func() {
		e := quarantine.NewEntry("s", []string{"caller"}, 3*time.Second).WithHistory(3, 0, 0)
		l := []*quarantine.Registry{{}, {}, {}}

		for _, r := range l {
			So(r.Import(e, at(0)), ShouldBeTrue)
		}

		So(l[0].MarkSound(prompt("caller", "r1"), at(1)), ShouldHaveLength, 1)

		Convey("a response at one of them ends the quarantine at the others, one after the other", func() {
			for i := range 2 {
				c := l[i].Clearances(at(1.1 + float64(i)))
				So(c, ShouldHaveLength, 1)
				So(l[i+1].ImportClearance(c[0], at(1.1+float64(i))), ShouldHaveLength, 1)
				So(isRejected(l[i+1], prompt("caller", "r2"), at(3)), ShouldBeFalse)

				Convey(fmt.Sprint("and a late message does not bring it back at daemon ", i+1), func() {
					So(l[i+1].Import(e, at(3)), ShouldBeFalse)
				})
			}
		})

		Convey("and is announced for some seconds only, however often it is passed on", func() {
			for i := range 100 {
				now := at(1 + float64(i)/10)
				for _, c := range l[i%3].Clearances(now) {
					l[(i+1)%3].ImportClearance(c, now)
				}
			}

			for _, r := range l {
				So(r.Clearances(at(12)), ShouldBeEmpty)
				So(isRejected(r, prompt("caller", "r2"), at(12)), ShouldBeFalse)
			}

			Convey("and a daemon that has not learned of it does not bring the quarantine back", func() {
				old := quarantine.NewEntry("s", []string{"caller"}, 0).WithHistory(7, 2, 100*time.Second)
				So(l[0].Import(old, at(100)), ShouldBeFalse)
				So(l[0].Import(old.WithHistory(8, 2, time.Second), at(100)), ShouldBeTrue)
			})
		})
	})
}

// Guards against memory that grows with the number of prompts.
func TestRegistryIsBounded(t *testing.T) {
	Convey("Many prompts and crashes neither end the quarantine in force nor slow a lookup down", t, func() {
		r := &quarantine.Registry{}
		So(r.Import(quarantine.NewEntry("s", []string{"bad"}, 30*time.Minute).WithHistory(8, 3, 0), at(0)), ShouldBeTrue)

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
