// Package roster is a registry of the backend servers, built from their
// announcements. It is soft state that needs no quorum and no disk. Merging is
// commutative and idempotent: any two rosters that have received the same
// announcements, in any order and any number of times, agree.
//
// A Server is the record of one backend server as last announced. Of two records
// with the same identifier the newer incarnation wins; within an incarnation
// deregistration (Gone) wins, then the higher sequence, then the later phase, then
// the silent record (Server.Supersedes). Of two identifiers at one address the
// newer incarnation wins and the other becomes Gone.
//
// Control replicas receive announcements and send the records that have changed to
// each other and to the entry instances. Heartbeats, announcements that only renew
// a record, are exchanged between replicas only (Roster.MergeHeartbeats,
// Roster.TakeHeartbeats).
//
// # Usage
//
//	changed := r.RecordAnnouncement(now, server)   // from the backend server itself
//	changed, stale := r.Merge(now, server)         // from another replica
//	changed = r.MarkSilent(now, connected, timeout) // backend servers that have stopped announcing
//	ended, found, err := r.Deregister(call)         // which start a deregistration ends
//	for s := range r.All() { ... }
//	records := r.Aged(now, r.All())                // to send or save them
//
// # Warming
//
// A backend server announces for how long it is still slow after its start
// (Server.Warming). The clocks of machines differ, so that only remaining times are
// exchanged. Each roster computes the end on its own clock, and a record that was delayed
// on its way makes it later. So a record states which announcement its remaining time
// follows from, and a roster takes over that of each announcement once, from whichever
// record has it first: rosters that relay each other's records would otherwise extend the
// time by their delay again and again. The same holds for the end of an evacuation
// (ExtendWarming). Of the ends of one incarnation the roster keeps the latest; a record
// without a remaining time (a heartbeat, or the record of a replica that has missed an
// announcement) does not end it early. An end that is later by more than RiseTolerance is
// a change that is propagated. Records are sent and saved with the time that remains then
// (Roster.Aged).
//
// A Roster is not safe for concurrent use. Times are readings of one monotonic
// clock.
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

// Phase is a backend server's lifecycle phase.
type Phase uint8

// The phases of a backend server.
const (
	Ready Phase = iota
	Draining
	Gone
)

// String returns the phase as it appears in logs.
func (p Phase) String() string { return [...]string{"ready", "draining", "gone"}[min(p, Gone)] }

// Server is the record of one backend server as last announced. It is an immutable
// value.
type Server struct {
	// ID identifies the backend server on the wire; 0 is not used.
	ID uint64 `cbor:"1,keyasint"`
	// Incarnation orders the starts under one identifier and at one address. It is
	// the start time in Unix milliseconds, or 0 if that is unknown.
	Incarnation uint64 `cbor:"2,keyasint,omitempty"`
	// Sequence orders the announcements of one incarnation.
	Sequence uint64         `cbor:"3,keyasint,omitempty"`
	Service  string         `cbor:"4,keyasint,omitempty"`
	Address  netip.AddrPort `cbor:"5,keyasint,omitempty"`
	Zone     string         `cbor:"6,keyasint,omitempty"`
	Slots    int            `cbor:"7,keyasint,omitempty"`
	Phase    Phase          `cbor:"8,keyasint,omitempty"`
	// Silent is set if no announcement after Sequence has arrived in time.
	Silent bool `cbor:"9,keyasint,omitempty"`
	// Warming is the remaining time for which the backend server is slow after its
	// start, as of when the record was sent, or merged into a Roster.
	Warming time.Duration `cbor:"10,keyasint,omitempty"`
	// WarmingSequence is the sequence of the announcement that Warming follows from. If it
	// and WarmingRevision are 0, as in an announcement and in records of earlier versions,
	// that is Sequence.
	WarmingSequence uint64 `cbor:"11,keyasint,omitempty"`
	// WarmingRevision is the revision of the evacuated availability zones with the end of
	// an evacuation that Warming takes into account, or 0.
	WarmingRevision uint64 `cbor:"12,keyasint,omitempty"`
}

// WithPhase returns a copy with the given phase.
func (s Server) WithPhase(p Phase) Server {
	s.Phase = p
	return s
}

// WithSilence returns a copy with Silent set as given.
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

// samePlacement reports whether two records of one backend server differ at most in
// Sequence and the fields on warming, so that flows are placed alike.
func (s Server) samePlacement(o Server) bool {
	s.Sequence, s.Warming, s.WarmingSequence, s.WarmingRevision = o.Sequence, o.Warming, o.WarmingSequence, o.WarmingRevision
	return s == o
}

