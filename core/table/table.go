// Package table assigns the flows of a service to backend servers by hash
// bucket, and moves buckets in stages so that no established flow changes its
// backend server.
//
// A bucket is Closed most of the time: each instance sends a flow that it does
// not know to the bucket's owner without talking to anybody. When the owner
// changes, the bucket passes through these stages:
//
//   - Preparing: instances ask the bucket's record keeper about every flow that
//     they do not know. The keeper still chooses the former owner, the base.
//   - Open: every live instance is known to ask. The keeper gives starting flows
//     to the new owner and records them; an unrecorded flow that is under way
//     must be older than the move, so it belongs to the base.
//   - Closing: every flow older than the move has been recorded or has been
//     idle too long. Instances fetch the records that differ from the owner.
//   - Closed: instances decide alone again, with those records as exceptions.
//
// # Usage
//
//	t := table.New(table.Size(len(servers)))
//	t = t.Rebalance(servers, version)
//	b := t.Bucket(flowHash)
package table

import (
	"cmp"
	"maps"
	"math/bits"
	"slices"

	"boragepost/core/model"
	"boragepost/core/place"
)

// Stage is the stage of a bucket's move.
type Stage uint8

// The stages of a bucket, in order.
const (
	Stable Stage = iota
	Preparing
	Migrating
	Finalizing
)

// String returns the stage's name.
func (s Stage) String() string {
	return [...]string{"closed", "preparing", "open", "closing"}[s&3]
}

// Bucket says who takes the flows of one hash bucket.
type Bucket struct {
	Owner model.ServerID
	// PrevOwner is the owner before the move; it takes unrecorded flows under way.
	PrevOwner model.ServerID
	Stage     Stage
	// Since is the log index at which the stage began; in a closed bucket, that
	// of the closing whose exceptions are in force, or 0 without exceptions.
	Since uint64
}

// Choose returns the backend server of a flow without a record. A bucket that
// prepares a move still gives every flow to the base; an open one gives only
// flows that are under way to it.
func (b Bucket) Choose(starting bool) model.ServerID {
	switch {
	case b.Stage == Preparing:
		return b.PrevOwner
	case b.Stage == Migrating && !starting:
		return b.PrevOwner
	default:
		return b.Owner
	}
}

// Table is an immutable assignment of buckets. Most buckets only have an owner;
// the others are in moves.
type Table struct {
	Owners []model.ServerID `cbor:"1,keyasint"`
	Moves  map[int]Move     `cbor:"2,keyasint,omitempty"`
}

// Move is what a bucket has besides its owner: a move under way, or the
// exceptions of a move that has been closed.
type Move struct {
	PrevOwner model.ServerID `cbor:"1,keyasint,omitempty"`
	Stage     Stage          `cbor:"2,keyasint,omitempty"`
	Since     uint64         `cbor:"3,keyasint,omitempty"`
	// PastOwners are the backend servers that exceptions may belong to.
	PastOwners []model.ServerID `cbor:"4,keyasint,omitempty"`
}

const (
	minBuckets       = 256
	maxBuckets       = 1 << 16
	bucketsPerServer = 64
)

// Size returns the number of buckets for a service with the given number of
// backend servers, a power of two.
func Size(servers int) int {
	want := uint(max(servers, 1) * bucketsPerServer)
	n := 1 << bits.Len(want-1)
	return min(max(n, minBuckets), maxBuckets)
}

// New returns a table of n buckets without owners; n must be a power of two.
func New(n int) Table { return Table{Owners: make([]model.ServerID, n)} }

// Len returns the number of buckets.
func (t Table) Len() int { return len(t.Owners) }

// Index returns the bucket number of a flow hash.
func (t Table) Index(hash uint64) int { return int(hash & uint64(len(t.Owners)-1)) }

// Bucket returns the bucket of a flow hash. The table must not be empty.
func (t Table) Bucket(hash uint64) Bucket { return t.At(t.Index(hash)) }

// At returns a bucket by number.
func (t Table) At(i int) Bucket {
	b := Bucket{Owner: t.Owners[i]}
	if len(t.Moves) == 0 {
		return b
	}
	m := t.Moves[i]
	b.PrevOwner, b.Stage, b.Since = m.PrevOwner, m.Stage, m.Since
	return b
}

func (t Table) clone() Table {
	next := Table{Owners: slices.Clone(t.Owners), Moves: maps.Clone(t.Moves)}
	if next.Moves == nil {
		next.Moves = map[int]Move{}
	}
	return next
}

// Expand returns a table with at least n buckets; n must be a power of two. Each
// old bucket becomes several with the same contents, so no decision changes.
func (t Table) Expand(n int) Table {
	if t.Len() == 0 {
		return New(n)
	}
	for t.Len() < n {
		old := t.Len()
		next := Table{Owners: slices.Concat(t.Owners, t.Owners), Moves: maps.Clone(t.Moves)}
		for i, m := range t.Moves {
			next.Moves[i+old] = m
		}
		t = next
	}
	return t
}

