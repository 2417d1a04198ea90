package controller

import (
	"context"
	"time"

	"github.com/agategap/agategap/journal"
	"github.com/agategap/agategap/outcome"
)

// Journal records and finds accepted work through the followers of its partition, the writer first. It is safe for
// concurrent use.
type Journal struct {
	routes   *Routes
	service  *JournalService
	replicas Replicas
	counter  Counter
	outboxes []*outbox
}

// NewJournal returns the controller. s serves the partitions that this daemon follows.
func NewJournal(r *Routes, s *JournalService, p Replicas, c Counter) *Journal {
	j := &Journal{routes: r, service: s, replicas: p, counter: c}

	for i := range r.assignment.PartitionCount() {
		j.outboxes = append(j.outboxes, newOutbox(i))
	}

	return j
}

// Find returns the work under a key, including all that was recorded before the call.
func (j *Journal) Find(ctx context.Context, k journal.Key) (journal.Work, bool, error) {
	r, err := j.lookup(ctx, LookupArgs{Account: k.Account(), Key: k.Key()})
	if err != nil {
		return journal.Work{}, false, err
	}

	return r.work(), r.Found, nil
}

// Await waits until the work under a key has ended. Errors other than not_found are retried until ctx ends; the error
// is then in_progress.
func (j *Journal) Await(ctx context.Context, k journal.Key) (journal.Work, error) {
	for {
		r, err := j.lookup(ctx, LookupArgs{Account: k.Account(), Key: k.Key(), Await: true})

		switch {
		case err == nil && r.Ended:
			return r.work(), nil
		case outcome.Is(err, outcome.NotFound):
			return journal.Work{}, err
		case err != nil:
			sleep(ctx, retryDelay)
		}

		if ctx.Err() != nil {
			return r.work(), outcome.New(outcome.InProgress, outcome.Unknown, "the work is accepted and has not ended").
				WithRetryAfter(time.Second)
		}
	}
}

// Submit appends records of the work under a key and returns the work. If it is not certain whether the records took
// effect, Submit looks the work up for at most maxCallWait and resolveGracePeriod together. An error with effect
// not_run means that the records never take effect.
func (j *Journal) Submit(ctx context.Context, k journal.Key, r ...journal.Record) (journal.Work, error) {
	a := SubmitArgs{Partition: j.replicas.Partition(k.String()), Records: r, Account: k.Account(), Key: k.Key()}

	v, err := j.submit(ctx, a)
	if err == nil {
		return v.work(), nil
	}

	if outcome.From(err).Effect() == outcome.NotRun {
		return journal.Work{}, err
	}

	return j.resolveSubmission(ctx, k, r, err)
}

// Append appends records that belong to no work, such as those of jobs, to a partition.
func (j *Journal) Append(ctx context.Context, p int, r ...journal.Record) error {
	_, err := j.submit(ctx, SubmitArgs{Partition: p, Records: r})

	return err
}

// submit sends records to the followers of a partition until they are recorded. It returns an error when ctx ends, when
// the records are rejected, or when it is not certain whether they took effect.
func (j *Journal) submit(ctx context.Context, a SubmitArgs) (WorkReply, error) {
	for {
		v, err := j.submitOnce(ctx, a)
		if err == nil || outcome.From(err).Effect() != outcome.NotRun || !outcome.Is(err, outcome.LogUnavailable) {
			return v, err
		}

		sleep(ctx, retryDelay)

		if ctx.Err() != nil {
			return v, err
		}
	}
}

func (j *Journal) submitOnce(ctx context.Context, a SubmitArgs) (WorkReply, error) {
	return j.callForWork(ctx, a.Partition, false, "Journal.Submit", func(waitMS int64) (any, workHandler) {
		a.WaitMS = waitMS

		return a, func(v *WorkReply) { j.service.submit(ctx, a, v) }
	})
}

// workHandler serves a call at this daemon instead of a peer, and sets the reply.
type workHandler func(v *WorkReply)

// callForWork calls a method with a WorkReply at the followers of a partition. prepare returns the arguments for a
// wait, and the handler that serves them at this daemon. After a call that may have arrived, only a repeatable call is
// tried at the next follower.
func (j *Journal) callForWork(ctx context.Context, p int, repeatable bool, method string, prepare func(waitMS int64) (any, workHandler)) (WorkReply, error) {
	var v WorkReply

	err := j.routes.tryFollowers(ctx, p, repeatable, func(address string) error {
		wait := callWait(ctx)
		a, handle := prepare(wait.Milliseconds())

		if address == "" {
			handle(&v)

			return nil
		}

		var r WorkReply
		if err := j.routes.callPeer(ctx, address, method, wait, a, &r); err != nil {
			return err
		}

		v = r

		return nil
	})
	if err == nil {
		err = v.Failure.err()
	}

	return v, err
}

// resolveGracePeriod is the time, after the context of a submission has ended, for finding out whether it took effect.
const resolveGracePeriod = time.Second

// resolveSubmission looks for the effect of records whose submission got no reply. If it finds none, the outcome stays
// unknown, as the records may still be queued at the writer.
func (j *Journal) resolveSubmission(ctx context.Context, k journal.Key, r []journal.Record, cause error) (journal.Work, error) {
	j.counter.Count("submissions_looked_up", 1)

	x, stop := context.WithTimeout(context.WithoutCancel(ctx), callWait(ctx)+resolveGracePeriod)
	defer stop()

	for x.Err() == nil {
		if w, ok, err := j.Find(x, k); err == nil && hasOutcome(w, ok, r) {
			return w, nil
		}

		sleep(x, retryDelay)
	}

	return journal.Work{}, outcome.From(cause).WithEffect(outcome.Unknown)
}

// hasOutcome reports whether the work shows that the records took effect, or that they can no longer take effect.
func hasOutcome(w journal.Work, found bool, records []journal.Record) bool {
	for _, r := range records {
		switch {
		case r.Accept != nil && !found:
			return false
		case r.Claim != nil && w.ClaimID() == r.Claim.Replaces:
			return false
		case r.Release != nil && found && w.ClaimID() == r.Release.Claim:
			return false
		case r.Complete != nil && found && !w.IsEnded():
			return false
		}
	}

	return true
}

// lookup reads work from the followers of its partition. The call is repeatable.
func (j *Journal) lookup(ctx context.Context, a LookupArgs) (WorkReply, error) {
	p := j.replicas.Partition(journal.NewKey(a.Account, a.Key).String())

	return j.callForWork(ctx, p, true, "Journal.Lookup", func(waitMS int64) (any, workHandler) {
		a.WaitMS = waitMS

		return a, func(v *WorkReply) {
			x, stop := context.WithTimeout(ctx, milliseconds(waitMS))
			defer stop()

			j.service.lookup(x, a, v)
		}
	})
}
