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
	jobItems      = 3
	leaseDuration = 5 * time.Minute
	maxPause      = time.Minute
	maxSendTime   = time.Second
)

var leaseTerms = lease.NewTerms(leaseDuration, maxPause, maxSendTime)

// meanSteps is the mean number of steps of a check.
const meanSteps = 100

// drawUniform draws an index below n with nearly equal probabilities. The integer generators of rapid prefer small
// values, with which the last of many choices would hardly ever be drawn.
func drawUniform(t *rapid.T, n int, label string) int {
	const extraBits = 3 // so that the remainder is nearly uniform

	v := 0
	for range bits.Len(uint(n)) + extraBits {
		v *= 2
		if rapid.Bool().Draw(t, label) {
			v++
		}
	}

	return v % n
}

func oneOf[T any](t *rapid.T, label string, l ...T) T { return l[drawUniform(t, len(l), label)] }

// newMarker returns a record without effect that identifies the operation whose records it is appended with.
func newMarker(id string) journal.Record {
	return journal.Record{Release: &journal.ReleaseRecord{Account: "op", Key: id}}
}

// operationID returns the operation that a marker identifies; empty for other records.
func operationID(r journal.Record) string {
	if r.Release != nil && r.Release.Account == "op" {
		return r.Release.Key
	}

	return ""
}

// drawKey draws the key of work and whether the work is idempotent, which it is under k0. Two accounts use the same
// idempotency keys, so that a mix-up of accounts is detected.
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

// acceptWork accepts and claims work as the record filter does. The path of the work identifies the operation.
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

// takeOverWork replaces the claim of idempotent work that has not ended.
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

