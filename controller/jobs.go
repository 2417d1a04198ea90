package controller

import (
	"context"
	"time"

	"github.com/agategap/agategap/filter"
	"github.com/agategap/agategap/job"
	"github.com/agategap/agategap/journal"
	"github.com/agategap/agategap/outcome"
)

// itemsRecordBytes is the total size of item bodies at which an items record is full.
const itemsRecordBytes = 256 << 10

// Jobs accepts, reads and changes batch jobs through the followers of their partitions, the writer first. It is
// safe for concurrent use.
type Jobs struct {
	journal  *Journal
	routes   *Routes
	service  *JobService
	settings Settings
}

// NewJobs returns the controller. s serves the partitions that this daemon follows.
func NewJobs(j *Journal, r *Routes, s *JobService, c Settings) *Jobs {
	return &Jobs{journal: j, routes: r, service: s, settings: c}
}

// Submit accepts a job and returns its identifier once the log has it. Submitting the same job again returns the same
// identifier and completes a submission that was interrupted. A different job under the same key is rejected.
func (j *Jobs) Submit(ctx context.Context, s JobSpec) (string, error) {
	id := s.ID()
	p := j.service.store.Partition(id)

	v, ok := j.settings.Service(s.service)
	if !ok {
		return "", outcome.New(outcome.NotFound, outcome.NotRun, "service %q does not exist", s.service)
	}

	// The open record fixes the content of the job. Items are appended only once the digest shows that the record is of
	// this submission; otherwise the items of two submissions under one key would mix.
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

// appendItems appends the items of a submission and the record that accepts the job.
func (j *Jobs) appendItems(ctx context.Context, p int, s JobSpec) error {
	var r []journal.Record

	digest := s.Digest()
	pendingBytes := 0

	for first := 0; first < len(s.items); {
		n, size := 0, 0
		for first+n < len(s.items) && (n == 0 || size < itemsRecordBytes) {
			size += len(s.items[first+n].Body)
			n++
		}

		r = append(r, journal.Record{Items: &job.ItemsRecord{Job: s.ID(), Digest: digest, First: first, Items: s.items[first : first+n]}})
		first += n
		pendingBytes += size

		if pendingBytes >= maxPageBytes {
			if err := j.journal.Append(ctx, p, r...); err != nil {
				return err
			}

			r, pendingBytes = nil, 0
		}
	}

	return j.journal.Append(ctx, p, append(r, journal.Record{Submit: &job.SubmitRecord{Job: s.ID(), Digest: digest}})...)
}

// Status returns the status of an account's job, including all that was recorded before the call.
func (j *Jobs) Status(ctx context.Context, account, id string) (job.Status, error) {
	r, err := j.view(ctx, ViewArgs{Account: account, Job: id})

	return r.Status, err
}

// Results returns a page of the results of an account's job, starting at item from, and the first item of the next
// page. After the last page that is the number of items.
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

// Cancel cancels an account's job. It returns the cut-off run bound: how long a failure domain that is cut off from the
// log may continue to run the items that it holds. Other holders stop with their next report.
func (j *Jobs) Cancel(ctx context.Context, account, id string) (time.Duration, error) {
	b := j.settings.InForce().Document().Batch.CutoffRunBound.Value()

	return b, j.appendChange(ctx, account, id, journal.Record{Cancel: &job.CancelRecord{Job: id, Account: account}})
}

// Amend changes the priority and the deadline of an account's job; nil leaves a value unchanged.
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
