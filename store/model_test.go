package store_test

import (
	"crypto/sha256"
	"errors"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/agategap/agategap/appender"
	"github.com/agategap/agategap/journal"
	"github.com/agategap/agategap/lease"
	"github.com/agategap/agategap/snapshot"
	"github.com/agategap/agategap/store"
	"github.com/agategap/agategap/stream"
	"github.com/agategap/agategap/wire"
)

// TestMain fixes the seed of the property test, so that runs in CI are reproducible, and sets the number of checks to
// 300. For more checks with another seed: go test ./store -rapid.checks 10000 -rapid.seed N.
func TestMain(m *testing.M) {
	flag.Parse()

	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("20261204")
	}

	if f := flag.Lookup("rapid.checks"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("300")
	}

	os.Exit(m.Run())
}

const (
	journalStream  = "journal/0"
	snapshotStream = "snapshot/0"
	maxPartBytes   = 600 // small, so that a snapshot has several parts
)

// encodeSnapshot returns the encoded parts of a snapshot of partition 0.
func encodeSnapshot(s *store.Store) [][]byte { return encodeParts("s", s.Replica(0)) }

func encodeParts(id string, p *journal.Partition) [][]byte {
	v, err := p.Snapshot()
	if err != nil {
		panic(err)
	}

	var l [][]byte

	for _, part := range snapshot.Split(id, p.Offset(), v, maxPartBytes) {
		b, err := (wire.PartCodec{}).EncodePart(part)
		if err != nil {
			panic(err)
		}

		l = append(l, b)
	}

	return l
}

// fingerprint returns a hash of a partition's state.
func fingerprint(p *journal.Partition) string {
	h := sha256.New()

	v, err := p.Snapshot()
	if err != nil {
		panic(err)
	}

	b, err := wire.Marshal(v)
	if err != nil {
		panic(err)
	}

	_, _ = h.Write(b)

	return fmt.Sprintf("%x", h.Sum(nil))
}

// operation is one submission of a node.
type operation struct {
	id            string
	ticket        appender.Ticket
	state         appender.State // Queued until the ticket has ended
	waitCancelled bool           // its caller no longer waits, so onConfirmed is not called
	key           journal.Key    // key of the work; zero for other operations
	isClaim       bool
	onConfirmed   func(n *node)
}

// node simulates the store of one daemon, which reads and writes the partition, without goroutines.
type node struct {
	sim          *simulation
	name         string
	replica      journal.Partition
	queue        *appender.Queue
	pendingOps   map[appender.Ticket]*operation
	disconnected bool // the node cannot reach the log

	heldShards     map[string]heldShard       // by job and shard
	leaseObservers map[string]*lease.Observer // by job and shard
}

// simulation has the log, the nodes, and the state that is expected from the entries of the log. The rules for the
// expected state are independent of the code under test.
type simulation struct {
	t                *rapid.T
	log              *memLog
	reference        journal.Partition // replays every entry at once
	fingerprints     map[int64]string  // of reference, by offset
	nodes            []*node
	delayedAppends   [][]byte // appends that reach the log later; their response is lost
	lastID           int
	limits           appender.Limits
	lastGroupNumbers map[string]uint64
	tookEffect       map[string]bool // by operation
	reportedNotRun   map[string]bool // by operation; the submitter learned that its records never take effect

	currentAcceptance map[journal.Key]string // operation that accepted the current work under a key

	// These maps are keyed by the operation that accepted the work.
	released      map[string]bool
	acknowledged  map[string]journal.Key // the submitter learned that the work is accepted
	claimCount    map[string]int         // claims that took effect
	dispatchCount map[string]int
	finalResult   map[string]string
	endedAt       map[string]time.Time

	cancelledJobs     map[string]bool
	itemDispatchCount map[string]int    // by job and item
	itemResult        map[string]string // by job and item
}

