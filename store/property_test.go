package store_test

import (
	"fmt"
	"maps"
	"math/bits"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/agategap/agategap/appender"
	"github.com/agategap/agategap/job"
	"github.com/agategap/agategap/journal"
	"github.com/agategap/agategap/lease"
)

const (
	retainWork = 10 * time.Minute
	retainJob  = 1000 * time.Hour
	jobItems   = 3
	leaseTime  = 5 * time.Minute
	pauseBound = time.Minute
	sendTime   = time.Second
)

var terms = lease.NewTerms(leaseTime, pauseBound, sendTime)

// meanSteps is the mean number of steps of a run.
const meanSteps = 100

// even draws an index below n. The draws of rapid prefer small values, so that the last of many choices would hardly
// ever come up.
func even(t *rapid.T, n int, label string) int {
	const spare = 3 // bits that make the remainder nearly even

	v := 0
	for range bits.Len(uint(n)) + spare {
		v *= 2
		if rapid.Bool().Draw(t, label) {
			v++
		}
	}

	return v % n
}

func oneOf[T any](t *rapid.T, label string, l ...T) T { return l[even(t, len(l), label)] }

// mark is a record without effect that names the operation which carries it.
func mark(id string) journal.Record {
	return journal.Record{Release: &journal.ReleaseRecord{Account: "op", Key: id}}
}

func opOf(r journal.Record) string {
	if r.Release != nil && r.Release.Account == "op" {
		return r.Release.Key
	}

	return ""
}

// keys are used by two accounts, so that an answer under the wrong account shows. Work under k0 may run again.
func drawKey(t *rapid.T) (journal.Key, bool) {
	k := oneOf(t, "key", "k0", "k1")

	return journal.NewKey(oneOf(t, "account", "a", "b"), k), k == "k0"
}

func (n *node) busy(k journal.Key) bool {
	for _, o := range n.ops {
		if o.key == k {
			return true
		}
	}

	return false
}

// request accepts and claims work like the record filter.
func (n *node) request() {
	k, idempotent := drawKey(n.w.t)
	if n.busy(k) {
		return
	}

	id := n.w.id("op")
	a := &journal.AcceptRecord{
		Account: k.Account(), Key: k.Key(), Digest: k.String(), Path: id, Idempotent: idempotent, RetainMS: retainWork.Milliseconds(),
	}
	c := &journal.ClaimRecord{Account: k.Account(), Key: k.Key(), ID: id, Holder: n.name}

	o := n.submit(id, func(n *node) { n.claimed(k, id) }, mark(id), journal.Record{Accept: a}, journal.Record{Claim: c})
	o.key, o.claim = k, true
}

// takeOver claims idempotent work that another node holds.
func (n *node) takeOver() {
	k, idempotent := drawKey(n.w.t)

	v, ok := n.part.Lookup(k)
	if !ok || v.IsEnded() || !idempotent || n.busy(k) {
		return
	}

	id := n.w.id("op")
	c := &journal.ClaimRecord{Account: k.Account(), Key: k.Key(), ID: id, Holder: n.name, Replaces: v.ClaimID()}
	o := n.submit(id, func(n *node) { n.claimed(k, id) }, mark(id), journal.Record{Claim: c})
	o.key, o.claim = k, true
}

// claimed is called when the replay has reached a claim: the work is dispatched if the claim won.
func (n *node) claimed(k journal.Key, id string) {
	v, ok := n.part.Lookup(k)
	if !ok {
		return // released or expired since
	}

	if v.AcceptRecord().Account != k.Account() || v.AcceptRecord().Digest != k.String() {
		n.w.failf("%s found the work of another key", id)
	}

	inc := v.AcceptRecord().Path
	n.w.acked[inc] = k

	if v.ClaimID() != id {
		return
	}

	if even(n.w.t, 4, "no target") == 0 {
		n.release(k, id)

		return
	}

	n.w.runs[inc]++
	if !v.AcceptRecord().Idempotent && n.w.runs[inc] > 1 {
		n.w.failf("%s was dispatched twice", inc)
	}

	c := n.w.id("op")
	o := n.submit(c, nil, mark(c), journal.Record{Complete: &journal.CompleteRecord{
		Account: k.Account(), Key: k.Key(), Claim: id, Effect: journal.Done, Text: c,
	}})
	o.key = k
}

