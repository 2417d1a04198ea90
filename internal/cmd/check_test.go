package cmd_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agategap/agategap/internal/cmd"
)

// runCommand returns the exit code and both outputs of a command.
func runCommand(args ...string) (int, string, string) {
	var o, e bytes.Buffer

	c := cmd.Main(args, strings.NewReader(""), &o, &e)

	return c, o.String(), e.String()
}

func writeFile(t *testing.T, name, text string) string {
	t.Helper()

	p := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(p, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}

	return p
}

// Guards against a check that applies the rules of another kind of file, or reports findings with another exit
// code than 2.
func TestCheckDetectsKind(t *testing.T) {
	Convey("Files of all kinds are checked in one call", t, func() {
		code, out, _ := runCommand("generate", "../../examples/lintas.toml")
		So(code, ShouldEqual, 0)

		c := writeFile(t, "c.toml", out)
		s := writeFile(t, "s.toml", "vm = \"a\"\nfailure_domain = \"d\"\ncaller_address = \"127.0.0.1:1\"\noperator_address = \"127.0.0.1:2\"\npeer_address = \"127.0.0.1:3\"\nplatform = \"127.0.0.1:4\"\n")
		code, out, _ = runCommand("check", c, s, "../../examples/faellesvagt.toml")
		So(code, ShouldEqual, 0)
		So(out, ShouldContainSubstring, "3 files")
	})
	Convey("Findings of several files are printed and the exit code is 2", t, func() {
		a, b := writeFile(t, "a.toml", "vm = 1\n"), writeFile(t, "b.toml", "partitions = 0\nx = 1\n")
		code, _, errs := runCommand("check", a, b, "missing.toml")
		So(code, ShouldEqual, 2)
		So(errs, ShouldContainSubstring, "b.toml:1: partitions: 0 is outside")
		So(errs, ShouldContainSubstring, "b.toml:2: x: unknown key")
		So(errs, ShouldContainSubstring, "missing.toml:0: file: ")
		So(errs, ShouldContainSubstring, "a.toml:1: ")
	})
	Convey("A file whose kind is unclear is a finding, unless -kind says it", t, func() {
		p := writeFile(t, "u.toml", "x = 1\n")
		code, _, errs := runCommand("check", p)
		So(code, ShouldEqual, 2)
		So(errs, ShouldContainSubstring, "set -kind")

		code, _, errs = runCommand("check", "-kind", "configuration", p)
		So(code, ShouldEqual, 2)
		So(errs, ShouldContainSubstring, "u.toml:1: x: unknown key")
	})
}
