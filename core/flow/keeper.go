package flow

import (
	"boragepost/core/model"
	"boragepost/core/shard"
	"boragepost/core/table"
)

// Record is what a record keeper holds of a flow, and the form of a question
// about one. In a question, a Server other than 0 reports a flow that the asker
// has been forwarding.
type Record struct {
	Route  uint32         `cbor:"1,keyasint"`
	Server model.ServerID `cbor:"2,keyasint,omitempty"`
	Start  bool           `cbor:"3,keyasint,omitempty"`
	UDP    bool           `cbor:"4,keyasint,omitempty"`
}

// ShardOf returns the shard of a flow. All flows of a bucket are in one shard,
// because no table has fewer buckets than there are shards.
func ShardOf(k Key) int { return int(uint64(k) % shard.Shards) }

// ShardOfBucket returns the shard of a bucket's flows.
func ShardOfBucket(bucket int) int { return bucket % shard.Shards }

// RecordPolicy decides on flows in moving buckets, at the primary of their shard.
type RecordPolicy struct {
	// View returns the view in use. It must be set.
	View func() *View
	// Autonomous reports that the instance serves without a lease. New flows then
	// stay with the base, as at instances that reach no keeper. Nil is never.
	Autonomous func() bool
}

// Decide implements the Decide field of a shard.Config for flows.
func (k RecordPolicy) Decide(key Key, ask, old Record, exists bool) (Record, bool) {
	route := k.View().byID[ask.Route]
	if route == nil || route.Table.Len() == 0 {
		return Record{}, false
	}
	if exists && route.hasServer(old.Server) {
		return old, false
	}
	if ask.Server != 0 && route.hasServer(ask.Server) {
		return Record{Route: ask.Route, Server: ask.Server, UDP: ask.UDP}, true
	}
	bucket := route.Table.Bucket(uint64(key))
	isNewFlow := route.isNewFlow(bucket, ask.Start, ask.UDP) && (k.Autonomous == nil || !k.Autonomous())
	answer := Record{Route: ask.Route, UDP: ask.UDP, Server: bucket.Choose(isNewFlow)}
	moving := bucket.Stage == table.Preparing || bucket.Stage == table.Migrating
	return answer, moving && route.hasServer(answer.Server)
}

// Obsolete reports whether a record has no further use: its backend server is
// gone, or its bucket is closed and the record agrees with the owner.
func (k RecordPolicy) Obsolete(key Key, r Record) bool {
	route := k.View().byID[r.Route]
	if route == nil || !route.hasServer(r.Server) {
		return true
	}
	bucket := route.Table.Bucket(uint64(key))
	return bucket.Stage == table.Stable && bucket.Owner == r.Server
}

// PinnedFlows returns the records of a service among those of one shard that
// differ from the owners of their buckets.
func (k RecordPolicy) PinnedFlows(service string, records map[Key]Record) map[Key]model.ServerID {
	route := k.View().byService[service]
	out := map[Key]model.ServerID{}
	if route == nil {
		return out
	}
	for key, r := range records {
		if r.Route != route.ID || !route.hasServer(r.Server) {
			continue
		}
		if bucket := route.Table.Bucket(uint64(key)); bucket.Owner != r.Server {
			out[key] = r.Server
		}
	}
	return out
}