func (n *node) release(k journal.Key, claim string) {
	id := n.w.id("op")
	o := n.submit(id, nil, mark(id), journal.Record{Release: &journal.ReleaseRecord{Account: k.Account(), Key: k.Key(), Claim: claim}})
	o.key = k
}

// giveUp ends the wait of one caller.
func (n *node) giveUp() {
	var l []*op

	for _, o := range n.ops {
		if !o.gone && (o.claim || o.key == journal.Key{}) {
			l = append(l, o)
		}
	}

	if len(l) == 0 {
		return
	}

	slices.SortFunc(l, func(a, b *op) int { return int(a.ticket) - int(b.ticket) })
	o := oneOf(n.w.t, "caller", l...)

	s := n.queue.Withdraw(o.ticket)
	if s == appender.Sent && rapid.Bool().Draw(n.w.t, "abandon") {
		s = n.queue.Abandon(o.ticket)
	}

	o.gone = true

	if s == appender.Withdrawn {
		delete(n.ops, o.ticket)
		n.w.notRun[o.id] = true

		return
	}

	if o.claim {
		n.release(o.key, o.id)
	}
}

// observe checks what one entry changed.
func (w *world) observe(c []journal.Change) {
	for _, v := range c {
		k := v.Key()
		now, ok := w.truth.Lookup(k)

		switch v.Kind() {
		case journal.WorkAccepted:
			delete(w.current, k)

			if ok {
				w.current[k] = now.AcceptRecord().Path
			}
		case journal.WorkClaimed:
			inc := w.current[k]
			w.claims[inc]++

			if inc != "" && k.Key() != "k0" && w.claims[inc] > 1 {
				w.failf("a second claim of %s won", inc)
			}
		case journal.WorkReleased:
			if inc := w.current[k]; !ok && inc != "" {
				w.released[inc] = true
				delete(w.current, k)

				if w.runs[inc] > 0 {
					w.failf("%s was released after it was dispatched", inc)
				}
			}
		case journal.WorkEnded:
			inc := w.current[k]
			if w.final[inc] != "" {
				w.failf("%s ended twice", inc)
			}

			w.final[inc], w.finalAt[inc] = now.Result().Text, w.truth.LogTime()
		default:
			w.observeJob(v)
		}
	}
}

func (w *world) observeJob(c journal.Change) {
	if w.cancelled[c.Job()] && (c.Kind() == journal.JobLeased || c.Kind() == journal.JobProgressed) {
		w.failf("%s changed after it was cancelled", c.Job())
	}

	w.cancelled[c.Job()] = w.cancelled[c.Job()] || c.Kind() == journal.JobCancelled

	w.truth.ViewJob(c.Job(), func(j *job.Job) {
		for i := range j.ItemCount() {
			if b := j.Item(i).Body; j.State() == job.Running && b != nil && string(b) != j.Digest() {
				w.failf("item %d of %s is of another submission", i, c.Job())
			}

			k := fmt.Sprintf("%s/%d", c.Job(), i)

			r, ok := j.Result(i)
			if old := w.itemFinal[k]; old != "" && old != string(r.Body) {
				w.failf("the result of item %s changed", k)
			}

			if ok {
				w.itemFinal[k] = string(r.Body)
			}
		}
	})
}

// check holds after every step.
func (w *world) check() {
	for id := range w.notRun {
		if w.effect[id] {
			w.failf("%s was reported as not run and took effect", id)
		}
	}

	for inc, k := range w.acked {
		if at, ok := w.finalAt[inc]; w.released[inc] || ok && w.truth.LogTime().After(at.Add(retainWork)) {
			continue
		}

		v, ok := w.truth.Lookup(k)
		if !ok || v.AcceptRecord().Path != inc {
			w.failf("accepted work %s is not readable", inc)
		}

		if v.IsEnded() && v.Result().Text != w.final[inc] {
			w.failf("%s has two results", inc)
		}
	}
}

// heldShard is a shard of a job that a node holds.
type heldShard struct {
	job   string
	shard int
	held  lease.Lease
}

func drawJob(t *rapid.T) string { return oneOf(t, "job", "j0", "j1") }

