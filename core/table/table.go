// Package table assigns the flows of a service to backend servers by hash
// bucket, and moves buckets between backend servers in stages so that no
// established flow changes its backend server.
//
// A bucket is Stable most of the time: each instance sends a flow that it does
// not track to the bucket's owner without asking another instance. When the
// owner changes, the bucket passes through these stages:
//
//   - Preparing: instances query the shard primary of the bucket for every flow
//     that they do not track. The primary still selects the previous owner.
//   - Migrating: all live instances have confirmed that they query. The primary
//     assigns new flows to the new owner and records them; an established flow
//     without a record must be older than the move, so it belongs to the
//     previous owner.
//   - Finalizing: every flow older than the move has been recorded or has
//     exceeded the idle timeout. Instances fetch the pinned flows: the records
//     whose backend server differs from the owner.
//   - Stable: instances decide locally again and apply the pinned flows.
//
// # Usage
//
//	t := table.New(table.Size(len(servers)))
//	t = t.Rebalance(active, registered, evacuated, version)
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

// Stage is the stage of a bucket in a move between backend servers.
type Stage uint8

// The stages of a bucket, in order.
const (
	Stable Stage = iota
	Preparing
	Migrating
	Finalizing
)

// String returns the name under which the stage is printed.
func (s Stage) String() string {
	return [...]string{"closed", "preparing", "open", "closing"}[s&3]
}

// Bucket holds the owner of one hash bucket and the stage of its move.
type Bucket struct {
	Owner model.ServerID
	// PrevOwner is the owner before the move; it keeps the established flows
	// that have no record.
	PrevOwner model.ServerID
	Stage     Stage
	// Since is the log index at which the stage began. In a stable bucket it is
	// the index at which the Finalizing stage began whose pinned flows are in
	// force, or 0 without pinned flows.
	Since uint64
}

// Choose returns the backend server of a flow without a record. While the bucket
// is Preparing, that is the previous owner for every flow; while it is Migrating,
// only for established flows.
func (b Bucket) Choose(isNew bool) model.ServerID {
	switch {
	case b.Stage == Preparing:
		return b.PrevOwner
	case b.Stage == Migrating && !isNew:
		return b.PrevOwner
	default:
		return b.Owner
	}
}

// Table is an immutable assignment of buckets to backend servers. Moves has an
// entry only for buckets that are moving or have pinned flows.
type Table struct {
	Owners []model.ServerID `cbor:"1,keyasint"`
	Moves  map[int]Move     `cbor:"2,keyasint,omitempty"`
}

