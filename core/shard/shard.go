// Package shard replicates small records among entry instances, in memory and
// without a log.
//
// The key space is split into Shards shards. Rendezvous hashing over the live
// instances selects the replicas of each shard; the first is its primary. The
// primary responds to a request only after every replica has the record, so a
// record survives the loss of all replicas but one. An instance that becomes a
// replica first syncs the shard: it requests the shard's records from every live
// instance. An instance that has responded to a sync request at a membership
// version never acts on an older version again, so two primaries cannot both
// respond.
//
// # Usage
//
//	s := shard.New[flow.Key, flow.Record](shard.Config[flow.Key, flow.Record]{
//		Self: "entry-1", ReplicationFactor: 2, ShardOf: f, Decide: g,
//	})
//	sends := s.SetMembers(version, members)
//	sends = s.Request(id, key, arg)
//	sends = s.Handle(from, message)
//
// Every call returns the messages to send. The caller delivers a message to Self
// by calling Handle. Handle passes a Response to OnResponse.
package shard

import (
	"cmp"
	"maps"
	"slices"

	"boragepost/core/model"
	"boragepost/core/place"
)

// Shards is the number of shards.
const Shards = 64

// Member is a member instance. Joined is the version at which it joined; it
// changes whenever the instance rejoins, even if its process did not restart.
type Member struct {
	ID     model.InstanceID
	Joined uint64
}

// Members converts instances to members.
func Members(instances []model.Instance) []Member {
	out := make([]Member, len(instances))
	for i, m := range instances {
		out[i] = Member{ID: m.ID, Joined: m.ResourceVersion}
	}
	return out
}

// Record is one key with its value.
type Record[K comparable, V any] struct {
	Key   K `cbor:"1,keyasint"`
	Value V `cbor:"2,keyasint"`
}

// Config configures a store. Self, ShardOf and Decide must be set.
type Config[K comparable, V any] struct {
	Self model.InstanceID
	// FirstID is the number after which writes are numbered. It should be random, so
	// that a late acknowledgement to an earlier process of the instance matches none.
	FirstID uint64
	// ReplicationFactor is the number of replicas of a shard. 0 means 2.
	ReplicationFactor int
	// Salt makes the placements of different stores independent.
	Salt string
	// ShardOf returns the shard of a key, below Shards.
	ShardOf func(K) int
	// Decide runs at the primary. It returns the value that responds to a request
	// with the argument arg, and whether that value must be written.
	Decide func(key K, arg V, old V, exists bool) (value V, write bool)
	// Merge returns the later of two values of one key. Nil keeps the first.
	Merge func(a, b V) V
	// LocalRecords returns records that the instance holds outside the store,
	// whether or not it is a replica. Nil means none.
	LocalRecords func(shards map[int]bool) []Record[K, V]
	// Fenced reports whether the instance must not serve its records, neither in
	// responses nor by Records. Nil means never.
	Fenced func() bool
	// OnResponse receives the responses to this instance's requests.
	OnResponse func(Response[V])
}

// shardReplica is the local state of one shard.
type shardReplica[K comparable, V any] struct {
	records map[K]V
	// replicatedAt is the membership version at which this primary last had a record
	// acknowledged by all replicas. Another replica may lack a record that this one has
	// from its sync, or may have deleted it earlier than this one.
	replicatedAt map[K]uint64
	replicas     []model.InstanceID
	pendingSyncs map[model.InstanceID]bool // members that have not responded to the sync
	syncVersion  uint64                    // membership version at which the sync began
	// retentionTicks is the number of ticks for which a former replica still keeps
	// its records, so that its successors can sync them.
	retentionTicks int
}

// formerReplicaRetentionTicks is how long a former replica keeps its records. It
// is far longer than a sync, which ends at the latest when the leases of members
// that do not respond have expired.
const formerReplicaRetentionTicks = 3000

// Store holds one instance's replicas of all shards. It is not safe for
// concurrent use.
type Store[K comparable, V any] struct {
	cfg         Config[K, V]
	version     uint64
	members     map[model.InstanceID]uint64
	shards      [Shards]shardReplica[K, V]
	writes      map[uint64]*write[K, V]
	writesByKey map[K]*write[K, V]
	seq         uint64
	// deferred holds messages that wait for a membership version or a sync.
	deferred []deferredMessage[K, V]
}