// submitJob submits a job in two operations, as a large one is. Two digests stand for two different submissions
// under one key.
func (n *node) submitJob() {
	id, digest := drawJob(n.w.t), oneOf(n.w.t, "digest", "d0", "d1")
	o := &job.OpenRecord{
		Job: id, Account: "a", Digest: digest, Idempotent: id == "j0", Items: jobItems, ShardItems: 2,
		RetainMS: retainJob.Milliseconds(),
	}
	items := func(first, end int) journal.Record {
		l := make([]job.Item, 0, jobItems)
		for i := first; i < end; i++ {
			l = append(l, job.Item{CustomID: fmt.Sprint(i), Body: []byte(digest)})
		}

		return journal.Record{Items: &job.ItemsRecord{Job: id, Digest: digest, First: first, Items: l}}
	}

	a, b := n.w.id("op"), n.w.id("op")
	n.submit(a, nil, mark(a), journal.Record{Open: o}, items(0, 2))
	n.submit(b, nil, mark(b), items(2, jobItems), journal.Record{Submit: &job.SubmitRecord{Job: id, Digest: digest}})
}

// grant leases a shard, or takes it over once its lease may have ended.
func (n *node) grant() {
	var l []func()

	for _, id := range []string{"j0", "j1"} {
		n.part.ViewJob(id, func(j *job.Job) {
			for s := range j.ShardCount() {
				if g, _ := j.Lease(s); j.State() == job.Running && len(j.PendingItems(s)) > 0 && n.watch(id, s, g).CanTakeOver(n.w.log.now) {
					l = append(l, func() { n.lease(id, s, g) })
				}
			}
		})
	}

	if len(l) > 0 {
		oneOf(n.w.t, "shard", l...)()
	}
}

// watch notes the lease in force on a shard.
func (n *node) watch(id string, s int, g job.Lease) *lease.Observer {
	name := fmt.Sprintf("%s/%d", id, s)

	w := n.watches[name]
	if w == nil {
		w = &lease.Observer{}
		n.watches[name] = w
	}

	w.Observe(n.w.log.now, g.Offset(), g.Renewals(), terms)

	return w
}

func (n *node) lease(id string, s int, g job.Lease) {
	op := n.w.id("op")
	l := &job.LeaseRecord{Job: id, Shard: s, Domain: op, Holder: n.name, Replaces: g.Offset()}
	asked := n.w.log.now
	n.submit(op, func(n *node) { n.granted(id, s, op, asked) }, mark(op), journal.Record{Lease: l})
}

// granted is called when the replay has reached a lease record. The holder starts at once, or later, when it may have
// been paused past its lease.
func (n *node) granted(id string, s int, op string, asked time.Time) {
	n.part.ViewJob(id, func(j *job.Job) {
		if g, ok := j.Lease(s); ok && g.Domain() == op {
			n.held[fmt.Sprintf("%s/%d", id, s)] = heldShard{job: id, shard: s, held: lease.New(g.Offset(), asked, terms)}
		}
	})

	if rapid.Bool().Draw(n.w.t, "start now") {
		n.startItems()
	}
}

// startItems records the items of a held shard as started and runs them once that is replayed.
func (n *node) startItems() {
	l := slices.Sorted(maps.Keys(n.held))
	if len(l) == 0 {
		return
	}

	name := oneOf(n.w.t, "held", l...)
	h := n.held[name]
	delete(n.held, name)

	var run, uncertain []int

	n.part.ViewJob(h.job, func(j *job.Job) {
		for _, i := range j.PendingItems(h.shard) {
			if j.IsStarted(i) && !j.Idempotent() {
				uncertain = append(uncertain, i)
			} else {
				run = append(run, i)
			}
		}
	})

	b, err := job.EncodeIndexes(run)
	if err != nil {
		n.w.failf("bitmap: %v", err)
	}

	op := n.w.id("op")
	r := &job.StartRecord{Job: h.job, Shard: h.shard, Lease: h.held.Token(), Items: b}
	n.submit(op, func(n *node) { n.runItems(h, run, uncertain) }, mark(op), journal.Record{Start: r})
}

