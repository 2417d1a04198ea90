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

// Guards against accepted work that dies with the daemon that acknowledged it.
func TestDaemonKilledAfterAcknowledgement(t *testing.T) {
	s := newDeployment(t, deploymentOptions{daemonsPerDomain: 1, engineFlags: []string{"-step", "20ms"}})

	Convey("When a daemon is killed right after it acknowledged a job", t, func() {
		j, a := s.submitJob(s.daemons[0].callerAddress, "signwriter", "kill-1", jobItems(60, 20, nil))
		s.daemons[0].kill()
		So(a.status, ShouldEqual, http.StatusAccepted)

		Convey("the other daemons finish it", func() {
			s.eventually(40*time.Second, "the job finishes", func() bool {
				v, _ := s.jobStatus(s.daemons[1].callerAddress, j.ID)

				return v.State == "finished" && v.Done == 60
			})
		})
	})
}

// Guards against a batch job that loses, doubles or holds up items while all daemons are replaced.
func TestAllDaemonsReplacedDuringBatch(t *testing.T) {
	s := newDeployment(t, deploymentOptions{daemonsPerDomain: 2, engineFlags: []string{"-step", "10ms"}})
	bad := map[int]bool{3: true, 777: true, 1999: true}

	Convey("When every daemon is replaced during a batch of 2,000 items", t, func() {
		j, a := s.submitJob(s.daemons[0].callerAddress, "signwriter", "replace-1", jobItems(2000, 8, bad))
		So(a.status, ShouldEqual, http.StatusAccepted)

		for i, n := range s.daemons {
			n.signal(syscall.SIGTERM)
			<-n.exited

			r := s.newDaemon(len(s.daemons)+i, n.domain)
			s.startDaemon(r)
			s.waitReady(r)
			s.daemons[i] = r
		}

		Convey("each item ends once; the items that can never be done are listed with their reason", func() {
			s.eventually(60*time.Second, "the job finishes", func() bool {
				v, _ := s.jobStatus(s.daemons[0].callerAddress, j.ID)

				return v.State == "finished"
			})

			v, _ := s.jobStatus(s.daemons[3].callerAddress, j.ID)
			So(v.Done, ShouldEqual, 2000-len(bad))
			So(v.Failed, ShouldEqual, len(bad))

			r := s.call(s.daemons[1].callerAddress, http.MethodGet, "/v1/batches/"+j.ID+"/results", "", "")
			So(strings.Count(r.body, "\n"), ShouldEqual, 2000)
			So(strings.Count(r.body, `"reason"`), ShouldEqual, len(bad))
		})
	})
}

// Guards against an answer with missing or doubled tokens after a connection fell silent.
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

	Convey("When all connections to the engines fall silent in mid-stream, every answer is still whole", t, func() {
		for i, a := range got {
			So(fmt.Sprintf("%d: %v", i, a.isComplete(60)), ShouldEqual, fmt.Sprintf("%d: true", i))
		}
	})
}

// Guards against new work on a target that is leaving.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	s := newDeployment(t, deploymentOptions{daemonsPerDomain: 1})

	Convey("When the entry of a target says that it is leaving", t, func() {
		e := s.registrations[domains[0]+"-billing"]
		e.State = store.Draining
		s.registrations[domains[0]+"-billing"] = e

		s.writeRegistrations()
		time.Sleep(3 * time.Second)

		before := s.serviceRuns(0)

		for i := range 5 {
			s.postNotice(s.daemons[0].callerAddress, fmt.Sprintf("leaving-%d", i), `{}`)
		}

		Convey("it gets nothing new", func() {
			So(s.serviceRuns(0), ShouldEqual, before)
		})
	})
}

// serviceRuns returns the calls that ran at plain service i.
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
