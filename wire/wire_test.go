package wire_test

import (
	"errors"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agategap/agategap/journal"
	"github.com/agategap/agategap/stream"
	"github.com/agategap/agategap/wire"
)

// Guards against a group that is appended and acknowledged although readers reject it for its size.
func TestOversizedGroupIsNotEncoded(t *testing.T) {
	group := func(size int) journal.Group {
		return journal.Group{Writer: "vm", Number: 1, Records: []journal.Record{{Accept: &journal.AcceptRecord{Body: make([]byte, size)}}}}
	}

	Convey("A group that reaches the size limit is rejected, and a smaller one is decoded again", t, func() {
		_, err := (wire.GroupCodec{}).Encode(group(wire.MaxMessageBytes))
		So(errors.Is(err, stream.ErrTooLarge), ShouldBeTrue)

		b, err := (wire.GroupCodec{}).Encode(group(wire.MaxMessageBytes - 1000))
		So(err, ShouldBeNil)

		g, err := (wire.GroupCodec{}).Decode(b)
		So(err, ShouldBeNil)
		So(g.Records[0].Accept.Body, ShouldHaveLength, wire.MaxMessageBytes-1000)
	})
}
