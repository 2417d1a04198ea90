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

// TestMain fixes the seed of the properties, so that CI repeats itself, and makes 300 runs.
// More runs: go test ./store -rapid.checks 10000 -rapid.seed N.
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
	journalName  = "journal/0"
	snapshotName = "snapshot/0"
	smallPart    = 600 // bytes, so that a snapshot has several parts
)

// snapshotOf returns the encoded parts of partition 0 of a store.
func snapshotOf(s *store.Store) [][]byte { return encodeParts("s", s.Replica(0)) }

func encodeParts(id string, p *journal.Partition) [][]byte {
	v, err := p.Snapshot()
	if err != nil {
		panic(err)
	}

	var l [][]byte

	for _, part := range snapshot.Split(id, p.Offset(), v, smallPart) {
		b, err := (wire.PartCodec{}).EncodePart(part)
		if err != nil {
			panic(err)
		}

		l = append(l, b)
	}

	return l
}

// fingerprint is the same for partitions with the same state.
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

// op is one submission.
type op struct {
	id     string
	ticket appender.Ticket
	state  appender.State // Waiting until it is known
	gone   bool           // its caller was told that the outcome is unknown
	key    journal.Key    // of work; empty for other operations
	claim  bool
	done   func(n *node)
}

// node is one daemon: a reader and a writer of the partition, without goroutines.
type node struct {
	w     *world
	name  string
	part  journal.Partition
	queue *appender.Queue
	ops   map[appender.Ticket]*op
	off   bool // cut off from the log

	held    map[string]heldShard
	watches map[string]*lease.Observer
}

// world has the log, what the nodes did, and what follows from the log by rules that are kept apart from the code
// under test.
type world struct {
	t       *rapid.T
	log     *memLog
	truth   journal.Partition
	prints  map[int64]string
	nodes   []*node
	late    [][]byte // appends on their way whose response is lost
	ids     int
	limits  appender.Limits
	numbers map[string]uint64
	effect  map[string]bool // operations that took effect
	notRun  map[string]bool // operations that were reported as not run

	current  map[journal.Key]string // acceptance in force
	released map[string]bool
	acked    map[string]journal.Key
	claims   map[string]int // claims won since the acceptance
	runs     map[string]int // dispatches of an acceptance
	final    map[string]string
	finalAt  map[string]time.Time

	cancelled map[string]bool
	itemRuns  map[string]int
	itemFinal map[string]string
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, log: newLog(), prints: map[int64]string{}, numbers: map[string]uint64{}, effect: map[string]bool{},
		notRun: map[string]bool{}, current: map[journal.Key]string{}, released: map[string]bool{},
		acked: map[string]journal.Key{}, claims: map[string]int{}, runs: map[string]int{}, final: map[string]string{},
		finalAt: map[string]time.Time{}, cancelled: map[string]bool{}, itemRuns: map[string]int{}, itemFinal: map[string]string{},
	}

	w.limits = appender.NewLimits(oneOf(t, "group", 3, 12), 0, time.Millisecond)

	const nodes = 3
	for range nodes {
		w.nodes = append(w.nodes, w.newNode())
	}

	return w
}

func (w *world) id(kind string) string {
	w.ids++

	return fmt.Sprintf("%s%d", kind, w.ids)
}

func (w *world) newNode() *node {
	name := w.id("vm/")

	return &node{
		w: w, name: name, queue: appender.New(name, w.limits),
		ops: map[appender.Ticket]*op{}, held: map[string]heldShard{}, watches: map[string]*lease.Observer{},
	}
}

func (w *world) failf(format string, a ...any) { w.t.Fatalf(format, a...) }

// submit queues records as one operation.
func (n *node) submit(id string, done func(n *node), r ...journal.Record) *op {
	o := &op{id: id, state: appender.Queued, done: done}
	o.ticket = n.queue.Add(1, r...)
	n.ops[o.ticket] = o

	return o
}

// send appends the next group; what happens to it is drawn.
func (n *node) send() {
	g, ok, _ := n.queue.Next(n.w.log.now, n.part.Offset(), n.part.LastGroupNumber(n.name) > 0)
	if !ok {
		return
	}

	b, err := (wire.GroupCodec{}).Encode(g)
	if err != nil {
		n.w.failf("encode: %v", err)
	}

	now := n.w.log.now

	what := "refused"
	if !n.off {
		what = oneOf(n.w.t, "append", "ok", "ok", "ok", "ok", "refused", "lost before", "lost after", "late")
	}

	switch what {
	case "ok":
		n.queue.HandleConfirmed(n.w.append(b))
	case "refused":
		n.queue.HandleRefused(now)
	case "lost before":
		n.queue.HandleLost(now)
	case "lost after":
		n.w.append(b)
		n.queue.HandleLost(now)
	case "late":
		n.w.late = append(n.w.late, b)
		n.queue.HandleLost(now)
	}
}

