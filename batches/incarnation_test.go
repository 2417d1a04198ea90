package batches_test

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/agategap/agategap/batches"
	"github.com/agategap/agategap/mesh"
)

// tablePeers is the membership of a daemon as package daemon builds it.
type tablePeers struct {
	*mesh.Table
	batches.Followers
}

// Guards against a job that no daemon ever runs (issue 34, hypothesis 3): a daemon restarts, accepts a job and is lost
// before another one learns of its new incarnation. That one knows an earlier incarnation, which has been silent for a
// minute.
func TestJobOfAnUnknownIncarnationIsTakenOver(t *testing.T) {
	l := newMemoryLog()
	d := startDaemon(l, 0)

	defer d.shutDown()

	ctx, stop := newTestContext()
	defer stop()

	other := startDaemon(l, 1) // vm1 with start 1
	if err := other.Submit(ctx, newJob("k", 1)); err != nil {
		t.Fatal(err)
	}

	other.shutDown()

	now := time.Now()
	table := mesh.New(mesh.Peer{VM: "vm0", Start: 1})
	table.AddPeer(mesh.Peer{VM: "vm1", Start: 0}, now)
	table.MarkReplied(mesh.Peer{VM: "vm1", Start: 0}, now)

	// The clock of the runner runs ten times as fast, so that the time for a takeover passes within a second.
	clock := func() time.Time { return now.Add(time.Minute + 10*time.Since(now)) }
	r := batches.NewRunner(
		d.Batches, &fakeEngine{events: 3}, fixedRoutes{}, tablePeers{Table: table, Followers: batches.NewFollowers(table)}, unreachablePeers{},
		clock, zerolog.Nop())
	run, end := context.WithCancel(context.Background())
	done := make(chan error, 1)

	go func() { done <- r.Run(run) }()

	defer func() { end(); <-done }()

	p, err := d.Results(ctx, "k", 0, maxPageBytes, 3*time.Second)
	if err != nil {
		t.Fatal(err)
	}

	if len(p.Results()) != 1 {
		c, ok := r.Explain("k", "k-0")
		t.Fatalf("the job of a lost daemon was not taken over: %v %v, run by %q", ok, c.Reason(), c.VM())
	}
}
