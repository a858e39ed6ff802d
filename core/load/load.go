// Package load estimates the requests in flight at each backend server from the
// callers' packets, and picks a backend server for a new flow. An instance sees
// only the packets that callers send, and only its own share of them; responses go
// to callers directly (direct server return).
//
// A flow occupies a slot of its backend server from its opening packet, and from
// each later request, until the caller acknowledges response data. A caller that
// retransmits its opening packet has had no response: after two such retransmissions
// in a row the backend server is avoided for some time, or until it responds to
// another flow.
//
// A request counts as failed if its response is far shorter than usual on its
// route, or takes far longer to begin. One instance sees too few requests of each
// backend server to decide by itself; OutlierDetector decides from the reports of
// all instances which backend servers are ejected.
//
// # Usage
//
//	t.Open(now, key, server)                        // an opening packet was placed
//	t.Observe(now, key, load.Packet{...})           // every later packet
//	i := t.Pick(now, zone, candidates, key, avoid)  // choose for a new flow
//	t.Expire(now, idleTimeout)                      // about once a second
//	t.DetectStuckRequests(now)                      // about every 100 ms
//
// The instances report failed requests to a shared OutlierDetector:
//
//	ejections := detector.Report(now, servers, t.TakeFailures())
//	t.Eject(now, ejection)
//
// A Tracker is not safe for concurrent use. Times are readings of one monotonic
// clock.
package load

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"boragepost/core/place"
	"boragepost/core/spill"
)

const (
	// openingTimeout is how long an opening packet alone counts as a request: a
	// caller gives up an attempt that has had no response within it.
	openingTimeout = 1400 * time.Millisecond
	// requestTimeout is how long a request without a response occupies a slot. It
	// is above the longest expected service time including queueing.
	requestTimeout = 3 * time.Second
	// minRetransmit is the time after an opening packet within which a copy of it says
	// nothing about its zone. Callers wait for 200 ms; after a pause of the process, packets
	// and their copies are read at once.
	minRetransmit = 100 * time.Millisecond
	// suspectThreshold is the number of consecutive opening packets without a
	// response after which a backend server is avoided. Single lost packets do not
	// reach it.
	suspectThreshold = 2
	// minAvoidance is how long a backend server is avoided before it is tried
	// again; it doubles up to maxAvoidance while opening packets get no response.
	minAvoidance = 500 * time.Millisecond
	maxAvoidance = 8 * time.Second

	// maxCompared bounds the candidates that Pick compares: the least loaded of 256
	// is as good as the least loaded of all, and the cost of Pick does not grow
	// with the service.
	maxCompared = 256

	// Costs are in units of a backend server's full load, one request in flight in
	// each slot. Package spill adds the cost of another availability zone.
	//
	// warmupCost halves the share of a backend server that is warming up.
	warmupCost = 0.5
	// silentCost and suspectCost rank a backend server behind all others, but do
	// not exclude it: false signals must not leave a service without backend
	// servers.
	silentCost  = 100
	suspectCost = 50
	// ejectedCost lets about three more requests per slot queue at the other backend
	// servers before an ejected one is picked: waiting for three service times is
	// better than an error. It is no higher, so that the remaining backend servers
	// are not overloaded.
	ejectedCost = 3
)

// Candidate is a backend server that may take a flow.
type Candidate struct {
	ID      uint64
	Service string
	Zone    string
	Slots   int
	// Silent is set if its announcements have stopped.
	Silent bool
	// WarmupEnds is the time until which it is slow after its start.
	WarmupEnds time.Duration
}

// Packet holds the properties of a packet after the opening packet of its flow.
type Packet struct {
	Route  netip.AddrPort // of the flow
	Data   bool           // carries request data
	Ack    uint32         // acknowledgement number: response data that the caller has received
	Finish bool           // the caller ends the flow
	Bytes  int            // size of the packet, for the price of traffic between zones
}

// Tracker tracks the load that one instance observes. The zero value is ready to
// use.
type Tracker struct {
	// OnResponse, if set, is called with the latency of each request, the time to the
	// first bytes of its response.
	OnResponse func(latency time.Duration)
	// Eligible, if set, reports whether a candidate may take a new flow. Pick does
	// not return others.
	Eligible func(now time.Duration, c *Candidate) bool

	// FixedCrossing makes new flows leave their availability zone at the fixed cost
	// spill.DefaultCrossing. Waits and speeds are not learned then.
	FixedCrossing bool
	// ZonePrice is how much waiting is accepted to save one kilobyte between
	// availability zones. At 0 only time counts.
	ZonePrice time.Duration

	home    string // availability zone of the instance
	spills  map[string]*service
	options []spill.Option // reused by Pick
	indexes []int          // reused by Pick: candidate of each option
	speeds  map[uint64]*slowness
	servers map[uint64]*server
	flows   map[uint64]*flow
	routes  map[netip.AddrPort]*routeStats
	// failures counts short responses and stuck requests by backend server, not yet
	// returned by TakeFailures.
	failures map[uint64]int
	// starts holds the incarnations of the known backend servers.
	starts    map[uint64]uint64
	scannedAt time.Duration // time of the latest DetectStuckRequests
	resumedAt time.Duration // end of the latest pause that it found
	// arrivals counts the flows that began at other instances, and reroutedAt is when
	// they were last so many that the network has distributed the flows anew.
	arrivals   decayingSum
	reroutedAt time.Duration
}