func (n *node) runItems(h heldShard, run, uncertain []int) {
	holds := false

	n.part.ViewJob(h.job, func(j *job.Job) { holds = j.HasLease(h.shard, h.held.Token()) })

	// The holder may have been paused past its lease: it does not look at its clock, so that the log alone decides.
	if !holds {
		return
	}

	op := n.w.id("op")
	p := &job.ProgressRecord{Job: h.job, Shard: h.shard, Lease: h.held.Token()}

	for _, i := range run {
		k := fmt.Sprintf("%s/%d", h.job, i)
		n.w.itemRuns[k]++

		if h.job != "j0" && n.w.itemRuns[k] > 1 {
			n.w.failf("item %s was dispatched twice", k)
		}

		p.Results = append(p.Results, job.Result{Index: uint32(i), Effect: job.Done, Body: []byte(op)})
	}

	for _, i := range uncertain {
		p.Results = append(p.Results, job.Result{Index: uint32(i), Effect: job.Unknown, Body: []byte(op)})
	}

	n.submit(op, nil, mark(op), journal.Record{Progress: p})
}

func (n *node) changeJob() {
	id, op, priority := drawJob(n.w.t), n.w.id("op"), n.w.ids

	r := journal.Record{Cancel: &job.CancelRecord{Job: id, Account: "a"}}
	if even(n.w.t, 5, "amend") > 0 {
		r = journal.Record{Amend: &job.AmendRecord{Job: id, Account: "a", Priority: &priority}}
	}

	n.submit(op, nil, mark(op), r)
}

// Guards against every failure of section 4 of the design: lost and late appends, an outage, dropped records, nodes
// that are lost, cut off or paused past their lease, repeated submissions, cancels that race with completions, and
// snapshots that were not finished.
func TestAcceptedWorkSurvivesEveryInterleaving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)

		draw := func() *node { return oneOf(t, "node", w.nodes...) }
		step := func(f func(n *node)) func(*rapid.T) {
			return func(*rapid.T) {
				f(draw())
			}
		}
		send := step((*node).send)
		read := step(func(n *node) { n.replay(rapid.IntRange(1, 5).Draw(t, "entries")) })

		turn := func(n *node) {
			w.log.advance(3 * time.Second)

			for range 3 { // an answer to a record often leads to the next record
				n.send()
				n.replay(-1)
			}
		}
		cycle := step(turn)
		settle := func(*rapid.T) {
			for range 4 {
				for _, n := range w.nodes {
					n.off = false

					turn(n)
				}
			}
		}
		actions := map[string]func(*rapid.T){
			"settle":     settle,
			"give up":    step((*node).giveUp),
			"send":       send,
			"read":       read,
			"cycle":      cycle,
			"cycle more": cycle,
			"cycle most": cycle,
			"late": func(t *rapid.T) {
				if len(w.late) > 0 {
					i := even(t, len(w.late), "append")
					w.append(w.late[i])
					w.late = slices.Delete(w.late, i, i+1)
				}
			},
			"crash":         func(t *rapid.T) { w.nodes[even(t, len(w.nodes), "node")] = w.newNode() },
			"cut or heal":   step(func(n *node) { n.off = !n.off }),
			"half snapshot": step(func(n *node) { n.writeSnapshot(rapid.IntRange(0, 2).Draw(t, "parts")) }),
			"wait":          func(*rapid.T) { w.log.advance(leaseTime) },
			"pass": func(t *rapid.T) {
				w.tick(time.Duration(oneOf(t, "minutes", 1, 1, 2, 30, 90)) * time.Minute)
			},
		}

		// A run is about work, about jobs or about both, so that long histories of each come up.
		about := oneOf(t, "about", "work", "jobs", "both")
		if about != "jobs" {
			actions["request"], actions["take over"] = step((*node).request), step((*node).takeOver)
		}

		if about != "work" {
			actions["submit job"], actions["change job"] = step((*node).submitJob), step((*node).changeJob)
			actions["grant"], actions["start"] = step((*node).grant), step((*node).startItems)
			actions["start more"] = actions["start"]
		}

		names := slices.Sorted(maps.Keys(actions))

		for range even(t, 2*meanSteps, "steps") {
			actions[names[even(t, len(names), "action")]](t)
			w.check()
		}

		// Every store is replaced: what the log has is enough.
		n := w.newNode()
		n.restore()
		n.replay(-1)

		if n.part.Offset() != w.truth.Offset() {
			w.failf("a new store ends at offset %d of %d", n.part.Offset(), w.truth.Offset())
		}
	})
}
