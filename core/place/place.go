// Package place assigns keys to instances by rendezvous hashing. All instances
// with the same list of members compute the same placement, and a change of one
// member moves only the keys of that member.
//
// # Usage
//
//	owners := place.Top(2, place.Hash("shard/7"), members)
package place

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"boragepost/core/model"
)

// Hash returns the 64-bit hash of a key.
func Hash(key string) uint64 { return xxhash.Sum64String(key) }

// Mix combines two hashes into one whose bits depend on all bits of both.
func Mix(a, b uint64) uint64 {
	x := a ^ (b+0x9e3779b97f4a7c15)*0xbf58476d1ce4e5b9
	x ^= x >> 31
	x *= 0x94d049bb133111eb
	return x ^ x>>29
}

// Top returns the n members with the highest rendezvous score for the key, best
// first. It returns all members when there are fewer than n.
func Top(n int, key uint64, members []model.InstanceID) []model.InstanceID {
	type scored struct {
		id    model.InstanceID
		score uint64
	}
	all := make([]scored, len(members))
	for i, m := range members {
		all[i] = scored{id: m, score: Mix(key, Hash(string(m)))}
	}
	slices.SortFunc(all, func(a, b scored) int {
		switch {
		case a.score > b.score:
			return -1
		case a.score < b.score:
			return 1
		case a.id < b.id:
			return -1
		default:
			return 1
		}
	})
	out := make([]model.InstanceID, 0, n)
	for i := 0; i < n && i < len(all); i++ {
		out = append(out, all[i].id)
	}
	return out
}
