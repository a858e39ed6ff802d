package agent

import (
	"maps"
	"slices"
	"time"

	"boragepost/core/flow"
	"boragepost/core/model"
	"boragepost/core/shard"
)

// Fetch asks a record keeper for the exceptions of a service in one shard.
type Fetch struct {
	Service string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
	Shard   int    `cbor:"3,keyasint"`
}

// Fetched answers a Fetch. Ready is false when the receiver does not serve the
// shard at that version.
type Fetched struct {
	Fetch   Fetch                       `cbor:"1,keyasint"`
	Ready   bool                        `cbor:"2,keyasint"`
	Records map[flow.Key]model.ServerID `cbor:"3,keyasint,omitempty"`
}

// fetchInterval is the time after which an unanswered fetch is repeated.
const fetchInterval = time.Second

// fetch is a running fetch of a service's exceptions.
type fetch struct {
	version uint64
	missing map[int]bool // shards
	asked   int64
}

// fetchMissing starts and repeats fetches of exceptions that the instance
// lacks.
func (a *Agent) fetchMissing() {
	for _, f := range a.balancer.MissingFetches(flow.ShardOfBucket) {
		run := a.fetches[f.Service]
		if run == nil {
			run = &fetch{version: f.Version, missing: map[int]bool{}, asked: a.now - nanos(fetchInterval)}
			for _, s := range f.Shards {
				run.missing[s] = true
			}
			a.fetches[f.Service] = run
		}
		if a.now-run.asked < nanos(fetchInterval) {
			continue
		}
		run.asked = a.now
		for _, s := range slices.Sorted(maps.Keys(run.missing)) {
			a.askFetch(Fetch{Service: f.Service, Version: run.version, Shard: s})
		}
	}
}

func (a *Agent) askFetch(f Fetch) {
	if replicas := a.store.Replicas(f.Shard); len(replicas) > 0 {
		a.sendTo(replicas[0], Message{Fetch: &f})
	}
}

func (a *Agent) onFetch(from model.InstanceID, f Fetch) {
	if f.Shard < 0 || f.Shard >= shard.Shards {
		return
	}
	reply := Fetched{Fetch: f}
	records, serving := a.store.Records(f.Shard)
	if serving && a.version >= f.Version {
		reply.Ready = true
		reply.Records = a.keeper.PinnedFlows(f.Service, records)
	}
	a.sendTo(from, Message{Fetched: &reply})
}

func (a *Agent) onFetched(f Fetched) {
	run := a.fetches[f.Fetch.Service]
	if run == nil || run.version != f.Fetch.Version || !f.Ready {
		return
	}
	a.balancer.Pin(a.now, f.Fetch.Service, f.Records)
	delete(run.missing, f.Fetch.Shard)
	if len(run.missing) > 0 {
		return
	}
	delete(a.fetches, f.Fetch.Service)
	a.balancer.MarkFetched(f.Fetch.Service, run.version)
}
