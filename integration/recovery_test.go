package integration_test

import (
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against items that are held for good by a daemon that is gone.
func TestDaemonKilledWhileItRunsItems(t *testing.T) {
	s := newSystem(t, choice{daemons: 1, engine: []string{"-step", "20ms"}})

	Convey("When a daemon is killed while it runs items of a job", t, func() {
		j, a := s.submit(s.nodes[0].caller, "signwriter", "kill-2", items(400, 40, nil))
		So(a.status, ShouldEqual, http.StatusAccepted)
		time.Sleep(500 * time.Millisecond)
		s.nodes[0].kill()

		Convey("the other daemons finish it", func() {
			s.eventually(60*time.Second, "the job finishes", func() bool {
				v, _ := s.status(s.nodes[1].caller, j.ID)

				return v.State == "finished" && v.Done == 400
			})
		})
	})
}

// Guards against a daemon that was paused past its leases and takes effect after its successors.
func TestDaemonPausedPastItsLeases(t *testing.T) {
	s := newSystem(t, choice{daemons: 1, service: []string{"-delay", "200ms"}})

	Convey("When a daemon is paused in the middle of a job and comes back", t, func() {
		j, a := s.submit(s.nodes[0].caller, "billing", "pause-1", strings.ReplaceAll(items(150, 1, nil), "messages", "notice"))
		So(a.status, ShouldEqual, http.StatusAccepted)

		time.Sleep(300 * time.Millisecond)
		s.nodes[0].signal(syscall.SIGSTOP)

		Convey("the others finish the job, the paused daemon changes nothing, and no item runs twice", func() {
			var v job

			s.eventually(40*time.Second, "the job finishes", func() bool {
				v, _ = s.status(s.nodes[1].caller, j.ID)

				return v.State == "finished"
			})
			So(v.Done+v.Unknown, ShouldEqual, 150)

			s.nodes[0].signal(syscall.SIGCONT)
			time.Sleep(3 * time.Second)

			w, _ := s.status(s.nodes[0].caller, j.ID)
			So(w, ShouldResemble, v)

			for _, c := range s.bodyRuns() {
				So(c, ShouldEqual, 1)
			}
		})
	})
}

// Guards against a cancelled job that goes on.
func TestCancelledJobStops(t *testing.T) {
	s := newSystem(t, choice{daemons: 1, engine: []string{"-step", "20ms"}})

	Convey("When a running job is cancelled", t, func() {
		j, a := s.submit(s.nodes[0].caller, "signwriter", "cancel-1", items(2000, 50, nil))
		So(a.status, ShouldEqual, http.StatusAccepted)
		time.Sleep(time.Second)

		a = s.call(s.nodes[1].caller, http.MethodPost, "/v1/batches/"+j.ID+"/cancel", "", "")
		So(a.status, ShouldEqual, http.StatusOK)
		time.Sleep(3 * time.Second)

		before := s.tokens()
		time.Sleep(2 * time.Second)

		Convey("the engines generate nothing more, and the state stays cancelled at every daemon", func() {
			So(s.tokens(), ShouldEqual, before)

			for _, n := range s.nodes {
				v, _ := s.status(n.caller, j.ID)
				So(v.State, ShouldEqual, "cancelled")
				So(v.Done, ShouldBeLessThan, 2000)
			}
		})
	})
}

// tokens returns the tokens that all engines generated.
func (s *system) tokens() int64 {
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