type deferredMessage[K comparable, V any] struct {
	from    model.InstanceID
	message Message[K, V]
}

// maxDeferred bounds the deferred messages. Further ones are dropped, and their
// senders retransmit them.
const maxDeferred = 1 << 13

// write is a write that not all replicas have acknowledged.
type write[K comparable, V any] struct {
	seq         uint64
	key         K
	value       V
	version     uint64 // membership version of the write
	repeated    bool   // the record is not new; no requester waits
	pendingAcks map[model.InstanceID]bool
	requesters  []requester
	age         int // ticks since the write
}

type requester struct {
	from model.InstanceID
	id   uint64
}

// New returns a store that has no members until SetMembers is called.
func New[K comparable, V any](cfg Config[K, V]) *Store[K, V] {
	if cfg.ReplicationFactor == 0 {
		cfg.ReplicationFactor = 2
	}
	if cfg.Merge == nil {
		cfg.Merge = func(a, _ V) V { return a }
	}
	if cfg.LocalRecords == nil {
		cfg.LocalRecords = func(map[int]bool) []Record[K, V] { return nil }
	}
	if cfg.Fenced == nil {
		cfg.Fenced = func() bool { return false }
	}
	if cfg.OnResponse == nil {
		cfg.OnResponse = func(Response[V]) {}
	}
	return &Store[K, V]{cfg: cfg, seq: cfg.FirstID, writes: map[uint64]*write[K, V]{}, writesByKey: map[K]*write[K, V]{}}
}

// Version returns the current membership version.
func (s *Store[K, V]) Version() uint64 { return s.version }

// Len returns the number of local records.
func (s *Store[K, V]) Len() int {
	n := 0
	for i := range s.shards {
		n += len(s.shards[i].records)
	}
	return n
}

// SyncingShards returns the number of shards that are syncing.
func (s *Store[K, V]) SyncingShards() int {
	n := 0
	for i := range s.shards {
		if len(s.shards[i].pendingSyncs) > 0 {
			n++
		}
	}
	return n
}

// Primary returns the primary of a key's shard, or "" without members.
func (s *Store[K, V]) Primary(key K) model.InstanceID {
	replicas := s.shards[s.cfg.ShardOf(key)].replicas
	if len(replicas) == 0 {
		return ""
	}
	return replicas[0]
}

// Records returns the records of a shard. It returns false if the instance is not
// a replica of the shard, is still syncing it or is fenced.
func (s *Store[K, V]) Records(shard int) (map[K]V, bool) {
	sh := &s.shards[shard]
	if !slices.Contains(sh.replicas, s.cfg.Self) || len(sh.pendingSyncs) > 0 || s.cfg.Fenced() {
		return nil, false
	}
	return sh.records, true
}

// Replicas returns the replicas of a shard, the primary first.
func (s *Store[K, V]) Replicas(shard int) []model.InstanceID { return s.shards[shard].replicas }

// Delete deletes the local records for which drop returns true, except those that
// are being replicated. All instances must call it with the same rule.
func (s *Store[K, V]) Delete(drop func(K, V) bool) {
	for i := range s.shards {
		for k, v := range s.shards[i].records {
			if drop(k, v) && s.writesByKey[k] == nil {
				delete(s.shards[i].records, k)
				delete(s.shards[i].replicatedAt, k)
			}
		}
	}
}

// SetMembers installs the live instances of a membership version. A version that
// is not newer than the current one is ignored.
func (s *Store[K, V]) SetMembers(version uint64, members []Member) []Send[K, V] {
	if version <= s.version {
		return nil
	}
	first := s.version == 0
	s.version = version
	if !first && s.sameMembers(members) {
		return s.handleDeferred()
	}
	// An instance that has left and rejoined has missed writes, even if it never
	// received a version without itself.
	joined := s.members[s.cfg.Self]
	s.members = make(map[model.InstanceID]uint64, len(members))
	ids := make([]model.InstanceID, 0, len(members))
	for _, m := range members {
		s.members[m.ID] = m.Joined
		ids = append(ids, m.ID)
	}
	rejoined := first || s.members[s.cfg.Self] != joined
	for i := range s.shards {
		s.assignReplicas(i, ids, rejoined)
	}
	out := s.removeFormerReplicas()
	out = append(out, s.sendSyncRequests()...)
	return append(out, s.handleDeferred()...)
}

