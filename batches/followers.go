package batches

import (
	"strconv"
	"time"

	"github.com/agategap/agategap/mesh"
)

// followersPerDomain is the number of daemons in each failure domain that follow a partition. With two, a failure
// domain that is cut off still has a replica after it loses a VM, and the number of replicas does not grow with that of
// daemons.
const followersPerDomain = 2

// Membership is this daemon's view of the other daemons.
type Membership interface {
	Self() mesh.Peer
	// RankedPerDomain returns the first-ranked daemons for a key, up to perDomain in each failure domain.
	RankedPerDomain(key string, perDomain int, now time.Time) []mesh.Peer
	// IsSuspected reports whether the last call to a daemon failed.
	IsSuspected(vm string) bool
}

// Followers decides which daemons follow a partition, and which of them run its jobs and serve calls about them.
type Followers struct {
	peers Membership
}

// NewFollowers returns a Followers that chooses among the daemons of a membership.
func NewFollowers(p Membership) Followers { return Followers{peers: p} }

// ShouldFollow reports whether this daemon is to follow a partition.
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

// RunnerCandidates returns the daemons that may run a job whose runner is no longer live, the first choice first.
// Daemons that know the same set of daemons return the same order.
func (f Followers) RunnerCandidates(partition int, job string, now time.Time) []mesh.Peer {
	return mesh.RankByHash(job, f.followersOf(partition, now))
}

// CallCandidates returns the other daemons that can serve a call about a job, in the order in which to try them: those
// of this failure domain, those of the others, and last those whose last call failed. The order within each group
// depends on the job, so that jobs are spread over the daemons of a failure domain.
func (f Followers) CallCandidates(partition int, job string, now time.Time) []mesh.Peer {
	var local, remote, suspected []mesh.Peer

	self := f.peers.Self()

	for _, p := range f.RunnerCandidates(partition, job, now) {
		switch {
		case p.VM == self.VM:
		case f.peers.IsSuspected(p.VM):
			suspected = append(suspected, p)
		case p.Domain == self.Domain:
			local = append(local, p)
		default:
			remote = append(remote, p)
		}
	}

	return append(append(local, remote...), suspected...)
}
