// Package roster knows the backend servers from what they announce. It is soft
// state: it needs no quorum and no disk, and any two holders that have heard the
// same announcements, in any order and any number of times, agree.
//
// A Server is one backend server as last announced. Of two records with the same
// identifier the newer incarnation wins, within an incarnation a farewell, then
// the higher sequence, then silence (Server.Newer). Of two identifiers at one
// address the newer incarnation wins and the other is gone.
//
// Control replicas take announcements and tell each other and the entry
// instances what changed; what only proves that a backend server lives stays
// among the replicas (Roster.Alive, Roster.Heard).
//
// # Usage
//
//	changed := r.Merge(now, server)       // announcements and records of others
//	changed = r.Silence(now, hearing, limit) // backend servers that went quiet
//	for s := range r.All() { ... }
//
// A Roster belongs to one goroutine. Times are readings of one monotonic clock.
package roster

import (
	"cmp"
	"iter"
	"maps"
	"net/netip"
	"slices"
	"time"

	"boragepost/core/place"
)

// Phase is the stage of a backend server's life.
type Phase uint8

// The phases of a backend server.
const (
	Ready Phase = iota
	Draining
	Gone
)

// String returns the phase as logs show it.
func (p Phase) String() string { return [...]string{"ready", "draining", "gone"}[min(p, Gone)] }

// Server is one backend server as last announced. It is an immutable value.
type Server struct {
	// ID is the number that addresses the backend server on the wire; 0 is not
	// used.
	ID uint64 `cbor:"1,keyasint"`
	// Incarnation orders the starts under one identifier and at one address: the
	// Unix milliseconds of the start; 0 when it is not known.
	Incarnation uint64 `cbor:"2,keyasint,omitempty"`
	// Sequence orders the announcements of one incarnation.
	Sequence uint64         `cbor:"3,keyasint,omitempty"`
	Service  string         `cbor:"4,keyasint,omitempty"`
	Address  netip.AddrPort `cbor:"5,keyasint,omitempty"`
	Zone     string         `cbor:"6,keyasint,omitempty"`
	Slots    int            `cbor:"7,keyasint,omitempty"`
	Phase    Phase          `cbor:"8,keyasint,omitempty"`
	// Silent says that no announcement after Sequence has arrived in time.
	Silent bool `cbor:"9,keyasint,omitempty"`
	// Warming is how much longer the backend server is slow after its start, as
	// of the announcement.
	Warming time.Duration `cbor:"10,keyasint,omitempty"`
}

// WithPhase returns a copy in another phase.
func (s Server) WithPhase(p Phase) Server {
	s.Phase = p
	return s
}

// WithSilence returns a copy that is marked as silent or not.
func (s Server) WithSilence(silent bool) Server {
	s.Silent = silent
	return s
}

// Supersedes reports whether s replaces o, a record with the same identifier.
func (s Server) Supersedes(o Server) bool {
	if s.Incarnation != o.Incarnation {
		return s.Incarnation > o.Incarnation
	}
	if (s.Phase == Gone) != (o.Phase == Gone) {
		return s.Phase == Gone
	}
	if s.Sequence != o.Sequence {
		return s.Sequence > o.Sequence
	}
	if s.Phase != o.Phase {
		return s.Phase > o.Phase
	}
	return s.Silent && !o.Silent
}

// sameUse reports whether two records of one backend server are used alike.
func (s Server) sameUse(o Server) bool {
	s.Sequence, s.Warming = o.Sequence, o.Warming
	return s == o
}

// Roster is a set of backend servers. The zero value is empty.
type Roster struct {
	servers map[uint64]*entry
	// newest is the newest incarnation that any record has named at an address.
	newest map[netip.AddrPort]uint64
	heard  map[uint64]Heartbeat // announcements since the last call of Heard
	digest uint64               // of all records
}

type entry struct {
	server Server
	heard  time.Duration // when the latest sign of life arrived
}

// Heartbeat is a sign of life: the incarnation and sequence of an announcement that
// changed nothing else.
type Heartbeat struct {
	ID          uint64 `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint,omitempty"`
	Sequence    uint64 `cbor:"3,keyasint,omitempty"`
}

// GoneRetention is how long a backend server that is gone is remembered, so that a
// late announcement of it is recognized. It is far above the lifetime of a flow
// and of a partition that is likely to heal by itself.
const GoneRetention = 10 * time.Minute

// Get returns a record by identifier.
func (r *Roster) Get(id uint64) (Server, bool) {
	e, ok := r.servers[id]
	if !ok {
		return Server{}, false
	}
	return e.server, true
}

// Len returns the number of backend servers, gone ones included.
func (r *Roster) Len() int { return len(r.servers) }

// Count returns the number of backend servers in a phase.
func (r *Roster) Count(phase Phase) int {
	n := 0
	for _, e := range r.servers {
		if e.server.Phase == phase {
			n++
		}
	}
	return n
}

// All returns the records in the order of their identifiers.
func (r *Roster) All() iter.Seq[Server] {
	return func(yield func(Server) bool) {
		for _, id := range slices.Sorted(maps.Keys(r.servers)) {
			if !yield(r.servers[id].server) {
				return
			}
		}
	}
}

