package config_test

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agategap/agategap/config"
)

// Guards against a configuration mistake that is accepted or reported without its place.
func TestConfigurationFindings(t *testing.T) {
	Convey("Every finding is reported at its line", t, func() {
		_, err := config.Parse("c.toml", []byte(`partitions = 0
[bounds]
retry_share = 1.5
slow_shar = 0.1
[[services]]
name = "notices"
kind = "plain"
hedge = true
deadline = "5"
[[services]]
name = "notices"
kind = "engine"
max_attempts = 0
`))
		So(err, ShouldNotBeNil)

		l := strings.Split(err.Error(), "\n")
		So(l, ShouldResemble, []string{
			"c.toml:1: partitions: 0 is outside 1 to 4096",
			"c.toml:3: bounds.retry_share: 1.5 is not a share from 0 to 1",
			"c.toml:4: bounds.slow_shar: unknown key",
			"c.toml:8: services[0].hedge: work that may not be repeated cannot be hedged; set idempotent or remove hedge",
			`c.toml:9: services[0].deadline: "5" is not a length of time; use a number with a unit, such as 250ms, 5s or 24h`,
			`c.toml:11: services[1].name: "notices" occurs twice`,
			"c.toml:13: services[1].max_attempts: 0 is outside 1 to 20",
		})
	})
}

// Guards against a share of 0, which switches a mechanism off, being replaced by the default.
func TestZeroShareIsKept(t *testing.T) {
	Convey("A share of 0 stays 0 and an absent one gets its default", t, func() {
		d, err := config.Parse("c.toml", []byte("bounds = {retry_share = 0.0}\n"))
		So(err, ShouldBeNil)
		So(d.Bounds.RetryShare, ShouldEqual, 0)
		So(d.Bounds.SpillShare, ShouldEqual, 0.2)

		Convey("also through Marshal", func() {
			b, err := config.Marshal(d)
			So(err, ShouldBeNil)

			e, err := config.Parse("d.toml", b)
			So(err, ShouldBeNil)
			So(e.Bounds, ShouldResemble, d.Bounds)
		})
	})
}
