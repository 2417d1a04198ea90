package controller

import (
	"context"
	"sync"
	"time"

	"github.com/agategap/agategap/config"
	"github.com/agategap/agategap/filter"
	"github.com/agategap/agategap/job"
	"github.com/agategap/agategap/journal"
)

// Settings gives the configuration in force and the services in it.
type Settings interface {
	InForce() config.AdoptedVersion
	Service(name string) (filter.Service, bool)
}

const (
	// maxPageBytes is the size at which a page of items or results in one message is full. It is well below the limit
	// on the size of a message.
	maxPageBytes = 2 << 20
	// maxUnleasedShards bounds the unleased shards of one job that are considered for one shard request.
	maxUnleasedShards = 64
)

// JobService grants the job shards of the partitions of which this daemon is the writer. It is the net/rpc service with
// the methods Job.View, Job.Pull, Job.Items, Job.Start and Job.Report for other daemons. It is safe for concurrent use.
type JobService struct {
	store      Store
	settings   Settings
	assignment *Assignment
	clock      func() time.Time
	counter    Counter
	partitions []partitionGrants
}

// partitionGrants decides on the leases of one partition.
type partitionGrants struct {
	mu       sync.Mutex
	grantor  job.Grantor
	syncedAt time.Time
}

// maxSyncAge is the greatest age of the replica on which a grant or a renewal is based. A writer that is cut off from
// the log does not see a cancellation, so it must not renew leases.
const maxSyncAge = time.Second

// NewJobService returns the service.
func NewJobService(s Store, c Settings, f *Assignment, clock func() time.Time, n Counter) *JobService {
	return &JobService{store: s, settings: c, assignment: f, clock: clock, counter: n, partitions: make([]partitionGrants, f.PartitionCount())}
}

// View returns the status of a job and, if a asks for it, a page of its results. A job of another account is not found.
func (s *JobService) View(a ViewArgs, r *ViewReply) error {
	ctx, stop := serviceContext(a.WaitMS)
	defer stop()

	s.view(ctx, a, r)

	return nil
}

func (s *JobService) view(ctx context.Context, a ViewArgs, r *ViewReply) {
	p := s.store.Partition(a.Job)

	if err := s.store.Sync(ctx, p); err != nil {
		r.Failure = newFailure(err)

		return
	}

	s.store.Replica(p).ViewJob(a.Job, func(b *job.Job) {
		if b.Account() != a.Account {
			return
		}

		r.Status = b.Status()

		if a.Results {
			r.Lines, r.Next = b.ResultPage(a.From, maxPageBytes)
		}
	})

	if r.Status.ID == "" {
		r.Failure = newFailure(jobNotFoundError(a.Job))
	}
}

// Pull grants shards to a daemon: at most what it can run, and at most the share of its failure domain.
func (s *JobService) Pull(a PullArgs, r *PullReply) error {
	ctx, stop := serviceContext(a.WaitMS)
	defer stop()

	s.pull(ctx, a, r)

	return nil
}

func (s *JobService) pull(ctx context.Context, a PullArgs, r *PullReply) {
	if err := checkPartition(a.Partition, len(s.partitions), s.counter); err != nil {
		r.Failure = newFailure(err)

		return
	}

	// Without a sync, a daemon without the log that stopped its shards at the cut-off run bound would grant them to
	// itself again.
	if err := s.ensureSynced(ctx, a.Partition); err != nil {
		r.Failure = newFailure(err)

		return
	}

	l := s.chooseOffers(a)
	if len(l) == 0 {
		return
	}

	if err := s.appendLeases(ctx, a, l); err != nil {
		r.Failure = newFailure(err)
	}

	r.Shards = s.grantedShards(a, l)
}

// chooseOffers decides which shards the requesting daemon gets.
func (s *JobService) chooseOffers(a PullArgs) []job.Offer {
	var c []job.Candidate

	s.store.Replica(a.Partition).ViewJobs(func(b *job.Job) { c = append(c, b.Candidates(maxUnleasedShards)...) })

	d := job.NewShardRequest(a.Domain, a.Holder, a.Capacity, a.Held, a.Refused)
	pause := s.settings.InForce().Document().Batch.PauseBound.Value()
	g := &s.partitions[a.Partition]

	g.mu.Lock()
	defer g.mu.Unlock()

	now := s.clock()

	return g.grantor.Choose(now, g.grantor.Offers(now, c, d, pause), d)
}

// appendLeases appends the lease records of the chosen shards. A shard whose lease the requesting daemon already holds
// gets no record.
func (s *JobService) appendLeases(ctx context.Context, a PullArgs, l []job.Offer) error {
	var r []journal.Record

	t := s.settings.InForce().Document().Batch.Lease.Value().Milliseconds()

	for _, o := range l {
		if o.IsResend() {
			s.counter.Count("leases_sent_again", 1)

			continue
		}

		if o.ReplacedOffset() != 0 {
			s.counter.Count("leases_taken_over", 1)
		}

		r = append(r, journal.Record{Lease: &job.LeaseRecord{
			Job: o.Ref().Job, Shard: o.Ref().Shard, Domain: a.Domain, Holder: a.Holder, DurationMS: t, Replaces: o.ReplacedOffset(),
		}})
	}

	if len(r) == 0 {
		return nil
	}

	err := s.store.SubmitOrWithdraw(ctx, withdrawTimeout, a.Partition, r...)
	g := &s.partitions[a.Partition]

	g.mu.Lock()
	defer g.mu.Unlock()

	for _, o := range l {
		g.grantor.EndReservation(o.Ref())
	}

	return err
}

