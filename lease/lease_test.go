package lease_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/agategap/agategap/lease"
)

func TestMain(m *testing.M) {
	flag.Parse()

	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("20261204")
	}

	os.Exit(m.Run())
}

// Guards against interleaved requests of two holders at a target that ignores fencing tokens. It comes about when the
// old holder is paused between the check of its lease and its send, and then sends after its lease has ended.
func TestNewHolderSendsAfterTheLastRequestOfTheOldOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms := func(name string, low, high int) time.Duration {
			return time.Duration(rapid.IntRange(low, high).Draw(t, name)) * time.Millisecond
		}
		duration, maxPause, maxSendTime := ms("duration", 100, 1000), ms("max pause", 0, 1000), ms("send", 0, 90)
		terms := lease.NewTerms(duration, maxPause, maxSendTime)

		// The clocks of both processes have unknown offsets to the true time, which neither can read.
		trueTime := time.UnixMilli(0)
		oldSkew, newSkew := ms("old clock", 0, 100_000), ms("new clock", 0, 100_000)

		requestedAt := trueTime
		appendedAt := requestedAt.Add(ms("append", 0, 500))
		replayedAt := appendedAt.Add(ms("replay", 0, 500))

		oldLease := lease.New(5, requestedAt.Add(oldSkew), terms)

		var o lease.Observer

		o.Observe(replayedAt.Add(newSkew), 5, 0, terms)

		// The old holder checks its lease, is paused for at most maxPause and sends its last request, which takes at
		// most maxSendTime to arrive.
		checkedAt := requestedAt.Add(ms("check", 0, 3000))
		arrivesAt := checkedAt.Add(ms("paused", 0, int(maxPause.Milliseconds()))).
			Add(ms("on its way", 0, int(maxSendTime.Milliseconds())))

		if !oldLease.CanSend(checkedAt.Add(oldSkew)) {
			return
		}

		takenOverAt := replayedAt.Add(ms("takeover", 0, 5000))
		newLease := lease.New(9, takenOverAt.Add(newSkew), terms)
		k := lease.NewTakeover(o, false)
		k.MarkRead(takenOverAt.Add(newSkew))

		if k.CanSend(takenOverAt.Add(newSkew), &newLease, true) && takenOverAt.Before(arrivesAt) {
			t.Fatalf("the new holder sends at %v, a request of the old one arrives at %v",
				takenOverAt.Sub(trueTime), arrivesAt.Sub(trueTime))
		}

		if k.CanSend(takenOverAt.Add(newSkew), &newLease, false) {
			t.Fatalf("a request that is not idempotent may be sent to a target that ignores fencing tokens")
		}
	})
}

func Example() {
	terms := lease.NewTerms(10*time.Second, 10*time.Second, time.Second)
	requestedAt := time.UnixMilli(0)

	oldLease := lease.New(41, requestedAt, terms)
	fmt.Println(oldLease.CanSend(requestedAt.Add(8*time.Second)), oldLease.CanSend(requestedAt.Add(9*time.Second)))

	var o lease.Observer

	o.Observe(requestedAt.Add(time.Second), 41, 0, terms)
	fmt.Println(o.EarliestTakeover().Sub(requestedAt))

	// The target ignores fencing tokens, so the new holder waits, reads the state of the target and only then sends.
	now := o.EarliestTakeover()
	newLease := lease.New(57, now, terms)
	k := lease.NewTakeover(o, false)
	s, _ := k.Next(now)
	fmt.Println(s == lease.ReadState)
	k.MarkRead(now)
	fmt.Println(k.CanSend(now, &newLease, true), k.CanSend(now, &newLease, false))
	// Output:
	// true false
	// 21s
	// true
	// true false
}
