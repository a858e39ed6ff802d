package flow

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"boragepost/core/cold"
	"boragepost/core/config"
	"boragepost/core/load"
	"boragepost/core/place"
	"boragepost/core/roster"
)

// Cookie is a token that a network carries for its flows: a backend server
// returns to the caller the last cookie that it received on a flow, and the
// caller puts it into each later packet. A cookie names the backend server of
// the flow, so that any instance can forward any packet without flow state.
// The zero Cookie names none.
type Cookie uint32

// CookieOf returns the cookie of a backend server. It is a function of the
// identifier only, so all instances agree, even after all have restarted.
// Identifiers of up to 32 bits are their own cookies.
func CookieOf(id uint64) Cookie {
	if id>>32 == 0 {
		return Cookie(id)
	}
	c := Cookie(place.Mix(id, id>>32))
	if c == 0 {
		return 1
	}
	return c
}

// CookieHeader holds the packet fields that CookieBalancer uses.
type CookieHeader struct {
	Source, Dest netip.AddrPort
	Cookie       Cookie
	Start        bool   // an opening packet
	Retransmit   bool   // a retransmission of an opening packet
	Finish       bool   // the caller closes the flow
	Data         bool   // the packet carries request data
	Length       int    // bytes of request data
	Seq, Ack     uint32 // stream positions: from the caller, and acknowledged by it
	Bytes        int    // size of the packet, or 0 if unknown
}

// Key returns the flow key of the packet.
func (h CookieHeader) Key() Key {
	return Header{Source: h.Source, Dest: h.Dest, Protocol: TCP}.Key()
}

// CookieVerdict is the decision on one packet. Server and Target are set for
// Forward. Cookie is set for an opening packet and must be written into it.
// Avoided is the backend server that has not answered an earlier transmission of
// the opening packet, or 0. Cold is set if Server is cold and its service has a limit.
type CookieVerdict struct {
	Action Action
	Reason Reason
	Server uint64
	Target netip.AddrPort
	Cookie Cookie

	Avoided uint64
	Cold    bool
}

// The reasons for which a CookieBalancer holds or resets packets, besides
// NoServer.
const (
	NoConfig      Reason = "noConfig"      // no configuration has been received
	NoRoute       Reason = "noRoute"       // the configuration has no route for the address
	RouteDropped  Reason = "routeDropped"  // a configuration has removed the flow's route
	UnknownCookie Reason = "unknownCookie" // no known backend server has the cookie
	ServerGone    Reason = "serverGone"    // the flow's backend server has terminated
	ZoneEvacuated Reason = "zoneEvacuated" // all backend servers of the service are in evacuated zones
	ServersCold   Reason = "serversCold"   // all backend servers are cold and may get no more new flows
)

// goneGrace is how long packets are still forwarded to a backend server after it
// has deregistered, which it does shortly before it terminates.
const goneGrace = time.Second

// CookieBalancer forwards packets by cookie and assigns new flows by load. The
// zero value has no configuration and no backend servers. It is not safe for
// concurrent use.
type CookieBalancer struct {
	// Zone is the availability zone of the instance.
	Zone string
	// Load tracks the load of the backend servers as observed by the instance.
	Load load.Tracker
	// ColdBound is the limit on the opening packets to a cold backend server. It is in
	// force for services for which the configuration has a limit as well.
	ColdBound cold.Bound

	configured bool
	config     config.Configuration
	evacuated  config.Evacuations
	removed    map[netip.AddrPort]time.Duration // routes that were removed, and when
	roster     roster.Roster
	servers    map[uint64]*cookieServer
	// sharers lists the backend servers that share a cookie, its owner first.
	sharers     map[Cookie][]*cookieServer
	pools       map[string]*pool       // by service
	treatedCold map[string]treatedCold // by availability zone
	limiter     cold.Limiter
}

type cookieServer struct {
	roster.Server
	warmupEnds time.Duration
	goneAt     time.Duration
}

// Configure installs a configuration. It ignores one that is not newer than the
// current one and returns false.
func (b *CookieBalancer) Configure(now time.Duration, c config.Configuration) bool {
	if b.configured && c.Version <= b.config.Version {
		return false
	}
	if b.removed == nil {
		b.removed = map[netip.AddrPort]time.Duration{}
	}
	for _, r := range b.config.Routes {
		b.removed[r.Address] = now
	}
	for _, r := range c.Routes {
		delete(b.removed, r.Address)
	}
	b.configured, b.config = true, c
	return true
}

