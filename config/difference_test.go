package config_test

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agategap/agategap/config"
	"github.com/agategap/agategap/tomlfile"
)

// Guards against a difference that calls an order of services a change, or hides a changed setting.
func TestDiff(t *testing.T) {
	Convey("Only changed settings are reported, by name", t, func() {
		a, b := config.Default(), config.Default()
		x, y := config.DefaultService(), config.DefaultService()
		x.Name, y.Name = "x", "y"
		a.Services = []config.ServiceRecord{x, y}
		b.Services = []config.ServiceRecord{y, x}
		So(config.Diff(a, b), ShouldBeEmpty)

		b.Services[1].Deadline = tomlfile.NewDuration(time.Second)
		b.Bounds.SpillShare = 0

		l := config.Diff(a, b)
		So(len(l), ShouldEqual, 2)
		So(l[0].String(), ShouldEqual, "~ bounds.spill_share = 0.2 -> 0")
		So(l[1].String(), ShouldEqual, `~ services[x].deadline = "30s" -> "1s"`)

		b.Services = b.Services[:1]
		So(config.Diff(a, b)[1].String(), ShouldStartWith, "- services[x].")
	})
}
