// Package claim ensures that a non-idempotent request runs at most once.
//
// A gateway claims the request's idempotency key at the replicas of the key's
// shard (package shard) before it sends the request to a backend server. The
// claim records the state of the request, and a retry through any gateway finds
// it.
//
// # Usage
//
//	store := shard.New(shard.Config[claim.Key, claim.Record]{
//		Self: self, ShardOf: claim.ShardOf, Decide: claim.Decide, Merge: claim.Merge,
//	})
//	store.Request(id, key, claim.Record{State: claim.Running, Attempt: attempt, Gateway: self})
//
// The response has the Attempt of the request only if the claim was granted.
package claim

import (
	"boragepost/core/model"
	"boragepost/core/place"
	"boragepost/core/shard"
)

// Key identifies a request by the service and the caller's idempotency key.
type Key string

// State is the state of a claimed request.
type State uint8

// The states of a claim. Running may change to any of the others, and NotRun back
// to Running; Merge prefers the later constant of the same round.
const (
	// Running means that the request may have reached a backend server.
	Running State = iota + 1
	// NotRun means that no backend server ran the request. It may be claimed again.
	NotRun
	// Unknown means that the request may or may not have run. It is never run
	// again.
	Unknown
	// Done means that Response holds the backend server's response.
	Done
)

// Record is a claim.
type Record struct {
	State State `cbor:"1,keyasint"`
	// Attempt identifies one attempt at the request by one gateway.
	Attempt  uint64           `cbor:"2,keyasint"`
	Gateway  model.InstanceID `cbor:"3,keyasint,omitempty"`
	Response *Response        `cbor:"4,keyasint,omitempty"`
	// Round counts how often the key has been claimed after NotRun.
	Round uint32 `cbor:"5,keyasint,omitempty"`
	// Time is when the claim was made, in Unix seconds by the gateway's clock.
	Time int64 `cbor:"6,keyasint,omitempty"`
	// Digest distinguishes requests with the same key but different contents.
	Digest uint64 `cbor:"7,keyasint,omitempty"`
}

// Response is a stored response of a backend server.
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
// attempt that holds a Running claim may change it, and only a NotRun claim may
// be claimed again. Unknown and Done are final.
func Decide(_ Key, arg, old Record, exists bool) (Record, bool) {
	switch {
	case !exists && arg.State == Running:
		return arg, true
	case !exists:
		// The claim was lost or has expired; its outcome is recorded nevertheless.
		return arg, true
	case old.State == NotRun && arg.State == Running && arg.Attempt != old.Attempt:
		arg.Round = old.Round + 1
		return arg, true
	case old.State == Running && arg.Attempt == old.Attempt && arg.State != Running:
		arg.Round = old.Round
		return arg, true
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