type server struct {
	id           uint64
	service      *service // nil until it is picked
	zone         string
	inFlight     int
	flows        int
	unanswered   int           // consecutive opening packets without a response
	suspectUntil time.Duration // avoided until then for missing responses
	avoidance    time.Duration // length of the latest avoidance
	ejectedUntil time.Duration // ejected until then for failed requests
}

type flowState uint8

const (
	opening          flowState = iota // only the opening packet has been observed
	awaitingResponse                  // a request awaits its response
	idle
)

type flow struct {
	server     uint64
	state      flowState
	ack        uint32
	requestAck uint32        // ack at the start of the latest request
	since      time.Duration // when the state began
	lastSeen   time.Duration
	route      netip.AddrPort
	stuck      bool          // the request is counted as stuck
	opened     time.Duration // start of the first request; 0 after its response
	// latency is that of a response of which too little has been acknowledged to tell
	// whether it is an error, or 0.
	latency time.Duration
}

// Open records that a flow's opening packet was sent to a backend server.
func (t *Tracker) Open(now time.Duration, key, id uint64) {
	if t.flows == nil {
		t.flows = map[uint64]*flow{}
	}
	if old := t.flows[key]; old != nil {
		t.remove(key, old)
	}
	s := t.server(id)
	s.flows++
	s.inFlight++
	t.flows[key] = &flow{server: id, state: opening, since: now, lastSeen: now, opened: now}
}

// RecordRetransmit returns the backend server that received an earlier copy of the
// flow's opening packet, and records that it has not responded. It returns 0 for a
// new flow.
func (t *Tracker) RecordRetransmit(now time.Duration, key uint64) uint64 {
	f := t.flows[key]
	if f == nil || f.state != opening {
		return 0
	}
	s := t.server(f.server)
	s.unanswered++
	if s.service != nil && now-f.since >= minRetransmit {
		s.service.spill.Unanswered(now, s.zone)
	}
	if s.unanswered >= suspectThreshold && now >= s.suspectUntil {
		s.avoidance = min(max(2*s.avoidance, minAvoidance), maxAvoidance)
		s.suspectUntil = now + s.avoidance
	}
	return f.server
}

// Observe records a packet after the opening packet of a flow and the backend server
// that it is sent to.
func (t *Tracker) Observe(now time.Duration, key, id uint64, p Packet) {
	f := t.flows[key]
	if p.Finish {
		if f != nil {
			t.finish(now, key, f, p)
		}
		return
	}
	if f == nil || f.server != id {
		if !p.Data {
			return
		}
		if f == nil {
			t.recordArrival(now)
		}
		t.Open(now, key, id)
		f = t.flows[key]
	}
	f.lastSeen = now
	t.addBytes(now, id, p.Bytes)
	switch {
	case f.state == opening:
		t.recordResponse(f)
		f.state, f.ack, f.requestAck, f.since = awaitingResponse, p.Ack, p.Ack, now
	case f.state == awaitingResponse && p.Ack != f.ack:
		t.release(f)
		t.observeLatency(now, now-f.since, p.Route)
		f.latency = t.requestLatency(now, f)
		t.observeWait(now, f, p)
		f.since = now
	}
	if f.state == idle && p.Data {
		t.observeSize(now, f, p)
		f.latency, f.opened = 0, 0 // also if the response was short or missing
		t.server(id).inFlight++
		f.state, f.requestAck, f.since, f.stuck = awaitingResponse, p.Ack, now, false
	}
	f.ack, f.route = p.Ack, p.Route
}

// finish removes a flow that its caller has closed.
func (t *Tracker) finish(now time.Duration, key uint64, f *flow, p Packet) {
	t.recordResponse(f)
	if f.state == awaitingResponse && p.Ack != f.ack {
		f.latency = t.requestLatency(now, f)
	}
	if f.state != opening {
		t.observeSize(now, f, p)
	}
	t.remove(key, f)
}

