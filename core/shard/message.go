package shard

import (
	"maps"
	"slices"

	"boragepost/core/model"
)

// Message is one message between two stores. Exactly one field is set.
type Message[K comparable, V any] struct {
	Request      *Request[K, V]      `cbor:"1,keyasint,omitempty"`
	Response     *Response[V]        `cbor:"2,keyasint,omitempty"`
	Copy         *Copy[K, V]         `cbor:"3,keyasint,omitempty"`
	Copied       *Copied             `cbor:"4,keyasint,omitempty"`
	SyncRequest  *SyncRequest        `cbor:"5,keyasint,omitempty"`
	SyncResponse *SyncResponse[K, V] `cbor:"6,keyasint,omitempty"`
}

// Send is a message with its destination.
type Send[K comparable, V any] struct {
	To      model.InstanceID
	Message Message[K, V]
}

// Request is a question to the primary of a key.
type Request[K comparable, V any] struct {
	ID      uint64 `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"` // the asker's membership version
	Key     K      `cbor:"3,keyasint"`
	Arg     V      `cbor:"4,keyasint"`
}

// Status says whether a question was answered.
type Status uint8

// The statuses of an answer. All but OK ask the sender to try again.
const (
	OK     Status = iota
	Moved         // the receiver is not the primary
	Fenced        // the receiver has no lease
)

// Response is the reply to an Ask.
type Response[V any] struct {
	ID     uint64 `cbor:"1,keyasint"`
	Status Status `cbor:"2,keyasint,omitempty"`
	Value  V      `cbor:"3,keyasint"`
}

