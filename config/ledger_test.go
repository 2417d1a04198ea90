package config_test

import (
	"flag"
	"fmt"
	"os"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/agategap/agategap/config"
)

func TestMain(m *testing.M) {
	flag.Parse()

	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("20261204")
	}

	os.Exit(m.Run())
}

func text(n int) []byte { return []byte(fmt.Sprintf("partitions = %d\n", n)) }

// reader is one daemon that follows the stream.
type reader struct {
	ledger config.Ledger
	offset int64
}

// read applies at most n records; a reader whose offset was dropped goes on at the oldest record.
func (r *reader) read(log []config.Version, oldest, n int) {
	if int(r.offset) < oldest-1 {
		r.ledger.Restart(int64(oldest))
		r.offset = int64(oldest) - 1
	}

	for ; n > 0 && int(r.offset) < len(log); n-- {
		r.offset++
		_, _ = r.ledger.Apply(r.offset, log[r.offset-1])
	}
}

// Guards against daemons that disagree on the version in force, or go back to an older one: two operators publish
// against the same version, one publishes an invalid one, the log drops records, the version in force is republished
// by a reader that may lag, and a reader takes versions from a peer.
func TestEveryReaderFindsTheSameVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var (
			log     []config.Version
			truth   reader
			readers = []*reader{{}, {}, {}}
			last    = map[*reader]int64{}
			oldest  = 1
			history = map[int64]int64{} // version in force after an offset
		)

		put := func(v config.Version) {
			log = append(log, v)
			truth.read(log, 1, 1)
			history[int64(len(log))] = truth.ledger.InForce().Offset()
		}
		draw := func() *reader { return readers[rapid.IntRange(0, 2).Draw(t, "reader")] }

		t.Repeat(map[string]func(*rapid.T){
			"publish": func(t *rapid.T) {
				n := rapid.IntRange(0, 4).Draw(t, "partitions") // -1 is invalid
				put(config.Version{BaseOn: draw().ledger.InForce().Offset(), Text: text(n - 1)})
			},
			"read":     func(t *rapid.T) { draw().read(log, oldest, rapid.IntRange(1, 6).Draw(t, "records")) },
			"read all": func(*rapid.T) { draw().read(log, oldest, len(log)) },
			"republish": func(*rapid.T) {
				r := draw()
				if v, ok := r.ledger.Restate(r.offset); ok {
					put(v)
				}
			},
			"drop": func(t *rapid.T) { oldest = rapid.IntRange(oldest, len(log)+1).Draw(t, "oldest") },
			"receive": func(*rapid.T) {
				f := draw().ledger.InForce()
				if f.Offset() > 0 {
					_, _ = draw().ledger.Receive(f.Offset(), f.Version())
				}
			},
			"replace": func(t *rapid.T) { readers[rapid.IntRange(0, 2).Draw(t, "reader")] = &reader{} },
			"": func(t *rapid.T) {
				for _, r := range readers {
					o := r.ledger.InForce().Offset()
					if o < last[r] {
						t.Fatalf("a reader went back from version %d to %d", last[r], o)
					}

					last[r] = o

					if o > 0 && history[o] != o {
						t.Fatalf("version %d is in force at a reader and never was", o)
					}

					if !r.ledger.Broken() && r.offset >= o && o != history[r.offset] {
						t.Fatalf("version %d is in force at offset %d; it should be %d", o, r.offset, history[r.offset])
					}
				}
			},
		})
	})
}

// Guards against a new daemon that adopts a version which lost against one that the log has dropped.
func TestLoserBehindAGapIsNotAdopted(t *testing.T) {
	Convey("Given a stream whose first records were dropped", t, func() {
		var l config.Ledger

		l.Restart(3)

		d, err := l.Apply(3, config.Version{BaseOn: 1, Text: text(5)}) // lost against version 2
		So(err, ShouldBeNil)
		So(d, ShouldEqual, config.Held)
		So(l.InForce().Offset(), ShouldEqual, 0)

		Convey("a republication brings the version in force", func() {
			d, err := l.Apply(4, config.Version{BaseOn: 1, Text: text(4), Restates: 2, Through: 3})
			So(err, ShouldBeNil)
			So(d, ShouldEqual, config.Adopted)
			So(l.InForce().Offset(), ShouldEqual, 2)
			So(l.InForce().Document().Partitions, ShouldEqual, 4)
		})
		Convey("a republication from before the gap does not", func() {
			d, _ := l.Apply(4, config.Version{Text: text(4), Restates: 1, Through: 1})
			So(d, ShouldEqual, config.Held)
		})
		Convey("a forced version ends the search when no copy is left", func() {
			d, err := l.Apply(4, config.Version{Text: text(6), Force: true})
			So(err, ShouldBeNil)
			So(d, ShouldEqual, config.Adopted)
		})
	})
}

func ExampleLedger() {
	var l config.Ledger

	_, _ = l.Apply(1, config.Version{Author: "ada", Text: text(4)})

	// Two operators publish against version 1; the first record counts.
	a, _ := l.Apply(2, config.Version{BaseOn: 1, Author: "bo", Text: text(8)})
	b, _ := l.Apply(3, config.Version{BaseOn: 1, Author: "cy", Text: text(16)})
	fmt.Println(a == config.Adopted, b == config.Conflict)
	fmt.Println(l.InForce().Offset(), l.InForce().Version().Author)
	// Output:
	// true true
	// 2 bo
}
