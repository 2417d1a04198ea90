package main_test

import (
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// decisions are the packages that do no input or output.
var decisions = []string{
	"outcome", "finding", "shard", "filter", "config", "answers", "journal", "appender", "snapshot", "lease", "job",
	"sched", "balance", "retry", "member", "drain", "place", "routing", "fleet", "pool", "batch", "stream",
}

// wireNames are names of the platform's wire form.
var wireNames = []string{
	"Server-Signature", "Not-Executed", "Expect-Instance", "Prompt-Prefix", "Deadline-Ms", "Wait-Ms", "Last-Event-Id",
	"log-append", "log-read", "log-newest", "keyed.op", "keyed.servers", "latency_slo_ms", "dead_letter", "/lots/",
}

// Guards against the platform's names in the product, which would tie it to one platform.
func TestPlatformNamesStayInTheAdapter(t *testing.T) {
	Convey("Only the adapter, the stand-ins and tests know the platform's wire form", t, func() {
		err := filepath.WalkDir(".", func(p string, d os.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(p, ".go") || strings.HasSuffix(p, "_test.go") {
				return err
			}

			if strings.HasPrefix(p, "platform") || strings.HasPrefix(p, "standin") {
				return nil
			}

			b, err := os.ReadFile(p)

			for _, n := range wireNames {
				if strings.Contains(string(b), n) {
					So(p, ShouldNotEndWith, ".go")
				}
			}

			return err
		})
		So(err, ShouldBeNil)
	})
}

// Guards against a decision package that reaches the network or the machine, which would tie it to one front end.
func TestDecisionPackagesDoNoInputOrOutput(t *testing.T) {
	Convey("No decision package imports net, one of its subpackages or os", t, func() {
		for _, d := range decisions {
			f, err := filepath.Glob(filepath.Join(d, "*.go"))
			So(err, ShouldBeNil)

			for _, p := range f {
				if !strings.HasSuffix(p, "_test.go") {
					So(forbidden(p), ShouldBeEmpty)
				}
			}
		}
	})
}

func forbidden(path string) []string {
	a, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
	if err != nil {
		return []string{err.Error()}
	}

	var l []string

	for _, i := range a.Imports {
		p, _ := strconv.Unquote(i.Path.Value)
		if p == "os" || p == "net" || strings.HasPrefix(p, "net/") {
			l = append(l, path+" imports "+p)
		}
	}

	return l
}
