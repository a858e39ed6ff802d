// Package shard keeps small records that a few entry instances must agree on,
// without a log and without a disk.
//
// The key space is split into Shards shards. Rendezvous hashing over the live
// instances names the replicas of each shard; the first is its primary. The
// primary answers a question only after every replica holds the record, so a
// record survives the loss of all replicas but one. An instance that becomes a
// replica first gathers the shard's records from every live instance. An
// instance that has answered a gather at some membership version never again
// acts on an older one, so two primaries cannot both answer.
//
// # Usage
//
//	s := shard.New[flow.Key, flow.Record](shard.Config[flow.Key, flow.Record]{
//		Self: "entry-1", Copies: 2, ShardOf: f, Decide: g,
//	})
//	sends := s.SetMembers(version, members)
//	sends = s.Ask(id, key, arg)
//	sends = s.Handle(from, message)
//
// Every call returns the messages to send. A message to Self is delivered by
// calling Handle again. An Answer that arrives is handed to Answered.
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

// Member is one stay of an instance among the members. Joined tells it from
// earlier stays, also from those of the same process.
type Member struct {
	ID     model.InstanceID
	Joined uint64
}

// Members returns the members that a list of instances describes.
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

// Config fixes what a store does. Self, ShardOf and Decide must be set.
type Config[K comparable, V any] struct {
	Self model.InstanceID
	// ReplicationFactor is the number of replicas a shard; 0 counts as 2.
	ReplicationFactor int
	// Salt keeps the placements of different stores apart.
	Salt string
	// ShardOf returns the shard of a key, below Shards.
	ShardOf func(K) int
	// Decide runs at the primary. It returns the value that answers a question
	// with the argument arg, and whether that value must be recorded.
	Decide func(key K, arg V, old V, exists bool) (value V, write bool)
	// Merge picks the later of two values of one key. Nil keeps the first.
	Merge func(a, b V) V
	// Extra returns records that the instance knows without being a replica.
	// Nil returns none.
	Extra func(shards map[int]bool) []Record[K, V]
	// Fenced reports that the instance must not act as a replica. Nil never
	// fences.
	Fenced func() bool
	// OnResponse receives the answers to this instance's questions. It may
	// return further messages to send.
	OnResponse func(Response[V])
}

// part is the local replica of one shard.
type part[K comparable, V any] struct {
	held     map[K]V
	replicas []model.InstanceID
	waiting  map[model.InstanceID]bool // members whose records are still missing
	since    uint64                    // membership version of the gather
	// keep counts the ticks for which a former replica holds its records, so
	// that its successors can gather them.
	keep int
}

// formerReplicaTicks is how long a former replica keeps its records. It is far
// longer than a gather, which ends at the latest when a silent member's lease
// ends.
const formerReplicaTicks = 3000

// Store is one instance's replicas of all shards. It belongs to one goroutine.
type Store[K comparable, V any] struct {
	cfg     Config[K, V]
	version uint64
	members map[model.InstanceID]uint64
	parts   [Shards]part[K, V]
	writes  map[uint64]*write[K, V]
	byKey   map[K]*write[K, V]
	seq     uint64
	// early holds messages that came before this store was ready for them.
	early []received[K, V]
}

type received[K comparable, V any] struct {
	from    model.InstanceID
	message Message[K, V]
}

// maxEarly bounds the messages held for later. What does not fit is dropped, and
// its sender repeats it.
const maxEarly = 1 << 13

// write is a record on its way to the other replicas.
type write[K comparable, V any] struct {
	seq     uint64
	key     K
	value   V
	waiting map[model.InstanceID]bool
	askers  []asker
	age     int // ticks since the copies were sent
}

type asker struct {
	from model.InstanceID
	id   uint64
}

// New returns a store that holds no shard until SetMembers is called.
func New[K comparable, V any](cfg Config[K, V]) *Store[K, V] {
	if cfg.ReplicationFactor == 0 {
		cfg.ReplicationFactor = 2
	}
	if cfg.Merge == nil {
		cfg.Merge = func(a, _ V) V { return a }
	}
	if cfg.Extra == nil {
		cfg.Extra = func(map[int]bool) []Record[K, V] { return nil }
	}
	if cfg.Fenced == nil {
		cfg.Fenced = func() bool { return false }
	}
	if cfg.OnResponse == nil {
		cfg.OnResponse = func(Response[V]) {}
	}
	return &Store[K, V]{cfg: cfg, writes: map[uint64]*write[K, V]{}, byKey: map[K]*write[K, V]{}}
}

// Version returns the membership version in use.
func (s *Store[K, V]) Version() uint64 { return s.version }

// Len returns the number of records held.
func (s *Store[K, V]) Len() int {
	n := 0
	for i := range s.parts {
		n += len(s.parts[i].held)
	}
	return n
}

// SyncingShards returns the number of shards that are still being rebuilt here.
func (s *Store[K, V]) SyncingShards() int {
	n := 0
	for i := range s.parts {
		if len(s.parts[i].waiting) > 0 {
			n++
		}
	}
	return n
}

// Primary returns the instance that answers for a key, or "" without members.
func (s *Store[K, V]) Primary(key K) model.InstanceID {
	replicas := s.parts[s.cfg.ShardOf(key)].replicas
	if len(replicas) == 0 {
		return ""
	}
	return replicas[0]
}