// append puts a group into the log and brings what follows from it up to date.
func (w *world) append(b []byte) int64 {
	o := w.log.put(journalName, b)

	g, err := (wire.GroupCodec{}).Decode(b)
	if err != nil {
		w.failf("decode: %v", err)
	}

	if g.Number > w.numbers[g.Writer] {
		w.numbers[g.Writer] = g.Number

		for _, r := range g.Records {
			w.effect[opOf(r)] = true
		}
	}

	w.observe(w.truth.Apply(journal.NewEntry(o, w.log.now, g)))
	w.prints[o] = fingerprint(&w.truth)

	return o
}

// end takes the results of a node's operations.
func (n *node) end(r []appender.Result) {
	for _, v := range r {
		o, ok := n.ops[v.Ticket()]
		if !ok {
			n.w.failf("ticket %d ended twice", v.Ticket())
		}

		delete(n.ops, v.Ticket())
		o.state = v.State()

		switch o.state {
		case appender.Confirmed:
			if !n.w.effect[o.id] {
				n.w.failf("%s was acknowledged and did not take effect", o.id)
			}

			if o.done != nil && !o.gone {
				o.done(n)
			}
		case appender.Withdrawn, appender.Rejected:
			n.w.notRun[o.id] = true
		}
	}
}

// replay reads up to most entries.
func (n *node) replay(most int) {
	if n.off {
		return
	}

	p, _, err := n.w.log.page(journalName, n.part.Offset()+1)
	if errors.Is(err, stream.ErrDropped) {
		n.restore()

		p, _, err = n.w.log.page(journalName, n.part.Offset()+1)
	}

	if err != nil {
		n.w.failf("%s at offset %d cannot go on: %v", n.name, n.part.Offset(), err)
	}

	for i, e := range p.Entries() {
		if i == most {
			break
		}

		g, _ := (wire.GroupCodec{}).Decode(e.Data())
		n.part.Apply(journal.NewEntry(e.Offset(), e.At(), g))

		if g.Writer == n.name {
			n.end(n.queue.HandleReplayed(g.Number, e.Offset(), n.part.LastGroupNumber(n.name)))
		}
	}

	n.w.same(n)
}

func (w *world) same(n *node) {
	if o := n.part.Offset(); o > 0 && fingerprint(&n.part) != w.prints[o] {
		w.failf("%s has another state at offset %d than the reader of every entry", n.name, o)
	}
}

// restore continues from the newest complete snapshot.
func (n *node) restore() {
	s := n.w.newest()
	if s.Offset() <= n.part.Offset() {
		return
	}

	if _, err := n.part.Restore(s.Sections()); err != nil {
		n.w.failf("restore: %v", err)
	}

	n.end(n.queue.HandleRestored(s.Offset(), n.part.LastGroupNumber(n.name)))
}

func (w *world) newest() snapshot.Snapshot {
	r := snapshot.NewReader()

	p, _, err := w.log.page(snapshotName, 1)
	if errors.Is(err, stream.ErrDropped) {
		p, _, _ = w.log.page(snapshotName, p.Oldest())
	}

	for _, e := range p.Entries() {
		v, err := (wire.PartCodec{}).DecodePart(e.Data())
		if err != nil {
			w.failf("decode part: %v", err)
		}

		r.Add(e.At(), v)
	}

	return r.Newest()
}

// writeSnapshot appends the first parts of a node's state; all of them if most is negative.
func (n *node) writeSnapshot(most int) {
	for i, b := range encodeParts(n.w.id("snapshot"), &n.part) {
		if i == most {
			return
		}

		n.w.log.put(snapshotName, b)
	}
}

// tick lets time pass in steps; in each, one node writes a snapshot if the policy asks for it, and the log drops.
func (w *world) tick(d time.Duration) {
	policy := snapshot.NewPolicy(retention, 0)
	oldest := time.UnixMilli(1_700_000_000_000)

	for ; d > 0; d -= retention / 16 {
		w.log.advance(min(d, retention/16))

		n := oneOf(w.t, "writer", w.nodes...)
		if !n.off {
			n.replay(-1)

			if policy.IsDue(w.log.now, oldest, n.part.Offset(), w.newest()) {
				n.writeSnapshot(-1)
			}
		}

		// The policy leaves three quarters of the retention for an outage; a longer one than that may lose records.
		if s := w.newest(); w.truth.Offset() == 0 || s.Offset() > 0 && w.log.now.Sub(s.FirstPartAt()) < retention {
			w.log.drop(w.log.now.Add(-retention))
		}
	}
}
