package wire_test

import (
	"errors"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agategap/agategap/journal"
	"github.com/agategap/agategap/stream"
	"github.com/agategap/agategap/wire"
)

// Guards against a group that is appended and acknowledged although no reader accepts it.
func TestOversizedGroupIsNotEncoded(t *testing.T) {
	group := func(size int) journal.Group {
		return journal.Group{Writer: "vm", Number: 1, Records: []journal.Record{{Accept: &journal.AcceptRecord{Body: make([]byte, size)}}}}
	}

	Convey("A group at the bound is refused, a smaller one is read back", t, func() {
		_, err := (wire.GroupCodec{}).Encode(group(wire.MaxMessageBytes))
		So(errors.Is(err, stream.ErrTooLarge), ShouldBeTrue)

		b, err := (wire.GroupCodec{}).Encode(group(wire.MaxMessageBytes - 1000))
		So(err, ShouldBeNil)

		g, err := (wire.GroupCodec{}).Decode(b)
		So(err, ShouldBeNil)
		So(g.Records[0].Accept.Body, ShouldHaveLength, wire.MaxMessageBytes-1000)
	})
}
