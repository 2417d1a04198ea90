package integration_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against components that work together only within one process.
func TestRequestPathAcrossProcesses(t *testing.T) {
	s := newDeployment(t, deploymentOptions{daemonsPerDomain: 1})

	Convey("Given daemons, engines, plain services and a platform as separate processes", t, func() {
		Convey("a streamed completion is complete", func() {
			So(s.sendChat(s.daemons[0].callerAddress, 20).isComplete(20), ShouldBeTrue)
		})
		Convey("a non-idempotent call that is sent through two failure domains runs once", func() {
			a := s.postNotice(s.daemons[0].callerAddress, "notice-1", `{"amount":1}`)
			b := s.postNotice(s.daemons[1].callerAddress, "notice-1", `{"amount":1}`)
			So(a.status, ShouldEqual, http.StatusOK)
			So(b.body, ShouldEqual, a.body)
			So(s.runsByBody()[`{"amount":1}`], ShouldEqual, 1)
		})
		Convey("a call with a used idempotency key and another body is refused as not run", func() {
			s.postNotice(s.daemons[0].callerAddress, "notice-2", `{"amount":2}`)
			a := s.postNotice(s.daemons[1].callerAddress, "notice-2", `{"amount":3}`)
			So(a.status, ShouldEqual, http.StatusUnprocessableEntity)
			So(a.outcome(), ShouldEqual, "not_run")
			So(s.runsByBody()[`{"amount":3}`], ShouldEqual, 0)
		})
		Convey("another account cannot read the result", func() {
			s.postNotice(s.daemons[0].callerAddress, "notice-3", `{"amount":4}`)
			a := s.callAs(otherKey, s.daemons[0].callerAddress, http.MethodGet, "/v1/results/notice-3", "", "")
			So(a.status, ShouldEqual, http.StatusNotFound)
		})
		Convey("a batch job finishes, one item fails with a reason, and another daemon returns the results", func() {
			j, a := s.submitJob(s.daemons[0].callerAddress, "signwriter", "job-1", jobItems(100, 5, map[int]bool{7: true}))
			So(a.status, ShouldEqual, http.StatusAccepted)

			s.eventually(30*time.Second, "the job finishes", func() bool {
				v, _ := s.jobStatus(s.daemons[1].callerAddress, j.ID)

				return v.State == "finished"
			})

			v, _ := s.jobStatus(s.daemons[2].callerAddress, j.ID)
			So(v.Done, ShouldEqual, 99)
			So(v.Failed, ShouldEqual, 1)

			r := s.call(s.daemons[2].callerAddress, http.MethodGet, "/v1/batches/"+j.ID+"/results", "", "")
			So(strings.Count(r.body, `"effect":"done"`), ShouldEqual, 99)
			So(r.body, ShouldContainSubstring, `"reason"`)
		})
		Convey("the second of two publications that are based on the same version fails with a conflict", func() {
			code, out := s.publish(1, configTextWithRecordWait("2s"))
			So(out, ShouldContainSubstring, "in force")
			So(code, ShouldEqual, 0)

			code, _ = s.publish(1, configTextWithRecordWait("3s"))
			So(code, ShouldEqual, 3)
		})
	})
}
