// Package claim makes a non-idempotent request run at most once.
//
// A gateway claims the request's idempotency key at the key's replicas (package
// shard) before it sends the request to a backend server. The claim records how
// far the request has come; a resend through any gateway finds it.
//
// # Usage
//
//	store := shard.New(shard.Config[claim.Key, claim.Record]{
//		Self: self, ShardOf: claim.ShardOf, Decide: claim.Decide, Merge: claim.Merge,
//	})
//	store.Ask(id, key, claim.Record{State: claim.Running, Attempt: attempt, Gateway: self})
//
// The answer's Attempt equals the asker's only if the claim was granted.
package claim

import (
	"boragepost/core/model"
	"boragepost/core/place"
	"boragepost/core/shard"
)

// Key names a request: the service and the caller's idempotency key.
type Key string

// State is how far a claimed request has come.
type State uint8

// The states of a claim, in the order in which they may follow each other.
const (
	// Running means that the request may have reached a backend server.
	Running State = iota + 1
	// NotRun means that no backend server ran it; it may be claimed again.
	NotRun
	// Unknown means that it may or may not have run; it never runs again.
	Unknown
	// Done means that Answer holds the backend server's answer.
	Done
)

// Record is a claim.
type Record struct {
	State State `cbor:"1,keyasint"`
	// Attempt identifies one passage through one gateway.
	Attempt  uint64           `cbor:"2,keyasint"`
	Gateway  model.InstanceID `cbor:"3,keyasint,omitempty"`
	Response *Response        `cbor:"4,keyasint,omitempty"`
	// Round counts how often the key has been claimed after NotRun.
	Round uint32 `cbor:"5,keyasint,omitempty"`
	// Time is the gateway's Unix time in seconds.
	Time int64 `cbor:"6,keyasint,omitempty"`
	// Digest tells requests with the same key but other contents apart.
	Digest uint64 `cbor:"7,keyasint,omitempty"`
}

// Response is a stored answer of a backend server.
type Response struct {
	Status int                 `cbor:"1,keyasint"`
	Header map[string][]string `cbor:"2,keyasint,omitempty"`
	Body   []byte              `cbor:"3,keyasint,omitempty"`
	// Truncated is set when the body was too large to store.
	Truncated bool `cbor:"4,keyasint,omitempty"`
}

// ShardOf returns the shard of a key.
func ShardOf(k Key) int { return int(place.Hash(string(k)) % shard.Shards) }

// Decide implements the Decide field of a shard.Config for claims. Only the
// attempt that holds a claim may change it, and a finished claim never changes.
func Decide(_ Key, ask, old Record, exists bool) (Record, bool) {
	switch {
	case !exists && ask.State == Running:
		return ask, true
	case !exists:
		// The claim was lost or has expired; its outcome is still worth keeping.
		return ask, true
	case old.State == NotRun && ask.State == Running && ask.Attempt != old.Attempt:
		ask.Round = old.Round + 1
		return ask, true
	case old.State == Running && ask.Attempt == old.Attempt && ask.State != Running:
		ask.Round = old.Round
		return ask, true
	default:
		return old, false
	}
}

// Merge returns the later of two records of one key.
func Merge(a, b Record) Record {
	switch {
	case a.Round > b.Round:
		return a
	case b.Round > a.Round:
		return b
	case b.State > a.State:
		return b
	default:
		return a
	}
}