// Records returns the records of one shard that is served here, and false when
// it is not.
func (s *Store[K, V]) Records(shard int) (map[K]V, bool) {
	p := &s.parts[shard]
	if !slices.Contains(p.replicas, s.cfg.Self) || len(p.waiting) > 0 || s.cfg.Fenced() {
		return nil, false
	}
	return p.held, true
}

// Replicas returns the replicas of a shard, the primary first.
func (s *Store[K, V]) Replicas(shard int) []model.InstanceID { return s.parts[shard].replicas }

// Delete removes records for which drop returns true from the local replicas.
// It must be called with the same rule on all instances.
func (s *Store[K, V]) Delete(drop func(K, V) bool) {
	for i := range s.parts {
		for k, v := range s.parts[i].held {
			if drop(k, v) && s.byKey[k] == nil {
				delete(s.parts[i].held, k)
			}
		}
	}
}

// SetMembers installs the live instances as of a membership version. Versions
// must not decrease; an older one is ignored.
func (s *Store[K, V]) SetMembers(version uint64, members []Member) []Send[K, V] {
	if version <= s.version {
		return nil
	}
	first := s.version == 0
	s.version = version
	if !first && s.sameMembers(members) {
		return s.handleEarly()
	}
	// An instance that was out of the members for a while has missed writes,
	// even when it never saw a version without itself.
	joined := s.members[s.cfg.Self]
	s.members = make(map[model.InstanceID]uint64, len(members))
	ids := make([]model.InstanceID, 0, len(members))
	for _, m := range members {
		s.members[m.ID] = m.Joined
		ids = append(ids, m.ID)
	}
	rejoined := first || s.members[s.cfg.Self] != joined
	for i := range s.parts {
		s.placeShard(i, ids, rejoined)
	}
	out := s.dropLostReplicas()
	out = append(out, s.sendGathers()...)
	return append(out, s.handleEarly()...)
}

// hold keeps a message until the membership or a gather has gone on.
func (s *Store[K, V]) hold(from model.InstanceID, m Message[K, V]) []Send[K, V] {
	if len(s.early) < maxEarly {
		s.early = append(s.early, received[K, V]{from: from, message: m})
	}
	return nil
}

// handleEarly handles the held messages; those that are still too early are
// held again.
func (s *Store[K, V]) handleEarly() []Send[K, V] {
	held := s.early
	s.early = nil
	var out []Send[K, V]
	for _, r := range held {
		out = append(out, s.Handle(r.from, r.message)...)
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

func (s *Store[K, V]) placeShard(i int, ids []model.InstanceID, rejoined bool) {
	p := &s.parts[i]
	was := !rejoined && slices.Contains(p.replicas, s.cfg.Self)
	p.replicas = place.Top(s.cfg.ReplicationFactor, place.Mix(place.Hash(s.cfg.Salt), uint64(i)), ids)
	is := slices.Contains(p.replicas, s.cfg.Self)
	switch {
	case !is:
		p.waiting = nil
		if was {
			p.keep = formerReplicaTicks
		}
	case !was:
		s.startGather(p, ids)
	default:
		for id := range p.waiting {
			if _, ok := s.members[id]; !ok {
				delete(p.waiting, id)
			}
		}
	}
}

func (s *Store[K, V]) startGather(p *part[K, V], ids []model.InstanceID) {
	if p.held == nil {
		p.held = map[K]V{}
	}
	p.since = s.version
	p.waiting = map[model.InstanceID]bool{}
	for _, id := range ids {
		if id != s.cfg.Self {
			p.waiting[id] = true
		}
	}
}

// dropLostReplicas completes the writes that waited only for replicas that are
// no longer members. A replica that is new gathers the record by itself.
func (s *Store[K, V]) dropLostReplicas() []Send[K, V] {
	var out []Send[K, V]
	for _, w := range s.writesInOrder() {
		replicas := s.parts[s.cfg.ShardOf(w.key)].replicas
		for id := range w.waiting {
			if !slices.Contains(replicas, id) {
				delete(w.waiting, id)
			}
		}
		out = append(out, s.finish(w)...)
	}
	return out
}

// Tick repeats what has not been answered yet. It is called a few times a
// second.
func (s *Store[K, V]) Tick() []Send[K, V] {
	s.dropFormer()
	out := s.sendGathers()
	for _, w := range s.writesInOrder() {
		w.age++
		if w.age > 1 {
			out = append(out, s.copies(w)...)
		}
	}
	return out
}

func (s *Store[K, V]) writesInOrder() []*write[K, V] {
	return slices.SortedFunc(maps.Values(s.writes), func(a, b *write[K, V]) int { return cmp.Compare(a.seq, b.seq) })
}

func (s *Store[K, V]) dropFormer() {
	for i := range s.parts {
		p := &s.parts[i]
		if p.held == nil || slices.Contains(p.replicas, s.cfg.Self) {
			continue
		}
		p.keep--
		if p.keep <= 0 {
			p.held = nil
		}
	}
}

// Request asks the primary of a key. The answer carries id.
func (s *Store[K, V]) Request(id uint64, key K, arg V) []Send[K, V] {
	to := s.Primary(key)
	if to == "" {
		return nil
	}
	return []Send[K, V]{{To: to, Message: Message[K, V]{
		Request: &Request[K, V]{ID: id, Version: s.version, Key: key, Arg: arg}}}}
}
