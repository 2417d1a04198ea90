package member_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/agategap/agategap/member"
)

func ExampleTable() {
	r, now := rand.New(rand.NewPCG(1, 1)), time.Unix(1_700_000_000, 0)
	a := member.New(member.Settings{VM: "a", Address: "10.0.0.1:7000", Domain: "dk-fyn", Incarnation: 1})
	b := member.New(member.Settings{VM: "b", Address: "10.0.0.2:7000", Domain: "dk-fyn", Incarnation: 1, Seeds: []string{"10.0.0.1:7000"}})

	for range 10 {
		for _, s := range b.Tick(now, r) {
			m, _ := a.Receive(now, s.Message())
			_, _ = b.HandleReply(now, s, m)
		}

		now = now.Add(250 * time.Millisecond)
	}

	fmt.Println(len(a.View()), len(b.View()))

	a.MarkTargetLeaving(now, "worker-1", "10.1.0.1:9000")
	fmt.Println(a.IsTargetLeaving("worker-1", "10.1.0.1:9000"), b.IsTargetLeaving("worker-1", "10.1.0.1:9000"))

	// Output:
	// 2 2
	// true false
}
