package controller

import (
	"context"
	"time"

	"github.com/agategap/agategap/filter"
	"github.com/agategap/agategap/job"
	"github.com/agategap/agategap/journal"
	"github.com/agategap/agategap/outcome"
)

// itemsRecordBytes is the size of the items that one record carries.
const itemsRecordBytes = 256 << 10

// Jobs accepts batch jobs, shows and changes them, through the writers of their partitions.
type Jobs struct {
	journal  *Journal
	routes   *Routes
	service    *JobService
	settings Settings
}

// NewJobs returns the controller. local serves the partitions that this daemon follows.
func NewJobs(j *Journal, r *Routes, local *JobService, c Settings) *Jobs {
	return &Jobs{journal: j, routes: r, service: local, settings: c}
}

// Submit accepts a job, and returns its identifier once the log has it. The same submission again is the same job, also
// when the first one broke off half way.
func (j *Jobs) Submit(ctx context.Context, s JobSpec) (string, error) {
	id := s.ID()
	p := j.service.store.Partition(id)

	v, ok := j.settings.Service(s.service)
	if !ok {
		return "", outcome.New(outcome.NotFound, outcome.NotRun, "service %q does not exist", s.service)
	}

	// The opening record fixes the content of the job. Items follow only once it is known to be this submission's,
	// as the items of two submissions under one key would otherwise mix.
	if err := j.journal.Append(ctx, p, journal.Record{Open: j.newOpenRecord(s, v)}); err != nil {
		return "", err
	}

	t, err := j.Status(ctx, s.account, id)
	if err != nil {
		return "", outcome.From(err).WithEffect(outcome.Unknown)
	}

	if t.Digest != s.Digest() {
		return "", outcome.New(outcome.KeyReused, outcome.NotRun, "the idempotency key was used for a different job; use a new key")
	}

	if t.State != job.Opening {
		return id, nil
	}

	if err := j.appendItems(ctx, p, s); err != nil {
		return "", err
	}

	return id, nil
}

func (j *Jobs) newOpenRecord(s JobSpec, v filter.Service) *job.OpenRecord {
	d := j.settings.InForce().Document().Batch

	return &job.OpenRecord{
		Job: s.ID(), Account: s.account, Key: s.key, Digest: s.Digest(), Service: s.service, Path: s.path,
		Idempotent: v.Idempotent(), Items: len(s.items), ShardItems: d.ShardItems, MaxAttempts: d.MaxAttempts,
		Priority: s.priority, DeadlineMS: s.deadline.UnixMilli(), RetainMS: d.Retain.Value().Milliseconds(),
	}
}

// appendItems appends the items of a submission and the record that accepts it.
func (j *Jobs) appendItems(ctx context.Context, p int, s JobSpec) error {
	var r []journal.Record

	digest := s.Digest()
	carried := 0

	for first := 0; first < len(s.items); {
		n, size := 0, 0
		for first+n < len(s.items) && (n == 0 || size < itemsRecordBytes) {
			size += len(s.items[first+n].Body)
			n++
		}

		r = append(r, journal.Record{Items: &job.ItemsRecord{Job: s.ID(), Digest: digest, First: first, Items: s.items[first : first+n]}})
		first += n
		carried += size

		if carried >= maxPageBytes {
			if err := j.journal.Append(ctx, p, r...); err != nil {
				return err
			}

			r, carried = nil, 0
		}
	}

	return j.journal.Append(ctx, p, append(r, journal.Record{Submit: &job.SubmitRecord{Job: s.ID(), Digest: digest}})...)
}

// Status returns the state of an account's job, after replaying what was recorded before the call.
func (j *Jobs) Status(ctx context.Context, account, id string) (job.Status, error) {
	r, err := j.view(ctx, ViewArgs{Account: account, Job: id})

	return r.Status, err
}

// Results returns a page of the results of an account's job from an item on, and the item to go on at. After the last
// page that is the number of items.
func (j *Jobs) Results(ctx context.Context, account, id string, from int) ([]job.ItemResult, int, error) {
	r, err := j.view(ctx, ViewArgs{Account: account, Job: id, Results: true, From: from})

	return r.Lines, r.Next, err
}

func (j *Jobs) view(ctx context.Context, a ViewArgs) (ViewReply, error) {
	var v ViewReply

	err := j.routes.tryFollowers(ctx, j.service.store.Partition(a.Job), true, func(address string) error {
		wait := callWait(ctx)
		a.WaitMS = wait.Milliseconds()

		if address == "" {
			x, stop := context.WithTimeout(ctx, wait)
			defer stop()

			j.service.view(x, a, &v)

			return nil
		}

		var r ViewReply
		if err := j.routes.callPeer(ctx, address, "Job.View", wait, a, &r); err != nil {
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

// Cancel stops an account's job and returns the bound on the time that a cut-off failure domain goes on with the items
// that it holds. Everywhere else the job stops with the next report of its holders.
func (j *Jobs) Cancel(ctx context.Context, account, id string) (time.Duration, error) {
	b := j.settings.InForce().Document().Batch.CutoffRunBound.Value()

	return b, j.appendChange(ctx, account, id, journal.Record{Cancel: &job.CancelRecord{Job: id, Account: account}})
}

// Amend changes priority and deadline of an account's job; nil leaves a value as it is.
func (j *Jobs) Amend(ctx context.Context, account, id string, priority *int, deadline *time.Time) error {
	a := &job.AmendRecord{Job: id, Account: account, Priority: priority}

	if deadline != nil {
		ms := deadline.UnixMilli()
		a.DeadlineMS = &ms
	}

	return j.appendChange(ctx, account, id, journal.Record{Amend: a})
}

func (j *Jobs) appendChange(ctx context.Context, account, id string, r journal.Record) error {
	if _, err := j.Status(ctx, account, id); err != nil {
		return err
	}

	return j.journal.Append(ctx, j.service.store.Partition(id), r)
}
