package integration_test

import (
	"net/http"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against daemons that keep sending work to daemons that were killed, or never learn of those that replace them.
func TestHalfOfDaemonsReplacedAtOnce(t *testing.T) {
	s := newDeployment(t, deploymentOptions{daemonsPerDomain: 2})
	half := len(s.daemons) / 2

	for _, n := range s.daemons[:half] {
		n.kill()
	}

	Convey("When half of the daemons are killed at once", t, func() {
		for _, n := range s.daemons[half:] {
			So(s.sendChat(n.callerAddress, 10).isComplete(10), ShouldBeTrue)
		}

		Convey("recorded calls succeed, and all daemons agree on the membership after the replacement", func() {
			s.eventually(30*time.Second, "a recorded call succeeds", func() bool {
				return s.postNotice(s.daemons[half].callerAddress, "half-1", `{"half":1}`).status == http.StatusOK
			})
			So(s.runsByBody()[`{"half":1}`], ShouldEqual, 1)

			for i, n := range s.daemons[:half] {
				r := s.newDaemon(len(s.daemons)+i, n.domain)
				s.daemons[i] = r
			}

			for _, n := range s.daemons[:half] {
				s.startDaemon(n)
				s.waitReady(n)
			}

			var live []string
			for _, n := range s.daemons {
				live = append(live, n.vm)
			}

			slices.Sort(live)

			for _, n := range s.daemons {
				s.eventually(60*time.Second, n.vm+" has the running daemons as its membership", func() bool { return slices.Equal(s.membership(n), live) })
			}
		})
	})
}

// membership returns the VMs of the daemons that are in the membership of daemon n, sorted.
func (s *deployment) membership(n *daemonProcess) []string {
	var v struct {
		Membership struct {
			Peers []struct {
				VM string `json:"vm"`
			} `json:"peers"`
		} `json:"membership"`
	}

	s.getJSON(n.operatorAddress, "/dump", &v)

	var l []string
	for _, p := range v.Membership.Peers {
		l = append(l, p.VM)
	}

	slices.Sort(l)

	return l
}
