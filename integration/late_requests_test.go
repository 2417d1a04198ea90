package integration_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agategap/agategap/standin/worker"
)

// earlyConn is a connection of a caller that was opened before it sends its request.
type earlyConn struct{ net.Conn }

func openEarly(address string) earlyConn {
	c, err := net.Dial("tcp", address)
	So(err, ShouldBeNil)

	return earlyConn{c}
}

// send sends a request that its caller gives 5 s. It returns the status, 0 if the connection ends without a response.
func (c earlyConn) send(id string) int {
	defer c.Close()

	_, _ = fmt.Fprintf(c, "POST /once/1 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\nDeadline-Ms: 5000\r\nContent-Length: 1\r\n\r\nx", id)
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))

	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	defer a.Body.Close()

	return a.StatusCode
}

// Guards against requests that a stopping daemon takes and cuts off without a response at the end of its grace period:
// late ones, which it must not pass on, and those that wait for a slot or for a worker then. Reported by operators of
// similar systems.
func TestRoutedShutdownRespondsToAllRequests(t *testing.T) {
	s := newRoutedDeployment(t, 1, 1)
	n := s.newRoutedDaemon(1)

	Convey("Given a daemon with a grace period of 4 s and a worker that is silent", t, func() {
		b, err := os.ReadFile(n.settingsPath)
		So(err, ShouldBeNil)
		So(os.WriteFile(n.settingsPath, []byte(strings.ReplaceAll(string(b), `drain_most = "10s"`, `drain_most = "4s"`)), 0o600), ShouldBeNil)
		s.startDaemon(n)
		s.waitReady(n)
		time.Sleep(700 * time.Millisecond)
		s.workers[0].SetFaults(worker.Faults{Silent: true})

		early := make([]earlyConn, 10)
		for i := range early {
			early[i] = openEarly(n.callerAddress)
		}

		Convey("when it is stopped, requests in flight get a response and late ones are not passed on", func() {
			var wg sync.WaitGroup

			statuses := make([]int, len(early))
			took := make([]time.Duration, len(early))
			send := func(i int, id string) {
				wg.Go(func() {
					start := time.Now()
					statuses[i] = early[i].send(id)
					took[i] = time.Since(start)
				})
			}

			for i := range 6 { // four get a slot, two wait for one
				send(i, fmt.Sprint("flight", i))
			}

			time.Sleep(200 * time.Millisecond)
			n.signal(syscall.SIGTERM)
			time.Sleep(1500 * time.Millisecond)

			for i := 6; i < len(early); i++ {
				send(i, fmt.Sprint("late", i))
			}

			wg.Wait()
			<-n.exited

			for _, status := range statuses[:6] {
				So(status, ShouldBeIn, http.StatusBadGateway, http.StatusServiceUnavailable)
			}

			// A request that crosses the close of its connection gets no response.
			for i, status := range statuses[6:] {
				So(status, ShouldBeIn, 0, http.StatusServiceUnavailable)
				So(took[6+i], ShouldBeLessThan, 200*time.Millisecond)
			}

			for _, r := range s.workers[0].Runs() {
				So(r.ID, ShouldStartWith, "flight")
			}
		})
	})
}