// Roster is a set of backend servers. The zero value is empty.
type Roster struct {
	servers map[uint64]*entry
	// at holds what is known of each address.
	at         map[netip.AddrPort]*occupants
	heartbeats map[uint64]Heartbeat // not yet returned by TakeHeartbeats
	digests    [bucketCount]uint64  // of the records in each bucket
	// warming holds the identifiers of all backend servers that may be warming.
	warming map[uint64]bool
}

// occupants are the backend servers that have announced one address.
type occupants struct {
	newest uint64   // incarnation
	ids    []uint64 // of the records with this address
}

type entry struct {
	server  Server
	heardAt time.Duration // when the latest heartbeat or change arrived
	// startSeenAt is when the first record of the present incarnation arrived.
	startSeenAt time.Duration
	// warmUntil is the latest end of warming of the present incarnation, and
	// propagatedEnd the one when the record was last reported as changed.
	warmUntil, propagatedEnd time.Duration
}

// RiseTolerance is by how much the end of warming of one incarnation may become later
// without being propagated. Announcements take different times to arrive; the difference
// is usually below this, and a larger one only costs one more record. Those who must not
// take a backend server for warm too early add it to WarmUntil.
const RiseTolerance = 100 * time.Millisecond

// Heartbeat is the incarnation and sequence of an announcement that changes nothing
// else in a record.
type Heartbeat struct {
	ID          uint64 `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint,omitempty"`
	Sequence    uint64 `cbor:"3,keyasint,omitempty"`
}

// GoneRetention is how long the record of a backend server that is gone is kept, so
// that a late announcement of it is recognized as stale. It is far above the
// lifetime of a flow and of a network partition that is likely to heal by itself.
const GoneRetention = 10 * time.Minute

// Get returns a record by identifier.
func (r *Roster) Get(id uint64) (Server, bool) {
	e, ok := r.servers[id]
	if !ok {
		return Server{}, false
	}
	return e.server, true
}

// WarmUntil returns when a backend server ceases to be warming, or 0 if it is unknown or
// has never been.
func (r *Roster) WarmUntil(id uint64) time.Duration {
	if e, ok := r.servers[id]; ok {
		return e.warmUntil
	}
	return 0
}

// Aged returns records of the roster with the time that they are still warming, to be
// sent or saved.
func (r *Roster) Aged(now time.Duration, servers iter.Seq[Server]) []Server {
	var out []Server
	for s := range servers {
		s.Warming = max(r.WarmUntil(s.ID)-now, 0)
		out = append(out, s)
	}
	return out
}

// Warming returns the records of the backend servers that are warming, as of now, ordered
// by identifier.
func (r *Roster) Warming(now time.Duration) []Server {
	maps.DeleteFunc(r.warming, func(id uint64, _ bool) bool { return now >= r.WarmUntil(id) })
	return r.Aged(now, func(yield func(Server) bool) {
		for _, id := range slices.Sorted(maps.Keys(r.warming)) {
			if !yield(r.servers[id].server) {
				return
			}
		}
	})
}

// Len returns the number of backend servers, including those in phase Gone.
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

// All returns the records ordered by identifier.
func (r *Roster) All() iter.Seq[Server] {
	return func(yield func(Server) bool) {
		for _, id := range slices.Sorted(maps.Keys(r.servers)) {
			if !yield(r.servers[id].server) {
				return
			}
		}
	}
}

// Digest returns a hash of the properties of the records by which flows are placed.
// Instances whose rosters have equal digests place flows alike. Records in phase
// Gone are left out, because replicas expire them at different times.
func (r *Roster) Digest() uint64 {
	digest := uint64(0)
	for _, d := range r.digests {
		digest ^= d
	}
	return digest
}

// bucketCount is the number of buckets over which the records are spread by identifier.
// Rosters that differ in a few records differ in as many buckets, so that little more
// than those has to be transferred.
const bucketCount = 64

func bucketOf(id uint64) int { return int(place.Mix(id, bucketCount) % bucketCount) }

// BucketDigests returns the digests of the buckets.
func (r *Roster) BucketDigests() []uint64 { return slices.Clone(r.digests[:]) }

// Differing returns the records in the buckets whose digests differ from those of
// another roster, ordered by identifier, or all records if digests has another length
// than BucketDigests returns.
func (r *Roster) Differing(digests []uint64) []Server {
	var out []Server
	for s := range r.All() {
		if len(digests) != bucketCount || digests[bucketOf(s.ID)] != r.digests[bucketOf(s.ID)] {
			out = append(out, s)
		}
	}
	return out
}

