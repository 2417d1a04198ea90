package settings_test

import (
	"errors"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agategap/agategap/finding"
	"github.com/agategap/agategap/settings"
)

const validSettings = `vm = "entry-1"
failure_domain = "kv-cheras"
caller_address = "127.0.0.1:7001"
operator_address = "127.0.0.1:7101"
peer_address = "127.0.0.1:7301"
platform = "127.0.0.1:7000"
`

func parseFindings(text string) []string {
	_, err := settings.ParseDaemon("entry.toml", []byte(text))

	var l *finding.List
	if !errors.As(err, &l) {
		return nil
	}

	return strings.Split(l.Error(), "\n")
}

// Guards against a mistake in settings that is ignored, reported without its place, or hides the others.
func TestSettingsFindings(t *testing.T) {
	Convey("Valid settings have no findings", t, func() {
		So(parseFindings(validSettings), ShouldBeNil)
	})
	Convey("Each mistake is reported at its line", t, func() {
		for _, c := range []struct{ add, want string }{
			{"drain_wiat = \"1s\"\n", "entry.toml:7: drain_wiat: unknown key"},
			{"drain_wait = \"3 seconds\"\n", "entry.toml:7: drain_wait: \"3 seconds\" is not a length of time"},
			{"drain_wait = 3\n", "entry.toml:7: drain_wait: \"3\" is not a length of time; use a number with a unit"},
			{"peers = [\"node.example:1\"]\n", "entry.toml:7: peers[0]: \"node.example:1\" is not an IP number"},
			{"peers = [\"10.0.0.1:1\", \"10.0.0.1:1\"]\n", "entry.toml:7: peers[1]: \"10.0.0.1:1\" occurs twice"},
			{"peer_keys = [\"short\"]\n", "entry.toml:7: peer_keys[0]: key 0 has 5 bytes"},
			{"[caller_tls]\nkey = \"k.pem\"\n", "entry.toml:7: caller_tls: certificate and key are set together"},
			{"vm = \"again\"\n", "entry.toml:7: "},
			{"policy = \n", "entry.toml:7: : syntax error"},
		} {
			f := parseFindings(validSettings + c.add)
			So(len(f), ShouldEqual, 1)
			So(f[0], ShouldStartWith, c.want)
		}
	})
	Convey("Findings of every kind are reported together", t, func() {
		f := parseFindings("vm = 5\nfailure_domain = \"d\"\ndrain_most = [7]\nunknown = 1\npeer_address = \"10.0.0.7:1\"\n")
		So(len(f), ShouldEqual, 7)
		So(f[0], ShouldStartWith, "entry.toml:1: ")
		So(strings.Join(f, "\n"), ShouldContainSubstring, "entry.toml:4: unknown: unknown key")
		So(strings.Join(f, "\n"), ShouldContainSubstring, "peer_keys: is required, as 10.0.0.7:1 is reachable")
	})
	Convey("A length of time of 0 is not replaced by the default", t, func() {
		d, err := settings.ParseDaemon("entry.toml", []byte(validSettings+"drain_wait = \"0s\"\n"))
		So(err, ShouldBeNil)
		So(d.DrainWait.Value(), ShouldEqual, 0)
	})
}

// Guards against settings that make the parser panic.
func FuzzParseDaemon(f *testing.F) {
	for _, s := range []string{validSettings, "", "a.b = 1", "[[x]]\n[x.y]\nz = {q = [1, {r = 2}]}", "vm = 'a", "= 1", "vm = 1\nvm = 2"} {
		f.Add(s)
	}

	f.Fuzz(func(t *testing.T, s string) {
		d, err := settings.ParseDaemon("f", []byte(s))
		if err == nil && d.VM == "" {
			t.Error("settings without a VM name were accepted")
		}
	})
}
