package cmd_test

import (
	"encoding"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agategap/agategap/answers"
	"github.com/agategap/agategap/config"
	"github.com/agategap/agategap/finding"
	"github.com/agategap/agategap/settings"
)

// pageRow is one row of a table in docs/configuration.md.
type pageRow struct{ key, defaultValue, bounds string }

var rowPattern = regexp.MustCompile("(?m)^\\| `([^`]+)` \\| [^|]+ \\| ([^|]+) \\| ([^|]+) \\|")

// readPageRows returns the rows of one section of docs/configuration.md.
func readPageRows(title string) ([]pageRow, error) {
	b, err := os.ReadFile("../../docs/configuration.md")
	if err != nil {
		return nil, err
	}

	_, s, _ := strings.Cut(string(b), "\n## "+title+"\n")
	s, _, _ = strings.Cut(s, "\n## ")

	var l []pageRow
	for _, m := range rowPattern.FindAllStringSubmatch(s, -1) {
		l = append(l, pageRow{key: m[1], defaultValue: strings.Trim(strings.TrimSpace(m[2]), "`"), bounds: strings.TrimSpace(m[3])})
	}

	return l, nil
}

// tomlKeys returns the dotted TOML keys of a struct type, with [] after the key of a list of tables.
func tomlKeys(t reflect.Type, prefix string) []string {
	var l []string

	for i := range t.NumField() {
		f := t.Field(i)
		k, _, _ := strings.Cut(f.Tag.Get("toml"), ",")

		switch {
		case reflect.PointerTo(f.Type).Implements(reflect.TypeFor[encoding.TextUnmarshaler]()):
			l = append(l, prefix+k)
		case f.Type.Kind() == reflect.Struct:
			l = append(l, tomlKeys(f.Type, prefix+k+".")...)
		case f.Type.Kind() == reflect.Slice && f.Type.Elem().Kind() == reflect.Struct:
			l = append(l, tomlKeys(f.Type.Elem(), prefix+k+"[].")...)
		default:
			l = append(l, prefix+k)
		}
	}

	return l
}

var boundsPattern = regexp.MustCompile(`^([0-9][0-9a-z.]*) to ([0-9][0-9a-z.]*)`)

// valuesOutsideBounds returns one value just below and one just above the bounds of a row as TOML, or nil if the row
// states no range.
func valuesOutsideBounds(r pageRow) []string {
	m := boundsPattern.FindStringSubmatch(r.bounds)
	if m == nil {
		return nil
	}

	if a, err := strconv.ParseFloat(m[1], 64); err == nil {
		b, _ := strconv.ParseFloat(m[2], 64)
		if m[1] == "0" && m[2] == "1" {
			return []string{"-0.1", "1.1"}
		}

		return []string{fmt.Sprintf("%.0f", a-1), fmt.Sprintf("%.0f", b+1)}
	}

	a, _ := time.ParseDuration(m[1])
	b, _ := time.ParseDuration(m[2])

	return []string{fmt.Sprintf("%q", a-time.Nanosecond), fmt.Sprintf("%q", b+time.Nanosecond)}
}

// documentWithValue returns a TOML document with one key and its value. A key in a list of tables gets one table.
func documentWithValue(key, value string) string {
	t, k, ok := strings.Cut(key, "[].")
	if !ok {
		return key + " = " + value + "\n"
	}

	form := ""
	if t == "flows" {
		form = "form = \"batch\"\n"
	}

	return "[[" + t + "]]\n" + form + k + " = " + value + "\n"
}

// Guards against a page that lacks a key, has one that does not exist, or states a range that differs from the code.
func TestConfigurationPage(t *testing.T) {
	for _, c := range []struct {
		title string
		typ   reflect.Type
		parse func(string) error
	}{
		{"Settings", reflect.TypeFor[settings.Daemon](), func(s string) error { _, err := settings.ParseDaemon("f", []byte(s)); return err }},
		{"Published configuration", reflect.TypeFor[config.Document](), func(s string) error { _, err := config.Parse("f", []byte(s)); return err }},
		{"Questionnaire", reflect.TypeFor[answers.Questionnaire](), func(s string) error { _, err := answers.Generate("f", []byte(s)); return err }},
	} {
		Convey(c.title+" lists exactly the keys of the code, with their ranges", t, func() {
			l, err := readPageRows(c.title)
			So(err, ShouldBeNil)

			var got []string

			for _, r := range l {
				got = append(got, r.key)

				for _, v := range valuesOutsideBounds(r) {
					So(findingMessage(c.parse(documentWithValue(r.key, v)), strings.Replace(r.key, "[]", "[0]", 1)), ShouldNotBeEmpty)
				}
			}

			want := tomlKeys(c.typ, "")

			slices.Sort(got)
			slices.Sort(want)
			So(got, ShouldResemble, want)
		})
	}
}

