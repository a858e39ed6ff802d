package gate

import (
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"boragepost/core/model"
	"boragepost/core/share"
)

// pool selects among the backend servers of one service. Its statistics cover
// only the requests of this gateway.
type pool struct {
	zone          string
	mu            sync.Mutex
	service       model.Service
	policy        share.Policy
	statsByServer map[model.ServerID]*serverStats
	active        []model.BackendServer
	// evacuated is set if active is empty because of evacuated zones.
	evacuated   bool
	retryBudget share.RetryBudget
	busyTime    share.BusyTime
}

// serverStats holds this gateway's statistics of one backend server.
type serverStats struct {
	inFlight            int
	latency             time.Duration // exponentially weighted moving average
	consecutiveFailures int
	ejectedUntil        time.Time
	addedAt             time.Time // when the backend server was added
}

const (
	// ejectionThreshold is the number of consecutive failures after which a
	// backend server is ejected for ejectionTime.
	ejectionThreshold = 3
	ejectionTime      = 2 * time.Second
	// latencySmoothing is the inverse weight of the latest response in the moving
	// average of the latency.
	latencySmoothing = 8
)

func newPool(zone string) *pool {
	return &pool{zone: zone, statsByServer: map[model.ServerID]*serverStats{}}
}

func (p *pool) apply(service Service) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.service = service.Service
	name := service.Sharing
	if name == "" {
		name = share.DefaultPolicy
	}
	if policy, err := share.Policies.Find(name); err == nil {
		p.policy = policy
	} else {
		p.policy, _ = share.Policies.Find(share.DefaultPolicy)
	}
	p.active = nil
	evacuated := false
	present := map[model.ServerID]bool{}
	for _, b := range service.Servers {
		present[b.ID] = true
		switch {
		case b.Phase != model.Active || !service.AllowsZone(b.Zone):
		case service.Evacuated[b.Zone]:
			evacuated = true
		default:
			p.active = append(p.active, b)
		}
		if p.statsByServer[b.ID] == nil {
			p.statsByServer[b.ID] = &serverStats{addedAt: time.Now()}
		}
	}
	p.evacuated = evacuated && len(p.active) == 0
	for id, stats := range p.statsByServer {
		if !present[id] && stats.inFlight == 0 {
			delete(p.statsByServer, id)
		}
	}
}

// isEvacuated reports whether all active backend servers are in evacuated zones.
func (p *pool) isEvacuated() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.evacuated
}

// classOf returns the class of a request path.
func (p *pool) classOf(path string) share.Class {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, prefix := range p.service.LongRoutes {
		if strings.HasPrefix(path, prefix) {
			return share.Long
		}
	}
	return share.Short
}

// acquire selects a backend server that is not in tried and counts a request in
// flight there. It returns false if there is none.
func (p *pool) acquire(class share.Class, tried map[model.ServerID]bool) (model.BackendServer, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	healthy := p.restrictToSubset(class, p.healthy(now, tried))
	if len(healthy) == 0 {
		return model.BackendServer{}, false
	}
	candidates := make([]share.Candidate, len(healthy))
	for i, b := range healthy {
		stats := p.statsByServer[b.ID]
		candidates[i] = share.Candidate{
			ID: b.ID, Slots: b.Slots, InFlight: stats.inFlight, Latency: stats.latency,
			SameZone: b.Zone == p.zone, Age: now.Sub(stats.addedAt),
		}
	}
	chosen := healthy[p.policy.Pick(candidates, rand.IntN)]
	p.statsByServer[chosen.ID].inFlight++
	return chosen, true
}

// healthy returns the untried backend servers that are not ejected. If more than
// half of the untried ones are ejected, it returns all of them, because the cause
// of the failures is then more likely elsewhere (panic mode).
func (p *pool) healthy(now time.Time, tried map[model.ServerID]bool) []model.BackendServer {
	var all, healthy []model.BackendServer
	for _, b := range p.active {
		if tried[b.ID] {
			continue
		}
		all = append(all, b)
		if now.After(p.statsByServer[b.ID].ejectedUntil) {
			healthy = append(healthy, b)
		}
	}
	if 2*len(healthy) < len(all) {
		return all
	}
	return healthy
}

// restrictToSubset restricts the candidates to the subset for a class. Short
// requests avoid the long subset as long as there is a free slot elsewhere, so
// that they don't queue behind long ones. Long requests leave their subset only
// if none of its backend servers can be tried.
func (p *pool) restrictToSubset(class share.Class, servers []model.BackendServer) []model.BackendServer {
	if p.busyTime.LongFraction() == 0 || len(p.active) < 2 {
		return servers
	}
	longSubset := share.LongSubset(p.service.Name, p.active, p.busyTime.LongFraction())
	var inSubset, outside []model.BackendServer
	freeSlot := false
	for _, b := range servers {
		if longSubset[b.ID] {
			inSubset = append(inSubset, b)
			continue
		}
		outside = append(outside, b)
		freeSlot = freeSlot || p.statsByServer[b.ID].inFlight < b.Slots
	}
	switch {
	case class == share.Long && len(inSubset) > 0:
		return inSubset
	case class == share.Short && freeSlot:
		return outside
	default:
		return servers
	}
}

// release ends a request at a backend server and records its duration and whether
// it failed.
func (p *pool) release(id model.ServerID, class share.Class, elapsed time.Duration, failed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.busyTime.Add(class, elapsed.Seconds())
	stats := p.statsByServer[id]
	if stats == nil {
		return
	}
	stats.inFlight--
	if failed {
		stats.consecutiveFailures++
		if stats.consecutiveFailures >= ejectionThreshold {
			stats.ejectedUntil = time.Now().Add(ejectionTime)
			stats.consecutiveFailures = 0
		}
		return
	}
	stats.consecutiveFailures = 0
	stats.latency += (elapsed - stats.latency) / latencySmoothing
}

// withdrawRetry withdraws one retry from the retry budget. It returns false if
// the budget is exhausted.
func (p *pool) withdrawRetry() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.retryBudget.TryWithdraw()
}

// depositRetry deposits the share of a new request into the retry budget.
func (p *pool) depositRetry() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retryBudget.Deposit()
}