// grantedShards returns the chosen shards whose lease in force belongs to the requesting daemon. Another daemon that
// considers itself the writer may have appended a lease before.
func (s *JobService) grantedShards(a PullArgs, l []job.Offer) []job.LeasedShard {
	var r []job.LeasedShard

	for _, o := range l {
		s.store.Replica(a.Partition).ViewJob(o.Ref().Job, func(b *job.Job) {
			v, ok := b.Lease(o.Ref().Shard)
			if ok && v.Holder() == a.Holder && b.HasLease(o.Ref().Shard, v.Offset()) {
				r = append(r, b.LeasedShard(o.Ref().Shard))
			}
		})
	}

	s.counter.Count("shards_granted", int64(len(r)))

	return r
}

// Items returns a page of the pending items of a shard, if the lease in a is in force.
func (s *JobService) Items(a ItemsArgs, r *ItemsReply) error {
	if err := checkPartition(a.Partition, len(s.partitions), s.counter); err != nil {
		r.Failure = newFailure(err)

		return nil
	}

	found := false

	s.store.Replica(a.Partition).ViewJob(a.Job, func(b *job.Job) {
		if found = b.Renewal(a.Shard, a.Lease).Holds; found {
			r.Items, r.Next = b.PendingPage(a.Shard, a.From, maxPageBytes)
		}
	})

	if !found {
		r.Failure = newFailure(jobNotFoundError(a.Job))
	}

	return nil
}

// Start records that items are about to be dispatched, and returns whether the lease of their shard is in force.
func (s *JobService) Start(a StartArgs, r *RenewalReply) error {
	ctx, stop := serviceContext(a.WaitMS)
	defer stop()

	s.recordForLease(ctx, a.Partition, job.ShardRef{Job: a.Job, Shard: a.Shard}, a.Lease, r,
		journal.Record{Start: &job.StartRecord{Job: a.Job, Shard: a.Shard, Lease: a.Lease, Items: a.Items}})

	return nil
}

// Report records the results and attempts of items and renews the lease. The writer keeps a renewal without results in
// memory; any other follower records it in the log, so that the writer sees it.
func (s *JobService) Report(a ReportArgs, r *RenewalReply) error {
	ctx, stop := serviceContext(a.WaitMS)
	defer stop()

	s.report(ctx, a, r)

	return nil
}

func (s *JobService) report(ctx context.Context, a ReportArgs, r *RenewalReply) {
	v := a.Report

	if err := s.ensureSynced(ctx, a.Partition); err != nil {
		r.Failure = newFailure(err)

		return
	}

	var l []journal.Record

	if len(v.Results) > 0 || len(v.Tries) > 0 || v.Release || !s.assignment.IsWriter(a.Partition) {
		l = append(l, journal.Record{Progress: &job.ProgressRecord{Job: v.Job, Shard: v.Shard, Lease: v.Lease, Results: v.Results, Tries: v.Tries, Release: v.Release, Unsent: v.Unsent}})
	}

	s.recordForLease(ctx, a.Partition, v.Ref(), v.Lease, r, l...)

	if r.Failure.err() == nil && r.Renewal.Holds {
		s.recordRenewal(a.Partition, v.Ref())
	}
}

// recordForLease appends records about a leased shard and sets the renewal in r. If the lease is in force afterwards,
// it was also in force when the records were replayed.
func (s *JobService) recordForLease(ctx context.Context, p int, f job.ShardRef, lease int64, r *RenewalReply, l ...journal.Record) {
	if err := checkPartition(p, len(s.partitions), s.counter); err != nil {
		r.Failure = newFailure(err)

		return
	}

	if len(l) > 0 {
		if err := s.store.SubmitOrWithdraw(ctx, withdrawTimeout, p, l...); err != nil {
			r.Failure = newFailure(err)

			return
		}
	}

	s.store.Replica(p).ViewJob(f.Job, func(b *job.Job) { r.Renewal = b.Renewal(f.Shard, lease) })
}

// ensureSynced syncs a partition with the log unless the last sync is more recent than maxSyncAge. It ignores a
// partition that does not exist, which checkPartition rejects.
func (s *JobService) ensureSynced(ctx context.Context, p int) error {
	if p < 0 || p >= len(s.partitions) {
		return nil
	}

	g := &s.partitions[p]
	now := s.clock()

	g.mu.Lock()
	isSynced := now.Sub(g.syncedAt) < maxSyncAge
	g.mu.Unlock()

	if isSynced {
		return nil
	}

	if err := s.store.Sync(ctx, p); err != nil {
		return err
	}

	g.mu.Lock()
	defer g.mu.Unlock()

	g.syncedAt = now

	return nil
}

// recordRenewal lets the lease of a shard start its duration again.
func (s *JobService) recordRenewal(p int, f job.ShardRef) {
	var v job.Lease

	s.store.Replica(p).ViewJob(f.Job, func(b *job.Job) { v, _ = b.Lease(f.Shard) })

	g := &s.partitions[p]

	g.mu.Lock()
	defer g.mu.Unlock()

	g.grantor.RecordRenewal(s.clock(), f, v)
}