// placementHash returns the contribution of a record to the digest.
func (s Server) placementHash() uint64 {
	if s.Phase == Gone {
		return 0
	}
	state := uint64(s.Phase) | uint64(s.Slots)<<16
	if s.Silent {
		state |= 1 << 8
	}
	placement := place.Hash(s.Service + "/" + s.Zone + "/" + s.Address.String())
	return place.Mix(place.Mix(s.ID, s.Incarnation), place.Mix(placement, state))
}

// Merge merges a record and returns the records whose change must be propagated,
// those for which flows are now placed differently or that are warming for longer.
// stale reports that the roster has a newer record.
func (r *Roster) Merge(now time.Duration, s Server) (changed []Server, stale bool) {
	changed = r.claimAddress(now, s)
	if s.Incarnation < r.newestAt(s.Address) {
		s.Phase = Gone // a newer incarnation has started at its address
	}
	old, exists := r.servers[s.ID]
	if exists && !s.Supersedes(old.server) {
		stale = old.server.Supersedes(s)
		if s.Incarnation == old.server.Incarnation {
			old.mergeWarming(now, s)
			changed = append(changed, r.noteWarming(now, old)...)
		}
		return changed, stale
	}
	placementChanged := !exists || !s.samePlacement(old.server)
	e := r.put(now, s)
	if rise := r.noteWarming(now, e); placementChanged || len(rise) > 0 {
		changed = append(changed, e.server)
		e.propagatedEnd = e.warmUntil
	}
	return changed, false
}

// mergeWarming takes over the remaining time of a record of the entry's incarnation,
// unless it follows from no later announcement or end of an evacuation than the present
// one.
func (e *entry) mergeWarming(now time.Duration, s Server) {
	if s.Warming <= 0 {
		return
	}
	own, sequence := &e.server, s.WarmingSequence
	if sequence == 0 && s.WarmingRevision == 0 {
		sequence = s.Sequence
	}
	if e.warmUntil > 0 && sequence <= own.WarmingSequence && s.WarmingRevision <= own.WarmingRevision {
		return
	}
	e.warmUntil = max(e.warmUntil, now+s.Warming)
	own.WarmingSequence, own.WarmingRevision = max(sequence, own.WarmingSequence), max(s.WarmingRevision, own.WarmingRevision)
}

// noteWarming updates what follows from an entry's end of warming. It returns the record
// if the end must be propagated.
func (r *Roster) noteWarming(now time.Duration, e *entry) []Server {
	if now < e.warmUntil {
		if r.warming == nil {
			r.warming = map[uint64]bool{}
		}
		r.warming[e.server.ID] = true
	}
	e.server.Warming = max(e.warmUntil-now, 0)
	if e.server.Phase == Gone || e.warmUntil <= e.propagatedEnd+RiseTolerance {
		return nil
	}
	e.propagatedEnd = e.warmUntil
	return []Server{e.server}
}

// ExtendWarming records that a backend server is warming for at least some time from now,
// although it has not announced that, because an evacuation of its availability zone has
// ended with a revision. It is no change to be propagated: all replicas learn of it in
// another way.
func (r *Roster) ExtendWarming(now time.Duration, id uint64, remaining time.Duration, revision uint64) {
	e, ok := r.servers[id]
	if !ok {
		return
	}
	e.warmUntil = max(e.warmUntil, now+remaining)
	e.server.WarmingRevision = max(e.server.WarmingRevision, revision)
	r.noteWarming(now, e)
}

// claimAddress records the incarnation that uses an address and marks earlier
// incarnations there as gone.
func (r *Roster) claimAddress(now time.Duration, s Server) (changed []Server) {
	if !s.Address.IsValid() || s.Incarnation <= r.newestAt(s.Address) {
		return nil
	}
	t := r.occupantsOf(s.Address)
	t.newest = s.Incarnation
	for _, id := range t.ids {
		old := r.servers[id].server
		if old.Incarnation < s.Incarnation && old.Phase != Gone && old.ID != s.ID {
			old.Warming = 0
			changed = append(changed, r.put(now, old.WithPhase(Gone)).server)
		}
	}
	return changed
}

// newestAt returns the newest incarnation at an address, or 0.
func (r *Roster) newestAt(address netip.AddrPort) uint64 {
	if t := r.at[address]; t != nil {
		return t.newest
	}
	return 0
}

// occupantsOf returns the occupants of an address, and adds an entry if it is new.
func (r *Roster) occupantsOf(address netip.AddrPort) *occupants {
	if r.at == nil {
		r.at = map[netip.AddrPort]*occupants{}
	}
	if r.at[address] == nil {
		r.at[address] = &occupants{}
	}
	return r.at[address]
}