// Rebalance returns a table in which only the given backend servers own
// buckets, in proportion to their weights, with as few moves as possible. Only
// active backend servers receive buckets. A bucket whose former owner is in
// alive starts a staged move; all other moves take effect at once.
func (t Table) Rebalance(active []model.BackendServer, alive map[model.ServerID]bool, version uint64) Table {
	next := t.clone()
	quota := quotas(active, t.Len())
	var free []int
	for i, owner := range next.Owners {
		if quota[owner] > 0 {
			quota[owner]--
			continue
		}
		free = append(free, i)
	}
	for _, i := range free {
		next.move(i, takeQuota(quota, active, i), alive, version)
	}
	next.dropDead(alive)
	return next
}

// quotas returns the number of buckets for each backend server. They differ
// from the exact proportion by less than one.
func quotas(active []model.BackendServer, buckets int) map[model.ServerID]int {
	total := 0
	for _, s := range active {
		total += s.EffectiveWeight()
	}
	quota := make(map[model.ServerID]int, len(active))
	given, seen := 0, 0
	for _, s := range sorted(active) {
		seen += s.EffectiveWeight()
		upTo := seen * buckets / total
		quota[s.ID] = upTo - given
		given = upTo
	}
	return quota
}

// takeQuota picks the owner of a free bucket among backend servers that have
// quota left, by rendezvous score so that the choice spreads evenly.
func takeQuota(quota map[model.ServerID]int, active []model.BackendServer, bucket int) model.ServerID {
	var best model.ServerID
	var bestScore uint64
	for _, s := range active {
		if quota[s.ID] <= 0 {
			continue
		}
		score := place.Mix(uint64(bucket), uint64(s.ID))
		if best == 0 || score > bestScore || score == bestScore && s.ID < best {
			best, bestScore = s.ID, score
		}
	}
	if best != 0 {
		quota[best]--
	}
	return best
}

func sorted(servers []model.BackendServer) []model.BackendServer {
	out := slices.Clone(servers)
	slices.SortFunc(out, func(a, b model.BackendServer) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// move gives a bucket to a new owner. While a move is under way every unrecorded
// flow passes through the record keeper, so a second move needs no preparation:
// only the owner changes.
func (t Table) move(i int, to model.ServerID, alive map[model.ServerID]bool, version uint64) {
	from := t.Owners[i]
	if to == 0 {
		// No backend server can take the bucket; flows stay where they are.
		if !alive[from] {
			t.Owners[i] = 0
		}
		return
	}
	t.Owners[i] = to
	m := t.Moves[i]
	settled := m.Stage == Stable || m.Stage == Finalizing
	if !settled || m.Stage == Stable && !alive[from] {
		return
	}
	former := m.PastOwners
	if m.Stage == Finalizing {
		former = append(slices.Clone(former), m.PrevOwner)
	}
	t.Moves[i] = Move{PrevOwner: from, Stage: Preparing, Since: version, PastOwners: former}
}

// dropDead forgets the backend servers that no longer live. The unrecorded flows
// of a base are lost with it and go to the owner; a closed bucket without
// exceptions is like one that never moved.
func (t Table) dropDead(alive map[model.ServerID]bool) {
	dead := func(id model.ServerID) bool { return !alive[id] }
	for i, m := range t.Moves {
		if m.PrevOwner != 0 && dead(m.PrevOwner) {
			m.PrevOwner = t.Owners[i]
		}
		if slices.ContainsFunc(m.PastOwners, dead) {
			m.PastOwners = slices.DeleteFunc(slices.Clone(m.PastOwners), dead)
		}
		if m.Stage == Stable && len(m.PastOwners) == 0 {
			delete(t.Moves, i)
			continue
		}
		t.Moves[i] = m
	}
}

// Advance returns a table in which every bucket that entered the stage before
// the given one at or before through has entered it at version.
func (t Table) Advance(to Stage, through, version uint64) Table {
	from := before(to)
	next := t.clone()
	for i, m := range t.Moves {
		if m.Stage != from || m.Since > through {
			continue
		}
		m.Stage = to
		if to == Stable {
			// Since stays: the exceptions date from the Closing stage.
			m.PastOwners = append(slices.Clone(m.PastOwners), m.PrevOwner)
			m.PrevOwner = 0
		} else {
			m.Since = version
		}
		next.Moves[i] = m
	}
	return next
}

func before(to Stage) Stage {
	switch to {
	case Migrating:
		return Preparing
	case Finalizing:
		return Migrating
	default:
		return Finalizing
	}
}

// MinSince returns the lowest Since of the buckets in a stage, and whether there
// is one.
func (t Table) MinSince(s Stage) (uint64, bool) {
	oldest, found := uint64(0), false
	for _, m := range t.Moves {
		if m.Stage == s && (!found || m.Since < oldest) {
			oldest, found = m.Since, true
		}
	}
	return oldest, found
}

// MaxSince returns the highest Since of the buckets in a stage, and whether there
// is one.
func (t Table) MaxSince(s Stage) (uint64, bool) {
	latest, found := uint64(0), false
	for _, m := range t.Moves {
		if m.Stage == s {
			latest, found = max(latest, m.Since), true
		}
	}
	return latest, found
}
