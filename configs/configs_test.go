package configs_test

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/agategap/agategap/config"
	"github.com/agategap/agategap/configs"
	"github.com/agategap/agategap/stream"
	"github.com/agategap/agategap/wire"
)

func TestMain(m *testing.M) {
	flag.Parse()

	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("20261204")
	}

	os.Exit(m.Run())
}

func documentText(n int) []byte { return []byte(fmt.Sprintf("partitions = %d\n", n)) }

func encode(v config.Version) []byte {
	b, err := (wire.VersionCodec{}).EncodeVersion(v)
	if err != nil {
		panic(err)
	}

	return b
}

// testStream is a keyed stream. It keeps the newest record of each key for good, and the others from the offset oldest
// on.
type testStream struct {
	records []stream.KeyedRecord
	oldest  int64 // first offset at which reading can start
}

func (m *testStream) put(key string, v []byte) {
	m.records = append(m.records, stream.NewKeyedRecord(int64(len(m.records)), key, v))
}

// newest returns the newest record of each key in random order.
func (m *testStream) newest() []stream.KeyedRecord {
	k := map[string]stream.KeyedRecord{}
	for _, r := range m.records {
		k[r.Key()] = r
	}

	var l []stream.KeyedRecord
	for _, r := range k {
		l = append(l, r)
	}

	return l
}

// testReader is the Controller of a daemon, with its position in the stream.
type testReader struct {
	*configs.Controller

	next   int64
	loaded bool
}

func newTestReader() *testReader {
	return &testReader{Controller: configs.New(wire.VersionCodec{}, zerolog.Nop())}
}

// read applies at most n records. A new reader, or one whose next record was dropped, first applies the newest record
// of each key.
func (r *testReader) read(m *testStream, n int) {
	if !r.loaded || r.next < m.oldest {
		r.Reset(m.newest(), int64(len(m.records)))
		r.next, r.loaded = int64(len(m.records)), true
	}

	for ; n > 0 && r.next < int64(len(m.records)); n-- {
		r.Apply(m.records[r.next])
		r.next++
	}
}

// Guards against daemons that disagree on the version in force or go back to an older one, when invalid versions are
// published, the log drops history, daemons are replaced and daemons receive versions of peers.
func TestReadersAgreeOnVersion(t *testing.T) {
	const keys = 8 // versions that the log keeps for good

	rapid.Check(t, func(t *rapid.T) {
		var (
			log     testStream
			valid   []int64 // offsets of valid versions
			readers = []*testReader{newTestReader(), newTestReader(), newTestReader()}
			last    = map[*testReader]int64{}
		)

		draw := func() *testReader { return readers[rapid.IntRange(0, 2).Draw(t, "reader")] }

		t.Repeat(map[string]func(*rapid.T){
			"publish": func(t *rapid.T) {
				o := len(log.records)
				n := rapid.IntRange(0, 4).Draw(t, "partitions") // 0 is invalid
				// Publishers refuse invalid versions, so there are few of them in the stream: at most two after a valid
				// version.
				if n == 0 && o > 0 && (len(valid) == 0 || valid[len(valid)-1] < int64(o-2)) {
					n = 1
				}

				if n > 0 {
					valid = append(valid, int64(o))
				}

				log.put(fmt.Sprint((o+1)%keys), encode(config.Version{Text: documentText(n)}))
			},
			"read":     func(t *rapid.T) { draw().read(&log, rapid.IntRange(1, 6).Draw(t, "records")) },
			"read all": func(*rapid.T) { draw().read(&log, len(log.records)) },
			"drop":     func(t *rapid.T) { log.oldest = rapid.Int64Range(log.oldest, int64(len(log.records))).Draw(t, "oldest") },
			"receive": func(*rapid.T) {
				if f := draw().InForce(); f.Number() > 0 {
					if err := draw().Receive(f.Number(), f.Version()); err != nil {
						t.Fatal(err)
					}
				}
			},
			"replace": func(t *rapid.T) { readers[rapid.IntRange(0, 2).Draw(t, "reader")] = newTestReader() },
			"": func(t *rapid.T) {
				for _, r := range readers {
					o := r.InForce().Number()
					if o < last[r] {
						t.Fatalf("a reader went back from version %d to %d", last[r], o)
					}

					last[r] = o

					want := int64(0) // newest valid version among the records that were read
					for _, v := range valid {
						if v < r.next {
							want = v + 1
						}
					}

					if o < want {
						t.Fatalf("version %d is in force at a reader that has read up to %d; it should be %d", o, r.next, want)
					}

					if o > want && o > int64(len(log.records)) {
						t.Fatalf("version %d is in force and was never published", o)
					}
				}
			},
		})
	})
}

// Guards against a new daemon that has no configuration because the log has dropped old records, or because the newest
// versions are invalid or cannot be decoded.
func TestConfigurationSurvivesTruncation(t *testing.T) {
	Convey("Given more versions than the log keeps, the newest of which are invalid", t, func() {
		var m testStream

		for i := 1; i <= 20; i++ {
			m.put(fmt.Sprint(i%8), encode(config.Version{Author: "ada", Text: documentText(i)}))
		}

		m.put("5", encode(config.Version{Author: "bo", Text: documentText(0)}))
		m.put("6", []byte("?"))
		m.oldest = int64(len(m.records))

		Convey("a daemon that starts has the newest valid version", func() {
			r := newTestReader()
			r.read(&m, 0)
			So(r.InForce().Number(), ShouldEqual, 20)
			So(r.InForce().Document().Partitions, ShouldEqual, 20)
		})
	})
}
