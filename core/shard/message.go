package shard

import (
	"maps"
	"slices"

	"boragepost/core/model"
)

// Message is a message between two stores. Exactly one field is set.
type Message[K comparable, V any] struct {
	Request      *Request[K, V]      `cbor:"1,keyasint,omitempty"`
	Response     *Response[V]        `cbor:"2,keyasint,omitempty"`
	Replicate    *Replicate[K, V]    `cbor:"3,keyasint,omitempty"`
	ReplicateAck *ReplicateAck       `cbor:"4,keyasint,omitempty"`
	SyncRequest  *SyncRequest        `cbor:"5,keyasint,omitempty"`
	SyncResponse *SyncResponse[K, V] `cbor:"6,keyasint,omitempty"`
}

// Send is a message with its destination.
type Send[K comparable, V any] struct {
	To      model.InstanceID
	Message Message[K, V]
}

// Request is a request to the primary of a key.
type Request[K comparable, V any] struct {
	ID      uint64 `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"` // the sender's membership version
	Key     K      `cbor:"3,keyasint"`
	Arg     V      `cbor:"4,keyasint"`
}

// Status says whether a request succeeded.
type Status uint8

// The statuses of a response. After all but OK the sender must retry.
const (
	OK         Status = iota
	NotPrimary        // the receiver is not the primary
	Fenced            // the receiver has no lease
)

// Response is the response to a Request.
type Response[V any] struct {
	ID     uint64 `cbor:"1,keyasint"`
	Status Status `cbor:"2,keyasint,omitempty"`
	Value  V      `cbor:"3,keyasint"`
}

