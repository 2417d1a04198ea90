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

// decisionPackages are the packages that only make decisions. They do not access the network or the operating system.
var decisionPackages = []string{
	"outcome", "finding", "shard", "filter", "config", "answers", "journal", "appender", "snapshot", "lease", "job",
	"sched", "balance", "retry", "member", "drain", "place", "routing", "fleet", "pool", "batch", "stream",
	"internal/serve/patience", "internal/serve/quarantine", "internal/serve/urgency", "internal/model/load", "internal/model/fleet",
	"internal/batch/places", "internal/batch/waiting",
}

// platformWireNames are header names, paths, topics and fields of the platform's wire format.
var platformWireNames = []string{
	"Server-Signature", "Not-Executed", "Expect-Instance", "Prompt-Prefix", "Deadline-Ms", "Wait-Ms", "Last-Event-Id",
	"log-append", "log-read", "log-newest", "keyed.op", "keyed.servers", "latency_slo_ms", "dead_letter", "/lots/",
}

// Guards against names of the platform's wire format outside of the adapter, package platform, which would tie agategap
// to one platform.
func TestPlatformNamesStayInTheAdapter(t *testing.T) {
	Convey("Only the adapter, the stand-ins and tests use names of the platform's wire format", t, func() {
		err := filepath.WalkDir(".", func(p string, d os.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(p, ".go") || strings.HasSuffix(p, "_test.go") {
				return err
			}

			if strings.HasPrefix(p, "platform") || strings.HasPrefix(p, "standin") {
				return nil
			}

			b, err := os.ReadFile(p)

			for _, n := range platformWireNames {
				if strings.Contains(string(b), n) {
					So(p, ShouldNotEndWith, ".go")
				}
			}

			return err
		})
		So(err, ShouldBeNil)
	})
}

// Guards against a decision package that imports net or os. Access to the network or the operating system would tie it
// to one front end.
func TestDecisionPackagesDoNoInputOrOutput(t *testing.T) {
	Convey("No decision package imports net, one of its subpackages or os", t, func() {
		for _, d := range decisionPackages {
			f, err := filepath.Glob(filepath.Join(d, "*.go"))
			So(err, ShouldBeNil)

			for _, p := range f {
				if !strings.HasSuffix(p, "_test.go") {
					So(findForbiddenImports(p), ShouldBeEmpty)
				}
			}
		}
	})
}

// findForbiddenImports returns the imports of a Go file that a decision package must not have. If the file cannot be
// parsed, it returns the error.
func findForbiddenImports(path string) []string {
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