// handleClaim is called when the claim of an operation is replayed. It dispatches the work if the claim is in force.
func (n *node) handleClaim(k journal.Key, id string) {
	v, ok := n.replica.Lookup(k)
	if !ok {
		return // released or expired in the meantime
	}

	if v.AcceptRecord().Account != k.Account() || v.AcceptRecord().Digest != k.String() {
		n.sim.failf("%s found the work of another key", id)
	}

	acceptance := v.AcceptRecord().Path
	n.sim.acknowledged[acceptance] = k

	if v.ClaimID() != id {
		return
	}

	if drawUniform(n.sim.t, 4, "no target") == 0 {
		n.releaseClaim(k, id)

		return
	}

	n.sim.dispatchCount[acceptance]++
	if !v.AcceptRecord().Idempotent && n.sim.dispatchCount[acceptance] > 1 {
		n.sim.failf("%s was dispatched twice", acceptance)
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

// cancelWait cancels the wait of one caller for a submission.
func (n *node) cancelWait() {
	var l []*operation

	for _, o := range n.pendingOps {
		if !o.waitCancelled && (o.isClaim || o.key == journal.Key{}) {
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

	o.waitCancelled = true

	if s == appender.Withdrawn {
		delete(n.pendingOps, o.ticket)
		n.sim.reportedNotRun[o.id] = true

		return
	}

	if o.isClaim {
		n.releaseClaim(o.key, o.id)
	}
}

// checkChanges checks the changes by one entry and updates the expected state.
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
			acceptance := w.currentAcceptance[k]
			w.claimCount[acceptance]++

			if acceptance != "" && k.Key() != "k0" && w.claimCount[acceptance] > 1 {
				w.failf("a second claim of %s took effect", acceptance)
			}
		case journal.WorkReleased:
			if acceptance := w.currentAcceptance[k]; !ok && acceptance != "" {
				w.released[acceptance] = true
				delete(w.currentAcceptance, k)

				if w.dispatchCount[acceptance] > 0 {
					w.failf("%s was released after it was dispatched", acceptance)
				}
			}
		case journal.WorkEnded:
			acceptance := w.currentAcceptance[k]
			if w.finalResult[acceptance] != "" {
				w.failf("%s ended twice", acceptance)
			}

			w.finalResult[acceptance], w.endedAt[acceptance] = now.Result().Text, w.reference.LogTime()
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
				w.failf("item %d of %s belongs to another submission", i, c.Job())
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

// checkInvariants checks what must hold after every step.
func (w *simulation) checkInvariants() {
	for id := range w.reportedNotRun {
		if w.tookEffect[id] {
			w.failf("%s was reported as not run and took effect", id)
		}
	}

	for acceptance, k := range w.acknowledged {
		if at, ok := w.endedAt[acceptance]; w.released[acceptance] || ok && w.reference.LogTime().After(at.Add(workRetention)) {
			continue
		}

		v, ok := w.reference.Lookup(k)
		if !ok || v.AcceptRecord().Path != acceptance {
			w.failf("accepted work %s is not readable", acceptance)
		}

		if v.IsEnded() && v.Result().Text != w.finalResult[acceptance] {
			w.failf("%s has two results", acceptance)
		}
	}
}

// heldShard is a job shard with the lease under which a node holds it.
type heldShard struct {
	job   string
	shard int
	lease lease.Lease
}

func drawJob(t *rapid.T) string { return oneOf(t, "job", "j0", "j1") }

// submitJob submits a job in two operations, as is done for large jobs. The two digests stand for two different
// submissions under one key.
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

// requestLease submits a lease for a shard that has pending items and no lease, or whose lease may have ended.
func (n *node) requestLease() {
	var l []func()

	for _, id := range []string{"j0", "j1"} {
		n.replica.ViewJob(id, func(j *job.Job) {
			for s := range j.ShardCount() {
				if last, _ := j.Lease(s); j.State() == job.Running && len(j.PendingItems(s)) > 0 && n.observeLease(id, s, last).CanTakeOver(n.sim.log.now) {
					l = append(l, func() { n.submitLease(id, s, last) })
				}
			}
		})
	}

	if len(l) > 0 {
		oneOf(n.sim.t, "shard", l...)()
	}
}

// observeLease updates and returns the observer of the latest lease on a shard.
func (n *node) observeLease(id string, s int, last job.Lease) *lease.Observer {
	name := fmt.Sprintf("%s/%d", id, s)

	o := n.leaseObservers[name]
	if o == nil {
		o = &lease.Observer{}
		n.leaseObservers[name] = o
	}

	o.Observe(n.sim.log.now, last.Offset(), last.Renewals(), leaseTerms)

	return o
}

func (n *node) submitLease(id string, s int, last job.Lease) {
	op := n.sim.newID("op")
	l := &job.LeaseRecord{Job: id, Shard: s, Domain: op, Holder: n.name, Replaces: last.Offset()}
	requestedAt := n.sim.log.now
	n.submit(op, func(n *node) { n.handleLease(id, s, op, requestedAt) }, newMarker(op), journal.Record{Lease: l})
}

// handleLease is called when the lease record of a node is replayed. The node starts the items at once or in a later
// step, like a holder that is paused until its lease may have ended.
func (n *node) handleLease(id string, s int, op string, requestedAt time.Time) {
	n.replica.ViewJob(id, func(j *job.Job) {
		if v, ok := j.Lease(s); ok && v.Domain() == op {
			n.heldShards[fmt.Sprintf("%s/%d", id, s)] = heldShard{
				job: id, shard: s, lease: lease.New(v.Offset(), requestedAt, leaseTerms),
			}
		}
	})

	if rapid.Bool().Draw(n.sim.t, "start now") {
		n.startItems()
	}
}

// startItems records the items of a held shard as started, and runs them when that record is replayed.
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
		n.sim.failf("encode indexes: %v", err)
	}

	op := n.sim.newID("op")
	r := &job.StartRecord{Job: h.job, Shard: h.shard, Lease: h.lease.Token(), Items: b}
	n.submit(op, func(n *node) { n.runItems(h, run, uncertain) }, newMarker(op), journal.Record{Start: r})
}

func (n *node) runItems(h heldShard, run, uncertain []int) {
	inForce := false

	n.replica.ViewJob(h.job, func(j *job.Job) { inForce = j.HasLease(h.shard, h.lease.Token()) })

	// The holder may have been paused until after the end of its lease. It does not check its clock, so the log alone
	// decides whether the lease is still in force.
	if !inForce {
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

// changeJob cancels or amends a job.
func (n *node) changeJob() {
	id, op, priority := drawJob(n.sim.t), n.sim.newID("op"), n.sim.lastID

	r := journal.Record{Cancel: &job.CancelRecord{Job: id, Account: "a"}}
	if drawUniform(n.sim.t, 5, "amend") > 0 {
		r = journal.Record{Amend: &job.AmendRecord{Job: id, Account: "a", Priority: &priority}}
	}

	n.submit(op, nil, newMarker(op), r)
}

// Guards against work and jobs that are lost, duplicated or changed by any sequence of the failures in section 4 of the
// design: lost and late appends, an outage, truncated history, nodes that crash, cannot reach the log or are paused
// past the end of their lease, repeated submissions, cancels that race with completions, and incomplete snapshots.
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

		appendAndReplay := func(n *node) {
			w.log.advance(3 * time.Second)

			for range 3 { // the replay of a record often leads to the next submission
				n.appendGroup()
				n.replay(-1)
			}
		}
		cycle := step(appendAndReplay)
		reconnectAll := func(*rapid.T) {
			for range 4 {
				for _, n := range w.nodes {
					n.disconnected = false

					appendAndReplay(n)
				}
			}
		}
		actions := map[string]func(*rapid.T){
			"settle":     reconnectAll,
			"give up":    step((*node).cancelWait),
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

		// A check has actions on work, on jobs or on both, so that long histories of each are covered.
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

		// A new node needs nothing but the log to reach the reference state.
		n := w.newNode()
		n.restoreSnapshot()
		n.replay(-1)

		if n.replica.Offset() != w.reference.Offset() {
			w.failf("a new node ends at offset %d of %d", n.replica.Offset(), w.reference.Offset())
		}
	})
}