// findingMessage returns the message of the finding about a key, or an empty string if there is none.
func findingMessage(err error, key string) string {
	var l *finding.List
	if !errors.As(err, &l) {
		return ""
	}

	for _, f := range l.Findings() {
		if f.Key() == key {
			return f.Message()
		}
	}

	return ""
}

// Guards against a page that states a default that differs from the code.
func TestConfigurationPageDefaults(t *testing.T) {
	Convey("The page states the defaults of the published configuration that the code has", t, func() {
		d := config.Default()
		s := config.DefaultService()
		s.Name, s.Kind = "x", config.KindPlain
		d.Services = append(d.Services, s)
		b, err := config.Marshal(d)
		So(err, ShouldBeNil)

		l, err := readPageRows("Published configuration")
		So(err, ShouldBeNil)

		checked := 0

		for _, r := range l {
			k := r.key[strings.LastIndexAny(r.key, ".")+1:]
			if strings.HasPrefix(r.key, "accounts") || strings.HasPrefix(r.key, "targets") || r.defaultValue == "-" || r.defaultValue == "the name" {
				continue
			}

			checked++
			// go-toml writes strings in single quotes.
			So(string(b), ShouldContainSubstring, k+" = "+strings.ReplaceAll(r.defaultValue, `"`, "'"))
		}

		So(checked, ShouldBeGreaterThan, 15)
	})
}

// Guards against a metric or a line of agategap status that the operations page does not explain.
func TestOperationsPage(t *testing.T) {
	Convey("Every metric, and every section that status refers to, is on the page", t, func() {
		b, err := os.ReadFile("../../docs/OPERATIONS.md")
		So(err, ShouldBeNil)

		page := string(b)
		metric := regexp.MustCompile(`(?:Counter|Gauge|Histogram|Timer)\("([a-z_]+)"`)
		section := regexp.MustCompile(`s\.addf\("([a-z-]+)"`)

		err = filepath.WalkDir("../..", func(p string, _ os.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(p, ".go") || strings.HasSuffix(p, "_test.go") {
				return err
			}

			s, err := os.ReadFile(p)

			for _, m := range metric.FindAllSubmatch(s, -1) {
				So(page, ShouldContainSubstring, "`agategap_"+string(m[1])+"`")
			}

			for _, m := range section.FindAllSubmatch(s, -1) {
				So(strings.ToLower(page), ShouldContainSubstring, "\n## "+strings.ReplaceAll(string(m[1]), "-", " ")+"\n")
			}

			return err
		})
		So(err, ShouldBeNil)
	})
}

// Guards against a command without a manual page, a flag that its page lacks, and a usage text without an example.
func TestManualPages(t *testing.T) {
	Convey("Every command has a manual page with all its flags", t, func() {
		_, out, _ := runCommand("help")
		command := regexp.MustCompile(`(?m)^  ([a-z]+) `)
		flag := regexp.MustCompile(`(?m)^  -([a-z-]+)`)

		l := command.FindAllStringSubmatch(out, -1)
		So(len(l), ShouldBeGreaterThan, 8)

		for _, m := range l {
			b, err := os.ReadFile("../../man/agategap-" + m[1] + ".1.md")
			So(err, ShouldBeNil)

			for _, a := range [][]string{
				{m[1], "-h"},
				{m[1], "submit", "-h"},
				{m[1], "status", "-h"},
				{m[1], "results", "-h"},
				{m[1], "amend", "-h"},
				{m[1], "platform", "-h"},
				{m[1], "engine", "-h"},
				{m[1], "service", "-h"},
			} {
				if len(a) == 3 && m[1] != "job" && m[1] != "standin" {
					continue
				}

				_, _, help := runCommand(a...)
				So(help, ShouldContainSubstring, "Example:")

				for _, f := range flag.FindAllStringSubmatch(help, -1) {
					So(string(b), ShouldContainSubstring, "`-"+f[1]+"`")
				}
			}
		}
	})
}
