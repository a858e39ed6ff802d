// Package load estimates how busy each backend server is from the callers'
// packets, and picks one for a new flow. An instance sees only the packets that
// callers send, and only its own share of them; answers go to callers directly.
//
// A flow occupies a slot of its backend server from its opening packet, and from
// each request on, until the caller acknowledges answer data. A caller that
// repeats its opening packet has had no answer: the backend server that got it
// is avoided until another flow of it is answered.
//
// A request has failed, as far as an instance can tell, when its answer is far
// shorter than usual on its route, or does not begin for far longer. Each instance sees
// too little of each backend server to judge by; Outliers decides from what all
// instances report which backend servers are avoided.
//
// # Usage
//
//	t.Open(now, key, server)                        // placed an opening packet
//	t.Observe(now, key, load.Packet{...})           // every later packet
//	i := t.Pick(now, zone, candidates, key, avoid)  // choose for a new flow
//	t.Expire(now)                                   // about once a second
//
// The instances share what they see of errors:
//
//	ejections := outliers.Report(now, servers, t.TakeFailures())
//	t.Eject(now, ejection)
//
// A Tracker belongs to one goroutine. Times are readings of one monotonic clock.
package load

import (
	"maps"
	"net/netip"
	"time"

	"boragepost/core/place"
)

const (
	// reservation is how long an opening packet alone counts as a request: a
	// caller gives up an attempt that was not answered within it.
	reservation = 1400 * time.Millisecond
	// maxBusy is how long an unanswered request occupies a slot. It is above the
	// longest work that is expected, with its queueing.
	maxBusy = 3 * time.Second
	// suspectAfter is the number of unanswered opening packets in a row, beyond
	// what single lost packets cause, after which a backend server is avoided.
	suspectAfter = 2
	// suspicion is how long a backend server is avoided before it is tried
	// again; it doubles up to maxSuspicion while opening packets go unanswered.
	suspicion    = 500 * time.Millisecond
	maxSuspicion = 8 * time.Second

	// maxCompared bounds the choice: among 256 the least busy is as good as among
	// all, and the cost of a choice stops growing with the service.
	maxCompared = 256

	// Costs are in units of a backend server's full load.
	//
	// crossZoneCost makes a flow leave its availability zone once every backend
	// server there has a request in each slot.
	crossZoneCost = 0.6
	// warmingCost halves the share of a backend server that is still slow.
	warmingCost = 0.5
	// silentCost and suspectCost put a backend server behind all others, but do
	// not exclude it: a wrong signal must not empty a service.
	silentCost  = 100
	suspectCost = 50
	// ejectedCost makes a caller wait for three rounds of work rather than get an
	// error. It is no more than that, so that what is left is not overloaded.
	ejectedCost = 3
)

// Candidate is a backend server that may take a flow.
type Candidate struct {
	ID    uint64
	Zone  string
	Slots int
	// Silent says that its announcements have stopped.
	Silent bool
	// WarmupEnds is when it stops being slow after its start.
	WarmupEnds time.Duration
}

// Packet is what a later packet of a flow tells.
type Packet struct {
	Route  netip.AddrPort // of the flow
	Data   bool           // it carries request data
	Ack    uint32         // the answer data that the caller has
	Finish bool           // the caller ends the flow
}

// Tracker is the load as one instance sees it. The zero value works.
type Tracker struct {
	// OnAnswer, if set, is told how long each request took.
	OnAnswer func(took time.Duration)

	servers map[uint64]*server
	flows   map[uint64]*record
	routes  map[netip.AddrPort]*routeAnswers
	// failures counts short answers and stuck requests by backend server that others
	// were not yet told of.
	failures  map[uint64]int
	scannedAt time.Duration // when stuck requests were last looked for
}

type server struct {
	id        uint64
	busy      int
	flows     int
	missed    int           // opening packets without an answer, in a row
	suspectTo time.Duration // avoided until then
	penalty   time.Duration // length of the latest suspicion
	ejectedTo time.Duration // avoided until then for requests that it failed
}

type state uint8

const (
	opening state = iota // only the opening packet was seen
	busy                 // a request is unanswered
	idle
)

type record struct {
	server uint64
	state  state
	ack    uint32
	base   uint32        // ack when the latest request began
	since  time.Duration // when the state began
	seen   time.Duration
	route  netip.AddrPort
	stuck  bool // the request was noted as stuck
}

// Open notes that a flow's opening packet went to a backend server.
func (t *Tracker) Open(now time.Duration, key, id uint64) {
	if t.flows == nil {
		t.flows = map[uint64]*record{}
	}
	if old := t.flows[key]; old != nil {
		t.end(key, old)
	}
	s := t.server(id)
	s.flows++
	s.busy++
	t.flows[key] = &record{server: id, state: opening, since: now, seen: now}
}

