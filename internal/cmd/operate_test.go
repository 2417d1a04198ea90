package cmd_test

import (
	"context"
	"encoding/pem"
	"fmt"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/agategap/agategap/demo"
	"github.com/agategap/agategap/standin/store"
)

const serviceDocument = "[[services]]\nname = \"x\"\nkind = \"plain\"\n"

// Guards against a publication that is reported lost although it is in force, that overwrites another operator's
// change, or that keeps silent about it.
func TestPublish(t *testing.T) {
	Convey("Given a platform", t, func() {
		p := store.New(store.Options{})
		s := httptest.NewServer(p.Handler())
		defer s.Close()

		a := strings.TrimPrefix(s.URL, "http://")
		one, two := writeFile(t, "1.toml", serviceDocument+"deadline = \"1s\"\n"), writeFile(t, "2.toml", serviceDocument+"deadline = \"2s\"\n")

		Convey("the difference is shown and the version is published on the one in force", func() {
			code, out, _ := runCommand("publish", "-platform", a, "-author", "ada", one)
			So(code, ShouldEqual, 0)
			So(out, ShouldContainSubstring, "version 1 is in force")

			code, out, _ = runCommand("publish", "-platform", a, "-author", "bo", two)
			So(code, ShouldEqual, 0)
			So(out, ShouldContainSubstring, `difference to version 1 by "ada"`)
			So(out, ShouldContainSubstring, `~ services[x].deadline = "1s" -> "2s"`)
			So(out, ShouldContainSubstring, "version 2 is in force")

			Convey("the same content is not published again", func() {
				code, out, _ = runCommand("publish", "-platform", a, two)
				So(code, ShouldEqual, 0)
				So(out, ShouldContainSubstring, "nothing is published")
				So(p.Appends(), ShouldEqual, 2)
			})
			Convey("a version based on an older one is refused and names the other operator and the changes", func() {
				code, out, errs := runCommand("publish", "-platform", a, "-based-on", "1", one)
				So(code, ShouldEqual, 3)
				So(out, ShouldContainSubstring, `version 2 by "bo" is in force; since version 1`)
				So(strings.Count(out, `~ services[x].deadline = "1s" -> "2s"`), ShouldEqual, 1)
				So(errs, ShouldContainSubstring, `version 2 by "bo" is in force, and yours is based on version 1`)
			})
			Convey("another number of partitions is refused, as it cannot be changed", func() {
				code, _, errs := runCommand("publish", "-platform", a, writeFile(t, "p.toml", "partitions = 8\n"))
				So(code, ShouldEqual, 2)
				So(errs, ShouldContainSubstring, "p.toml:1: partitions: 16 partitions are in force")
				So(p.Appends(), ShouldEqual, 2)
			})
			Convey("config prints the version in force", func() {
				code, out, _ := runCommand("config", "-platform", a)
				So(code, ShouldEqual, 0)
				So(out, ShouldContainSubstring, "# version 2, based on 1, by bo")
			})
		})
		Convey("a lost append response is resolved from the stream", func() {
			p.SetFaults(store.Faults{LostShare: 1})

			code, out, _ := runCommand("publish", "-platform", a, one)
			So(code, ShouldEqual, 0)
			So(out, ShouldContainSubstring, "version 1 is in force")
		})
		Convey("a refused append is reported as not run", func() {
			p.SetFaults(store.Faults{NoAppends: true})

			code, _, _ := runCommand("publish", "-platform", a, one)
			So(code, ShouldEqual, 3)
			So(p.Appends(), ShouldEqual, 0)
		})
		Convey("of two publications on the same version one comes into force", func() {
			codes := make(chan int, 2)

			for _, f := range []string{one, two} {
				go func() {
					c, _, _ := runCommand("publish", "-platform", a, "-based-on", "0", f)
					codes <- c
				}()
			}

			So(<-codes+<-codes, ShouldEqual, 3)
			So(p.Appends(), ShouldEqual, 1)
		})
		Convey("a version that is not in the stream after a lost response has an unknown outcome", func() {
			// The responses of all appends are lost, and the appends too.
			x := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodPost {
					panic(http.ErrAbortHandler)
				}

				p.Handler().ServeHTTP(w, r)
			}))
			defer x.Close()

			code, _, _ := runCommand("publish", "-platform", strings.TrimPrefix(x.URL, "http://"), "-timeout", "300ms", one)
			So(code, ShouldEqual, 4)
		})
		Convey("a missing file is a finding", func() {
			code, _, errs := runCommand("publish", "-platform", a, "none.toml")
			So(code, ShouldEqual, 2)
			So(errs, ShouldStartWith, "none.toml:0: file: cannot be read")
		})
		Convey("an invalid file has findings and is not published", func() {
			code, _, errs := runCommand("publish", "-platform", a, writeFile(t, "bad.toml", "partitions = 0\n"))
			So(code, ShouldEqual, 2)
			So(errs, ShouldContainSubstring, "bad.toml:1: partitions:")
			So(p.Appends(), ShouldEqual, 0)
		})
	})
}

func startDemo() (*demo.Demo, error) {
	d, err := demo.Start(context.Background(), demo.Options{}, zerolog.Nop())
	if err != nil {
		return nil, err
	}

	x, stop := context.WithTimeout(context.Background(), 20*time.Second)
	defer stop()

	return d, d.WaitReady(x)
}

