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

// Guards against two holders whose orders mix at a target that ignores fencing tokens: the old holder is paused
// between its check and its send, and comes back with the belief that its lease lasts.
func TestNewHolderSendsAfterTheLastRequestOfTheOldOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms := func(name string, low, high int) time.Duration {
			return time.Duration(rapid.IntRange(low, high).Draw(t, name)) * time.Millisecond
		}
		duration, pause, send := ms("duration", 100, 1000), ms("pause bound", 0, 1000), ms("send", 0, 90)
		terms := lease.NewTerms(duration, pause, send)

		// Both clocks run from an unknown start; real is the time that nobody reads.
		real := time.UnixMilli(0)
		oldSkew, newSkew := ms("old clock", 0, 100_000), ms("new clock", 0, 100_000)

		asked := real
		effect := asked.Add(ms("append", 0, 500))
		seen := effect.Add(ms("replay", 0, 500))

		old := lease.New(5, asked.Add(oldSkew), terms)

		var w lease.Observer

		w.Observe(seen.Add(newSkew), 5, 0, terms)

		// The old holder's last order passes the check, is paused at most for the bound, and then takes its time.
		check := asked.Add(ms("check", 0, 3000))
		arrives := check.Add(ms("paused", 0, int(pause.Milliseconds()))).Add(ms("on its way", 0, int(send.Milliseconds())))

		if !old.CanSend(check.Add(oldSkew)) {
			return
		}

		first := seen.Add(ms("takeover", 0, 5000))
		taken := lease.New(9, first.Add(newSkew), terms)
		k := lease.NewTakeover(w, false)
		k.MarkRead(first.Add(newSkew))

		if k.CanSend(first.Add(newSkew), &taken, true) && first.Before(arrives) {
			t.Fatalf("the new holder sends at %v, an order of the old one arrives at %v", first.Sub(real), arrives.Sub(real))
		}

		if k.CanSend(first.Add(newSkew), &taken, false) {
			t.Fatalf("an order that is not safe to repeat may be sent to a target that ignores fencing tokens")
		}
	})
}

func Example() {
	terms := lease.NewTerms(10*time.Second, 10*time.Second, time.Second)
	asked := time.UnixMilli(0)

	old := lease.New(41, asked, terms)
	fmt.Println(old.CanSend(asked.Add(8*time.Second)), old.CanSend(asked.Add(9*time.Second)))

	var w lease.Observer

	w.Observe(asked.Add(time.Second), 41, 0, terms)
	fmt.Println(w.EarliestTakeover().Sub(asked))

	// The target ignores fencing tokens, so the new holder waits, reads its state and only then sends.
	now := w.EarliestTakeover()
	taken := lease.New(57, now, terms)
	k := lease.NewTakeover(w, false)
	s, _ := k.Next(now)
	fmt.Println(s == lease.ReadState)
	k.MarkRead(now)
	fmt.Println(k.CanSend(now, &taken, true), k.CanSend(now, &taken, false))
	// Output:
	// true false
	// 21s
	// true
	// true false
}
