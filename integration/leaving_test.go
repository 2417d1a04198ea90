package integration_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agategap/agategap/standin/worker"
)

// Guards against new work for a worker that says in its responses that it is leaving, at the daemon that got such a
// response, at others and at one that starts later, while the store lists the worker as ready.
func TestRoutedWorkerAnnouncesThatItIsLeaving(t *testing.T) {
	Convey("Given two daemons and two workers, one of which announces that it is leaving", t, func() {
		s := newRoutedDeployment(t, 2, 2)
		s.workers[0].SetFaults(worker.Faults{Leaving: "1"})

		n := 0
		send := func(d *daemonProcess) {
			n++
			id := fmt.Sprint("r", n)
			a := s.send("POST", d.callerAddress, "/again/x", id, "body")
			So(a.err, ShouldBeNil)
			So(a.status, ShouldEqual, 200)
			So(a.body, ShouldEqual, expectedStream(id))
		}

		for len(s.workers[0].Runs()) == 0 && n < 50 {
			send(s.daemons[0])
		}

		So(s.workers[0].Runs(), ShouldHaveLength, 1)
		time.Sleep(500 * time.Millisecond) // longer than the interval of heartbeats between two daemons

		Convey("neither daemon sends it another request, nor does one that starts later", func() {
			late := s.newRoutedDaemon(2)
			s.daemons = append(s.daemons, late)
			s.startDaemon(late)
			s.waitReady(late)
			time.Sleep(500 * time.Millisecond)

			for range 8 {
				for _, d := range s.daemons {
					send(d)
				}
			}

			So(s.workers[0].Runs(), ShouldHaveLength, 1)
		})

		Convey("no item of a batch job is sent to it", func() {
			a := s.send("POST", s.daemons[1].callerAddress, "/batch/j", "job-1", routedJobBody("job-1", 12))
			So(a.status, ShouldEqual, 202)
			s.waitFinished(s.daemons[0], "job-1", 12)
			So(s.workers[0].Runs(), ShouldHaveLength, 1)
		})
	})
}