// SetEvacuations installs a set of evacuated zones, whose backend servers get no new
// flows, and returns the zones whose evacuation has ended. It ignores a set whose
// revision is not higher than the current one.
func (b *CookieBalancer) SetEvacuations(_ time.Duration, e config.Evacuations) (ended []string) {
	if e.Revision <= b.evacuated.Revision {
		return nil
	}
	ended = b.evacuated.Missing(e)
	b.evacuated = e
	return ended
}

// Evacuations returns the evacuated zones; revision 0 before the first set.
func (b *CookieBalancer) Evacuations() config.Evacuations { return b.evacuated }

// eligible reports whether a candidate may take a new flow.
func (b *CookieBalancer) eligible(now time.Duration, c *load.Candidate) bool {
	return !b.evacuated.Contains(c.Zone) && b.coldAllows(now, c)
}

// Config returns the current configuration, and false before the first one.
func (b *CookieBalancer) Config() (config.Configuration, bool) { return b.config, b.configured }

// UpdateServers merges records of backend servers, in any order and from any
// source, and returns those that changed. Records of backend servers that are
// gone are kept, so that their flows are reset instead of left to time out.
func (b *CookieBalancer) UpdateServers(now time.Duration, servers []roster.Server) (changed []roster.Server) {
	for _, s := range servers {
		c, _ := b.roster.Merge(now, s)
		changed = append(changed, c...)
	}
	for _, s := range changed {
		b.upsert(&cookieServer{Server: s, warmupEnds: b.roster.WarmUntil(s.ID), goneAt: now})
	}
	return changed
}

// Expire evicts backend servers that are gone and routes that were removed more
// than roster.GoneRetention ago, when none of their flows can be left.
func (b *CookieBalancer) Expire(now time.Duration) {
	b.limiter.Expire(now)
	maps.DeleteFunc(b.removed, func(_ netip.AddrPort, at time.Duration) bool { return now-at > roster.GoneRetention })
	if b.roster.Expire(now) == 0 {
		return
	}
	for id, s := range b.servers {
		if _, ok := b.roster.Get(id); !ok {
			b.remove(s)
			b.Load.ForgetStart(id)
		}
	}
}

// upsert adds a backend server or replaces its record. Of the backend servers
// that share a cookie, the one that started first owns it, and the others take
// no new flows until it is gone; compareCookiePriority makes all instances
// choose the same owner.
func (b *CookieBalancer) upsert(s *cookieServer) {
	if b.servers == nil {
		b.servers = map[uint64]*cookieServer{}
		b.sharers = map[Cookie][]*cookieServer{}
		b.pools = map[string]*pool{}
	}
	if old := b.servers[s.ID]; old != nil {
		b.remove(old)
	}
	b.servers[s.ID] = s
	b.Load.RecordStart(s.ID, s.Incarnation)
	cookie := CookieOf(s.ID)
	b.removeFromPool(cookie)
	b.sharers[cookie] = append(b.sharers[cookie], s)
	slices.SortFunc(b.sharers[cookie], compareCookiePriority)
	b.addToPool(cookie)
}

func (b *CookieBalancer) remove(s *cookieServer) {
	cookie := CookieOf(s.ID)
	b.removeFromPool(cookie)
	delete(b.servers, s.ID)
	b.sharers[cookie] = slices.DeleteFunc(b.sharers[cookie], func(o *cookieServer) bool { return o == s })
	if len(b.sharers[cookie]) == 0 {
		delete(b.sharers, cookie)
	}
	b.addToPool(cookie)
}

// addToPool adds the owner of a cookie to its service's pool if it is ready.
func (b *CookieBalancer) addToPool(cookie Cookie) {
	s := b.cookieOwner(cookie)
	if s == nil || s.Phase != roster.Ready {
		return
	}
	if b.pools[s.Service] == nil {
		b.pools[s.Service] = &pool{}
	}
	b.pools[s.Service].add(load.Candidate{ID: s.ID, Service: s.Service, Zone: s.Zone, Slots: s.Slots,
		Silent: s.Silent, WarmupEnds: s.warmupEnds})
}

