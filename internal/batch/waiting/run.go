package waiting

// Run is the decision whether a daemon runs a job, with the reason for it.
type Run uint8

// Decisions. Their names in logs are those that String returns.
const (
	// Undecided is the decision about a job that this daemon has not considered yet.
	Undecided Run = iota
	// AcceptedHere means that this daemon process accepted the job and runs it.
	AcceptedHere
	// AdoptedHere means that a leaving daemon handed the job over to this one.
	AdoptedHere
	// RunnerNotLive means that this daemon is the first candidate, as the daemon process that accepted the job is not live.
	RunnerNotLive
	// RunnerStoppedFollowing means that this daemon is the first candidate, as the daemon that accepted the job no longer
	// follows its partition.
	RunnerStoppedFollowing
	// DaemonLeaving means that this daemon is leaving and runs no jobs.
	DaemonLeaving
	// RunnerLive means that the daemon process that accepted the job is live and runs it.
	RunnerLive
	// OtherCandidate means that another daemon is the first candidate to run the job.
	OtherCandidate
	// NoCandidate means that no daemon is known that could run the job.
	NoCandidate
	// JobClosed means that the job has ended, has all results, or is in a partition that this daemon no longer follows.
	JobClosed

	runCount
)

var runNames = [runCount]string{
	"undecided", "accepted_here", "adopted_in_handover", "runner_not_live", "runner_stopped_following", "daemon_leaving", "runner_live",
	"other_candidate", "no_candidate", "job_closed",
}

// String returns the name of the decision in snake case.
func (r Run) String() string {
	if r >= runCount {
		return "unknown"
	}

	return runNames[r]
}

// Runs reports whether this daemon runs the job.
func (r Run) Runs() bool { return r >= AcceptedHere && r <= RunnerStoppedFollowing }
