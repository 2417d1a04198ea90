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

// PeerList gives the daemons that are believed to run, this one among them.
type PeerList interface {
	Peers() []Peer
}

// Opener follows partitions.
type Opener interface {
	Open(p int)
	// Close stops to follow a partition that nobody uses, and reports whether it did.
	Close(p int) bool
	FollowedPartitions() []int
}

// followInterval is the time between two comparisons of the peers with the partitions followed.
const followInterval = 200 * time.Millisecond

// closeDelay is how long a partition that fell to other daemons stays open here. They may not have replayed it yet, and
// a daemon that was missing for a moment takes its partitions back.
const closeDelay = time.Minute

// Follow opens the partitions that this daemon follows and tells which daemons follow a partition.
type Follow struct {
	peers PeerList
	store Opener
	self  string
	clock func() time.Time
	extra map[int]time.Time // since when partitions are open that others follow; used by Refresh only

	mu    sync.Mutex
	table [][]Peer
	known []Peer
}

// NewFollow returns the controller of the daemon of VM self.
func NewFollow(l PeerList, o Opener, self string, partitions int, clock func() time.Time) *Follow {
	return &Follow{peers: l, store: o, self: self, clock: clock, extra: map[int]time.Time{}, table: make([][]Peer, partitions)}
}

// Run follows the membership until ctx ends.
func (f *Follow) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		f.Refresh()
		sleep(ctx, followInterval)
	}

	return nil
}

// Refresh computes the followers from the current peers, opens the partitions that fall to this daemon and closes
// those that have been others' for a while. One caller at a time uses it.
func (f *Follow) Refresh() {
	l := slices.Clone(f.peers.Peers())
	slices.SortFunc(l, func(a, b Peer) int { return strings.Compare(a.VM(), b.VM()) })

	for _, p := range f.update(l) {
		f.store.Open(p)
	}

	f.closeExtra()
}

func (f *Follow) closeExtra() {
	now := f.clock()

	for _, p := range f.store.FollowedPartitions() {
		if f.Follows(p) || len(f.Followers(p)) == 0 {
			delete(f.extra, p)

			continue
		}

		t, ok := f.extra[p]
		if !ok {
			f.extra[p] = now
		}

		if ok && now.Sub(t) > closeDelay && f.store.Close(p) {
			delete(f.extra, p)
		}
	}
}

// update stores the followers and returns the partitions that this daemon follows.
func (f *Follow) update(l []Peer) []int {
	f.mu.Lock()
	defer f.mu.Unlock()

	if slices.Equal(l, f.known) {
		return nil
	}

	f.known = l

	var own []int

	for p := range f.table {
		f.table[p] = followersOf(p, l)

		if slices.ContainsFunc(f.table[p], f.Self) {
			own = append(own, p)
		}
	}

	return own
}

// Peers returns the daemons at the last comparison.
func (f *Follow) Peers() []Peer {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.known
}

// Partitions returns the number of partitions.
func (f *Follow) Partitions() int { return len(f.table) }

// Self reports whether p is this daemon.
func (f *Follow) Self(p Peer) bool { return p.VM() == f.self }

// Followers returns the daemons that follow a partition, the writer first. There are none before the first list.
func (f *Follow) Followers(p int) []Peer {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.table[p]
}

// Follows reports whether this daemon is one of the followers of a partition.
func (f *Follow) Follows(p int) bool { return slices.ContainsFunc(f.Followers(p), f.Self) }

// Writes reports whether this daemon is the writer of a partition.
func (f *Follow) Writes(p int) bool {
	l := f.Followers(p)

	return len(l) > 0 && f.Self(l[0])
}

// followersOf returns two daemons of different failure domains, or of one domain when there is no other.
func followersOf(p int, l []Peer) []Peer {
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