// removeFromPool removes the owner of a cookie from its service's pool.
func (b *CookieBalancer) removeFromPool(cookie Cookie) {
	s := b.cookieOwner(cookie)
	if s == nil || b.pools[s.Service] == nil {
		return
	}
	b.pools[s.Service].remove(s.ID)
	if len(b.pools[s.Service].members) == 0 {
		delete(b.pools, s.Service)
	}
}

// cookieOwner returns the backend server that a cookie names, or nil.
func (b *CookieBalancer) cookieOwner(cookie Cookie) *cookieServer {
	if sharers := b.sharers[cookie]; len(sharers) > 0 {
		return sharers[0]
	}
	return nil
}

// candidates returns the backend servers of a service that take new flows.
func (b *CookieBalancer) candidates(service string) []load.Candidate {
	if p := b.pools[service]; p != nil {
		return p.members
	}
	return nil
}

// pool is the set of backend servers of a service that take new flows. The zero
// value is empty.
type pool struct {
	members  []load.Candidate
	position map[uint64]int // position by identifier
}

func (p *pool) add(c load.Candidate) {
	if p.position == nil {
		p.position = map[uint64]int{}
	}
	p.position[c.ID] = len(p.members)
	p.members = append(p.members, c)
}

func (p *pool) remove(id uint64) {
	i, ok := p.position[id]
	if !ok {
		return
	}
	last := len(p.members) - 1
	p.members[i] = p.members[last]
	p.position[p.members[i].ID] = i
	p.members = p.members[:last]
	delete(p.position, id)
}

// compareCookiePriority orders the backend servers that share a cookie, its owner
// first: those that are not gone before others, then by incarnation, then by
// identifier.
func compareCookiePriority(a, b *cookieServer) int {
	switch {
	case (a.Phase == roster.Gone) != (b.Phase == roster.Gone):
		if a.Phase == roster.Gone {
			return 1
		}
		return -1
	case a.Incarnation != b.Incarnation:
		if a.Incarnation < b.Incarnation {
			return -1
		}
		return 1
	case a.ID < b.ID:
		return -1
	case a.ID > b.ID:
		return 1
	default:
		return 0
	}
}

// Server returns the record of a backend server.
func (b *CookieBalancer) Server(id uint64) (roster.Server, bool) {
	s, ok := b.servers[id]
	if !ok {
		return roster.Server{}, false
	}
	return s.Server, true
}

// Servers returns the records of all backend servers as of now, including those that
// are gone.
func (b *CookieBalancer) Servers(now time.Duration) []roster.Server {
	return b.extendWarming(now, b.roster.Aged(now, b.roster.All()))
}

// ServerCount returns the number of backend servers known, including those that are gone.
func (b *CookieBalancer) ServerCount() int { return b.roster.Len() }

// Digest returns the digest of the records of all backend servers.
func (b *CookieBalancer) Digest() uint64 { return b.roster.Digest() }

// BucketDigests returns the digests of the records by bucket (roster.Differing).
func (b *CookieBalancer) BucketDigests() []uint64 { return b.roster.BucketDigests() }

// Differing returns the records as of now in the buckets with other digests than these.
func (b *CookieBalancer) Differing(now time.Duration, digests []uint64) []roster.Server {
	return b.extendWarming(now, b.roster.Aged(now, slices.Values(b.roster.Differing(digests))))
}

// Warming returns the records of the backend servers that are warming, as of now.
func (b *CookieBalancer) Warming(now time.Duration) []roster.Server {
	if len(b.treatedCold) == 0 {
		return b.roster.Warming(now)
	}
	return slices.DeleteFunc(b.Servers(now), func(s roster.Server) bool { return s.Warming == 0 })
}

// Count returns the number of backend servers in a phase.
func (b *CookieBalancer) Count(phase roster.Phase) int { return b.roster.Count(phase) }

// Ready reports whether new flows can be served: there is a configuration, and
// some service has a backend server that takes new flows.
func (b *CookieBalancer) Ready() bool { return b.configured && len(b.pools) > 0 }