func newSimulation(t *rapid.T) *simulation {
	w := &simulation{
		t: t, log: newLog(), fingerprints: map[int64]string{}, lastGroupNumbers: map[string]uint64{},
		tookEffect: map[string]bool{}, reportedNotRun: map[string]bool{}, currentAcceptance: map[journal.Key]string{},
		released: map[string]bool{}, acknowledged: map[string]journal.Key{}, claimCount: map[string]int{},
		dispatchCount: map[string]int{}, finalResult: map[string]string{}, endedAt: map[string]time.Time{},
		cancelledJobs: map[string]bool{}, itemDispatchCount: map[string]int{}, itemResult: map[string]string{},
	}

	w.limits = appender.NewLimits(oneOf(t, "group", 3, 12), 0, time.Millisecond)

	const nodes = 3
	for range nodes {
		w.nodes = append(w.nodes, w.newNode())
	}

	return w
}

func (w *simulation) newID(kind string) string {
	w.lastID++

	return fmt.Sprintf("%s%d", kind, w.lastID)
}

func (w *simulation) newNode() *node {
	name := w.newID("vm/")

	return &node{
		sim: w, name: name, queue: appender.New(name, w.limits),
		pendingOps: map[appender.Ticket]*operation{}, heldShards: map[string]heldShard{},
		leaseObservers: map[string]*lease.Observer{},
	}
}

func (w *simulation) failf(format string, a ...any) { w.t.Fatalf(format, a...) }

// submit queues records as one operation.
func (n *node) submit(id string, done func(n *node), r ...journal.Record) *operation {
	o := &operation{id: id, state: appender.Queued, onConfirmed: done}
	o.ticket = n.queue.Add(1, r...)
	n.pendingOps[o.ticket] = o

	return o
}

// appendGroup sends the next group to the log with a drawn result.
func (n *node) appendGroup() {
	g, ok, _ := n.queue.Next(n.sim.log.now, n.replica.Offset(), n.replica.LastGroupNumber(n.name) > 0)
	if !ok {
		return
	}

	b, err := (wire.GroupCodec{}).Encode(g)
	if err != nil {
		n.sim.failf("encode: %v", err)
	}

	now := n.sim.log.now

	result := "refused"
	if !n.disconnected {
		result = oneOf(n.sim.t, "append", "ok", "ok", "ok", "ok", "refused", "request lost", "response lost", "late")
	}

	switch result {
	case "ok":
		n.queue.HandleConfirmed(n.sim.append(b))
	case "refused":
		n.queue.HandleRefused(now)
	case "request lost":
		n.queue.HandleLost(now)
	case "response lost":
		n.sim.append(b)
		n.queue.HandleLost(now)
	case "late":
		n.sim.delayedAppends = append(n.sim.delayedAppends, b)
		n.queue.HandleLost(now)
	}
}

// append appends an encoded group to the log and updates the expected state.
func (w *simulation) append(b []byte) int64 {
	o := w.log.appendEntry(journalStream, b)

	g, err := (wire.GroupCodec{}).Decode(b)
	if err != nil {
		w.failf("decode: %v", err)
	}

	if g.Number > w.lastGroupNumbers[g.Writer] {
		w.lastGroupNumbers[g.Writer] = g.Number

		for _, r := range g.Records {
			w.tookEffect[operationID(r)] = true
		}
	}

	w.checkChanges(w.reference.Apply(journal.NewEntry(o, w.log.now, g)))
	w.fingerprints[o] = fingerprint(&w.reference)

	return o
}

// handleResults ends the operations of a node and checks their results.
func (n *node) handleResults(r []appender.Result) {
	for _, v := range r {
		o, ok := n.pendingOps[v.Ticket()]
		if !ok {
			n.sim.failf("ticket %d ended twice", v.Ticket())
		}

		delete(n.pendingOps, v.Ticket())
		o.state = v.State()

		switch o.state {
		case appender.Confirmed:
			if !n.sim.tookEffect[o.id] {
				n.sim.failf("%s was acknowledged and did not take effect", o.id)
			}

			if o.onConfirmed != nil && !o.waitCancelled {
				o.onConfirmed(n)
			}
		case appender.Withdrawn, appender.Rejected:
			n.sim.reportedNotRun[o.id] = true
		}
	}
}

