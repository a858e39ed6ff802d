package agent

import (
	"maps"
	"slices"
	"time"

	"boragepost/core/flow"
	"boragepost/core/model"
	"boragepost/core/shard"
)

// FetchRequest requests the pinned flows of a service in one shard from the
// shard primary.
type FetchRequest struct {
	Service string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
	Shard   int    `cbor:"3,keyasint"`
}

// FetchResponse is the response to a FetchRequest. Ready is false if the
// responder does not serve the shard at that version.
type FetchResponse struct {
	FetchRequest FetchRequest                `cbor:"1,keyasint"`
	Ready        bool                        `cbor:"2,keyasint"`
	Records      map[flow.Key]model.ServerID `cbor:"3,keyasint,omitempty"`
}

// fetchInterval is the time after which unanswered fetch requests are sent again.
const fetchInterval = time.Second

// pendingFetch is an incomplete fetch of a service's pinned flows.
type pendingFetch struct {
	version uint64
	missing map[int]bool // shards without a response
	sentAt  int64
}

// fetchMissing fetches the pinned flows that the instance lacks and retransmits
// unanswered requests.
func (a *Agent) fetchMissing() {
	for _, f := range a.balancer.MissingFetches(flow.ShardOfBucket) {
		pending := a.fetches[f.Service]
		if pending == nil {
			pending = &pendingFetch{version: f.Version, missing: map[int]bool{}, sentAt: a.now - nanos(fetchInterval)}
			for _, s := range f.Shards {
				pending.missing[s] = true
			}
			a.fetches[f.Service] = pending
		}
		if a.now-pending.sentAt < nanos(fetchInterval) {
			continue
		}
		pending.sentAt = a.now
		for _, s := range slices.Sorted(maps.Keys(pending.missing)) {
			a.sendFetch(FetchRequest{Service: f.Service, Version: pending.version, Shard: s})
		}
	}
}

func (a *Agent) sendFetch(req FetchRequest) {
	if replicas := a.store.Replicas(req.Shard); len(replicas) > 0 {
		a.sendTo(replicas[0], Message{FetchRequest: &req})
	}
}

func (a *Agent) onFetchRequest(from model.InstanceID, req FetchRequest) {
	if req.Shard < 0 || req.Shard >= shard.Shards {
		return
	}
	resp := FetchResponse{FetchRequest: req}
	records, serving := a.store.Records(req.Shard)
	if serving && a.version >= req.Version {
		resp.Ready = true
		resp.Records = a.policy.PinnedFlows(req.Service, records)
	}
	a.sendTo(from, Message{FetchResponse: &resp})
}

func (a *Agent) onFetchResponse(resp FetchResponse) {
	pending := a.fetches[resp.FetchRequest.Service]
	if pending == nil || pending.version != resp.FetchRequest.Version || !resp.Ready {
		return
	}
	a.balancer.Pin(a.now, resp.FetchRequest.Service, resp.Records)
	delete(pending.missing, resp.FetchRequest.Shard)
	if len(pending.missing) > 0 {
		return
	}
	delete(a.fetches, resp.FetchRequest.Service)
	a.balancer.MarkFetched(resp.FetchRequest.Service, pending.version)
}
