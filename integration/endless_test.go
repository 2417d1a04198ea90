package integration_test

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// maxDaemonBytes is the memory that a daemon may use, by the figures of the deployments.
const maxDaemonBytes = 64 << 20

// startEndlessWorker starts a worker that answers each request with a status and a body without end, and registers it.
func (s *routedDeployment) startEndlessWorker(id string, status int) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	s.t.Cleanup(func() { _ = l.Close() })

	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b := []byte(strings.Repeat("a", 64<<10))

		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.WriteHeader(status)

		for {
			if _, err := w.Write(b); err != nil {
				return
			}
		}
	})

	go func() { _ = http.Serve(l, h) }() //nolint:gosec // of a test

	s.writeRegistration(id, l.Addr().String(), "ready")
}

// peakBytes returns the largest resident memory that a daemon has had.
func (n *daemonProcess) peakBytes() int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid))
	So(err, ShouldBeNil)

	kb, err := strconv.Atoi(regexp.MustCompile(`VmHWM:\s+(\d+) kB`).FindStringSubmatch(string(b))[1])
	So(err, ShouldBeNil)

	return kb << 10
}

// Guards against a faulty worker that fills the memory of daemons, and keeps jobs open, with bodies without end. Reported
// by operators of similar systems.
func TestRoutedEndlessFailures(t *testing.T) {
	s := newRoutedDeployment(t, 2, 3)

	Convey("When two of five workers answer with failures whose bodies have no end", t, func() {
		s.startEndlessWorker("i-bad-500", http.StatusInternalServerError)
		s.startEndlessWorker("i-bad-503", http.StatusServiceUnavailable)

		Convey("all jobs are finished, requests get a response, and the memory of the daemons is bounded", func() {
			const jobs, items = 12, 10

			var wg sync.WaitGroup

			for i := range jobs {
				So(s.send(http.MethodPost, s.daemons[i%2].callerAddress, "/batch/j", fmt.Sprint("job", i), routedJobBody(fmt.Sprint("job", i), items)).status, ShouldEqual, http.StatusAccepted)
				wg.Go(func() {
					for k := range 10 {
						_ = s.send(http.MethodPost, s.daemons[i%2].callerAddress, "/again/1", fmt.Sprint("again", i, "-", k), "x")
					}
				})
			}

			wg.Wait()

			for i := range jobs {
				So(s.waitFinished(s.daemons[i%2], fmt.Sprint("job", i), items).Results, ShouldHaveLength, items)
			}

			for _, n := range s.daemons {
				So(n.peakBytes(), ShouldBeLessThan, maxDaemonBytes)
			}
		})
	})
}