// RecordRetransmit returns the backend server that got an earlier copy of the flow's
// opening packet, and notes that it has not answered. It returns 0 for a flow
// that is new.
func (t *Tracker) RecordRetransmit(now time.Duration, key uint64) uint64 {
	r := t.flows[key]
	if r == nil || r.state != opening {
		return 0
	}
	s := t.server(r.server)
	s.missed++
	if s.missed >= suspectAfter && now >= s.suspectTo {
		s.penalty = min(max(2*s.penalty, suspicion), maxSuspicion)
		s.suspectTo = now + s.penalty
	}
	return r.server
}

// Observe notes a later packet of a flow that goes to a backend server.
func (t *Tracker) Observe(now time.Duration, key, id uint64, p Packet) {
	r := t.flows[key]
	if p.Finish {
		if r != nil {
			t.finish(now, key, r, p)
		}
		return
	}
	if r == nil || r.server != id {
		if !p.Data {
			return
		}
		t.Open(now, key, id)
		r = t.flows[key]
	}
	r.seen = now
	switch {
	case r.state == opening:
		t.answered(r)
		r.state, r.ack, r.base, r.since = busy, p.Ack, p.Ack, now
	case r.state == busy && p.Ack != r.ack:
		t.release(r)
		t.observeTime(now, now-r.since, p.Route)
		r.since = now
	}
	if r.state == idle && p.Data {
		t.observeAnswer(now, t.server(id), p, p.Ack-r.base)
		t.server(id).busy++
		r.state, r.base, r.since, r.stuck = busy, p.Ack, now, false
	}
	r.ack, r.route = p.Ack, p.Route
}

// finish ends a flow whose caller has ended it.
func (t *Tracker) finish(now time.Duration, key uint64, r *record, p Packet) {
	t.answered(r)
	if r.state != opening {
		t.observeAnswer(now, t.server(r.server), p, p.Ack-r.base)
	}
	t.end(key, r)
}

// Pick returns the index of the candidate that a new flow should go to, or -1
// without candidates. Among equals the flow's key decides, so that instances
// with the same view choose alike. avoid names a backend server that has just
// failed the flow; 0 names none.
func (t *Tracker) Pick(now time.Duration, zone string, candidates []Candidate, key, avoid uint64) int {
	best, bestCost, bestRank := -1, 0.0, uint64(0)
	n := len(candidates)
	first := uint64(0)
	if n > maxCompared {
		first = key % uint64(n)
	}
	for step := range min(n, maxCompared) {
		i := int((first + uint64(step)) % uint64(n))
		c := &candidates[i]
		cost := t.cost(now, zone, c)
		if c.ID == avoid {
			cost += suspectCost
		}
		rank := place.Mix(key, c.ID)
		if best < 0 || cost < bestCost || cost == bestCost && rank > bestRank {
			best, bestCost, bestRank = i, cost, rank
		}
	}
	return best
}

func (t *Tracker) cost(now time.Duration, zone string, c *Candidate) float64 {
	slots := float64(max(c.Slots, 1))
	cost := 1 / slots
	if s := t.servers[c.ID]; s != nil {
		cost = float64(s.busy+1) / slots
		if now < s.suspectTo {
			cost += suspectCost
		}
		if now < s.ejectedTo {
			cost += ejectedCost
		}
	}
	if c.Zone != zone {
		cost += crossZoneCost
	}
	if now < c.WarmupEnds {
		cost += warmingCost
	}
	if c.Silent {
		cost += silentCost
	}
	return cost
}

// InFlight returns the requests that a backend server is believed to work on.
func (t *Tracker) InFlight(id uint64) int {
	if s := t.servers[id]; s != nil {
		return s.busy
	}
	return 0
}

// Flows returns the number of flows that are tracked.
func (t *Tracker) Flows() int { return len(t.flows) }

// Expire ends what has lasted too long to be believed, and forgets flows that
// have been silent for idleTimeout.
func (t *Tracker) Expire(now, idleTimeout time.Duration) {
	for key, r := range t.flows {
		switch {
		case r.state == opening && now-r.since > reservation, now-r.seen > idleTimeout:
			t.end(key, r)
		case r.state == busy && now-r.since > maxBusy:
			t.release(r)
		}
	}
	maps.DeleteFunc(t.routes, func(_ netip.AddrPort, a *routeAnswers) bool { return now-a.seen > routeMemory })
	for id, s := range t.servers {
		if s.flows == 0 && s.missed == 0 && now >= s.ejectedTo {
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

// answered notes that the flow's backend server has answered.
func (t *Tracker) answered(r *record) {
	s := t.server(r.server)
	s.missed, s.suspectTo, s.penalty = 0, 0, 0
}

// release frees the slot of a request that was answered.
func (t *Tracker) release(r *record) {
	t.server(r.server).busy--
	r.state = idle
}

func (t *Tracker) end(key uint64, r *record) {
	if r.state != idle {
		t.release(r)
	}
	t.server(r.server).flows--
	delete(t.flows, key)
}
