package cmd_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// startFakeDaemon returns the address of a daemon that shows a dump, readiness and metrics.
func startFakeDaemon(dump string, ready int, metrics string) (string, func()) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/dump":
			_, _ = io.WriteString(w, dump)
		case "/ready":
			w.WriteHeader(ready)
			_, _ = io.WriteString(w, `{"reason":"no target is known"}`)
		default:
			_, _ = io.WriteString(w, metrics)
		}
	}))

	return strings.TrimPrefix(s.URL, "http://"), s.Close
}

// Guards against a problem that the daemons show and the status screen hides, or names without its page.
func TestStatusReportsEveryProblem(t *testing.T) {
	Convey("Given daemons with problems", t, func() {
		a, stop := startFakeDaemon(`{"daemon":{"vm":"e1"},"config":{"version":7},
			"jobs":[{"id":"j1","service":"notices","state":"running","deadline":"2001-01-01T00:00:00Z","items":10,"pending":4},
			        {"id":"j2","service":"notices","state":"running","deadline":"2999-01-01T00:00:00Z","items":10,"pending":4,"at_risk":true},
			        {"id":"j3","service":"notices","state":"finished","deadline":"2001-01-01T00:00:00Z","items":10,"pending":0}],
			"targets":{"targets":[{"name":"w1","set_aside":true},{"name":"w2","set_aside":false}]},
			"log":{"available":true,"last_ms":2500}}`, http.StatusOK,
			"# TYPE agategap_requests counter\nagategap_requests{code=\"ok\",service=\"sign-updates\"} 90\nagategap_requests{code=\"deadline_exceeded\",service=\"sign-updates\"} 10\n")
		defer stop()

		b, stop2 := startFakeDaemon(`{"daemon":{"vm":"e2"},"config":{"version":6},"log":{"available":false,"error":"no route"}}`, http.StatusServiceUnavailable, "")
		defer stop2()

		code, out, _ := runCommand("status", "-interval", "0s", "-daemons", a+","+b)
		So(code, ShouldEqual, 0)

		for _, s := range []string{
			"2 of 2 daemons reached, configuration version 7",
			"service sign-updates missed the deadline of 10 of 100 requests  (docs/OPERATIONS.md#deadlines-missed)",
			"job j1 of service notices is late: 4 of 10 items pending",
			"job j2 of service notices is at risk",
			"target w1 is set aside as slow, says e1",
			"the log is slow for daemon e1",
			"the log is not available to daemon e2 (" + b + "): no route",
			"daemon e2 (" + b + ") is not ready: no target is known",
			"daemon e2 (" + b + ") has configuration 6, others have 7",
		} {
			So(out, ShouldContainSubstring, s)
		}

		So(out, ShouldNotContainSubstring, "j3")
		So(out, ShouldNotContainSubstring, "w2")
	})
	Convey("Without a daemon that can be reached the exit code is 1", t, func() {
		code, _, _ := runCommand("status", "-interval", "0s", "-daemons", "127.0.0.1:1")
		So(code, ShouldEqual, 1)
	})
}