// Digest returns a hash of how the backend servers are used that are not gone. Rosters
// with equal digests place flows alike. Those that are gone do not count, because
// holders forget them at different times.
func (r *Roster) Digest() uint64 { return r.digest }

// useHash returns what a record adds to the digest.
func (s Server) useHash() uint64 {
	if s.Phase == Gone {
		return 0
	}
	state := uint64(s.Phase) | uint64(s.Slots)<<16
	if s.Silent {
		state |= 1 << 8
	}
	use := place.Hash(s.Service + "/" + s.Zone + "/" + s.Address.String())
	return place.Mix(place.Mix(s.ID, s.Incarnation), place.Mix(use, state))
}

// Merge takes in a record and returns what others must be told: the records that
// changed in use. stale says that a newer record is held.
func (r *Roster) Merge(now time.Duration, s Server) (changed []Server, stale bool) {
	changed = r.claim(now, s)
	if s.Incarnation < r.newest[s.Address] {
		s.Phase = Gone // another one was started at its address since
	}
	old, known := r.servers[s.ID]
	if known && !s.Supersedes(old.server) {
		return changed, old.server.Supersedes(s)
	}
	used := !known || !s.sameUse(old.server)
	r.put(now, s)
	if used {
		changed = append(changed, s)
	}
	return changed, false
}

// claim notes that an incarnation was started at an address, and marks earlier
// ones there as gone.
func (r *Roster) claim(now time.Duration, s Server) (changed []Server) {
	if !s.Address.IsValid() || s.Incarnation <= r.newest[s.Address] {
		return nil
	}
	if r.newest == nil {
		r.newest = map[netip.AddrPort]uint64{}
	}
	r.newest[s.Address] = s.Incarnation
	for _, e := range r.servers {
		old := e.server
		if old.Address == s.Address && old.Incarnation < s.Incarnation && old.Phase != Gone && old.ID != s.ID {
			r.put(now, old.WithPhase(Gone))
			changed = append(changed, old.WithPhase(Gone))
		}
	}
	return changed
}

func (r *Roster) put(now time.Duration, s Server) {
	if r.servers == nil {
		r.servers = map[uint64]*entry{}
	}
	e := &entry{server: s, heard: now}
	if old, known := r.servers[s.ID]; known {
		r.digest ^= old.server.useHash()
		if s.Silent {
			e.heard = old.heard
		}
	}
	r.digest ^= s.useHash()
	r.servers[s.ID] = e
}

// RecordAnnouncement merges an announcement that the backend server itself has just made,
// and notes it for Heard.
func (r *Roster) RecordAnnouncement(now time.Duration, s Server) (changed []Server) {
	changed, _ = r.Merge(now, s)
	if e, ok := r.servers[s.ID]; ok && e.server.Incarnation == s.Incarnation && e.server.Sequence == s.Sequence {
		if r.heard == nil {
			r.heard = map[uint64]Heartbeat{}
		}
		r.heard[s.ID] = Heartbeat{ID: s.ID, Incarnation: s.Incarnation, Sequence: s.Sequence}
	}
	return changed
}

// TakeHeartbeats returns the signs of life since its last call, for the other replicas.
func (r *Roster) TakeHeartbeats() []Heartbeat {
	signs := slices.SortedFunc(maps.Values(r.heard), func(a, b Heartbeat) int { return cmp.Compare(a.ID, b.ID) })
	clear(r.heard)
	return signs
}

// MergeHeartbeats takes in signs of life that another replica heard. It returns the
// records that are no longer silent.
func (r *Roster) MergeHeartbeats(now time.Duration, signs []Heartbeat) (changed []Server) {
	for _, sign := range signs {
		e, ok := r.servers[sign.ID]
		if !ok || e.server.Incarnation != sign.Incarnation || e.server.Sequence >= sign.Sequence {
			continue
		}
		s := e.server.WithSilence(false)
		s.Sequence = sign.Sequence
		c, _ := r.Merge(now, s)
		changed = append(changed, c...)
	}
	return changed
}

// MarkSilent marks the backend servers of which nothing was heard for longer than
// limit, and returns the records that changed. hearing is since when the holder has
// heard what other holders hear: silence before that proves nothing.
func (r *Roster) MarkSilent(now, hearing, limit time.Duration) (changed []Server) {
	for _, id := range slices.Sorted(maps.Keys(r.servers)) {
		e := r.servers[id]
		if e.server.Phase == Gone || e.server.Silent || now-max(e.heard, hearing) <= limit {
			continue
		}
		c, _ := r.Merge(now, e.server.WithSilence(true))
		changed = append(changed, c...)
	}
	return changed
}

// Expire drops the backend servers that have been gone for longer than
// GoneTimeout, and returns how many.
func (r *Roster) Expire(now time.Duration) int {
	before := len(r.servers)
	for id, e := range r.servers {
		if e.server.Phase != Gone || now-e.heard <= GoneRetention {
			continue
		}
		delete(r.servers, id)
		if r.newest[e.server.Address] == e.server.Incarnation {
			delete(r.newest, e.server.Address)
		}
	}
	return before - len(r.servers)
}
