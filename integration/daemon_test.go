package integration_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agategap/agategap/standin/proxy"
	"github.com/agategap/agategap/standin/store"
)

// Guards against the loss of an accepted job when the daemon that acknowledged it dies.
func TestDaemonKilledAfterAcknowledgement(t *testing.T) {
	s := newDeployment(t, deploymentOptions{daemonsPerDomain: 1, engineFlags: []string{"-step", "20ms"}})

	Convey("When a daemon is killed right after it acknowledged a job", t, func() {
		j, a := s.submitJob(s.daemons[0].callerAddress, "signwriter", "kill-1", jobItems(60, 20, nil))
		s.daemons[0].kill()
		So(a.status, ShouldEqual, http.StatusAccepted)

		Convey("the other daemons finish the job", func() {
			s.eventually(40*time.Second, "the job finishes", func() bool {
				v, _ := s.jobStatus(s.daemons[1].callerAddress, j.ID)

				return v.State == "finished" && v.Done == 60
			})
		})
	})
}

// Guards against items of a batch job that are lost, run twice or never finish while all daemons are replaced.
func TestAllDaemonsReplacedDuringBatch(t *testing.T) {
	s := newDeployment(t, deploymentOptions{daemonsPerDomain: 2, engineFlags: []string{"-step", "10ms"}})
	failing := map[int]bool{3: true, 777: true, 1999: true}

	Convey("When every daemon is replaced during a batch of 2,000 items", t, func() {
		j, a := s.submitJob(s.daemons[0].callerAddress, "signwriter", "replace-1", jobItems(2000, 8, failing))
		So(a.status, ShouldEqual, http.StatusAccepted)

		for i, n := range s.daemons {
			n.signal(syscall.SIGTERM)
			<-n.exited

			r := s.newDaemon(len(s.daemons)+i, n.domain)
			s.startDaemon(r)
			s.waitReady(r)
			s.daemons[i] = r
		}

		Convey("each item has one result, and the failed items have a reason", func() {
			s.eventually(60*time.Second, "the job finishes", func() bool {
				v, _ := s.jobStatus(s.daemons[0].callerAddress, j.ID)

				return v.State == "finished"
			})

			v, _ := s.jobStatus(s.daemons[3].callerAddress, j.ID)
			So(v.Done, ShouldEqual, 2000-len(failing))
			So(v.Failed, ShouldEqual, len(failing))

			r := s.call(s.daemons[1].callerAddress, http.MethodGet, "/v1/batches/"+j.ID+"/results", "", "")
			So(strings.Count(r.body, "\n"), ShouldEqual, 2000)
			So(strings.Count(r.body, `"reason"`), ShouldEqual, len(failing))
		})
	})
}

// Guards against a response with missing or repeated tokens when the connection to an engine stops delivering data.
func TestBlackholedConnections(t *testing.T) {
	s := newDeployment(t, deploymentOptions{daemonsPerDomain: 1, engineFlags: []string{"-step", "30ms"}})

	var wg sync.WaitGroup

	got := make([]response, 3)

	for i := range got {
		wg.Go(func() { got[i] = s.sendChat(s.daemons[i].callerAddress, 60) })
	}

	time.Sleep(700 * time.Millisecond)

	for _, p := range s.engineProxies {
		p.BlackholeOpen(proxy.ToClient)
	}

	wg.Wait()

	Convey("When all connections to the engines stop delivering data in mid-stream, every response is complete", t, func() {
		for i, a := range got {
			So(fmt.Sprintf("%d: %v", i, a.isComplete(60)), ShouldEqual, fmt.Sprintf("%d: true", i))
		}
	})
}

// Guards against new work being sent to a target that is leaving.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	s := newDeployment(t, deploymentOptions{daemonsPerDomain: 1})

	Convey("When a target's registration says that it is leaving", t, func() {
		e := s.registrations[domains[0]+"-billing"]
		e.State = store.Draining
		s.registrations[domains[0]+"-billing"] = e

		s.writeRegistrations()
		time.Sleep(3 * time.Second)

		before := s.serviceRuns(0)

		for i := range 5 {
			s.postNotice(s.daemons[0].callerAddress, fmt.Sprintf("leaving-%d", i), `{}`)
		}

		Convey("it gets no new work", func() {
			So(s.serviceRuns(0), ShouldEqual, before)
		})
	})
}

// serviceRuns returns the number of calls that ran at plain service i, which is in domain i.
func (s *deployment) serviceRuns(i int) int {
	var v struct {
		Runs map[string]int `json:"runs"`
	}

	s.getJSON(s.services[i].address, "/control/counts", &v)

	n := 0
	for _, c := range v.Runs {
		n += c
	}

	return n
}
