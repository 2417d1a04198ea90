package answers_test

import (
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agategap/agategap/answers"
	"github.com/agategap/agategap/config"
)

func generateFile(path string) (answers.Result, map[string]config.ServiceRecord, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return answers.Result{}, nil, err
	}

	r, err := answers.Generate(path, b)
	m := map[string]config.ServiceRecord{}

	for _, s := range r.Document().Services {
		m[s.Name] = s
	}

	return r, m, err
}

// Guards against a generated configuration that breaks I1 or I6 for a flow: billed or dispatched twice, or lost
// after it was accepted.
func TestExamplesKeepInvariants(t *testing.T) {
	Convey("The examples generate valid configurations", t, func() {
		for path, n := range map[string]int{"../examples/lintas.toml": 3, "../examples/faellesvagt.toml": 3} {
			r, s, err := generateFile(path)
			So(err, ShouldBeNil)
			So(len(s), ShouldEqual, n)

			for _, v := range s {
				So(v.RetainResults.Value(), ShouldBeGreaterThan, v.Deadline.Value())
			}

			b, err := config.Marshal(r.Document())
			So(err, ShouldBeNil)

			d, err := config.Parse("generated", b)
			So(err, ShouldBeNil)
			So(d.Batch, ShouldNotResemble, config.BatchSettings{})
		}
	})
	Convey("Lintas", t, func() {
		r, s, err := generateFile("../examples/lintas.toml")
		So(err, ShouldBeNil)

		Convey("sign updates and level guidance are repeated and hedged within a short deadline", func() {
			for _, n := range []string{"sign-updates", "level-guidance"} {
				So(s[n].Idempotent, ShouldBeTrue)
				So(s[n].Hedge, ShouldBeTrue)
				So(s[n].Record, ShouldBeFalse)
				So(s[n].Deadline.Value(), ShouldBeLessThanOrEqualTo, 3*time.Second)
				So(s[n].IdleBound.Value(), ShouldBeLessThan, s[n].Deadline.Value())
			}
		})
		Convey("notices run at most once and are recorded", func() { checkRunsOnce(s["notices"]) })
		Convey("results outlast the night", func() { So(r.Document().Batch.Retain.Value(), ShouldEqual, 72*time.Hour) })
	})
	Convey("Fællesvagt", t, func() {
		r, s, err := generateFile("../examples/faellesvagt.toml")
		So(err, ShouldBeNil)

		Convey("round notes are recorded and held while the log is down", func() {
			So(s["round-notes"].Record, ShouldBeTrue)
			So(s["round-notes"].HoldOnOutage, ShouldBeTrue)
			So(s["round-notes"].Idempotent, ShouldBeTrue)
		})
		Convey("tenant replies are repeated, not hedged", func() {
			So(s["tenant-replies"].Idempotent, ShouldBeTrue)
			So(s["tenant-replies"].Hedge, ShouldBeFalse)
		})
		Convey("round plans run at most once and are recorded", func() { checkRunsOnce(s["round-plans"]) })
		Convey("a cancelled job stops where it cannot be reached", func() {
			So(r.Document().Batch.CutoffRunBound.Value(), ShouldEqual, 30*time.Second)
		})
	})
}

func checkRunsOnce(s config.ServiceRecord) {
	So(s.Idempotent, ShouldBeFalse)
	So(s.Record, ShouldBeTrue)
	So(s.Hedge, ShouldBeFalse)
	So(s.MaxAttempts, ShouldEqual, 1)
	So(s.HoldOnOutage, ShouldBeTrue)
}

// Guards against a setting whose cause an operator cannot find.
func TestEverySettingHasReason(t *testing.T) {
	Convey("Each setting of a service has one reason with the line of an answer", t, func() {
		r, _, err := generateFile("../examples/lintas.toml")
		So(err, ShouldBeNil)

		seen := map[string]int{}
		for _, v := range r.Reasons() {
			seen[v.Setting()]++
			So(v.Line(), ShouldBeGreaterThan, 1)
		}

		for _, k := range []string{"name", "targets", "kind", "idempotent", "record", "hold_on_outage", "deadline", "max_attempts", "hedge", "idle_bound", "lookup", "retain_results"} {
			So(seen["services[2]."+k], ShouldEqual, 1)
		}

		So(seen["batch.retain"], ShouldEqual, 1)
		So(seen["batch.shard_items"], ShouldEqual, 1)
	})
}

// Guards against contradictory answers that would silently become a configuration.
func TestContradictoryAnswersAreReported(t *testing.T) {
	Convey("Given a valid questionnaire", t, func() {
		b, err := os.ReadFile("../examples/lintas.toml")
		So(err, ShouldBeNil)

		text := string(b)

		for _, c := range []struct{ from, to, want string }{
			{`deadline = "1500ms"`, `deadline = "50ms"`, `flows[0].deadline: 50ms is shorter than the floor of "signwriter": 40 tokens take at least 102ms`},
			{"may_repeat = false", "may_repeat = false\nhedge = true", "flows[2].hedge: work that may not be repeated (line 78) cannot be hedged"},
			{"may_repeat = false", "may_repeat = true", `flows[2].may_repeat: contradicts harm.duplicated = "severe" (line 85)`},
			{`window = "8h"`, `window = "100h"`, "flows[2].window: 100h0m0s is longer than the log keeps records: 72h0m0s (line 9)"},
			{`window = "8h"`, `window = "30s"`, "flows[2].window: 30s is shorter than the deadline of one item, 1m0s"},
			{`results_readable = "72h"`, `results_readable = "1h"`, "flows[2].results_readable: 1h0m0s is shorter than the window of 8h0m0s"},
			{"items = 40000", "items = 160000", "flows[2].items: 160000 is outside 1 to 150000"},
			{"items = 40000", "items = 140000", "flows[2].items: 140000 items of 1500 bytes are above the 67108864 bytes of one batch body"},
			{`per_token = "2ms"`, `per_token = "1s"`, "flows[2].window: 40000 items take"},
			{`targets = "signwriter"`, `targets = "signwrite"`, `flows[0].targets: "signwrite" is not the name of any targets`},
			{"repeats = 0.1 ", "repeats = 1.1 ", "shortage.repeats: 1.1 is not a share from 0 to 1"},
			{`name = "level-guidance"`, `name = "sign-updates"`, `flows[1].name: "sign-updates" occurs twice`},
			{`form = "online"`, `form = "onlin"`, `flows[0].form: "onlin" is none of online, batch`},
			{`form = "batch"`, `form = "online"`, "flows[2].window: belongs to batch flows only"},
		} {
			_, err := answers.Generate("q.toml", []byte(strings.Replace(text, c.from, c.to, 1)))
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldContainSubstring, c.want)
		}

		Convey("several mistakes come back together", func() {
			s := strings.Replace(strings.Replace(text, `deadline = "1500ms"`, `deadline = "1ms"`, 1), `window = "8h"`, `window = "100h"`, 1)
			_, err := answers.Generate("q.toml", []byte(s))
			So(err, ShouldNotBeNil)
			So(len(strings.Split(err.Error(), "\n")), ShouldBeGreaterThanOrEqualTo, 2)
		})
		Convey("a share of 0 is an answer", func() {
			r, err := answers.Generate("q.toml", []byte(strings.Replace(text, "other_domains = 0.2", "other_domains = 0.0", 1)))
			So(err, ShouldBeNil)
			So(r.Document().Bounds.SpillShare, ShouldEqual, 0)
		})
	})
}
