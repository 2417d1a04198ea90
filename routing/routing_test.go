package routing_test

import (
	"flag"
	"fmt"
	"os"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/agategap/agategap/routing"
)

// TestMain fixes the seed of the properties, so that CI repeats itself.
// More runs: go test ./routing -rapid.checks 1000 -rapid.seed N.
func TestMain(m *testing.M) {
	flag.Parse()

	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("20261204")
	}

	if f := flag.Lookup("rapid.checks"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("100")
	}

	os.Exit(m.Run())
}

func newTable(version int64, r ...routing.Spec) *routing.Table {
	l := make([]routing.Route, len(r))
	for i, s := range r {
		l[i] = routing.New(s)
	}

	return routing.NewTable(version, l, routing.Limits{}, nil)
}

// Guards against requests that go to a route of another host or to a shorter prefix.
func TestMatchPrefersLongestPrefix(t *testing.T) {
	x := newTable(
		1,
		routing.Spec{Name: "short", Host: "a", Prefix: "/x/"},
		routing.Spec{Name: "long", Host: "a", Prefix: "/x/y/"},
		routing.Spec{Name: "other", Host: "b", Prefix: "/x/y/z/"},
	)

	Convey("The longest prefix of the host wins", t, func() {
		for path, name := range map[string]string{"/x/1": "short", "/x/y/1": "long", "/x/y/z/1": "long", "/x/yy": "short"} {
			r, ok := x.Match("a", path)
			So(ok, ShouldBeTrue)
			So(r.Name(), ShouldEqual, name)
		}

		for _, path := range []string{"/", "/x", "/z/x/"} {
			_, ok := x.Match("a", path)
			So(ok, ShouldBeFalse)
		}

		_, ok := x.Match("c", "/x/1")
		So(ok, ShouldBeFalse)
	})
}

// Guards against repeating what may run only once.
func TestRepeatableRoutes(t *testing.T) {
	Convey("Only safe requests, resumable streams and batch items may be repeated", t, func() {
		So(routing.New(routing.Spec{Kind: routing.Safe}).Repeatable(), ShouldBeTrue)
		So(routing.New(routing.Spec{Kind: routing.Batch}).Repeatable(), ShouldBeTrue)
		So(routing.New(routing.Spec{Kind: routing.Streaming, Resumable: true}).Repeatable(), ShouldBeTrue)
		So(routing.New(routing.Spec{Kind: routing.Streaming}).Repeatable(), ShouldBeFalse)
		So(routing.New(routing.Spec{Kind: routing.Unsafe, Resumable: true}).Repeatable(), ShouldBeFalse)
		So(routing.Route{}.Repeatable(), ShouldBeFalse)
	})
}

// Guards against a split that ignores its weights.
func TestServiceForFollowsWeights(t *testing.T) {
	r := routing.New(routing.Spec{Backends: []routing.Backend{routing.NewBackend("a", 90), routing.NewBackend("b", 10)}})

	n := 0

	for i := range 10000 {
		if r.ServiceFor(fmt.Sprint("request-", i)) == "b" {
			n++
		}
	}

	Convey("Requests are spread in proportion to the weights", t, func() {
		So(n, ShouldBeBetween, 800, 1200)
	})
}

// Guards against a version that goes back.
func TestVersionsNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c routing.Current

		best := int64(0)

		for _, v := range rapid.SliceOf(rapid.Int64Range(1, 50)).Draw(t, "versions") {
			if c.UpdateIfNewer(newTable(v)) != (v > best) {
				t.Fatalf("version %d was taken over %d or left out", v, best)
			}

			best = max(best, v)

			if c.Version() != best {
				t.Fatalf("version %d is in force, not %d", c.Version(), best)
			}
		}
	})
}