// Move is the state of a bucket's current move, or what remains of its completed
// moves as long as there may be pinned flows.
type Move struct {
	PrevOwner model.ServerID `cbor:"1,keyasint,omitempty"`
	Stage     Stage          `cbor:"2,keyasint,omitempty"`
	Since     uint64         `cbor:"3,keyasint,omitempty"`
	// PastOwners are the backend servers that may have pinned flows.
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
	needed := uint(max(servers, 1) * bucketsPerServer)
	n := 1 << bits.Len(needed-1)
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
// old bucket is split into several with the same contents, so no flow changes its
// backend server.
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
// buckets, in proportion to their weights, with as few moves as possible. A
// bucket that changes its owner starts a staged move if the previous owner is in
// registered, which holds the backend servers that may have flows; all other moves
// take effect at once. If active is empty, buckets stay with their owners, except
// those in evacuated: their buckets move to owner 0, which refuses new flows. With a
// nil map the result is that of versions without evacuations, which do not list an
// interim owner as a past one.
func (t Table) Rebalance(active []model.BackendServer, registered, evacuated map[model.ServerID]bool, version uint64) Table {
	next := t.clone()
	quota := quotas(active, t.Len())
	var unassigned []int
	for i, owner := range next.Owners {
		if quota[owner] > 0 {
			quota[owner]--
			continue
		}
		unassigned = append(unassigned, i)
	}
	for _, i := range unassigned {
		next.move(i, pickOwner(quota, active, i), registered, evacuated, version)
	}
	next.pruneRemoved(registered)
	return next
}

// quotas returns the number of buckets for each backend server. It differs from
// the exact proportion by less than one.
func quotas(active []model.BackendServer, buckets int) map[model.ServerID]int {
	total := 0
	for _, s := range active {
		total += s.EffectiveWeight()
	}
	quota := make(map[model.ServerID]int, len(active))
	assigned, weight := 0, 0
	for _, s := range sortedByID(active) {
		weight += s.EffectiveWeight()
		end := weight * buckets / total
		quota[s.ID] = end - assigned
		assigned = end
	}
	return quota
}

// pickOwner picks the owner of an unassigned bucket among the backend servers with
// quota left and reduces that quota. It uses rendezvous scores, which spread the
// buckets evenly.
func pickOwner(quota map[model.ServerID]int, active []model.BackendServer, bucket int) model.ServerID {
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

func sortedByID(servers []model.BackendServer) []model.BackendServer {
	out := slices.Clone(servers)
	slices.SortFunc(out, func(a, b model.BackendServer) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// move assigns a bucket to a new owner. While the bucket is Preparing or Migrating,
// instances already query the shard primary for every flow without a record, so a
// second move needs no preparation: only the owner changes.
func (t Table) move(i int, to model.ServerID, registered, evacuated map[model.ServerID]bool, version uint64) {
	from := t.Owners[i]
	if to == 0 && registered[from] && !evacuated[from] {
		// No active backend server is left; the bucket stays with its owner.
		return
	}
	t.Owners[i] = to
	if to == 0 && !registered[from] {
		return
	}
	m := t.Moves[i]
	if evacuated != nil && m.Stage == Migrating && from != 0 && from != m.PrevOwner {
		// New flows were recorded at the interim owner.
		m.PastOwners = append(slices.Clone(m.PastOwners), from)
		t.Moves[i] = m
	}
	needsPreparing := m.Stage == Stable || m.Stage == Finalizing
	if !needsPreparing || m.Stage == Stable && !registered[from] {
		return
	}
	past := m.PastOwners
	if m.Stage == Finalizing {
		past = append(slices.Clone(past), m.PrevOwner)
	}
	t.Moves[i] = Move{PrevOwner: from, Stage: Preparing, Since: version, PastOwners: past}
}

// pruneRemoved drops removed backend servers from the moves. The unrecorded flows
// of a removed previous owner cannot continue and go to the owner; a stable bucket
// without pinned flows needs no entry.
func (t Table) pruneRemoved(registered map[model.ServerID]bool) {
	removed := func(id model.ServerID) bool { return !registered[id] }
	for i, m := range t.Moves {
		if m.PrevOwner != 0 && removed(m.PrevOwner) {
			m.PrevOwner = t.Owners[i]
		}
		if slices.ContainsFunc(m.PastOwners, removed) {
			m.PastOwners = slices.DeleteFunc(slices.Clone(m.PastOwners), removed)
		}
		if m.Stage == Stable && len(m.PastOwners) == 0 {
			delete(t.Moves, i)
			continue
		}
		t.Moves[i] = m
	}
}

// Advance returns a table in which every bucket that entered the preceding stage
// at or before the log index through enters the given stage at the log index
// version.
func (t Table) Advance(to Stage, through, version uint64) Table {
	from := precedingStage(to)
	next := t.clone()
	for i, m := range t.Moves {
		if m.Stage != from || m.Since > through {
			continue
		}
		m.Stage = to
		if to == Stable {
			// Since stays, because the pinned flows date from the Finalizing stage.
			m.PastOwners = append(slices.Clone(m.PastOwners), m.PrevOwner)
			m.PrevOwner = 0
		} else {
			m.Since = version
		}
		next.Moves[i] = m
	}
	return next
}

func precedingStage(to Stage) Stage {
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