// deferMessage defers a message until the membership version changes or a sync ends.
func (s *Store[K, V]) deferMessage(from model.InstanceID, m Message[K, V]) []Send[K, V] {
	if len(s.deferred) < maxDeferred {
		s.deferred = append(s.deferred, deferredMessage[K, V]{from: from, message: m})
	}
	return nil
}

// handleDeferred handles the deferred messages. Those that still cannot be
// handled are deferred again.
func (s *Store[K, V]) handleDeferred() []Send[K, V] {
	messages := s.deferred
	s.deferred = nil
	var out []Send[K, V]
	for _, d := range messages {
		out = append(out, s.Handle(d.from, d.message)...)
	}
	return out
}

func (s *Store[K, V]) sameMembers(members []Member) bool {
	for _, m := range members {
		if joined, ok := s.members[m.ID]; !ok || joined != m.Joined {
			return false
		}
	}
	return len(members) == len(s.members)
}

func (s *Store[K, V]) assignReplicas(i int, ids []model.InstanceID, rejoined bool) {
	sh := &s.shards[i]
	wasReplica := !rejoined && slices.Contains(sh.replicas, s.cfg.Self)
	sh.replicas = place.Top(s.cfg.ReplicationFactor, place.Mix(place.Hash(s.cfg.Salt), uint64(i)), ids)
	isReplica := slices.Contains(sh.replicas, s.cfg.Self)
	switch {
	case !isReplica:
		sh.pendingSyncs = nil
		if wasReplica {
			sh.retentionTicks = formerReplicaRetentionTicks
		}
	case !wasReplica:
		s.startSync(sh, ids)
	default:
		for id := range sh.pendingSyncs {
			if _, ok := s.members[id]; !ok {
				delete(sh.pendingSyncs, id)
			}
		}
	}
}

func (s *Store[K, V]) startSync(sh *shardReplica[K, V], ids []model.InstanceID) {
	if sh.records == nil {
		sh.records = map[K]V{}
	}
	sh.syncVersion = s.version
	sh.pendingSyncs = map[model.InstanceID]bool{}
	for _, id := range ids {
		if id != s.cfg.Self {
			sh.pendingSyncs[id] = true
		}
	}
}

// removeFormerReplicas stops waiting for the acknowledgements of former replicas
// and completes the writes that have no others pending. New replicas get the
// records by their sync.
func (s *Store[K, V]) removeFormerReplicas() []Send[K, V] {
	var out []Send[K, V]
	for _, w := range s.sortedWrites() {
		replicas := s.shards[s.cfg.ShardOf(w.key)].replicas
		for id := range w.pendingAcks {
			if !slices.Contains(replicas, id) {
				delete(w.pendingAcks, id)
			}
		}
		out = append(out, s.completeWrite(w)...)
	}
	return out
}

// Tick retransmits messages that have not been answered and expires the records
// of former replicas. It must be called a few times a second.
func (s *Store[K, V]) Tick() []Send[K, V] {
	s.expireFormerReplicas()
	out := s.sendSyncRequests()
	for _, w := range s.sortedWrites() {
		w.age++
		if w.age > 1 {
			out = append(out, s.replicate(w)...)
		}
	}
	return out
}

func (s *Store[K, V]) sortedWrites() []*write[K, V] {
	return slices.SortedFunc(maps.Values(s.writes), func(a, b *write[K, V]) int { return cmp.Compare(a.seq, b.seq) })
}

func (s *Store[K, V]) expireFormerReplicas() {
	for i := range s.shards {
		sh := &s.shards[i]
		if sh.records == nil || slices.Contains(sh.replicas, s.cfg.Self) {
			continue
		}
		sh.retentionTicks--
		if sh.retentionTicks <= 0 {
			sh.records, sh.replicatedAt = nil, nil
		}
	}
}

// Request sends a request to the primary of a key. The response carries id.
func (s *Store[K, V]) Request(id uint64, key K, arg V) []Send[K, V] {
	to := s.Primary(key)
	if to == "" {
		return nil
	}
	return []Send[K, V]{{To: to, Message: Message[K, V]{
		Request: &Request[K, V]{ID: id, Version: s.version, Key: key, Arg: arg}}}}
}
