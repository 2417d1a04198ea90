package controller

import (
	"context"

	"github.com/agategap/agategap/job"
	"github.com/agategap/agategap/outcome"
)

// callPull asks the writer of a partition for shards. It returns none after an error. If the reply is lost, the next
// pull gets the granted shards.
func (r *Runner) callPull(ctx context.Context, a PullArgs) []job.LeasedShard {
	var v PullReply

	err := r.callFollowers(ctx, a.Partition, func(x context.Context, address string) error {
		wait := callWait(x)
		a.WaitMS = wait.Milliseconds()

		if address == "" {
			// A daemon that is cut off from the followers must not follow every partition just to look for jobs. Once
			// the membership shows the failure, the partition is assigned to followers that can be reached.
			if !r.routes.assignment.IsFollower(a.Partition) {
				return outcome.New(outcome.LogUnavailable, outcome.NotRun, "no follower of partition %d can be reached", a.Partition)
			}

			r.service.pull(x, a, &v)

			return nil
		}

		var w PullReply
		if err := r.routes.callPeer(x, address, "Job.Pull", wait, a, &w); err != nil {
			return err
		}

		v = w

		return nil
	})
	if err != nil {
		return nil
	}

	return v.Shards
}

func (r *Runner) callItems(ctx context.Context, a ItemsArgs) (ItemsReply, error) {
	var v ItemsReply

	err := r.callFollowers(ctx, a.Partition, func(x context.Context, address string) error {
		if address == "" {
			return r.service.Items(a, &v)
		}

		var w ItemsReply
		if err := r.routes.callPeer(x, address, "Job.Items", callWait(x), a, &w); err != nil {
			return err
		}

		v = w

		return nil
	})
	if err == nil {
		err = v.Failure.err()
	}

	return v, err
}

func (r *Runner) callStart(ctx context.Context, a StartArgs) (job.Renewal, error) {
	return r.callForRenewal(ctx, a.Partition, "Job.Start", func(waitMS int64) (any, renewalHandler) {
		a.WaitMS = waitMS

		return a, func(v *RenewalReply) error { return r.service.Start(a, v) }
	})
}

func (r *Runner) callReport(ctx context.Context, a ReportArgs) (job.Renewal, error) {
	return r.callForRenewal(ctx, a.Partition, "Job.Report", func(waitMS int64) (any, renewalHandler) {
		a.WaitMS = waitMS

		return a, func(v *RenewalReply) error { return r.service.Report(a, v) }
	})
}

// renewalHandler serves a call at this daemon instead of a peer, and sets the reply.
type renewalHandler func(v *RenewalReply) error

// callForRenewal calls a method with a RenewalReply at the followers of a partition. prepare returns the arguments for
// a wait, and the handler that serves them at this daemon.
func (r *Runner) callForRenewal(ctx context.Context, p int, method string, prepare func(waitMS int64) (any, renewalHandler)) (job.Renewal, error) {
	var v RenewalReply

	err := r.callFollowers(ctx, p, func(x context.Context, address string) error {
		wait := callWait(x)
		a, handle := prepare(wait.Milliseconds())

		if address == "" {
			return handle(&v)
		}

		var w RenewalReply
		if err := r.routes.callPeer(x, address, method, wait, a, &w); err != nil {
			return err
		}

		v = w

		return nil
	})
	if err == nil {
		err = v.Failure.err()
	}

	return v.Renewal, err
}

// callFollowers runs call for the followers of a partition, in order, until one succeeds, for maxCallWait at most. All
// calls of the runner are repeatable: the order of the log decides between two leases, and a second copy of a result or
// a start has no effect.
func (r *Runner) callFollowers(ctx context.Context, p int, call func(ctx context.Context, address string) error) error {
	x, stop := context.WithTimeout(ctx, maxCallWait)
	defer stop()

	return r.routes.tryFollowers(x, p, true, func(address string) error { return call(x, address) })
}
