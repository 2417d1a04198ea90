package cmd_test

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agategap/agategap/standin/platform"
)

// Guards against a publication onto a stream that lost the version in force, whose fate no daemon could tell, and
// against a log that can never have a configuration again.
func TestPublishOnALogThatLostEveryVersion(t *testing.T) {
	Convey("Given a log that dropped the version in force", t, func() {
		const retention = 700 * time.Millisecond

		p := platform.New(platform.Options{Retention: retention})
		s := httptest.NewServer(p.Handler())
		defer s.Close()

		a := strings.TrimPrefix(s.URL, "http://")
		one := write(t, "1.toml", services+"deadline = \"1s\"\n")

		_, _, _ = run("publish", "-platform", a, one)
		time.Sleep(retention + retention/4)

		code, _, errs := run("publish", "-platform", a, one)
		So(code, ShouldEqual, 3)
		So(errs, ShouldContainSubstring, "-force")

		code, out, _ := run("publish", "-platform", a, "-force", one)
		So(code, ShouldEqual, 0)
		So(out, ShouldContainSubstring, "version 2 is in force")
	})
}
