package store_test

import (
	"context"
	"fmt"
	"time"

	"github.com/agategap/agategap/appender"
	"github.com/agategap/agategap/journal"
	"github.com/agategap/agategap/store"
	"github.com/agategap/agategap/wire"
)

func ExampleStore() {
	l := newLog()
	o := store.NewOptions("vm-1/4f0a", 16, appender.Limits{}, time.Now).WithSnapshots(wire.PartCodec{}, 24*time.Hour)
	s := store.New(l, wire.GroupCodec{}, o)

	defer func() {
		s.Stop()
		_ = s.Wait()
	}()

	ctx, stop := context.WithTimeout(context.Background(), 10*time.Second)
	defer stop()

	k := journal.NewKey("lintas", "sign-7")
	p := s.Partition(k.String())

	err := s.Submit(ctx, p,
		journal.Record{Accept: &journal.AcceptRecord{Account: "lintas", Key: "sign-7", Idempotent: true, RetainMS: 60_000}},
		journal.Record{Claim: &journal.ClaimRecord{Account: "lintas", Key: "sign-7", ID: "request-1"}},
	)
	fmt.Println(err)

	s.Enqueue(p, journal.Record{Complete: &journal.CompleteRecord{
		Account: "lintas", Key: "sign-7", Claim: "request-1", Effect: journal.Done, Text: "P2: 41 bays",
	}})

	w, err := s.Await(ctx, k)
	fmt.Println(w.Result().Text, err)
	// Output:
	// <nil>
	// P2: 41 bays <nil>
}
