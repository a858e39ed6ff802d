package flow

import (
	"cmp"
	"slices"

	"boragepost/core/model"
	"boragepost/core/shard"
	"boragepost/core/table"
)

// Report is a flow that the record keeper must know before the instance may
// confirm a version.
type Report struct {
	Key      Key
	QueryArg Record
}

// Apply installs a view. It returns the flows of buckets that have just begun
// to move and whose beginning another instance might mistake for a new flow:
// those of which only the first packet was seen, and all UDP flows. The
// instance confirms the version once the keeper has answered them.
func (b *Balancer) Apply(v *View) []Report {
	old := b.view.Load()
	for _, r := range v.Routes {
		if was := old.byService[r.Service]; was != nil {
			r.fetchedVersion.Store(was.fetchedVersion.Load())
		}
	}
	b.view.Store(v)
	moving := v.routesMovingSince(old.Version)
	if len(moving) == 0 {
		return nil
	}
	var reports []Report
	b.flows.update(func(k Key, r trackedFlow) (trackedFlow, bool) {
		route := v.byServer[r.server]
		if !moving[route] {
			return r, true
		}
		bucket := route.Table.Bucket(uint64(k))
		if bucket.Stage != table.Preparing || bucket.Since <= old.Version {
			return r, true
		}
		// What a keeper was told before this move began, it may have dropped
		// when the bucket was closed.
		r.flags &^= flagReported
		if r.flags&(flagHalfOpen|flagUDP) != 0 {
			r.flags |= flagReported
			reports = append(reports, Report{Key: k, QueryArg: Record{
				Route: route.ID, Server: r.server, UDP: r.flags&flagUDP != 0}})
		}
		return r, true
	})
	slices.SortFunc(reports, func(a, b Report) int { return cmp.Compare(a.Key, b.Key) })
	return reports
}

// routesMovingSince returns the routes with buckets that began to move after a
// version.
func (v *View) routesMovingSince(version uint64) map[*Route]bool {
	out := map[*Route]bool{}
	for _, r := range v.Routes {
		if since, ok := r.Table.MaxSince(table.Preparing); ok && since > version {
			out[r] = true
		}
	}
	return out
}

// Fetch names exceptions that the instance lacks: those of a service's buckets
// in some shards, as of a version.
type Fetch struct {
	Service string
	Version uint64
	Shards  []int
}

// MissingFetches returns the fetches that let the instance decide alone again.
// shardOf maps a bucket number to its shard.
func (b *Balancer) MissingFetches(shardOf func(bucket int) int) []Fetch {
	v := b.view.Load()
	var out []Fetch
	for _, r := range v.Routes {
		if f, ok := r.missingFetch(v.Version, shardOf); ok {
			out = append(out, f)
		}
	}
	slices.SortFunc(out, func(a, b Fetch) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

func (r *Route) missingFetch(version uint64, shardOf func(int) int) (Fetch, bool) {
	f := Fetch{Service: r.Service, Version: version}
	seen := map[int]bool{}
	fetchedVersion := r.fetchedVersion.Load()
	for i, m := range r.Table.Moves {
		finalized := m.Stage == table.Finalizing || m.Stage == table.Stable
		if !finalized || m.Since <= fetchedVersion || seen[shardOf(i)] {
			continue
		}
		seen[shardOf(i)] = true
		f.Shards = append(f.Shards, shardOf(i))
	}
	return f, len(f.Shards) > 0
}

// Pin records exceptions that a keeper supplied.
func (b *Balancer) Pin(now int64, service string, records map[Key]model.ServerID) {
	route := b.view.Load().byService[service]
	if route == nil {
		return
	}
	for k, server := range records {
		s := b.flows.stripe(k)
		s.mu.Lock()
		r := trackedFlow{server: server, seen: toCoarseTime(now), flags: flagPinned | flagReported}
		b.flows.put(s, k, r)
		s.mu.Unlock()
	}
}

// MarkFetched marks the exceptions of a service as known through a version. The
// fetch must have covered all shards that Missing named.
func (b *Balancer) MarkFetched(service string, version uint64) {
	if r := b.view.Load().byService[service]; r != nil && version > r.fetchedVersion.Load() {
		r.fetchedVersion.Store(version)
	}
}

// FetchedVersion returns the version through which the exceptions of all
// services are known.
func (b *Balancer) FetchedVersion(shardOf func(int) int) uint64 {
	v := b.view.Load()
	through := v.Version
	for _, r := range v.Routes {
		if _, ok := r.missingFetch(v.Version, shardOf); ok {
			through = min(through, r.fetchedVersion.Load())
		}
	}
	return through
}

// RecordedFlows returns the instance's own knowledge of flows in the given shards that
// a record keeper may have recorded. It lets keepers rebuild their records
// after the loss of all replicas of a shard.
func (b *Balancer) RecordedFlows(shards map[int]bool) []shard.Record[Key, Record] {
	v := b.view.Load()
	var out []shard.Record[Key, Record]
	b.flows.forEach(func(k Key, r trackedFlow) {
		route := v.byServer[r.server]
		if route == nil || r.flags&flagReported == 0 || !shards[ShardOf(k)] {
			return
		}
		out = append(out, shard.Record[Key, Record]{Key: k, Value: Record{
			Route: route.ID, Server: r.server, UDP: r.flags&flagUDP != 0}})
	})
	return out
}
