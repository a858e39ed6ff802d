package flow

import (
	"boragepost/core/model"
	"boragepost/core/shard"
	"boragepost/core/table"
)

// Record is the record of a flow at the replicas of its shard, and the argument
// of a request about a flow. In a request, a Server other than 0 reports a flow
// that the sender has been forwarding.
type Record struct {
	Route  uint32         `cbor:"1,keyasint"`
	Server model.ServerID `cbor:"2,keyasint,omitempty"`
	Start  bool           `cbor:"3,keyasint,omitempty"`
	UDP    bool           `cbor:"4,keyasint,omitempty"`
}

// ShardOf returns the shard of a flow. All flows of a bucket are in one shard,
// because every table has at least as many buckets as there are shards.
func ShardOf(k Key) int { return int(uint64(k) % shard.Shards) }

// ShardOfBucket returns the shard of a bucket's flows.
func ShardOfBucket(bucket int) int { return bucket % shard.Shards }

// RecordPolicy decides on flows in moving buckets. It runs at the primary of
// their shard.
type RecordPolicy struct {
	// View returns the current view. It must be set.
	View func() *View
	// Autonomous reports whether the instance is in autonomous mode. New flows
	// are then assigned as at instances that do not reach the primary. Nil means
	// never.
	Autonomous func() bool
}

// Decide implements the Decide field of a shard.Config for flows.
func (p RecordPolicy) Decide(key Key, arg, old Record, exists bool) (Record, bool) {
	route := p.View().byID[arg.Route]
	if route == nil || route.Table.Len() == 0 {
		return Record{}, false
	}
	if exists && route.hasServer(old.Server) {
		return old, false
	}
	if arg.Server != 0 && route.hasServer(arg.Server) {
		return Record{Route: arg.Route, Server: arg.Server, UDP: arg.UDP}, true
	}
	bucket := route.Table.Bucket(uint64(key))
	record := Record{Route: arg.Route, UDP: arg.UDP, Server: bucket.Choose(route.isNewFlow(bucket, arg.Start, arg.UDP))}
	if p.Autonomous != nil && p.Autonomous() {
		record.Server = route.withoutPrimary(bucket, arg.Start)
	}
	moving := bucket.Stage == table.Preparing || bucket.Stage == table.Migrating
	return record, moving && route.hasServer(record.Server)
}

// Obsolete reports whether a record can be deleted: its backend server no longer
// belongs to the route, or its bucket is stable and owned by that backend server.
func (p RecordPolicy) Obsolete(key Key, r Record) bool {
	route := p.View().byID[r.Route]
	if route == nil || !route.hasServer(r.Server) {
		return true
	}
	bucket := route.Table.Bucket(uint64(key))
	return bucket.Stage == table.Stable && bucket.Owner == r.Server
}

// PinnedFlows returns the flows of a service, from the records of one shard, whose
// backend server is not the owner of their bucket.
func (p RecordPolicy) PinnedFlows(service string, records map[Key]Record) map[Key]model.ServerID {
	route := p.View().byService[service]
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
