package batches

import (
	"time"

	"github.com/agategap/agategap/batch"
	"github.com/agategap/agategap/internal/batch/waiting"
)

// shouldRun reports whether this daemon runs a job of a partition.
func (r *Runner) shouldRun(p *partition, v batch.View, now time.Time) bool {
	d, _ := r.decideRun(p, v, now)

	return d.Runs()
}

// decideRun decides whether this daemon runs a job of a partition, and returns the VM of the daemon that does as far as
// it is known. The daemon that accepted the job runs it while it is live and follows the partition, and otherwise the
// first of the candidates; a daemon that adopted the job runs it in any case. A daemon may not follow the partition of a
// job that it accepted: it may have dropped the partition while the append of the job was in flight.
func (r *Runner) decideRun(p *partition, v batch.View, now time.Time) (waiting.Run, string) {
	self := r.peers.Self()

	r.mu.Lock()
	adopted, leaving := r.adoptedJobs[v.ID()], r.leaving
	r.mu.Unlock()

	w := v.Runner()

	switch {
	case leaving:
		return waiting.DaemonLeaving, ""
	case adopted:
		return waiting.AdoptedHere, self.VM
	case w.VM() == self.VM && w.Start() == self.Start:
		return waiting.AcceptedHere, self.VM
	}

	d := waiting.RunnerNotLive

	if r.peers.IsRunning(w.VM(), w.Start(), now) {
		if !r.peers.HasStoppedFollowing(w.VM(), p.number, v.AcceptedAt().Add(unfollowGracePeriod)) {
			return waiting.RunnerLive, w.VM()
		}

		d = waiting.RunnerStoppedFollowing
	}

	l := r.peers.RunnerCandidates(p.number, v.ID(), now)

	switch {
	case len(l) == 0:
		return waiting.NoCandidate, ""
	case l[0].VM != self.VM:
		return waiting.OtherCandidate, l[0].VM
	default:
		return d, self.VM
	}
}

// noteRun reports whether this daemon runs a job, and logs when that, or the reason, changes.
func (r *Runner) noteRun(p *partition, v batch.View, now time.Time) bool {
	d, vm := r.decideRun(p, v, now)

	if r.waits.ObserveRun(v.ID(), d, vm, now) {
		r.logRun(v, d, vm, now)
	}

	return d.Runs()
}

// logRun logs the decision who runs a job.
func (r *Runner) logRun(v batch.View, d waiting.Run, vm string, now time.Time) {
	if !r.lines.Allow(eventJobRunner, now) {
		return
	}

	r.logger.Info().Str("event", eventJobRunner).Str("job", v.ID()).Bool("runs", d.Runs()).Str("why", d.String()).Str("runner", vm).
		Str("accepted_by", v.Runner().VM()).Int64("accepted_start", v.Runner().Start()).Int64("age_ms", now.Sub(v.AcceptedAt()).Milliseconds()).
		Int("open", len(v.OpenItems())).Msg("decided whether this daemon runs a job")
}