// Decide returns the verdict on one packet: Forward, Reset or Hold. Hold means
// that the configuration or the record of a suitable backend server has not been
// received yet.
func (b *CookieBalancer) Decide(now time.Duration, h CookieHeader) CookieVerdict {
	key := uint64(h.Key())
	if h.Start {
		if reason := b.HoldReason(h); reason != "" {
			return CookieVerdict{Action: Hold, Reason: reason}
		}
		return b.placeFlow(now, h, key)
	}
	s := b.cookieOwner(h.Cookie)
	_, removed := b.removed[h.Dest]
	switch {
	case s == nil:
		return CookieVerdict{Action: Hold, Reason: UnknownCookie}
	case removed:
		return CookieVerdict{Action: Reset, Reason: RouteDropped, Server: s.ID}
	case s.Phase == roster.Gone && now-s.goneAt > goneGrace:
		return CookieVerdict{Action: Reset, Reason: ServerGone, Server: s.ID}
	}
	b.Load.Observe(now, key, s.ID, load.Packet{Route: h.Dest, Data: h.Data, Ack: h.Ack, Finish: h.Finish, Bytes: h.Bytes})
	return CookieVerdict{Action: Forward, Server: s.ID, Target: s.Address}
}

// HoldReason returns the reason for which Decide holds a packet, or "". Unlike Decide it
// changes nothing.
func (b *CookieBalancer) HoldReason(h CookieHeader) Reason {
	if !h.Start {
		if b.cookieOwner(h.Cookie) == nil {
			return UnknownCookie
		}
		return ""
	}
	if !b.configured {
		return NoConfig
	}
	route, ok := b.config.Route(h.Dest)
	if ok && len(b.candidates(chooseService(route.Split, uint64(h.Key())))) == 0 {
		return NoServer
	}
	return ""
}

// placeFlow assigns a new flow to a backend server. The opening packet must have no
// HoldReason; its cookie, which the caller chooses, is ignored.
func (b *CookieBalancer) placeFlow(now time.Duration, h CookieHeader, key uint64) CookieVerdict {
	route, ok := b.config.Route(h.Dest)
	if !ok {
		return CookieVerdict{Action: Reset, Reason: NoRoute}
	}
	avoid := b.Load.RecordRetransmit(now, key)
	candidates := b.candidates(chooseService(route.Split, key))
	if b.Load.Eligible == nil {
		b.Load.Eligible = b.eligible
	}
	i := b.Load.Pick(now, b.Zone, candidates, key, avoid)
	if i < 0 {
		return b.refuseFlow(h, candidates)
	}
	s := b.servers[candidates[i].ID]
	b.Load.Open(now, key, s.ID)
	isCold := b.isCold(now, &candidates[i])
	if isCold {
		b.limiter.Record(now, s.ID)
	}
	return CookieVerdict{Action: Forward, Server: s.ID, Target: s.Address, Cookie: CookieOf(s.ID), Avoided: avoid, Cold: isCold}
}

// allEvacuated reports whether there are candidates and all are in evacuated zones.
func (b *CookieBalancer) allEvacuated(candidates []load.Candidate) bool {
	return len(candidates) > 0 &&
		!slices.ContainsFunc(candidates, func(c load.Candidate) bool { return !b.evacuated.Contains(c.Zone) })
}

// refuseFlow returns the verdict on a new flow for which no backend server of its
// service is eligible. The flow is reset, because waiting helps nobody: the caller
// retries through another instance, or later. A retransmission is dropped: another
// instance may have forwarded the first transmission, and the flow may be open.
func (b *CookieBalancer) refuseFlow(h CookieHeader, candidates []load.Candidate) CookieVerdict {
	v := CookieVerdict{Action: Reset, Reason: ServersCold}
	if b.allEvacuated(candidates) {
		v.Reason = ZoneEvacuated
	}
	if h.Retransmit {
		v.Action = Drop
	}
	return v
}

// chooseService picks a service in proportion to the weights. The choice depends
// on the flow key and the weights only, so every instance makes the same one for
// each retransmission of an opening packet.
func chooseService(split []config.WeightedService, key uint64) string {
	total := uint64(0)
	for _, s := range split {
		total += boundedWeight(s)
	}
	if total == 0 {
		return ""
	}
	point := place.Mix(key, total) % total
	for _, s := range split {
		weight := boundedWeight(s)
		if point < weight {
			return s.Service
		}
		point -= weight
	}
	return ""
}

// boundedWeight returns a weight within the range that a configuration may contain now.
// Earlier versions accepted larger ones, whose sum wraps.
func boundedWeight(s config.WeightedService) uint64 {
	return uint64(max(0, min(s.Weight, config.MaxWeight)))
}
