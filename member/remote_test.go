package member_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/agategap/agategap/member"
)

// Guards against lost daemons of other failure domains that stay in the view for long, because exchanges keep being
// sent to lost daemons, which do not reply.
func TestLostDaemonsOfRemoteDomainsLeaveTheView(t *testing.T) {
	Convey("Given two other failure domains that have lost all but one of their ten daemons", t, func() {
		for seed := range uint64(20) {
			now := time.Unix(1_700_000_000, 0)
			r := rand.New(rand.NewPCG(seed, 1))
			self := member.New(member.Settings{VM: "self", Address: "10.0.0.1:1", Domain: "a", Incarnation: 1})
			live := map[string]*member.Table{}

			var listed []member.ListedVM

			for d, domain := range []string{"b", "c"} {
				for i := range 10 {
					l := member.ListedVM{VM: fmt.Sprintf("%s-%d", domain, i), Address: fmt.Sprintf("10.%d.0.%d:1", d+1, i), Domain: domain}
					listed = append(listed, l)

					if i == 7 {
						live[l.Address] = member.New(member.Settings{VM: l.VM, Address: l.Address, Domain: domain, Incarnation: 1})
					}
				}
			}

			var send func(l []member.Request)

			send = func(l []member.Request) {
				for _, s := range l {
					if b := live[s.Address()]; b != nil {
						m, err := b.Receive(now, s.Message())
						So(err, ShouldBeNil)

						more, err := self.HandleReply(now, s, m)
						So(err, ShouldBeNil)
						send(more)

						continue
					}

					send(self.HandleFailure(now, s, r))
				}
			}

			view := func() string {
				var l []string
				for _, p := range self.View() {
					l = append(l, p.VM())
				}

				return strings.Join(l, " ")
			}

			self.ObserveList(now, listed, 0)

			// Long enough for one exchange with each failure domain, including the random delay before the first one.
			for end := now.Add(30 * time.Second); now.Before(end); now = now.Add(tickInterval) {
				send(self.Tick(now, r))
			}

			So(view(), ShouldEqual, "b-7 c-7 self")
		}
	})
}
