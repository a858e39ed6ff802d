package flow

import (
	"cmp"
	"slices"

	"boragepost/core/model"
	"boragepost/core/shard"
	"boragepost/core/table"
)

// Report is a flow that the shard primary must record before the instance may
// confirm that it is prepared for a version.
type Report struct {
	Key      Key
	QueryArg Record
}

// Apply installs a view. It returns the flows, in buckets that have just begun
// to move, that the shard primary could mistake for new ones when their next
// packet reaches another instance: half-open flows, whose opening packet may be
// repeated, and all UDP flows. The instance confirms the version once the shard
// primaries have recorded them.
func (b *Balancer) Apply(v *View) []Report {
	old := b.view.Load()
	for _, r := range v.Routes {
		if previous := old.byService[r.Service]; previous != nil {
			r.fetchedVersion.Store(previous.fetchedVersion.Load())
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
		// The shard primary may have deleted what was reported before this
		// move, because the bucket was stable in between.
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

// routesMovingSince returns the routes that have buckets whose move began after
// a version and is still being prepared.
func (v *View) routesMovingSince(version uint64) map[*Route]bool {
	out := map[*Route]bool{}
	for _, r := range v.Routes {
		if since, ok := r.Table.MaxSince(table.Preparing); ok && since > version {
			out[r] = true
		}
	}
	return out
}

// Fetch describes pinned flows that the instance has to fetch: those of one
// service in the given shards, as of a version.
type Fetch struct {
	Service string
	Version uint64
	Shards  []int
}

// MissingFetches returns the fetches that the instance must complete before it
// can decide without queries on flows in buckets that have been migrated. shardOf
// maps a bucket number to its shard.
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
		migrated := m.Stage == table.Finalizing || m.Stage == table.Stable
		if !migrated || m.Since <= fetchedVersion || seen[shardOf(i)] {
			continue
		}
		seen[shardOf(i)] = true
		f.Shards = append(f.Shards, shardOf(i))
	}
	return f, len(f.Shards) > 0
}

// Pin tracks pinned flows that a shard primary has returned.
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

// MarkFetched marks the pinned flows of a service as fetched through a version.
// The fetch must have covered all shards that MissingFetches returned.
func (b *Balancer) MarkFetched(service string, version uint64) {
	if r := b.view.Load().byService[service]; r != nil && version > r.fetchedVersion.Load() {
		r.fetchedVersion.Store(version)
	}
}

// FetchedVersion returns the version through which the pinned flows of all
// services have been fetched.
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

// RecordedFlows returns the tracked flows in the given shards that a shard
// primary may have recorded. They let new replicas restore the records after
// the loss of all replicas of a shard.
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
