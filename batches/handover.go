package batches

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/agategap/agategap/batch"
)

// handoverTimeout bounds one attempt to hand a job over to another daemon.
const handoverTimeout = time.Second

// AdoptArgs are the arguments of Runner.Adopt: a job and the progress of the items that the leaving daemon has.
type AdoptArgs struct {
	Job   string            `msgpack:"job"`
	Items []ProgressMessage `msgpack:"items"`
}

// ProgressMessage is the progress of an item.
type ProgressMessage struct {
	ID    string `msgpack:"id"`
	Text  []byte `msgpack:"text"`  // data of the events so far
	Last  int    `msgpack:"last"`  // number of the last event
	Fails int    `msgpack:"fails"` // number of failed attempts
	Began bool   `msgpack:"began"` // a response to an attempt got beyond its beginning
	Ended bool   `msgpack:"ended"` // the item has a result, which may not be published yet
	Given bool   `msgpack:"given"` // the result is that the item failed
	Why   string `msgpack:"why"`   // reason of the failure
	Onto  uint64 `msgpack:"onto"`  // run whose events are saved in the log; 0 for none
}

// result returns the result of an item that has ended.
func (p ProgressMessage) result() batch.Result {
	if p.Given {
		return batch.NewResult(p.ID, "", false)
	}

	return batch.NewResult(p.ID, string(p.Text), true)
}

// AdoptReply reports whether this daemon took the job over.
type AdoptReply struct {
	Taken bool `msgpack:"taken"`
}

// Adopt takes a job over from a daemon that is leaving, unless this daemon is leaving too or has not loaded the
// partition of the job. Items that the arguments name continue after their progress, or have their result published if
// they have ended; the others start as usual.
func (r *Runner) Adopt(q AdoptArgs, a *AdoptReply) error {
	r.mu.Lock()
	defer r.mu.Unlock()

	followed := r.batches.followedPartition(r.batches.Partition(q.Job))
	if r.leaving || followed == nil || !followed.consumer.IsLoaded() {
		return nil
	}

	for _, p := range q.Items {
		k := q.Job + "/" + p.ID
		if _, ok := r.items[k]; ok {
			continue
		}

		v, ok := followed.replica.Job(q.Job)
		if !ok {
			break
		}

		for _, i := range v.OpenItems() {
			if i.ID() == p.ID {
				u := &runningItem{
					jobID: q.Job, item: i, cancel: func() {}, text: p.Text, lastEvent: p.Last, failedAttempts: p.Fails, began: p.Began,
					active: p.Ended, eventEnds: []eventEnd{{event: p.Last, offset: len(p.Text)}}, runID: rand.Uint64(),
					parentRunID: p.Onto, parentEvent: p.Last, wait: newWaitState(r.clock()),
				}
				r.items[k] = u

				if p.Ended {
					r.wg.Go(func() { r.publishResult(r.runCtx, u, p.result(), p.Why) })
				}
			}
		}
	}

	r.adoptedJobs[q.Job] = true
	a.Taken = true

	return nil
}

// HandOver stops all items that run on this daemon and hands over its jobs with the progress of their items to other
// daemons. It starts no items from then on. The error is always nil: a job that no daemon takes over now is taken over
// once this daemon is no longer live.
func (r *Runner) HandOver(ctx context.Context) error {
	r.mu.Lock()
	r.leaving = true
	jobs := map[string][]*runningItem{}

	for _, u := range r.items {
		u.cancel()
		jobs[u.jobID] = append(jobs[u.jobID], u)
	}
	r.mu.Unlock()

	var wg sync.WaitGroup

	for _, v := range r.localJobs() {
		wg.Go(func() { r.handOverJob(ctx, v, jobs[v.ID()]) })
	}

	wg.Wait()

	return nil
}

// localJobs returns the open jobs that this daemon process accepted or adopted.
func (r *Runner) localJobs() []batch.View {
	self := r.peers.Self()

	var l []batch.View

	for _, p := range r.batches.followedPartitions() {
		for _, v := range p.replica.OpenJobs() {
			r.mu.Lock()
			adopted := r.adoptedJobs[v.ID()]
			r.mu.Unlock()

			if w := v.Runner(); adopted || w.VM() == self.VM && w.Start() == self.Start {
				l = append(l, v)
			}
		}
	}

	return l
}

// handOverJob offers a job and its items to the candidates, one after the other, until one takes it over.
func (r *Runner) handOverJob(ctx context.Context, v batch.View, items []*runningItem) {
	q := AdoptArgs{Job: v.ID()}

	for _, u := range items {
		r.mu.Lock()
		p := ProgressMessage{ID: u.item.ID(), Fails: u.failedAttempts, Ended: u.finished, Given: u.failed, Why: u.reason}
		r.mu.Unlock()

		u.mu.Lock()
		p.Text, p.Last, p.Began, p.Onto = append([]byte(nil), u.text...), u.lastEvent, u.began, u.parentRunID
		if _, runID := r.batches.SavedProgress(u.jobID, u.item.ID()); runID == u.runID {
			p.Onto = runID
		}
		u.mu.Unlock()

		q.Items = append(q.Items, p)
	}

	self := r.peers.Self()

	for _, p := range r.peers.RunnerCandidates(r.batches.Partition(v.ID()), v.ID(), r.clock()) {
		if p.VM == self.VM {
			continue
		}

		x, stop := context.WithTimeout(ctx, handoverTimeout)

		var a AdoptReply

		err := r.client.Call(x, p.Address, "Batch.Adopt", q, &a)

		stop()

		if err == nil && a.Taken {
			return
		}
	}

	r.logger.Warn().Str("event", "handover_failed").Str("job", v.ID()).
		Msg("no other daemon took the job over; one will when this daemon is no longer live")
}