// Pick returns the index of the candidate for a new flow, or -1 if no candidate is
// eligible: the one with the lowest cost in the zone that spill.Service chooses. The
// flow's key breaks ties, so that instances with the same view choose alike. avoid is a
// backend server that has just failed the flow, or 0.
func (t *Tracker) Pick(now time.Duration, zone string, candidates []Candidate, key, avoid uint64) int {
	if len(candidates) == 0 {
		return -1
	}
	t.home = zone
	t.options, t.indexes = t.options[:0], t.indexes[:0]
	n := len(candidates)
	first, stride := uint64(0), uint64(1)
	if n > maxCompared {
		first, stride = key%uint64(n), scatter(n)
	}
	var sv *service
	if !t.FixedCrossing {
		sv = t.service(candidates[0].Service)
	}
	o := -1 // option of the latest candidate
	// Candidates that are not eligible do not count as compared: the first maxCompared
	// may all be in an evacuated zone.
	for step, compared := 0, 0; step < n && compared < maxCompared; step++ {
		i := int((first + uint64(step)*stride) % uint64(n))
		c := &candidates[i]
		if t.Eligible != nil && !t.Eligible(now, c) {
			continue
		}
		compared++
		speed := t.speed(now, c.ID, sv)
		cost := t.cost(now, c, speed)
		if c.ID == avoid {
			cost += suspectCost
		}
		rank := weightedRank(place.Mix(key, c.ID), speed)
		o = t.addOption(o, i, c, cost, rank)
	}
	if t.FixedCrossing {
		return t.pickAtFixedCost(zone)
	}
	sv.pickedAt = now
	sv.spill.Price = sv.price(now, t.ZonePrice)
	o = sv.spill.Choose(now, zone, t.options, key)
	if o < 0 {
		return -1
	}
	c := &candidates[t.indexes[o]]
	s := t.server(c.ID)
	s.service, s.zone = sv, c.Zone
	return t.indexes[o]
}

// scatter returns the distance of the candidates that are compared one after the other, of
// n that are more than maxCompared. The candidates of a zone may follow each other; with a
// distance of about the golden ratio, those compared are spread evenly over all, and without
// a common divisor all are reached.
func scatter(n int) uint64 {
	d := n * 618 / 1000
	for gcd(d, n) != 1 {
		d++
	}
	return uint64(d)
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// addOption adds the candidate with an index to the option of its zone, which is probably
// the option last, and returns the position of that option.
func (t *Tracker) addOption(last, index int, c *Candidate, cost float64, rank uint64) int {
	o := last
	if o < 0 || t.options[o].Zone != c.Zone {
		o = slices.IndexFunc(t.options, func(o spill.Option) bool { return o.Zone == c.Zone })
	}
	if o < 0 {
		o = len(t.options)
		t.options = append(t.options, spill.Option{Zone: c.Zone, Cost: cost, Rank: rank})
		t.indexes = append(t.indexes, index)
	}
	best := &t.options[o]
	best.Slots += max(c.Slots, 1)
	if cost < best.Cost || cost == best.Cost && rank > best.Rank {
		best.Cost, best.Rank, t.indexes[o] = cost, rank, index
	}
	return o
}

func (t *Tracker) cost(now time.Duration, c *Candidate, speed float64) float64 {
	slots := float64(max(c.Slots, 1))
	cost := 1 / slots
	if s := t.servers[c.ID]; s != nil {
		cost = (float64(s.inFlight)/speed + 1) / slots
		if now < s.suspectUntil {
			cost += suspectCost
		}
		if now < s.ejectedUntil {
			cost += ejectedCost
		}
	}
	if now < c.WarmupEnds {
		cost += warmupCost
	}
	if c.Silent {
		cost += silentCost
	}
	return cost
}

// InFlight returns the estimated number of requests in flight at a backend server.
func (t *Tracker) InFlight(id uint64) int {
	if s := t.servers[id]; s != nil {
		return s.inFlight
	}
	return 0
}

// Flows returns the number of tracked flows.
func (t *Tracker) Flows() int { return len(t.flows) }

// Expire removes flows that have been idle for idleTimeout or whose opening has timed
// out, frees the slots of requests that have timed out, and drops unused routes and
// backend servers.
func (t *Tracker) Expire(now, idleTimeout time.Duration) {
	for key, f := range t.flows {
		switch {
		case f.state == opening && now-f.since > openingTimeout, now-f.lastSeen > idleTimeout:
			t.remove(key, f)
		case f.state == awaitingResponse && now-f.since > requestTimeout:
			t.release(f)
		}
	}
	maps.DeleteFunc(t.routes, func(_ netip.AddrPort, r *routeStats) bool { return now-r.lastSeen > routeRetention })
	maps.DeleteFunc(t.spills, func(_ string, s *service) bool { return now-s.pickedAt > routeRetention })
	maps.DeleteFunc(t.speeds, func(_ uint64, s *slowness) bool { return now-s.at > routeRetention })
	for id, s := range t.servers {
		if s.flows == 0 && s.unanswered == 0 && now >= s.ejectedUntil {
			delete(t.servers, id)
		}
	}
}

func (t *Tracker) server(id uint64) *server {
	s := t.servers[id]
	if s == nil {
		if t.servers == nil {
			t.servers = map[uint64]*server{}
		}
		s = &server{id: id}
		t.servers[id] = s
	}
	return s
}

// recordResponse records that the flow's backend server has responded and ends its
// avoidance.
func (t *Tracker) recordResponse(f *flow) {
	s := t.server(f.server)
	s.unanswered, s.suspectUntil, s.avoidance = 0, 0, 0
	if s.service != nil {
		s.service.spill.Reachable(s.zone)
	}
}

// release frees the slot that a flow occupies.
func (t *Tracker) release(f *flow) {
	t.server(f.server).inFlight--
	f.state = idle
}

func (t *Tracker) remove(key uint64, f *flow) {
	if f.state != idle {
		t.release(f)
	}
	t.server(f.server).flows--
	delete(t.flows, key)
}