// replay replays up to maxEntries entries, or all of them if maxEntries is negative, after a restore if the log has
// removed the next one.
func (n *node) replay(maxEntries int) {
	if n.disconnected {
		return
	}

	p, _, err := n.sim.log.readPage(journalStream, n.replica.Offset()+1)
	if errors.Is(err, stream.ErrTruncated) {
		n.restoreSnapshot()

		p, _, err = n.sim.log.readPage(journalStream, n.replica.Offset()+1)
	}

	if err != nil {
		n.sim.failf("%s at offset %d cannot continue: %v", n.name, n.replica.Offset(), err)
	}

	for i, e := range p.Entries() {
		if i == maxEntries {
			break
		}

		g, _ := (wire.GroupCodec{}).Decode(e.Data())
		n.replica.Apply(journal.NewEntry(e.Offset(), e.AppendedAt(), g))

		if g.Writer == n.name {
			n.handleResults(n.queue.HandleReplayed(g.Number, e.Offset(), n.replica.LastGroupNumber(n.name)))
		}
	}

	n.sim.checkReplica(n)
}

// checkReplica checks that a node has the same state as the reference at its offset.
func (w *simulation) checkReplica(n *node) {
	if o := n.replica.Offset(); o > 0 && fingerprint(&n.replica) != w.fingerprints[o] {
		w.failf("the state of %s at offset %d differs from the reference", n.name, o)
	}
}

// restoreSnapshot restores the replica from the newest complete snapshot if that is ahead of the replica.
func (n *node) restoreSnapshot() {
	s := n.sim.newestSnapshot()
	if s.Offset() <= n.replica.Offset() {
		return
	}

	if _, err := n.replica.Restore(s.Sections()); err != nil {
		n.sim.failf("restore: %v", err)
	}

	n.handleResults(n.queue.HandleRestored(s.Offset(), n.replica.LastGroupNumber(n.name)))
}

func (w *simulation) newestSnapshot() snapshot.Snapshot {
	r := snapshot.NewReader()

	p, _, err := w.log.readPage(snapshotStream, 1)
	if errors.Is(err, stream.ErrTruncated) {
		p, _, _ = w.log.readPage(snapshotStream, p.OldestOffset())
	}

	for _, e := range p.Entries() {
		v, err := (wire.PartCodec{}).DecodePart(e.Data())
		if err != nil {
			w.failf("decode part: %v", err)
		}

		r.Add(e.AppendedAt(), v)
	}

	return r.Newest()
}

// writeSnapshot appends the first maxParts parts of a snapshot of the node, or all of them if maxParts is negative.
func (n *node) writeSnapshot(maxParts int) {
	for i, b := range encodeParts(n.sim.newID("snapshot"), &n.replica) {
		if i == maxParts {
			return
		}

		n.sim.log.appendEntry(snapshotStream, b)
	}
}

// advanceTime advances the clock in steps. In each step, one node writes a snapshot if the policy requires one, and the
// log removes the entries whose retention is over.
func (w *simulation) advanceTime(d time.Duration) {
	policy := snapshot.NewPolicy(retention, 0)
	oldest := time.UnixMilli(1_700_000_000_000)

	for ; d > 0; d -= retention / 16 {
		w.log.advance(min(d, retention/16))

		n := oneOf(w.t, "writer", w.nodes...)
		if !n.disconnected {
			n.replay(-1)

			if policy.IsDue(w.log.now, oldest, n.replica.Offset(), w.newestSnapshot()) {
				n.writeSnapshot(-1)
			}
		}

		// The policy leaves three quarters of the retention for an outage. A longer outage may lose records, so the log
		// keeps its entries while there is no snapshot within the retention.
		if s := w.newestSnapshot(); w.reference.Offset() == 0 || s.Offset() > 0 && w.log.now.Sub(s.FirstPartAt()) < retention {
			w.log.truncateBefore(w.log.now.Add(-retention))
		}
	}
}
