package gate

import (
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"boragepost/core/model"
	"boragepost/core/share"
)

// pool is the backend servers of one service as this gateway sees them.
type pool struct {
	zone   string
	mu     sync.Mutex
	svc    model.Service
	policy share.Policy
	busy   map[model.ServerID]*usage
	list   []model.BackendServer
	budget share.RetryBudget
	work   share.BusyTime
}

// usage is what the gateway has observed of one backend server.
type usage struct {
	inFlight int
	latency  time.Duration
	failures int // in a row
	ejected  time.Time
	since    time.Time
}

const (
	// ejectAfter is the number of failures in a row that takes a backend server
	// out for ejectTime.
	ejectAfter = 3
	ejectTime  = 2 * time.Second
	// latencyWeight is the share of the newest answer in the smoothed latency,
	// as a divisor.
	latencyWeight = 8
)

func newPool(zone string) *pool {
	return &pool{zone: zone, busy: map[model.ServerID]*usage{}}
}

func (p *pool) apply(svc Service) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.svc = svc.Service
	name := svc.Sharing
	if name == "" {
		name = share.DefaultPolicy
	}
	if policy, err := share.Policies.Find(name); err == nil {
		p.policy = policy
	} else {
		p.policy, _ = share.Policies.Find(share.DefaultPolicy)
	}
	p.list = nil
	alive := map[model.ServerID]bool{}
	for _, b := range svc.Servers {
		alive[b.ID] = true
		if b.Phase == model.Active && svc.AllowsZone(b.Zone) {
			p.list = append(p.list, b)
		}
		if p.busy[b.ID] == nil {
			p.busy[b.ID] = &usage{since: time.Now()}
		}
	}
	for id, u := range p.busy {
		if !alive[id] && u.inFlight == 0 {
			delete(p.busy, id)
		}
	}
}

// classOf returns the class of work of a request path.
func (p *pool) classOf(path string) share.Class {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, prefix := range p.svc.LongRoutes {
		if strings.HasPrefix(path, prefix) {
			return share.Long
		}
	}
	return share.Short
}

// acquire picks a backend server that is not in tried and counts a request in
// flight there. It reports false when there is none.
func (p *pool) acquire(class share.Class, tried map[model.ServerID]bool) (model.BackendServer, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	healthy := p.laneOf(class, p.healthy(now, tried))
	if len(healthy) == 0 {
		return model.BackendServer{}, false
	}
	candidates := make([]share.Candidate, len(healthy))
	for i, b := range healthy {
		u := p.busy[b.ID]
		candidates[i] = share.Candidate{
			ID: b.ID, Slots: b.Slots, InFlight: u.inFlight, Latency: u.latency,
			SameZone: b.Zone == p.zone, Age: now.Sub(u.since),
		}
	}
	chosen := healthy[p.policy.Pick(candidates, rand.IntN)]
	p.busy[chosen.ID].inFlight++
	return chosen, true
}

// healthy returns the backend servers that may be tried. Ejected ones are used
// only when more than half of the service is ejected, because then the fault is
// more likely elsewhere.
func (p *pool) healthy(now time.Time, tried map[model.ServerID]bool) []model.BackendServer {
	var all, healthy []model.BackendServer
	for _, b := range p.list {
		if tried[b.ID] {
			continue
		}
		all = append(all, b)
		if now.After(p.busy[b.ID].ejected) {
			healthy = append(healthy, b)
		}
	}
	if 2*len(healthy) < len(all) {
		return all
	}
	return healthy
}

// laneOf narrows the choice to the lane of a class. Short work stays out of the
// long lane while it finds a free slot elsewhere, so that it does not wait behind
// long work; long work leaves its lane only when nothing of it can be tried.
func (p *pool) laneOf(class share.Class, servers []model.BackendServer) []model.BackendServer {
	if p.work.LongFraction() == 0 || len(p.list) < 2 {
		return servers
	}
	lane := share.LongSubset(p.svc.Name, p.list, p.work.LongFraction())
	var in, out []model.BackendServer
	free := false
	for _, b := range servers {
		if lane[b.ID] {
			in = append(in, b)
			continue
		}
		out = append(out, b)
		free = free || p.busy[b.ID].inFlight < b.Slots
	}
	switch {
	case class == share.Long && len(in) > 0:
		return in
	case class == share.Short && free:
		return out
	default:
		return servers
	}
}

// release ends a request at a backend server and records how it went.
func (p *pool) release(id model.ServerID, class share.Class, took time.Duration, failed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.work.Add(class, took.Seconds())
	u := p.busy[id]
	if u == nil {
		return
	}
	u.inFlight--
	if failed {
		u.failures++
		if u.failures >= ejectAfter {
			u.ejected = time.Now().Add(ejectTime)
			u.failures = 0
		}
		return
	}
	u.failures = 0
	u.latency += (took - u.latency) / latencyWeight
}

// mayRetry spends one unit of the retry budget.
func (p *pool) mayRetry() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget.TryWithdraw()
}

// started credits the retry budget for a new request.
func (p *pool) started() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget.Deposit()
}
