// Package shard assigns keys to shards by hash, and to nodes by rendezvous hashing. Packages use it to divide their
// state into shards and to decide which daemon is responsible for a key.
package shard

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Index returns the shard of key among n shards, 0 to n-1. It panics if n is not positive.
func Index(key string, n int) int {
	if n <= 0 {
		panic("shard: the number of shards must be positive")
	}

	return int(xxhash.Sum64String(key) % uint64(n)) //nolint:gosec // the remainder is below n, which is an int
}

// Rank orders nodes for key by rendezvous hashing, the first-ranked first. If a node is added or removed, only the keys
// for which it is ranked first get another first-ranked node.
func Rank(key string, nodes []string) []string {
	type scored struct {
		node  string
		score uint64
	}

	s := make([]scored, 0, len(nodes))
	for _, n := range nodes {
		s = append(s, scored{node: n, score: score(key, n)})
	}

	slices.SortFunc(s, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.node, b.node))
	})

	r := make([]string, len(s))
	for i := range s {
		r[i] = s[i].node
	}

	return r
}

// First returns the first-ranked node for key, or "" if there are no nodes. It returns the first element of Rank
// without sorting the nodes.
func First(key string, nodes []string) string {
	var best string

	var bestScore uint64

	for _, n := range nodes {
		if c := score(key, n); best == "" || c > bestScore || c == bestScore && n < best {
			best, bestScore = n, c
		}
	}

	return best
}

// score returns the hash of a node and a key, by which Rank orders nodes.
func score(key, node string) uint64 {
	var d xxhash.Digest

	d.Reset()
	_, _ = d.WriteString(node)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(key)

	return d.Sum64()
}
