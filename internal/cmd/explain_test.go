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

// Guards against a path that leaves out what explains it, or shows what does not.
func TestExplain(t *testing.T) {
	Convey("Given the logs of two daemons", t, func() {
		a, b := writeFile(t, "a.log", entryLog), writeFile(t, "b.log", otherLog)

		explain := func(id string) []string {
			code, out, _ := runCommand("explain", "-id", id, a, b)
			So(code, ShouldEqual, 0)

			return strings.Split(strings.TrimSpace(out), "\n")
		}

		Convey("the steps of a request are shown with what its daemon learnt of the target", func() {
			l := explain("r1")
			So(l, ShouldHaveLength, 3)
			So(l[0], ShouldStartWith, "* 10:00:00.100 a")
			So(l[1], ShouldStartWith, "  10:00:00.300 a")
			So(l[1], ShouldContainSubstring, "target=t1")
			So(l[2], ShouldContainSubstring, "code=lost_answer")
		})

		Convey("a request that ended with its daemon is shown with the next start of the daemon", func() {
			l := explain("r2")
			So(l, ShouldHaveLength, 2)
			So(l[0], ShouldContainSubstring, "under_way")
			So(l[0], ShouldEndWith, "target=t3")
			So(l[1], ShouldContainSubstring, "started")
		})

		Convey("an identifier that no line names is told so", func() {
			So(explain("r9")[0], ShouldStartWith, "no line names r9")
		})
	})
}
