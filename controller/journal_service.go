package controller

import (
	"context"

	"github.com/agategap/agategap/journal"
	"github.com/agategap/agategap/outcome"
)

// JournalService is the net/rpc service with the methods Journal.Submit and Journal.Lookup for other daemons. It is
// safe for concurrent use.
type JournalService struct {
	store      Store
	partitions int
	counter    Counter
}

// NewJournalService returns the service over a store with a number of partitions.
func NewJournalService(s Store, partitions int, c Counter) *JournalService {
	return &JournalService{store: s, partitions: partitions, counter: c}
}

// Submit appends records to a partition and returns the work under the key, if one is given.
func (s *JournalService) Submit(a SubmitArgs, r *WorkReply) error {
	ctx, stop := serviceContext(a.WaitMS)
	defer stop()

	s.submit(ctx, a, r)

	return nil
}

// Lookup returns the work under a key, as the log has it now or once the work has ended.
func (s *JournalService) Lookup(a LookupArgs, r *WorkReply) error {
	ctx, stop := serviceContext(a.WaitMS)
	defer stop()

	s.lookup(ctx, a, r)

	return nil
}

func (s *JournalService) submit(ctx context.Context, a SubmitArgs, r *WorkReply) {
	if err := checkPartition(a.Partition, s.partitions, s.counter); err != nil {
		r.Failure = newFailure(err)

		return
	}

	if err := s.store.SubmitOrWithdraw(ctx, withdrawTimeout, a.Partition, a.Records...); err != nil {
		r.Failure = newFailure(err)

		return
	}

	if a.Account != "" || a.Key != "" {
		*r = newWorkReply(s.store.Replica(a.Partition).Lookup(journal.NewKey(a.Account, a.Key)))
	}
}

func (s *JournalService) lookup(ctx context.Context, a LookupArgs, r *WorkReply) {
	k := journal.NewKey(a.Account, a.Key)
	p := s.store.Partition(k.String())

	if a.Await {
		w, err := s.store.Await(ctx, k)
		if err != nil && !outcome.Is(err, outcome.InProgress) {
			r.Failure = newFailure(err)

			return
		}

		*r = newWorkReply(w, true)

		return
	}

	if err := s.store.Sync(ctx, p); err != nil {
		r.Failure = newFailure(err)

		return
	}

	*r = newWorkReply(s.store.Replica(p).Lookup(k))
}

// checkPartition returns an error if partition p is not one of n. A daemon with another configuration may ask for such
// a partition.
func checkPartition(p, n int, c Counter) error {
	if p >= 0 && p < n {
		return nil
	}

	c.Count("peer_calls_refused", 1)

	return outcome.New(outcome.InvalidRequest, outcome.NotRun, "partition %d does not exist; there are %d", p, n)
}
