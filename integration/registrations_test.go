package integration_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a daemon that ends or stops following the registrations because of one odd entry of another writer
// among them, at its start or later, and against requests to what such an entry names.
func TestRoutedOddRegistrations(t *testing.T) {
	Convey("Given a daemon, two workers and odd entries among their registrations", t, func() {
		s := newRoutedDeployment(t, 1, 2)

		writeOddEntries := func(prefix string) {
			for i, v := range []string{
				strings.Repeat("[", 100000), strings.Repeat(`{"a":`, 100000), "\xff\xfe\x00", `{"service":"s"}`, `null`, `7`,
				`{"service":"s","address":"127.0.0.1:1","slots":1e999,"state":"ready"}`,
				`{"service":"s","address":"127.0.0.1:1","slots":99999999999999999999,"state":"ready"}`,
				`{"service":"s","address":"127.0.0.1:99999","slots":4,"state":"ready"}`,
				`{"service":"s","address":"127.0.0.1:0","slots":4,"state":"ready"}`,
				`{"service":"s","address":"0.0.0.0:80","slots":4,"state":"ready"}`,
				`{"service":["s"],"address":"127.0.0.1:1","slots":4,"state":"ready"}`,
			} {
				s.store.Put("keyed.servers", fmt.Sprint(prefix, i), []byte(v))
			}
		}

		n := 0
		served := func(d *daemonProcess) bool {
			n++

			a := s.send("POST", d.callerAddress, "/once/x", fmt.Sprint("r", n), "body")

			return a.status == 200 && a.complete
		}

		writeOddEntries("odd-")
		s.writeRegistration("i-0", s.workerProxies[0].Address(), "draining")
		time.Sleep(time.Second)

		Convey("the daemon serves all requests and applies the registrations that follow", func() {
			before := len(s.workers[0].Runs())

			for range 12 {
				So(served(s.daemons[0]), ShouldBeTrue)
			}

			So(s.workers[0].Runs(), ShouldHaveLength, before)

			Convey("and so does one that starts later", func() {
				late := s.newRoutedDaemon(1)
				s.daemons = append(s.daemons, late)
				s.startDaemon(late)
				s.waitReady(late)
				writeOddEntries("late-")

				for range 12 {
					So(served(late), ShouldBeTrue)
				}

				So(s.workers[0].Runs(), ShouldHaveLength, before)
			})
		})
	})
}
