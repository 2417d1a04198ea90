package mesh_test

import (
	"context"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/agategap/agategap/mesh"
	"github.com/agategap/agategap/stream"
	"github.com/agategap/agategap/wire"
)

// fakeLog is a log in memory that refuses the first few appends.
type fakeLog struct {
	mu       sync.Mutex
	refusals int
	records  []stream.KeyedRecord
}

func (l *fakeLog) Append(_ context.Context, _ string, _ int, r []stream.KeyedRecord, _ int64) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if l.refusals > 0 {
		l.refusals--

		return 0, stream.ErrRefused
	}

	for _, k := range r {
		l.records = append(l.records, k.WithOffset(int64(len(l.records))))
	}

	return int64(len(l.records) - len(r)), nil
}

func (l *fakeLog) appended() []stream.KeyedRecord {
	l.mu.Lock()
	defer l.mu.Unlock()

	return append([]stream.KeyedRecord(nil), l.records...)
}

// Guards against a daemon that is not found because the log refused its first record, and against records of removed
// VMs that stay in the log forever.
func TestMembers(t *testing.T) {
	Convey("Given two daemons that share a log", t, func() {
		l := &fakeLog{refusals: 1}
		now := at(0)

		var added []string

		member := func(vm string) *mesh.Members {
			m := mesh.NewMembers(l, "members", mesh.Record{Peer: peer(vm, 1), Region: "r", Operator: vm + ":2"},
				func(p mesh.Peer) { added = append(added, p.VM) }, func() time.Time { return now }, zerolog.Nop())
			m.SetLogDown(false, now)

			return m
		}
		announce := func(m *mesh.Members, records int) {
			ctx, stop := context.WithTimeout(context.Background(), 10*time.Second)
			done := make(chan struct{})

			go func() {
				defer close(done)

				_ = m.Run(ctx)
			}()

			for len(l.appended()) < records && ctx.Err() == nil {
				time.Sleep(time.Millisecond)
			}

			stop()
			<-done
		}

		a, b := member("a"), member("b")
		announce(a, 1)
		announce(b, 2)
		So(l.appended(), ShouldHaveLength, 2)

		for _, k := range l.appended() {
			a.Apply(k)
			b.Apply(k)
		}

		So(a.Records(), ShouldHaveLength, 2)
		So(a.Records()[1].Operator, ShouldEqual, "b:2")
		So(added, ShouldResemble, []string{"a", "a", "b", "b"})

		Convey("records that do not describe the daemon of their key are ignored", func() {
			a.Apply(stream.NewKeyedRecord(2, "c", []byte("?")))
			a.Apply(stream.NewKeyedRecord(3, "", nil))
			So(a.Records(), ShouldHaveLength, 2)
		})

		Convey("the record of a daemon that does not renew it is removed from the log and from the registry", func() {
			now = at(11 * 60_000)

			a.Apply(l.appended()[0]) // renews its record
			a.RemoveExpired(context.Background())
			So(l.appended(), ShouldHaveLength, 3)
			So(l.appended()[2].Key(), ShouldEqual, "b")
			So(l.appended()[2].Value(), ShouldBeEmpty)

			a.Apply(l.appended()[2])
			So(a.Records(), ShouldHaveLength, 1)
			a.RemoveExpired(context.Background())
			So(l.appended(), ShouldHaveLength, 3)
		})

		Convey("a reset without a record removes it", func() {
			a.Reset(l.appended()[1:], 2)
			So(a.Records(), ShouldHaveLength, 1)
		})

		Convey("a daemon that is not first-ranked removes nothing", func() {
			now = at(11 * 60_000)

			b.Apply(l.appended()[0])
			b.RemoveExpired(context.Background())
			So(l.appended(), ShouldHaveLength, 2)
		})
	})
}

// Guards against a daemon that daemons which start later do not find, as a record of its earlier incarnation or a removal
// was executed by the log after the record of this incarnation.
func TestLateRecordsOfDaemons(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &fakeLog{}
		m := mesh.NewMembers(l, "members", mesh.Record{Peer: peer("a", 2)}, func(mesh.Peer) {}, func() time.Time { return at(0) }, zerolog.Nop())

		earlier, err := wire.Marshal(mesh.Record{Peer: peer("a", 1)})
		if err != nil {
			t.Fatal(err)
		}

		ctx, stop := context.WithTimeout(context.Background(), 5*time.Second)
		done := make(chan struct{})

		go func() {
			defer close(done)

			_ = m.Run(ctx)
		}()

		defer func() { stop(); <-done }()

		applied := 0
		// follow applies the records of the log until the newest one of the daemon is of its present incarnation.
		follow := func() bool {
			for ctx.Err() == nil {
				records := l.appended()
				for _, k := range records[applied:] {
					m.Apply(k)
				}

				applied = len(records)
				if applied > 0 {
					var v mesh.Record

					k := records[applied-1]
					if len(k.Value()) > 0 && wire.Unmarshal(k.Value(), &v) == nil && v.Peer.Start == 2 {
						return true
					}
				}

				time.Sleep(time.Millisecond)
			}

			return false
		}

		for n, removal := range rapid.SliceOfN(rapid.Bool(), 0, 4).Draw(t, "late_removals") {
			if !follow() {
				t.Fatalf("before late record %d: the log does not have the record of the daemon", n)
			}

			value := earlier
			if removal {
				value = nil
			}

			_, _ = l.Append(ctx, "members", 0, []stream.KeyedRecord{stream.NewKeyedRecord(0, "a", value)}, stream.AnyOffset)

			if rapid.Bool().Draw(t, "load") {
				m.Reset(newestRecords(l.appended()), int64(len(l.appended())))
				applied = len(l.appended())
			}
		}

		if !follow() {
			t.Fatal("the log does not have the record of the daemon")
		}
	})
}

// newestRecords returns the newest record of each key that has one.
func newestRecords(l []stream.KeyedRecord) []stream.KeyedRecord {
	m := map[string]stream.KeyedRecord{}
	for _, k := range l {
		m[k.Key()] = k
	}

	return slices.DeleteFunc(slices.Collect(maps.Values(m)), func(k stream.KeyedRecord) bool { return len(k.Value()) == 0 })
}