// Replicate carries a record from the primary to another replica.
type Replicate[K comparable, V any] struct {
	Seq     uint64 `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
	Key     K      `cbor:"3,keyasint"`
	Value   V      `cbor:"4,keyasint"`
}

// ReplicateAck acknowledges a Replicate.
type ReplicateAck struct {
	Seq uint64 `cbor:"1,keyasint"`
}

// SyncRequest requests all records that a member has of some shards.
type SyncRequest struct {
	Version uint64 `cbor:"1,keyasint"`
	Shards  []int  `cbor:"2,keyasint"`
}

// SyncResponse is the response to a SyncRequest.
type SyncResponse[K comparable, V any] struct {
	Version uint64         `cbor:"1,keyasint"` // the responder's version
	Shards  []int          `cbor:"2,keyasint"`
	Records []Record[K, V] `cbor:"3,keyasint,omitempty"`
}

// Handle processes a message from another store or from this one.
func (s *Store[K, V]) Handle(from model.InstanceID, m Message[K, V]) []Send[K, V] {
	switch {
	case m.Request != nil:
		return s.onRequest(from, m.Request)
	case m.Response != nil:
		s.cfg.OnResponse(*m.Response)
		return nil
	case m.Replicate != nil:
		return s.onReplicate(from, m.Replicate)
	case m.ReplicateAck != nil:
		return s.onReplicateAck(from, m.ReplicateAck)
	case m.SyncRequest != nil:
		return s.onSyncRequest(from, m.SyncRequest)
	case m.SyncResponse != nil:
		return s.onSyncResponse(from, m.SyncResponse)
	default:
		return nil
	}
}

func respond[K comparable, V any](to model.InstanceID, resp Response[V]) []Send[K, V] {
	return []Send[K, V]{{To: to, Message: Message[K, V]{Response: &resp}}}
}

func (s *Store[K, V]) onRequest(from model.InstanceID, req *Request[K, V]) []Send[K, V] {
	sh := &s.shards[s.cfg.ShardOf(req.Key)]
	switch {
	case s.cfg.Fenced():
		return respond[K](from, Response[V]{ID: req.ID, Status: Fenced})
	case req.Version > s.version:
		return s.deferMessage(from, Message[K, V]{Request: req})
	case len(sh.replicas) == 0 || sh.replicas[0] != s.cfg.Self:
		return respond[K](from, Response[V]{ID: req.ID, Status: NotPrimary})
	case len(sh.pendingSyncs) > 0:
		return s.deferMessage(from, Message[K, V]{Request: req})
	}
	old, exists := sh.records[req.Key]
	value, changed := s.cfg.Decide(req.Key, req.Arg, old, exists)
	if changed {
		return s.write(sh, req.Key, value, requester{from: from, id: req.ID})
	}
	w := s.writesByKey[req.Key]
	if w != nil && !w.repeated {
		w.requesters = append(w.requesters, requester{from: from, id: req.ID})
		return nil
	}
	out := respond[K](from, Response[V]{ID: req.ID, Value: value})
	if w == nil && exists && sh.replicatedAt[req.Key] != s.version {
		out = append(out, s.repeatWrite(sh, req.Key, value)...)
	}
	return out
}

// repeatWrite sends a record that may be missing at the other replicas to them. Requests
// need not wait for it, because the record was recorded before.
func (s *Store[K, V]) repeatWrite(sh *shardReplica[K, V], key K, value V) []Send[K, V] {
	out := s.write(sh, key, value)
	if w := s.writesByKey[key]; w != nil {
		w.repeated = true
	}
	return out
}

// write stores a value and sends it to the other replicas. It supersedes an
// incomplete write of the same key and takes over its requesters.
func (s *Store[K, V]) write(sh *shardReplica[K, V], key K, value V, requesters ...requester) []Send[K, V] {
	sh.records[key] = value
	s.seq++
	w := &write[K, V]{seq: s.seq, key: key, value: value, version: s.version, pendingAcks: map[model.InstanceID]bool{}}
	if old := s.writesByKey[key]; old != nil {
		w.requesters = old.requesters
		delete(s.writes, old.seq)
	}
	w.requesters = append(w.requesters, requesters...)
	for _, id := range sh.replicas {
		if id != s.cfg.Self {
			w.pendingAcks[id] = true
		}
	}
	s.writes[w.seq] = w
	s.writesByKey[key] = w
	if len(w.pendingAcks) == 0 {
		return s.completeWrite(w)
	}
	return s.replicate(w)
}

func (s *Store[K, V]) replicate(w *write[K, V]) []Send[K, V] {
	var out []Send[K, V]
	for _, id := range slices.Sorted(maps.Keys(w.pendingAcks)) {
		out = append(out, Send[K, V]{To: id, Message: Message[K, V]{
			Replicate: &Replicate[K, V]{Seq: w.seq, Version: s.version, Key: w.key, Value: w.value}}})
	}
	return out
}

// completeWrite responds to the requesters of a write once all replicas have
// acknowledged it.
func (s *Store[K, V]) completeWrite(w *write[K, V]) []Send[K, V] {
	if len(w.pendingAcks) > 0 {
		return nil
	}
	delete(s.writes, w.seq)
	if s.writesByKey[w.key] == w {
		delete(s.writesByKey, w.key)
	}
	if sh := &s.shards[s.cfg.ShardOf(w.key)]; sh.records != nil {
		if sh.replicatedAt == nil {
			sh.replicatedAt = map[K]uint64{}
		}
		sh.replicatedAt[w.key] = w.version
	}
	var out []Send[K, V]
	for _, r := range w.requesters {
		out = append(out, respond[K](r.from, Response[V]{ID: r.id, Value: w.value})...)
	}
	return out
}

// onReplicate accepts a record only from the primary of the current membership
// version. A record of a later version is deferred until this store has it.
func (s *Store[K, V]) onReplicate(from model.InstanceID, rec *Replicate[K, V]) []Send[K, V] {
	sh := &s.shards[s.cfg.ShardOf(rec.Key)]
	if rec.Version > s.version {
		return s.deferMessage(from, Message[K, V]{Replicate: rec})
	}
	if len(sh.replicas) == 0 || sh.replicas[0] != from {
		return nil
	}
	if !slices.Contains(sh.replicas, s.cfg.Self) {
		return nil
	}
	old, exists := sh.records[rec.Key]
	if exists {
		sh.records[rec.Key] = s.cfg.Merge(rec.Value, old)
	} else {
		sh.records[rec.Key] = rec.Value
	}
	return []Send[K, V]{{To: from, Message: Message[K, V]{ReplicateAck: &ReplicateAck{Seq: rec.Seq}}}}
}

func (s *Store[K, V]) onReplicateAck(from model.InstanceID, ack *ReplicateAck) []Send[K, V] {
	w := s.writes[ack.Seq]
	if w == nil {
		return nil
	}
	delete(w.pendingAcks, from)
	return s.completeWrite(w)
}

// sendSyncRequests sends one message to each member that still has to respond to
// a sync.
func (s *Store[K, V]) sendSyncRequests() []Send[K, V] {
	missing := map[model.InstanceID][]int{}
	for i := range s.shards {
		for id := range s.shards[i].pendingSyncs {
			missing[id] = append(missing[id], i)
		}
	}
	var out []Send[K, V]
	for _, id := range slices.Sorted(maps.Keys(missing)) {
		out = append(out, Send[K, V]{To: id, Message: Message[K, V]{
			SyncRequest: &SyncRequest{Version: s.version, Shards: missing[id]}}})
	}
	return out
}

func (s *Store[K, V]) onSyncRequest(from model.InstanceID, req *SyncRequest) []Send[K, V] {
	if req.Version > s.version {
		return s.deferMessage(from, Message[K, V]{SyncRequest: req})
	}
	wanted := map[int]bool{}
	for _, i := range req.Shards {
		wanted[i] = true
	}
	resp := &SyncResponse[K, V]{Version: s.version, Shards: req.Shards, Records: s.cfg.LocalRecords(wanted)}
	for i := range s.shards {
		if !wanted[i] {
			continue
		}
		for k, v := range s.shards[i].records {
			resp.Records = append(resp.Records, Record[K, V]{Key: k, Value: v})
		}
	}
	return []Send[K, V]{{To: from, Message: Message[K, V]{SyncResponse: resp}}}
}

func (s *Store[K, V]) onSyncResponse(from model.InstanceID, resp *SyncResponse[K, V]) []Send[K, V] {
	for _, r := range resp.Records {
		sh := &s.shards[s.cfg.ShardOf(r.Key)]
		if !sh.pendingSyncs[from] {
			continue
		}
		old, exists := sh.records[r.Key]
		if exists {
			r.Value = s.cfg.Merge(r.Value, old)
		}
		sh.records[r.Key] = r.Value
	}
	complete := false
	for _, i := range resp.Shards {
		sh := &s.shards[i]
		if resp.Version >= sh.syncVersion && sh.pendingSyncs[from] {
			delete(sh.pendingSyncs, from)
			complete = complete || len(sh.pendingSyncs) == 0
		}
	}
	if !complete {
		return nil
	}
	return s.handleDeferred()
}
