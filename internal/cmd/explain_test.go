package cmd_test

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const entryLog = `collector: {"level":"info","vm":"a","event":"sent","request":"r1","target":"t1","attempt":0,"time":"2026-12-04T10:00:00.100Z","message":"m"}
{"level":"info","vm":"a","event":"target_gone","target":"t1","time":"2026-12-04T10:00:00.300Z","message":"m"}
{"level":"info","vm":"a","event":"target_gone","target":"t2","time":"2026-12-04T10:00:00.300Z","message":"m"}
{"level":"info","vm":"a","event":"attempt_failed","request":"r1","target":"t1","code":"lost_answer","time":"2026-12-04T10:00:00.400Z","message":"m"}
{"level":"info","vm":"a","event":"peer_lost","peer":"b","time":"2026-12-04T10:00:09.000Z","message":"m"}
not JSON
`

const otherLog = `{"level":"info","vm":"b","event":"under_way","requests":{"r2":"t3","r3":"t4"},"count":2,"time":"2026-12-04T10:00:05.000Z","message":"m"}
{"level":"info","vm":"b","event":"started","time":"2026-12-04T10:00:08.000Z","message":"m"}
{"level":"info","vm":"b","event":"peer_live","peer":"a","time":"2026-12-04T10:00:08.500Z","message":"m"}
`

const itemLog = `{"vm":"a","event":"job_runner","job":"j1","runs":true,"why":"accepted_here","time":"2026-12-04T10:00:00.000Z","message":"m"}
{"vm":"a","event":"prompt_quarantined","parts":["p1"],"time":"2026-12-04T10:00:01.000Z","message":"m"}
{"vm":"a","event":"prompt_quarantined","parts":["p9"],"time":"2026-12-04T10:00:01.100Z","message":"m"}
{"vm":"a","event":"item_waiting","job":"j1","item":"i1","reason":"quarantined","parts":["p1","p2"],"time":"2026-12-04T10:00:09.000Z","message":"m"}
{"vm":"a","event":"item_waiting","job":"j1","item":"i2","reason":"slot","time":"2026-12-04T10:00:09.100Z","message":"m"}
{"vm":"a","event":"job_waiting","job":"j1","quarantined":1,"slot":1,"time":"2026-12-04T10:00:09.200Z","message":"m"}
{"vm":"a","event":"job_waiting","job":"j2","slot":1,"time":"2026-12-04T10:00:09.300Z","message":"m"}
`

// Guards against an item that lies open and whose cause cannot be found from its identifier, as the lines about its job and
// about the quarantine of its parts do not name it.
func TestExplainItemThatWaits(t *testing.T) {
	Convey("The path of an item has the decision who runs its job, the quarantine of its parts and the counts of its job", t, func() {
		code, out, _ := runCommand("explain", "-id", "i1", writeFile(t, "a.log", itemLog))
		So(code, ShouldEqual, 0)

		l := strings.Split(strings.TrimSpace(out), "\n")
		So(l, ShouldHaveLength, 4)
		So(l[0], ShouldContainSubstring, "job_runner")
		So(l[1], ShouldContainSubstring, "parts=[p1]")
		So(l[2], ShouldStartWith, "* 10:00:09.000 a")
		So(l[2], ShouldContainSubstring, "reason=quarantined")
		So(l[3], ShouldContainSubstring, "job_waiting")
	})
}

// Guards against a path of a request that lacks the state changes that explain it, or shows unrelated ones.
func TestExplain(t *testing.T) {
	Convey("Given the logs of two daemons", t, func() {
		a, b := writeFile(t, "a.log", entryLog), writeFile(t, "b.log", otherLog)

		explain := func(id string) []string {
			code, out, _ := runCommand("explain", "-id", id, a, b)
			So(code, ShouldEqual, 0)

			return strings.Split(strings.TrimSpace(out), "\n")
		}

		Convey("the steps of a request are printed with the state changes of its target", func() {
			l := explain("r1")
			So(l, ShouldHaveLength, 3)
			So(l[0], ShouldStartWith, "* 10:00:00.100 a")
			So(l[1], ShouldStartWith, "  10:00:00.300 a")
			So(l[1], ShouldContainSubstring, "target=t1")
			So(l[2], ShouldContainSubstring, "code=lost_answer")
		})

		Convey("a request in flight when its daemon stopped is printed with the next start of the daemon", func() {
			l := explain("r2")
			So(l, ShouldHaveLength, 2)
			So(l[0], ShouldContainSubstring, "under_way")
			So(l[0], ShouldEndWith, "target=t3")
			So(l[1], ShouldContainSubstring, "started")
		})

		Convey("an identifier that occurs in no record is reported", func() {
			So(explain("r9")[0], ShouldStartWith, "no line names r9")
		})
	})
}
