package batches

import (
	"strconv"
	"time"

	"github.com/agategap/agategap/mesh"
)

// followersPerDomain is the number of daemons in each failure domain that follow a partition. A failure domain that is cut
// off then still has one when a VM of it is lost, and the copies do not grow with the number of daemons.
const followersPerDomain = 2

// Membership knows the daemons that share a duty.
type Membership interface {
	Self() mesh.Peer
	RankedPerDomain(duty string, each int, now time.Time) []mesh.Peer
	IsSuspected(vm string) bool
}

// Followers decides which daemons follow a partition and run its jobs.
type Followers struct {
	peers Membership
}

// NewFollowers returns the decision.
func NewFollowers(p Membership) Followers { return Followers{peers: p} }

// ShouldFollow reports whether this daemon follows a partition.
func (f Followers) ShouldFollow(partition int, now time.Time) bool {
	self := f.peers.Self().VM

	for _, p := range f.followersOf(partition, now) {
		if p.VM == self {
			return true
		}
	}

	return false
}

func (f Followers) followersOf(partition int, now time.Time) []mesh.Peer {
	return f.peers.RankedPerDomain(Stream+"/"+strconv.Itoa(partition), followersPerDomain, now)
}

// RunnerCandidates returns the daemons that may run a job of a partition that its own daemon no longer runs, the first choice
// first. All daemons that know the same others choose the same one.
func (f Followers) RunnerCandidates(partition int, job string, now time.Time) []mesh.Peer {
	return mesh.RankByHash(job, f.followersOf(partition, now))
}

// CallCandidates returns the daemons to take a call about a job to: those of this failure domain before the others, and those
// that did not answer their last call at the end. Jobs are spread over the daemons of a failure domain.
func (f Followers) CallCandidates(partition int, job string, now time.Time) []mesh.Peer {
	var near, far, last []mesh.Peer

	self := f.peers.Self()

	for _, p := range f.RunnerCandidates(partition, job, now) {
		switch {
		case p.VM == self.VM:
		case f.peers.IsSuspected(p.VM):
			last = append(last, p)
		case p.Domain == self.Domain:
			near = append(near, p)
		default:
			far = append(far, p)
		}
	}

	return append(append(near, far...), last...)
}
