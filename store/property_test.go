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
	workRetention = 10 * time.Minute
	jobRetention  = 1000 * time.Hour
	jobItems   = 3
	leaseDuration  = 5 * time.Minute
	maxPause = time.Minute
	maxSendTime   = time.Second
)

var leaseTerms = lease.NewTerms(leaseDuration, maxPause, maxSendTime)

// meanSteps is the mean number of steps of a run.
const meanSteps = 100

// drawUniform draws an index below n. The draws of rapid prefer small values, so that the last of many choices would hardly
// ever come up.
func drawUniform(t *rapid.T, n int, label string) int {
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

func oneOf[T any](t *rapid.T, label string, l ...T) T { return l[drawUniform(t, len(l), label)] }

// newMarker is a record without effect that names the operation which carries it.
func newMarker(id string) journal.Record {
	return journal.Record{Release: &journal.ReleaseRecord{Account: "op", Key: id}}
}

func operationID(r journal.Record) string {
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

func (n *node) hasPendingOp(k journal.Key) bool {
	for _, o := range n.pendingOps {
		if o.key == k {
			return true
		}
	}

	return false
}

// acceptWork accepts and claims work like the record filter.
func (n *node) acceptWork() {
	k, idempotent := drawKey(n.sim.t)
	if n.hasPendingOp(k) {
		return
	}

	id := n.sim.newID("op")
	a := &journal.AcceptRecord{
		Account: k.Account(), Key: k.Key(), Digest: k.String(), Path: id, Idempotent: idempotent, RetainMS: workRetention.Milliseconds(),
	}
	c := &journal.ClaimRecord{Account: k.Account(), Key: k.Key(), ID: id, Holder: n.name}

	o := n.submit(id, func(n *node) { n.handleClaim(k, id) }, newMarker(id), journal.Record{Accept: a}, journal.Record{Claim: c})
	o.key, o.isClaim = k, true
}

// takeOverWork claims idempotent work that another node holds.
func (n *node) takeOverWork() {
	k, idempotent := drawKey(n.sim.t)

	v, ok := n.replica.Lookup(k)
	if !ok || v.IsEnded() || !idempotent || n.hasPendingOp(k) {
		return
	}

	id := n.sim.newID("op")
	c := &journal.ClaimRecord{Account: k.Account(), Key: k.Key(), ID: id, Holder: n.name, Replaces: v.ClaimID()}
	o := n.submit(id, func(n *node) { n.handleClaim(k, id) }, newMarker(id), journal.Record{Claim: c})
	o.key, o.isClaim = k, true
}

// handleClaim is called when the replay has reached a claim: the work is dispatched if the claim won.
func (n *node) handleClaim(k journal.Key, id string) {
	v, ok := n.replica.Lookup(k)
	if !ok {
		return // released or expired since
	}

	if v.AcceptRecord().Account != k.Account() || v.AcceptRecord().Digest != k.String() {
		n.sim.failf("%s found the work of another key", id)
	}

	inc := v.AcceptRecord().Path
	n.sim.acknowledged[inc] = k

	if v.ClaimID() != id {
		return
	}

	if drawUniform(n.sim.t, 4, "no target") == 0 {
		n.releaseClaim(k, id)

		return
	}

	n.sim.dispatchCount[inc]++
	if !v.AcceptRecord().Idempotent && n.sim.dispatchCount[inc] > 1 {
		n.sim.failf("%s was dispatched twice", inc)
	}

	c := n.sim.newID("op")
	o := n.submit(c, nil, newMarker(c), journal.Record{Complete: &journal.CompleteRecord{
		Account: k.Account(), Key: k.Key(), Claim: id, Effect: journal.Done, Text: c,
	}})
	o.key = k
}

func (n *node) releaseClaim(k journal.Key, claim string) {
	id := n.sim.newID("op")
	o := n.submit(id, nil, newMarker(id), journal.Record{Release: &journal.ReleaseRecord{Account: k.Account(), Key: k.Key(), Claim: claim}})
	o.key = k
}

// giveUpWait ends the wait of one caller.
func (n *node) giveUpWait() {
	var l []*operation

	for _, o := range n.pendingOps {
		if !o.callerGaveUp && (o.isClaim || o.key == journal.Key{}) {
			l = append(l, o)
		}
	}

	if len(l) == 0 {
		return
	}

	slices.SortFunc(l, func(a, b *operation) int { return int(a.ticket) - int(b.ticket) })
	o := oneOf(n.sim.t, "caller", l...)

	s := n.queue.Withdraw(o.ticket)
	if s == appender.Sent && rapid.Bool().Draw(n.sim.t, "abandon") {
		s = n.queue.Abandon(o.ticket)
	}

	o.callerGaveUp = true

	if s == appender.Withdrawn {
		delete(n.pendingOps, o.ticket)
		n.sim.reportedNotRun[o.id] = true

		return
	}

	if o.isClaim {
		n.releaseClaim(o.key, o.id)
	}
}

// checkChanges checks what one entry changed.
func (w *simulation) checkChanges(c []journal.Change) {
	for _, v := range c {
		k := v.Key()
		now, ok := w.reference.Lookup(k)

		switch v.Kind() {
		case journal.WorkAccepted:
			delete(w.currentAcceptance, k)

			if ok {
				w.currentAcceptance[k] = now.AcceptRecord().Path
			}
		case journal.WorkClaimed:
			inc := w.currentAcceptance[k]
			w.claimCount[inc]++

			if inc != "" && k.Key() != "k0" && w.claimCount[inc] > 1 {
				w.failf("a second claim of %s won", inc)
			}
		case journal.WorkReleased:
			if inc := w.currentAcceptance[k]; !ok && inc != "" {
				w.released[inc] = true
				delete(w.currentAcceptance, k)

				if w.dispatchCount[inc] > 0 {
					w.failf("%s was released after it was dispatched", inc)
				}
			}
		case journal.WorkEnded:
			inc := w.currentAcceptance[k]
			if w.finalResult[inc] != "" {
				w.failf("%s ended twice", inc)
			}

			w.finalResult[inc], w.endedAt[inc] = now.Result().Text, w.reference.LogTime()
		default:
			w.checkJobChange(v)
		}
	}
}

func (w *simulation) checkJobChange(c journal.Change) {
	if w.cancelledJobs[c.Job()] && (c.Kind() == journal.JobLeased || c.Kind() == journal.JobProgressed) {
		w.failf("%s changed after it was cancelled", c.Job())
	}

	w.cancelledJobs[c.Job()] = w.cancelledJobs[c.Job()] || c.Kind() == journal.JobCancelled

	w.reference.ViewJob(c.Job(), func(j *job.Job) {
		for i := range j.ItemCount() {
			if b := j.Item(i).Body; j.State() == job.Running && b != nil && string(b) != j.Digest() {
				w.failf("item %d of %s is of another submission", i, c.Job())
			}

			k := fmt.Sprintf("%s/%d", c.Job(), i)

			r, ok := j.Result(i)
			if old := w.itemResult[k]; old != "" && old != string(r.Body) {
				w.failf("the result of item %s changed", k)
			}

			if ok {
				w.itemResult[k] = string(r.Body)
			}
		}
	})
}

// checkInvariants holds after every step.
func (w *simulation) checkInvariants() {
	for id := range w.reportedNotRun {
		if w.tookEffect[id] {
			w.failf("%s was reported as not run and took effect", id)
		}
	}

	for inc, k := range w.acknowledged {
		if at, ok := w.endedAt[inc]; w.released[inc] || ok && w.reference.LogTime().After(at.Add(workRetention)) {
			continue
		}

		v, ok := w.reference.Lookup(k)
		if !ok || v.AcceptRecord().Path != inc {
			w.failf("accepted work %s is not readable", inc)
		}

		if v.IsEnded() && v.Result().Text != w.finalResult[inc] {
			w.failf("%s has two results", inc)
		}
	}
}

// heldShard is a shard of a job that a node holds.
type heldShard struct {
	job   string
	shard int
	lease  lease.Lease
}

func drawJob(t *rapid.T) string { return oneOf(t, "job", "j0", "j1") }

// submitJob submits a job in two operations, as a large one is. Two digests stand for two different submissions
// under one key.
func (n *node) submitJob() {
	id, digest := drawJob(n.sim.t), oneOf(n.sim.t, "digest", "d0", "d1")
	o := &job.OpenRecord{
		Job: id, Account: "a", Digest: digest, Idempotent: id == "j0", Items: jobItems, ShardItems: 2,
		RetainMS: jobRetention.Milliseconds(),
	}
	items := func(first, end int) journal.Record {
		l := make([]job.Item, 0, jobItems)
		for i := first; i < end; i++ {
			l = append(l, job.Item{CustomID: fmt.Sprint(i), Body: []byte(digest)})
		}

		return journal.Record{Items: &job.ItemsRecord{Job: id, Digest: digest, First: first, Items: l}}
	}

	a, b := n.sim.newID("op"), n.sim.newID("op")
	n.submit(a, nil, newMarker(a), journal.Record{Open: o}, items(0, 2))
	n.submit(b, nil, newMarker(b), items(2, jobItems), journal.Record{Submit: &job.SubmitRecord{Job: id, Digest: digest}})
}

// requestLease leases a shard, or takes it over once its lease may have ended.
func (n *node) requestLease() {
	var l []func()

	for _, id := range []string{"j0", "j1"} {
		n.replica.ViewJob(id, func(j *job.Job) {
			for s := range j.ShardCount() {
				if g, _ := j.Lease(s); j.State() == job.Running && len(j.PendingItems(s)) > 0 && n.observeLease(id, s, g).CanTakeOver(n.sim.log.now) {
					l = append(l, func() { n.submitLease(id, s, g) })
				}
			}
		})
	}

	if len(l) > 0 {
		oneOf(n.sim.t, "shard", l...)()
	}
}

// observeLease notes the lease in force on a shard.
func (n *node) observeLease(id string, s int, g job.Lease) *lease.Observer {
	name := fmt.Sprintf("%s/%d", id, s)

	w := n.leaseObservers[name]
	if w == nil {
		w = &lease.Observer{}
		n.leaseObservers[name] = w
	}

	w.Observe(n.sim.log.now, g.Offset(), g.Renewals(), leaseTerms)

	return w
}

func (n *node) submitLease(id string, s int, g job.Lease) {
	op := n.sim.newID("op")
	l := &job.LeaseRecord{Job: id, Shard: s, Domain: op, Holder: n.name, Replaces: g.Offset()}
	asked := n.sim.log.now
	n.submit(op, func(n *node) { n.handleLease(id, s, op, asked) }, newMarker(op), journal.Record{Lease: l})
}

// handleLease is called when the replay has reached a lease record. The holder starts at once, or later, when it may have
// been paused past its lease.
func (n *node) handleLease(id string, s int, op string, asked time.Time) {
	n.replica.ViewJob(id, func(j *job.Job) {
		if g, ok := j.Lease(s); ok && g.Domain() == op {
			n.heldShards[fmt.Sprintf("%s/%d", id, s)] = heldShard{job: id, shard: s, lease: lease.New(g.Offset(), asked, leaseTerms)}
		}
	})

	if rapid.Bool().Draw(n.sim.t, "start now") {
		n.startItems()
	}
}

// startItems records the items of a held shard as started and runs them once that is replayed.
func (n *node) startItems() {
	l := slices.Sorted(maps.Keys(n.heldShards))
	if len(l) == 0 {
		return
	}

	name := oneOf(n.sim.t, "held", l...)
	h := n.heldShards[name]
	delete(n.heldShards, name)

	var run, uncertain []int

	n.replica.ViewJob(h.job, func(j *job.Job) {
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
		n.sim.failf("bitmap: %v", err)
	}

	op := n.sim.newID("op")
	r := &job.StartRecord{Job: h.job, Shard: h.shard, Lease: h.lease.Token(), Items: b}
	n.submit(op, func(n *node) { n.runItems(h, run, uncertain) }, newMarker(op), journal.Record{Start: r})
}

func (n *node) runItems(h heldShard, run, uncertain []int) {
	holds := false

	n.replica.ViewJob(h.job, func(j *job.Job) { holds = j.HasLease(h.shard, h.lease.Token()) })

	// The holder may have been paused past its lease: it does not look at its clock, so that the log alone decides.
	if !holds {
		return
	}

	op := n.sim.newID("op")
	p := &job.ProgressRecord{Job: h.job, Shard: h.shard, Lease: h.lease.Token()}

	for _, i := range run {
		k := fmt.Sprintf("%s/%d", h.job, i)
		n.sim.itemDispatchCount[k]++

		if h.job != "j0" && n.sim.itemDispatchCount[k] > 1 {
			n.sim.failf("item %s was dispatched twice", k)
		}

		p.Results = append(p.Results, job.Result{Index: uint32(i), Effect: job.Done, Body: []byte(op)})
	}

	for _, i := range uncertain {
		p.Results = append(p.Results, job.Result{Index: uint32(i), Effect: job.Unknown, Body: []byte(op)})
	}

	n.submit(op, nil, newMarker(op), journal.Record{Progress: p})
}

func (n *node) changeJob() {
	id, op, priority := drawJob(n.sim.t), n.sim.newID("op"), n.sim.lastID

	r := journal.Record{Cancel: &job.CancelRecord{Job: id, Account: "a"}}
	if drawUniform(n.sim.t, 5, "amend") > 0 {
		r = journal.Record{Amend: &job.AmendRecord{Job: id, Account: "a", Priority: &priority}}
	}

	n.submit(op, nil, newMarker(op), r)
}

// Guards against every failure of section 4 of the design: lost and late appends, an outage, dropped records, nodes
// that are lost, cut off or paused past their lease, repeated submissions, cancels that race with completions, and
// snapshots that were not finished.
func TestAcceptedWorkSurvivesFaultsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)

		draw := func() *node { return oneOf(t, "node", w.nodes...) }
		step := func(f func(n *node)) func(*rapid.T) {
			return func(*rapid.T) {
				f(draw())
			}
		}
		send := step((*node).appendGroup)
		read := step(func(n *node) { n.replay(rapid.IntRange(1, 5).Draw(t, "entries")) })

		turn := func(n *node) {
			w.log.advance(3 * time.Second)

			for range 3 { // an answer to a record often leads to the next record
				n.appendGroup()
				n.replay(-1)
			}
		}
		cycle := step(turn)
		settle := func(*rapid.T) {
			for range 4 {
				for _, n := range w.nodes {
					n.disconnected = false

					turn(n)
				}
			}
		}
		actions := map[string]func(*rapid.T){
			"settle":     settle,
			"give up":    step((*node).giveUpWait),
			"send":       send,
			"read":       read,
			"cycle":      cycle,
			"cycle more": cycle,
			"cycle most": cycle,
			"late": func(t *rapid.T) {
				if len(w.delayedAppends) > 0 {
					i := drawUniform(t, len(w.delayedAppends), "append")
					w.append(w.delayedAppends[i])
					w.delayedAppends = slices.Delete(w.delayedAppends, i, i+1)
				}
			},
			"crash":         func(t *rapid.T) { w.nodes[drawUniform(t, len(w.nodes), "node")] = w.newNode() },
			"cut or heal":   step(func(n *node) { n.disconnected = !n.disconnected }),
			"half snapshot": step(func(n *node) { n.writeSnapshot(rapid.IntRange(0, 2).Draw(t, "parts")) }),
			"wait":          func(*rapid.T) { w.log.advance(leaseDuration) },
			"pass": func(t *rapid.T) {
				w.advanceTime(time.Duration(oneOf(t, "minutes", 1, 1, 2, 30, 90)) * time.Minute)
			},
		}

		// A run is about work, about jobs or about both, so that long histories of each come up.
		about := oneOf(t, "about", "work", "jobs", "both")
		if about != "jobs" {
			actions["request"], actions["take over"] = step((*node).acceptWork), step((*node).takeOverWork)
		}

		if about != "work" {
			actions["submit job"], actions["change job"] = step((*node).submitJob), step((*node).changeJob)
			actions["grant"], actions["start"] = step((*node).requestLease), step((*node).startItems)
			actions["start more"] = actions["start"]
		}

		names := slices.Sorted(maps.Keys(actions))

		for range drawUniform(t, 2*meanSteps, "steps") {
			actions[names[drawUniform(t, len(names), "action")]](t)
			w.checkInvariants()
		}

		// Every store is replaced: what the log has is enough.
		n := w.newNode()
		n.restoreSnapshot()
		n.replay(-1)

		if n.replica.Offset() != w.reference.Offset() {
			w.failf("a new store ends at offset %d of %d", n.replica.Offset(), w.reference.Offset())
		}
	})
}