// moveTo records that a backend server's record has changed from one address to another.
func (r *Roster) moveTo(id uint64, from, to netip.AddrPort) {
	if from == to {
		return
	}
	r.leaveAddress(id, from)
	if to.IsValid() {
		t := r.occupantsOf(to)
		t.ids = append(t.ids, id)
	}
}

func (r *Roster) leaveAddress(id uint64, address netip.AddrPort) {
	if t := r.at[address]; t != nil {
		t.ids = slices.DeleteFunc(t.ids, func(other uint64) bool { return other == id })
	}
}

// put stores a record and returns its entry.
func (r *Roster) put(now time.Duration, s Server) *entry {
	if r.servers == nil {
		r.servers = map[uint64]*entry{}
	}
	e := &entry{server: s, heardAt: now, startSeenAt: now}
	e.server.WarmingSequence, e.server.WarmingRevision = 0, 0
	from := netip.AddrPort{}
	if old, exists := r.servers[s.ID]; exists {
		from = old.server.Address
		r.digests[bucketOf(s.ID)] ^= old.server.placementHash()
		if s.Silent {
			e.heardAt = old.heardAt
		}
		if s.Incarnation == old.server.Incarnation {
			e.startSeenAt = old.startSeenAt
			e.warmUntil, e.propagatedEnd = old.warmUntil, old.propagatedEnd
			e.server.WarmingSequence, e.server.WarmingRevision = old.server.WarmingSequence, old.server.WarmingRevision
		}
	}
	e.mergeWarming(now, s)
	e.server.Warming = max(e.warmUntil-now, 0)
	r.digests[bucketOf(s.ID)] ^= s.placementHash()
	r.servers[s.ID] = e
	r.moveTo(s.ID, from, s.Address)
	return e
}

// RecordAnnouncement merges an announcement received from the backend server itself
// and queues a heartbeat for TakeHeartbeats.
func (r *Roster) RecordAnnouncement(now time.Duration, s Server) (changed []Server) {
	changed, _ = r.Merge(now, s)
	if e, ok := r.servers[s.ID]; ok && e.server.Incarnation == s.Incarnation && e.server.Sequence == s.Sequence {
		if r.heartbeats == nil {
			r.heartbeats = map[uint64]Heartbeat{}
		}
		r.heartbeats[s.ID] = Heartbeat{ID: s.ID, Incarnation: s.Incarnation, Sequence: s.Sequence}
	}
	return changed
}

// TakeHeartbeats returns the heartbeats recorded since its last call, for the other
// replicas.
func (r *Roster) TakeHeartbeats() []Heartbeat {
	out := slices.SortedFunc(maps.Values(r.heartbeats), func(a, b Heartbeat) int { return cmp.Compare(a.ID, b.ID) })
	clear(r.heartbeats)
	return out
}

// MergeHeartbeats merges heartbeats received from another replica. It returns the
// records that are no longer silent.
func (r *Roster) MergeHeartbeats(now time.Duration, heartbeats []Heartbeat) (changed []Server) {
	for _, hb := range heartbeats {
		e, ok := r.servers[hb.ID]
		if !ok || e.server.Incarnation != hb.Incarnation || e.server.Sequence >= hb.Sequence {
			continue
		}
		s := e.server.WithSilence(false)
		s.Sequence, s.Warming = hb.Sequence, 0
		c, _ := r.Merge(now, s)
		changed = append(changed, c...)
	}
	return changed
}

// MarkSilent marks the backend servers without a heartbeat for longer than timeout
// as silent, and returns the records that changed. connectedSince is the time since
// which the caller has received the heartbeats of the other replicas; missing
// heartbeats before that say nothing about a backend server.
func (r *Roster) MarkSilent(now, connectedSince, timeout time.Duration) (changed []Server) {
	for _, id := range slices.Sorted(maps.Keys(r.servers)) {
		e := r.servers[id]
		if e.server.Phase == Gone || e.server.Silent || now-max(e.heardAt, connectedSince) <= timeout {
			continue
		}
		s := e.server.WithSilence(true)
		s.Warming = 0 // the end of warming stays as it is
		c, _ := r.Merge(now, s)
		changed = append(changed, c...)
	}
	return changed
}

// Expire removes the backend servers that have been gone for longer than
// GoneRetention, and returns their number.
func (r *Roster) Expire(now time.Duration) int {
	before := len(r.servers)
	for id, e := range r.servers {
		if e.server.Phase != Gone || now-e.heardAt <= GoneRetention {
			continue
		}
		delete(r.servers, id)
		r.leaveAddress(id, e.server.Address)
		if t := r.at[e.server.Address]; t != nil && t.newest == e.server.Incarnation && len(t.ids) == 0 {
			delete(r.at, e.server.Address)
		}
	}
	return before - len(r.servers)
}
