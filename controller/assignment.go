package controller

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/agategap/agategap/shard"
)

// PeerList gives the daemons that are considered live, this one among them.
type PeerList interface {
	Peers() []Peer
}

// PartitionStore follows partitions: it keeps their replicas up to date with the log.
type PartitionStore interface {
	// Open starts to follow a partition, if it is not followed yet.
	Open(p int)
	// Close stops following a partition that is not in use, and reports whether it did.
	Close(p int) bool
	// FollowedPartitions returns the partitions that are followed.
	FollowedPartitions() []int
}

// assignInterval is the period at which the peers are checked for changes of the partition assignment.
const assignInterval = 200 * time.Millisecond

// closeGracePeriod is how long a partition stays open here after it was assigned to other daemons. They may not have
// replayed it yet, and a daemon that was missing for a short time gets its partitions back.
const closeGracePeriod = time.Minute

// Assignment is the partition assignment: it decides which daemons follow a partition and opens the partitions that
// this daemon follows. It is safe for concurrent use, except for Refresh.
type Assignment struct {
	peers           PeerList
	store           PartitionStore
	self            string
	clock           func() time.Time
	unassignedSince map[int]time.Time // open partitions that only others follow; used by Refresh only

	mu        sync.Mutex
	followers [][]Peer
	lastPeers []Peer
}

// NewAssignment returns the assignment of a number of partitions for the daemon on the VM self. It has no followers
// before the first Refresh.
func NewAssignment(l PeerList, o PartitionStore, self string, partitions int, clock func() time.Time) *Assignment {
	return &Assignment{peers: l, store: o, self: self, clock: clock, unassignedSince: map[int]time.Time{}, followers: make([][]Peer, partitions)}
}

// Run refreshes the assignment until ctx ends.
func (f *Assignment) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		f.Refresh()
		sleep(ctx, assignInterval)
	}

	return nil
}

// Refresh computes the followers from the current peers, opens the partitions that are assigned to this daemon, and
// closes those that have been assigned to others for closeGracePeriod. It must not be called concurrently.
func (f *Assignment) Refresh() {
	l := slices.Clone(f.peers.Peers())
	slices.SortFunc(l, func(a, b Peer) int { return strings.Compare(a.VM(), b.VM()) })

	for _, p := range f.updateFollowers(l) {
		f.store.Open(p)
	}

	f.closeUnassigned()
}

func (f *Assignment) closeUnassigned() {
	now := f.clock()

	for _, p := range f.store.FollowedPartitions() {
		if f.IsFollower(p) || len(f.Followers(p)) == 0 {
			delete(f.unassignedSince, p)

			continue
		}

		t, ok := f.unassignedSince[p]
		if !ok {
			f.unassignedSince[p] = now
		}

		if ok && now.Sub(t) > closeGracePeriod && f.store.Close(p) {
			delete(f.unassignedSince, p)
		}
	}
}

// updateFollowers computes the followers and returns the partitions that this daemon follows, or none if the peers are
// unchanged.
func (f *Assignment) updateFollowers(l []Peer) []int {
	f.mu.Lock()
	defer f.mu.Unlock()

	if slices.Equal(l, f.lastPeers) {
		return nil
	}

	f.lastPeers = l

	var assigned []int

	for p := range f.followers {
		f.followers[p] = chooseFollowers(p, l)

		if slices.ContainsFunc(f.followers[p], f.IsSelf) {
			assigned = append(assigned, p)
		}
	}

	return assigned
}

// Peers returns the daemons at the last refresh, ordered by VM. The result must not be changed.
func (f *Assignment) Peers() []Peer {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.lastPeers
}

// PartitionCount returns the number of partitions.
func (f *Assignment) PartitionCount() int { return len(f.followers) }

// IsSelf reports whether p is this daemon.
func (f *Assignment) IsSelf(p Peer) bool { return p.VM() == f.self }

// Followers returns the daemons that follow a partition, the writer first. There are none before the first refresh and
// while no peers are known.
func (f *Assignment) Followers(p int) []Peer {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.followers[p]
}

// IsFollower reports whether this daemon is one of the followers of a partition.
func (f *Assignment) IsFollower(p int) bool { return slices.ContainsFunc(f.Followers(p), f.IsSelf) }

// IsWriter reports whether this daemon is the writer of a partition.
func (f *Assignment) IsWriter(p int) bool {
	l := f.Followers(p)

	return len(l) > 0 && f.IsSelf(l[0])
}

// chooseFollowers returns the two followers of a partition by rendezvous hashing, the writer first. They are in
// different failure domains if there is more than one. With fewer than two daemons it returns all of them.
func chooseFollowers(p int, l []Peer) []Peer {
	byName := make(map[string]Peer, len(l))
	names := make([]string, 0, len(l))

	for _, v := range l {
		byName[v.VM()] = v
		names = append(names, v.VM())
	}

	r := shard.Rank("journal/"+strconv.Itoa(p), names)
	if len(r) < 2 { //nolint:mnd // a writer and a second follower
		return l
	}

	first, second := byName[r[0]], byName[r[1]]

	for _, n := range r[1:] {
		if byName[n].Domain() != first.Domain() {
			second = byName[n]

			break
		}
	}

	return []Peer{first, second}
}
