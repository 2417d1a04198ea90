package integration_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against work that runs although it was refused as not run, and against online work that fails while the log is
// down.
func TestLogOutage(t *testing.T) {
	s := newDeployment(t, deploymentOptions{daemonsPerDomain: 1})
	n := s.daemons[0]

	s.setStoreFaults(map[string]any{"down": true})

	Convey("While the log is down", t, func() {
		Convey("idempotent online requests are served", func() {
			So(s.sendChat(n.callerAddress, 10).isComplete(10), ShouldBeTrue)
		})
		Convey("a recorded call is refused and does not run, and a retry after the outage runs once", func() {
			s.setStoreFaults(map[string]any{"down": true})

			a := s.postNotice(n.callerAddress, "outage-1", `{"outage":1}`)
			So(a.status, ShouldEqual, http.StatusServiceUnavailable)
			So(a.outcome(), ShouldEqual, "not_run")
			So(s.runsByBody()[`{"outage":1}`], ShouldEqual, 0)

			s.setStoreFaults(map[string]any{})
			s.eventually(10*time.Second, "the call succeeds after the outage", func() bool {
				return s.postNotice(n.callerAddress, "outage-1", `{"outage":1}`).status == http.StatusOK
			})
			So(s.runsByBody()[`{"outage":1}`], ShouldEqual, 1)
		})
	})
}

// Guards against daemons that take an append without a response for a success or for a failure.
func TestLostAppendResponses(t *testing.T) {
	s := newDeployment(t, deploymentOptions{daemonsPerDomain: 1})

	const calls = 60

	var mu sync.Mutex

	got := map[string]response{}

	s.setStoreFaults(map[string]any{"lost_share": 0.5})

	var wg sync.WaitGroup

	for i := range calls {
		wg.Go(func() {
			b := fmt.Sprintf(`{"lost":%d}`, i)
			a := s.postNotice(s.daemons[i%len(s.daemons)].callerAddress, fmt.Sprintf("lost-%d", i), b)

			mu.Lock()
			defer mu.Unlock()

			got[b] = a
		})
	}

	wg.Wait()
	s.setStoreFaults(map[string]any{})

	Convey("When the responses to half of the appends are lost", t, func() {
		runs := s.runsByBody()
		ok := 0

		for i := range calls {
			b := fmt.Sprintf(`{"lost":%d}`, i)
			a := got[b]

			So(runs[b], ShouldBeLessThanOrEqualTo, 1)

			switch {
			case a.status == http.StatusOK:
				ok++

				So(runs[b], ShouldEqual, 1)
			case a.outcome() == "not_run":
				So(runs[b], ShouldEqual, 0)
			}
		}

		Convey("most calls succeed, and a repeated call gets the same response without a second run", func() {
			So(ok, ShouldBeGreaterThan, calls/2)

			for i := range calls {
				b := fmt.Sprintf(`{"lost":%d}`, i)
				if a := got[b]; a.status == http.StatusOK {
					So(s.postNotice(s.daemons[(i+1)%len(s.daemons)].callerAddress, fmt.Sprintf("lost-%d", i), b).body, ShouldEqual, a.body)
				}
			}

			So(s.runsByBody()[`{"lost":0}`], ShouldBeLessThanOrEqualTo, 1)
		})
	})
}

// Guards against recorded calls that fail or run twice because the log is slow.
func TestSlowLog(t *testing.T) {
	s := newDeployment(t, deploymentOptions{daemonsPerDomain: 1})
	n := s.daemons[0]

	n.platformProxy.SetDelay(150 * time.Millisecond)

	Convey("While all traffic to and from the log is delayed by 150 ms, calls succeed and run once", t, func() {
		So(s.sendChat(n.callerAddress, 10).isComplete(10), ShouldBeTrue)
		So(s.postNotice(n.callerAddress, "slow-1", `{"slow":1}`).status, ShouldEqual, http.StatusOK)
		So(s.postNotice(s.daemons[1].callerAddress, "slow-1", `{"slow":1}`).status, ShouldEqual, http.StatusOK)
		So(s.runsByBody()[`{"slow":1}`], ShouldEqual, 1)
	})
}

// Guards against a failure domain that stops serving while it cannot connect to the platform, or does not adopt,
// once it can connect again, a configuration that was published meanwhile.
func TestFailureDomainCutOffFromPlatform(t *testing.T) {
	s := newDeployment(t, deploymentOptions{daemonsPerDomain: 1})
	n := s.daemons[0]

	n.platformProxy.SetDown(true)

	Convey("Given a failure domain that is cut off from the platform and serves requests", t, func() {
		for range 5 {
			So(s.sendChat(n.callerAddress, 10).isComplete(10), ShouldBeTrue)
		}

		code, out := s.publish(1, configTextWithRecordWait("2s"))
		So(out, ShouldContainSubstring, "in force")
		So(code, ShouldEqual, 0)

		n.platformProxy.SetDown(false)

		Convey("once it is connected again, it adopts the configuration that was published meanwhile", func() {
			s.eventually(16*time.Second, "the new version is adopted", func() bool { return s.configVersion(n) == 2 })
			So(s.sendChat(n.callerAddress, 10).isComplete(10), ShouldBeTrue)
		})
	})
}

// configVersion returns the version of the configuration that is in force at a daemon.
func (s *deployment) configVersion(n *daemonProcess) int64 {
	var v struct {
		Config struct {
			Version int64 `json:"version"`
		} `json:"config"`
	}

	s.getJSON(n.operatorAddress, "/dump", &v)

	return v.Config.Version
}
