package entry

import (
	"time"

	"boragepost/core/flow"
	"boragepost/core/model"
	"boragepost/io/proto"
)

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
func (e *Entry) fetchMissing() {
	now := e.now()
	for _, f := range e.balancer.Missing(flow.ShardOfBucket) {
		run := e.fetches[f.Service]
		if run == nil {
			run = &fetch{version: f.Version, missing: map[int]bool{}, asked: now - int64(fetchInterval)}
			for _, s := range f.Shards {
				run.missing[s] = true
			}
			e.fetches[f.Service] = run
		}
		if now-run.asked < int64(fetchInterval) {
			continue
		}
		run.asked = now
		for s := range run.missing {
			e.askFetch(proto.Fetch{Service: f.Service, Version: run.version, Shard: s})
		}
	}
}

func (e *Entry) askFetch(f proto.Fetch) {
	if replicas := e.flows.Replicas(f.Shard); len(replicas) > 0 {
		e.sendPeer(replicas[0], proto.ToPeer{Fetch: &f})
	}
}

func (e *Entry) onFetch(from model.InstanceID, f proto.Fetch) {
	reply := proto.Fetched{Fetch: f}
	if f.Shard < 0 || f.Shard >= shards {
		return
	}
	records, serving := e.flows.Records(f.Shard)
	if serving && e.state.Index() >= f.Version {
		reply.Ready = true
		reply.Records = e.keeper.Exceptions(f.Service, records)
	}
	e.sendPeer(from, proto.ToPeer{Fetched: &reply})
}

func (e *Entry) onFetched(f proto.Fetched) {
	run := e.fetches[f.Fetch.Service]
	if run == nil || run.version != f.Fetch.Version || !f.Ready {
		return
	}
	e.balancer.Pin(e.now(), f.Fetch.Service, f.Records)
	delete(run.missing, f.Fetch.Shard)
	if len(run.missing) > 0 {
		return
	}
	delete(e.fetches, f.Fetch.Service)
	e.balancer.Fetched(f.Fetch.Service, run.version)
}
