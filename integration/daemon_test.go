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
func TestDaemonKilledAfterItsAcknowledgement(t *testing.T) {
	s := newSystem(t, choice{daemons: 1, engine: []string{"-step", "20ms"}})

	Convey("When a daemon is killed right after it acknowledged a job", t, func() {
		j, a := s.submit(s.nodes[0].caller, "signwriter", "kill-1", items(60, 20, nil))
		s.nodes[0].kill()
		So(a.status, ShouldEqual, http.StatusAccepted)

		Convey("the other daemons finish it", func() {
			s.eventually(40*time.Second, "the job finishes", func() bool {
				v, _ := s.status(s.nodes[1].caller, j.ID)

				return v.State == "finished" && v.Done == 60
			})
		})
	})
}

// Guards against a batch job that loses, doubles or holds up items while all daemons are replaced.
func TestEveryDaemonReplacedDuringABatch(t *testing.T) {
	s := newSystem(t, choice{daemons: 2, engine: []string{"-step", "10ms"}})
	bad := map[int]bool{3: true, 777: true, 1999: true}

	Convey("When every daemon is replaced during a batch of 2,000 items", t, func() {
		j, a := s.submit(s.nodes[0].caller, "signwriter", "replace-1", items(2000, 8, bad))
		So(a.status, ShouldEqual, http.StatusAccepted)

		for i, n := range s.nodes {
			n.signal(syscall.SIGTERM)
			<-n.done

			r := s.newNode(len(s.nodes)+i, n.domain)
			s.startNode(r)
			s.ready(r)
			s.nodes[i] = r
		}

		Convey("each item ends once; the items that can never be done are listed with their reason", func() {
			s.eventually(60*time.Second, "the job finishes", func() bool {
				v, _ := s.status(s.nodes[0].caller, j.ID)

				return v.State == "finished"
			})

			v, _ := s.status(s.nodes[3].caller, j.ID)
			So(v.Done, ShouldEqual, 2000-len(bad))
			So(v.Failed, ShouldEqual, len(bad))

			r := s.call(s.nodes[1].caller, http.MethodGet, "/v1/batches/"+j.ID+"/results", "", "")
			So(strings.Count(r.body, "\n"), ShouldEqual, 2000)
			So(strings.Count(r.body, `"reason"`), ShouldEqual, len(bad))
		})
	})
}

// Guards against an answer with missing or doubled tokens after a connection fell silent.
func TestSilentConnection(t *testing.T) {
	s := newSystem(t, choice{daemons: 1, engine: []string{"-step", "30ms"}})

	var wg sync.WaitGroup

	got := make([]answer, 3)

	for i := range got {
		wg.Go(func() { got[i] = s.chat(s.nodes[i].caller, 60) })
	}

	time.Sleep(700 * time.Millisecond)

	for _, p := range s.front {
		p.BlackholeOpen(proxy.ToClient)
	}

	wg.Wait()

	Convey("When all connections to the engines fall silent in mid-stream, every answer is still whole", t, func() {
		for i, a := range got {
			So(fmt.Sprintf("%d: %v", i, a.whole(60)), ShouldEqual, fmt.Sprintf("%d: true", i))
		}
	})
}

// Guards against new work on a target that is leaving.
func TestLeavingTargetGetsNothingNew(t *testing.T) {
	s := newSystem(t, choice{daemons: 1})

	Convey("When the entry of a target says that it is leaving", t, func() {
		e := s.workers[domains[0]+"-billing"]
		e.State = store.Draining
		s.workers[domains[0]+"-billing"] = e

		s.writeEntries()
		time.Sleep(3 * time.Second)

		before := s.total(0)

		for i := range 5 {
			s.bill(s.nodes[0].caller, fmt.Sprintf("leaving-%d", i), `{}`)
		}

		Convey("it gets nothing new", func() {
			So(s.total(0), ShouldEqual, before)
		})
	})
}

// total returns the calls that ran at plain service i.
func (s *system) total(i int) int {
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
