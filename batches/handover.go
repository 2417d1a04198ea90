package batches

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/agategap/agategap/batch"
)

// handoverTimeout bounds the transfer of one job to another daemon.
const handoverTimeout = time.Second

// AdoptArgs hands a job over with the progress of its items. It is a message.
type AdoptArgs struct {
	Job   string            `msgpack:"job"`
	Items []ProgressMessage `msgpack:"items"`
}

// ProgressMessage is the progress of an item.
type ProgressMessage struct {
	ID    string `msgpack:"id"`
	Text  []byte `msgpack:"text"`
	Last  int    `msgpack:"last"` // number of the last event
	Fails int    `msgpack:"fails"`
	Ended bool   `msgpack:"ended"` // the item has a result that is not listed yet
	Given bool   `msgpack:"given"` // the result is that it was given up
	Why   string `msgpack:"why"`
	Onto  uint64 `msgpack:"onto"` // the run whose events the log has
}

// result returns the result of an item that has ended.
func (p ProgressMessage) result() batch.Result {
	if p.Given {
		return batch.NewResult(p.ID, "", false)
	}

	return batch.NewResult(p.ID, string(p.Text), true)
}

// AdoptReply says whether the job was taken.
type AdoptReply struct {
	Taken bool `msgpack:"taken"`
}

// Adopt takes a job over from a daemon that is leaving.
func (r *Runner) Adopt(q AdoptArgs, a *AdoptReply) error {
	r.mu.Lock()
	defer r.mu.Unlock()

	c := r.batches.followedPartition(r.batches.Partition(q.Job))
	if r.leaving || c == nil || !c.consumer.IsLoaded() {
		return nil
	}

	for _, p := range q.Items {
		k := q.Job + "/" + p.ID
		if _, ok := r.items[k]; ok {
			continue
		}

		v, ok := c.replica.Job(q.Job)
		if !ok {
			break
		}

		for _, i := range v.OpenItems() {
			if i.ID() == p.ID {
				u := &runningItem{
					jobID: q.Job, item: i, cancel: func() {}, text: p.Text, lastEvent: p.Last, failedAttempts: p.Fails, active: p.Ended,
					eventEnds: []eventEnd{{event: p.Last, offset: len(p.Text)}}, runID: rand.Uint64(), parentRunID: p.Onto, parentEvent: p.Last,
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

// HandOver stops the items of this daemon and hands their jobs to the daemons that run them from now on.
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

// localJobs returns the jobs that this daemon ran.
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

func (r *Runner) handOverJob(ctx context.Context, v batch.View, runs []*runningItem) {
	q := AdoptArgs{Job: v.ID()}

	for _, u := range runs {
		r.mu.Lock()
		p := ProgressMessage{ID: u.item.ID(), Fails: u.failedAttempts, Ended: u.finished, Given: u.failed, Why: u.reason}
		r.mu.Unlock()

		u.mu.Lock()
		p.Text, p.Last, p.Onto = append([]byte(nil), u.text...), u.lastEvent, u.parentRunID
		if _, chain := r.batches.SavedProgress(u.jobID, u.item.ID()); chain == u.runID {
			p.Onto = chain
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

		err := r.caller.Call(x, p.Address, "Batch.Adopt", q, &a)

		stop()

		if err == nil && a.Taken {
			return
		}
	}

	r.logger.Warn().Str("event", "handover_failed").Str("job", v.ID()).Msg("no other daemon took the job; one takes it over when this one is gone")
}
