package integration_test

import (
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against items that stay leased forever to a daemon that was killed.
func TestDaemonKilledWhileRunningItems(t *testing.T) {
	s := newDeployment(t, deploymentOptions{daemonsPerDomain: 1, engineFlags: []string{"-step", "20ms"}})

	Convey("When a daemon is killed while it runs items of a job", t, func() {
		j, a := s.submitJob(s.daemons[0].callerAddress, "signwriter", "kill-2", jobItems(400, 40, nil))
		So(a.status, ShouldEqual, http.StatusAccepted)
		time.Sleep(500 * time.Millisecond)
		s.daemons[0].kill()

		Convey("the other daemons finish the job", func() {
			s.eventually(60*time.Second, "the job finishes", func() bool {
				v, _ := s.jobStatus(s.daemons[1].callerAddress, j.ID)

				return v.State == "finished" && v.Done == 400
			})
		})
	})
}

// Guards against a daemon whose leases expire while it is paused, and which overwrites the work of its successors after
// it is resumed.
func TestDaemonPausedPastItsLeases(t *testing.T) {
	s := newDeployment(t, deploymentOptions{daemonsPerDomain: 1, serviceFlags: []string{"-delay", "200ms"}})

	Convey("When a daemon is paused in the middle of a job and resumes after its leases have expired", t, func() {
		j, a := s.submitJob(s.daemons[0].callerAddress, "billing", "pause-1", strings.ReplaceAll(jobItems(150, 1, nil), "messages", "notice"))
		So(a.status, ShouldEqual, http.StatusAccepted)

		time.Sleep(300 * time.Millisecond)
		s.daemons[0].signal(syscall.SIGSTOP)

		Convey("the others finish the job, the resumed daemon changes nothing, and no item runs twice", func() {
			var v jobStatus

			s.eventually(40*time.Second, "the job finishes", func() bool {
				v, _ = s.jobStatus(s.daemons[1].callerAddress, j.ID)

				return v.State == "finished"
			})
			So(v.Done+v.Unknown, ShouldEqual, 150)

			s.daemons[0].signal(syscall.SIGCONT)
			time.Sleep(3 * time.Second)

			w, _ := s.jobStatus(s.daemons[0].callerAddress, j.ID)
			So(w, ShouldResemble, v)

			for _, c := range s.runsByBody() {
				So(c, ShouldEqual, 1)
			}
		})
	})
}

// Guards against a cancelled job that keeps running.
func TestCancelledJobStops(t *testing.T) {
	s := newDeployment(t, deploymentOptions{daemonsPerDomain: 1, engineFlags: []string{"-step", "20ms"}})

	Convey("When a running job is cancelled", t, func() {
		j, a := s.submitJob(s.daemons[0].callerAddress, "signwriter", "cancel-1", jobItems(2000, 50, nil))
		So(a.status, ShouldEqual, http.StatusAccepted)
		time.Sleep(time.Second)

		a = s.call(s.daemons[1].callerAddress, http.MethodPost, "/v1/batches/"+j.ID+"/cancel", "", "")
		So(a.status, ShouldEqual, http.StatusOK)
		time.Sleep(3 * time.Second)

		before := s.generatedTokens()
		time.Sleep(2 * time.Second)

		Convey("the engines generate no more tokens, and the job is cancelled at every daemon", func() {
			So(s.generatedTokens(), ShouldEqual, before)

			for _, n := range s.daemons {
				v, _ := s.jobStatus(n.callerAddress, j.ID)
				So(v.State, ShouldEqual, "cancelled")
				So(v.Done, ShouldBeLessThan, 2000)
			}
		})
	})
}

// generatedTokens returns the number of tokens that all engines together have generated.
func (s *deployment) generatedTokens() int64 {
	var n int64

	for _, e := range s.engines {
		var v struct {
			Tokens int64 `json:"tokens"`
		}

		s.getJSON(e.address, "/control/counts", &v)

		n += v.Tokens
	}

	return n
}
