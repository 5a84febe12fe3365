// Package ranker orders nodes by rendezvous hashing, so that every process
// computes the same assignment from the same set of nodes without shared state.
package ranker

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Score returns the rendezvous hash of a node for a key. The node with the
// highest score ranks first.
func Score(key, node string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(node)
	return digest.Sum64()
}

// Top returns the count highest-ranked nodes for a key, or all if there are
// fewer. The order of the argument nodes does not matter.
func Top[N ~string](key string, nodes []N, count int) []N {
	type scored struct {
		node  N
		score uint64
	}
	top := make([]scored, 0, count+1)
	for _, node := range nodes {
		candidate := scored{node, Score(key, string(node))}
		position, _ := slices.BinarySearchFunc(top, candidate, func(a, b scored) int {
			return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.node, b.node))
		})
		if position == count {
			continue
		}
		top = slices.Insert(top, position, candidate)
		top = top[:min(len(top), count)]
	}
	ranked := make([]N, len(top))
	for i, entry := range top {
		ranked[i] = entry.node
	}
	return ranked
}
