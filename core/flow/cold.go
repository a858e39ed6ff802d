package flow

import (
	"time"

	"boragepost/core/cold"
	"boragepost/core/config"
	"boragepost/core/load"
	"boragepost/core/roster"
)

// coldAllows reports whether the limit on cold backend servers, if there is one, allows
// a new flow to a backend server.
func (b *CookieBalancer) coldAllows(now time.Duration, c *load.Candidate) bool {
	if !b.isCold(now, c) {
		return true
	}
	limit, _ := b.coldLimit(c.Service)
	return b.limiter.Allows(now, c.ID, b.servers[c.ID].Incarnation, b.ColdBound.PerSecond(limit.PerSecond))
}

// isCold reports whether a backend server is cold and its service has a limit.
func (b *CookieBalancer) isCold(now time.Duration, c *load.Candidate) bool {
	limit, ok := b.coldLimit(c.Service)
	if !ok {
		return false
	}
	if end := b.roster.WarmUntil(c.ID); end > 0 && now < end+roster.RiseTolerance {
		return true // a rise below the tolerance is not propagated
	}
	t, ok := b.treatedCold[c.Zone]
	return ok && now < t.at+limit.Start
}

// coldLimit returns the limit of a service, and false if none is in force.
func (b *CookieBalancer) coldLimit(service string) (config.ColdLimit, bool) {
	if !b.ColdBound.Set {
		return config.ColdLimit{}, false
	}
	return b.config.ColdLimit(service)
}

// treatedCold is the latest call of TreatAsCold for an availability zone.
type treatedCold struct {
	at       time.Duration
	revision uint64 // of the evacuated zones
}

// TreatAsCold makes every backend server in an availability zone whose service has a
// limit count as cold for ColdLimit.Start from now, whatever it announces. It is called
// when an evacuation of the zone ends: the backend servers may have become cold without
// having announced it yet. Grants for earlier cold periods there become void.
func (b *CookieBalancer) TreatAsCold(now time.Duration, zone string) {
	if b.treatedCold == nil {
		b.treatedCold = map[string]treatedCold{}
	}
	b.treatedCold[zone] = treatedCold{at: now, revision: b.Evacuations().Revision}
	b.limiter.Void(func(id uint64) bool { return b.servers[id] != nil && b.servers[id].Zone == zone })
}

// extendWarming returns records with the remaining times that follow from TreatAsCold,
// for other instances.
func (b *CookieBalancer) extendWarming(now time.Duration, servers []roster.Server) []roster.Server {
	for i, s := range servers {
		t, treated := b.treatedCold[s.Zone]
		limit, ok := b.config.ColdLimit(s.Service)
		if remaining := t.at + limit.Start - now; ok && treated && remaining > 0 {
			servers[i].Warming = max(s.Warming, remaining)
			servers[i].WarmingRevision = max(s.WarmingRevision, t.revision)
		}
	}
	return servers
}

// AcceptGrant adds a grant for this instance.
func (b *CookieBalancer) AcceptGrant(now time.Duration, g cold.Grant) { b.limiter.Accept(now, g) }

// HeldGrants returns the number of grants that have not ended.
func (b *CookieBalancer) HeldGrants(now time.Duration) int { return b.limiter.Held(now) }

// RecordSent records when the packet of a verdict with Cold set has left. The process may
// have been paused since the decision.
func (b *CookieBalancer) RecordSent(now time.Duration, v CookieVerdict) {
	b.limiter.Delay(now, v.Server)
}

// ColdServers returns how many backend servers of a flow's service are cold now, how many
// opening packets each of them may get in a second from the instance that has its grant,
// and the service.
func (b *CookieBalancer) ColdServers(now time.Duration, h CookieHeader) (service string, count, perSecond int) {
	route, _ := b.config.Route(h.Dest)
	service = chooseService(route.Split, uint64(h.Key()))
	for _, c := range b.candidates(service) {
		if b.isCold(now, &c) {
			count++
		}
	}
	limit, _ := b.coldLimit(service)
	return service, count, b.ColdBound.PerSecond(limit.PerSecond)
}