// Copy carries a record from a primary to another replica.
type Copy[K comparable, V any] struct {
	Seq     uint64 `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
	Key     K      `cbor:"3,keyasint"`
	Value   V      `cbor:"4,keyasint"`
}

// Copied acknowledges a Copy.
type Copied struct {
	Seq uint64 `cbor:"1,keyasint"`
}

// SyncRequest asks a member for all its records of some shards.
type SyncRequest struct {
	Version uint64 `cbor:"1,keyasint"`
	Shards  []int  `cbor:"2,keyasint"`
}

// SyncResponse answers a Gather.
type SyncResponse[K comparable, V any] struct {
	Version uint64         `cbor:"1,keyasint"` // the responder's version
	Shards  []int          `cbor:"2,keyasint"`
	Records []Record[K, V] `cbor:"3,keyasint,omitempty"`
}

// Handle processes a message from another store or from this one.
func (s *Store[K, V]) Handle(from model.InstanceID, m Message[K, V]) []Send[K, V] {
	switch {
	case m.Request != nil:
		return s.onAsk(from, m.Request)
	case m.Response != nil:
		s.cfg.OnResponse(*m.Response)
		return nil
	case m.Copy != nil:
		return s.onCopy(from, m.Copy)
	case m.Copied != nil:
		return s.onCopied(from, m.Copied)
	case m.SyncRequest != nil:
		return s.onGather(from, m.SyncRequest)
	case m.SyncResponse != nil:
		return s.onGathered(from, m.SyncResponse)
	default:
		return nil
	}
}

func answer[K comparable, V any](to model.InstanceID, a Response[V]) []Send[K, V] {
	return []Send[K, V]{{To: to, Message: Message[K, V]{Response: &a}}}
}

func (s *Store[K, V]) onAsk(from model.InstanceID, q *Request[K, V]) []Send[K, V] {
	p := &s.parts[s.cfg.ShardOf(q.Key)]
	switch {
	case s.cfg.Fenced():
		return answer[K](from, Response[V]{ID: q.ID, Status: Fenced})
	case q.Version > s.version:
		return s.hold(from, Message[K, V]{Request: q})
	case len(p.replicas) == 0 || p.replicas[0] != s.cfg.Self:
		return answer[K](from, Response[V]{ID: q.ID, Status: Moved})
	case len(p.waiting) > 0:
		return s.hold(from, Message[K, V]{Request: q})
	}
	old, exists := p.held[q.Key]
	value, changed := s.cfg.Decide(q.Key, q.Arg, old, exists)
	if changed {
		return s.write(p, q.Key, value, asker{from: from, id: q.ID})
	}
	if w := s.byKey[q.Key]; w != nil {
		w.askers = append(w.askers, asker{from: from, id: q.ID})
		return nil
	}
	return answer[K](from, Response[V]{ID: q.ID, Value: value})
}

// write records a value and sends it to the other replicas. A write of the same
// key that is still under way is taken over by the new one, askers included.
func (s *Store[K, V]) write(p *part[K, V], key K, value V, a asker) []Send[K, V] {
	p.held[key] = value
	s.seq++
	w := &write[K, V]{seq: s.seq, key: key, value: value, waiting: map[model.InstanceID]bool{}}
	if old := s.byKey[key]; old != nil {
		w.askers = old.askers
		delete(s.writes, old.seq)
	}
	w.askers = append(w.askers, a)
	for _, id := range p.replicas {
		if id != s.cfg.Self {
			w.waiting[id] = true
		}
	}
	s.writes[w.seq] = w
	s.byKey[key] = w
	if len(w.waiting) == 0 {
		return s.finish(w)
	}
	return s.copies(w)
}

func (s *Store[K, V]) copies(w *write[K, V]) []Send[K, V] {
	var out []Send[K, V]
	for _, id := range slices.Sorted(maps.Keys(w.waiting)) {
		out = append(out, Send[K, V]{To: id, Message: Message[K, V]{
			Copy: &Copy[K, V]{Seq: w.seq, Version: s.version, Key: w.key, Value: w.value}}})
	}
	return out
}

func (s *Store[K, V]) finish(w *write[K, V]) []Send[K, V] {
	if len(w.waiting) > 0 {
		return nil
	}
	delete(s.writes, w.seq)
	if s.byKey[w.key] == w {
		delete(s.byKey, w.key)
	}
	var out []Send[K, V]
	for _, a := range w.askers {
		out = append(out, answer[K](a.from, Response[V]{ID: a.id, Value: w.value})...)
	}
	return out
}

// onCopy accepts a record only from the primary of the version in use. A copy
// of a later version waits until this store has caught up.
func (s *Store[K, V]) onCopy(from model.InstanceID, c *Copy[K, V]) []Send[K, V] {
	p := &s.parts[s.cfg.ShardOf(c.Key)]
	if c.Version > s.version {
		return s.hold(from, Message[K, V]{Copy: c})
	}
	if len(p.replicas) == 0 || p.replicas[0] != from {
		return nil
	}
	if !slices.Contains(p.replicas, s.cfg.Self) {
		return nil
	}
	old, exists := p.held[c.Key]
	if exists {
		p.held[c.Key] = s.cfg.Merge(c.Value, old)
	} else {
		p.held[c.Key] = c.Value
	}
	return []Send[K, V]{{To: from, Message: Message[K, V]{Copied: &Copied{Seq: c.Seq}}}}
}

func (s *Store[K, V]) onCopied(from model.InstanceID, c *Copied) []Send[K, V] {
	w := s.writes[c.Seq]
	if w == nil {
		return nil
	}
	delete(w.waiting, from)
	return s.finish(w)
}

// sendGathers asks every member whose records are missing, one message a
// member.
func (s *Store[K, V]) sendGathers() []Send[K, V] {
	missing := map[model.InstanceID][]int{}
	for i := range s.parts {
		for id := range s.parts[i].waiting {
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

func (s *Store[K, V]) onGather(from model.InstanceID, g *SyncRequest) []Send[K, V] {
	if g.Version > s.version {
		return s.hold(from, Message[K, V]{SyncRequest: g})
	}
	wanted := map[int]bool{}
	for _, i := range g.Shards {
		wanted[i] = true
	}
	reply := &SyncResponse[K, V]{Version: s.version, Shards: g.Shards, Records: s.cfg.Extra(wanted)}
	for i := range s.parts {
		if !wanted[i] {
			continue
		}
		for k, v := range s.parts[i].held {
			reply.Records = append(reply.Records, Record[K, V]{Key: k, Value: v})
		}
	}
	return []Send[K, V]{{To: from, Message: Message[K, V]{SyncResponse: reply}}}
}

func (s *Store[K, V]) onGathered(from model.InstanceID, g *SyncResponse[K, V]) []Send[K, V] {
	for _, r := range g.Records {
		p := &s.parts[s.cfg.ShardOf(r.Key)]
		if !p.waiting[from] {
			continue
		}
		old, exists := p.held[r.Key]
		if exists {
			r.Value = s.cfg.Merge(r.Value, old)
		}
		p.held[r.Key] = r.Value
	}
	complete := false
	for _, i := range g.Shards {
		p := &s.parts[i]
		if g.Version >= p.since && p.waiting[from] {
			delete(p.waiting, from)
			complete = complete || len(p.waiting) == 0
		}
	}
	if !complete {
		return nil
	}
	return s.handleEarly()
}
