package member_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agategap/agategap/member"
)

// Guards against a daemon that keeps a listed peer in its view because the first message about the peer says that it is
// leaving or removed, so that the version of the view stays the same.
func TestFirstMessageAboutAListedDaemon(t *testing.T) {
	for name, state := range map[string]member.State{"leaving": member.Leaving, "removed": member.Removed} {
		Convey("Given a daemon that has just started and knows another one from the platform's list only", t, func() {
			now := time.Unix(1_700_000_000, 0)
			a := member.New(member.Settings{VM: "a", Address: "10.0.0.1:7000", Domain: "d", Incarnation: 1})
			a.Tick(now, rand.New(rand.NewPCG(1, 1)))
			a.ObserveList(now, []member.ListedVM{{VM: "b", Address: "10.0.0.2:7000", Domain: "d"}}, 0)
			So(a.View(), ShouldHaveLength, 2)

			Convey("the message that it is "+name+" changes the view and its version", func() {
				v := a.Version()
				c := member.New(member.Settings{VM: "c", Address: "10.0.0.3:7000", Domain: "d", Incarnation: 2})
				m := c.Heartbeat(now, "a")
				m.From, m.Changes = member.Change{VM: "b", Address: "10.0.0.2:7000", Incarnation: 2, State: state}, nil

				_, err := a.Receive(now, m)
				So(err, ShouldBeNil)
				So(a.View(), ShouldHaveLength, 1)
				So(a.Version(), ShouldBeGreaterThan, v)
			})
		})
	}
}