// Guards against a resent file that becomes a second job, and against exit codes that say "not run" about work that
// ran.
func TestCommandsAgainstDemo(t *testing.T) {
	d, err := startDemo()
	if err != nil {
		t.Fatal(err)
	}
	defer d.Stop()

	t.Setenv("AGATEGAP_KEY", demo.Key)

	daemons := d.OperatorAddress(0) + "," + d.OperatorAddress(3)

	Convey("A job is submitted, followed and read", t, func() {
		var b strings.Builder
		for i := range 30 {
			fmt.Fprintf(&b, `{"custom_id":"n%d","body":{"messages":[{"role":"user","content":"notice %d"}]}}`+"\n", i, i)
		}

		f := writeFile(t, "night.jsonl", b.String())

		// The first address refuses connections, so the next one is tried.
		a := "127.0.0.1:1," + d.CallerAddress(0)

		code, out, errs := runCommand("job", "submit", "-address", a, "-service", "signwriter", "-wait", "-json", "-deadline", "1h", f)
		So(errs, ShouldBeEmpty)
		So(code, ShouldEqual, 0)
		So(out, ShouldContainSubstring, `"state":"finished"`)
		So(out, ShouldContainSubstring, `"done":30`)

		id := strings.Split(out, `"`)[3]

		code, out, _ = runCommand("job", "submit", "-address", d.CallerAddress(4), "-service", "signwriter", f)
		So(code, ShouldEqual, 0)
		So(strings.TrimSpace(out), ShouldEqual, id)

		code, out, _ = runCommand("job", "results", "-address", d.CallerAddress(2), id)
		So(code, ShouldEqual, 0)
		So(strings.Count(out, "\n"), ShouldEqual, 30)

		code, out, _ = runCommand("job", "amend", "-address", d.CallerAddress(2), "-priority", "3", id)
		So(code, ShouldEqual, 0)
		So(out, ShouldContainSubstring, "priority")

		code, out, _ = runCommand("job", "status", "-address", d.CallerAddress(2), id)
		So(code, ShouldEqual, 0)
		So(out, ShouldContainSubstring, "30 items, 30 done")
	})
	Convey("Errors have the exit code of their outcome", t, func() {
		code, _, errs := runCommand("job", "status", "-address", d.CallerAddress(0), "job-none")
		So(code, ShouldEqual, 3)
		So(errs, ShouldContainSubstring, "not_found")

		code, _, _ = runCommand("job", "status", "-address", "127.0.0.1:1", "job-none")
		So(code, ShouldEqual, 3)

		code, _, errs = runCommand("job", "submit", "-address", d.CallerAddress(0), "-service", "signwriter", writeFile(t, "bad.jsonl", "{}\nx\n"))
		So(code, ShouldEqual, 2)
		So(errs, ShouldContainSubstring, "bad.jsonl:1: custom_id: is required")
		So(errs, ShouldContainSubstring, "bad.jsonl:2: line: not valid JSON")
	})
	Convey("A daemon with TLS is trusted by its authority only", t, func() {
		s := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, `{"id":"j","state":"finished"}`)
		}))
		s.Config.ErrorLog = log.New(io.Discard, "", 0)
		defer s.Close()

		p := writeFile(t, "a.pem", string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: s.Certificate().Raw})))
		code, out, _ := runCommand("job", "status", "-address", s.Listener.Addr().String(), "-authority", p, "j")
		So(code, ShouldEqual, 0)
		So(out, ShouldStartWith, "j finished")

		code, _, _ = runCommand("job", "status", "-address", s.URL, "j")
		So(code, ShouldEqual, 3)
	})
	Convey("dump, config and status read the daemons", t, func() {
		code, out, _ := runCommand("dump", "-daemons", daemons)
		So(code, ShouldEqual, 0)
		So(strings.Count(out, `"holder"`), ShouldEqual, 2)

		code, out, _ = runCommand("config", "-daemons", daemons)
		So(code, ShouldEqual, 0)
		So(strings.Count(out, "has version 1"), ShouldEqual, 2)

		code, out, _ = runCommand("status", "-platform", d.PlatformAddress(), "-interval", "0s")
		So(code, ShouldEqual, 0)
		So(out, ShouldContainSubstring, "6 of 6 daemons reached, configuration version 1")

		code, out, _ = runCommand("status", "-daemons", daemons+",127.0.0.1:1", "-interval", "10ms")
		So(code, ShouldEqual, 0)
		So(out, ShouldContainSubstring, "2 of 3 daemons reached")
		So(out, ShouldContainSubstring, "docs/OPERATIONS.md#daemon-not-reachable")
	})
	Convey("publish -wait waits for every daemon and names the ones that are not reachable", t, func() {
		p := writeFile(t, "next.toml", serviceDocument)
		code, out, errs := runCommand("publish", "-platform", d.PlatformAddress(), "-wait", "-daemons", daemons+",127.0.0.1:1", p)
		So(errs, ShouldBeEmpty)
		So(code, ShouldEqual, 0)
		So(out, ShouldContainSubstring, "2 of 3 daemons have adopted version 2")
		So(out, ShouldContainSubstring, "127.0.0.1:1 is not reachable")
	})
	Convey("No key reaches a dump, a metric or a status", t, func() {
		for _, a := range [][]string{{"dump", "-platform", d.PlatformAddress()}, {"status", "-platform", d.PlatformAddress()}} {
			_, out, _ := runCommand(a...)
			So(out, ShouldNotContainSubstring, demo.Key)
		}
	})
}
