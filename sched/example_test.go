package sched_test

import (
	"fmt"
	"time"

	"github.com/agategap/agategap/sched"
)

func ExampleQueue() {
	now := time.Unix(0, 0)
	q := sched.NewQueue(sched.NewSettings(3*time.Second, 0.1).WithFixedLimit(1))

	q.Request(now, sched.NewSlotRequest("item", "vm-1", "lintas", sched.Batch, time.Time{}))

	a := q.Request(now, sched.NewSlotRequest("sign", "vm-2", "lintas", sched.Online, now.Add(time.Second)))
	fmt.Println(a[0].Kind() == sched.Preempt, a[0].ID(), a[0].Holder())

	a = q.Release(now, "item", sched.Observation{})
	fmt.Println(a[0].Kind() == sched.Grant, a[0].ID(), a[0].Holder())
	// Output:
	// true item vm-1
	// true sign vm-2
}
