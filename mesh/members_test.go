package mesh_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/agategap/agategap/mesh"
	"github.com/agategap/agategap/stream"
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
