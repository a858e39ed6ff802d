package load

import (
	"math"
	"net/netip"
	"time"

	"boragepost/core/spill"
)

// service holds the decision of one service on leaving the availability zone, and the
// size of its requests.
type service struct {
	spill        spill.Service
	pickedAt     time.Duration
	slowness     slowness    // of all its backend servers
	bytes, count decayingSum // of packets, and of responses
}

// price returns the price of the bytes of one request at a price per kilobyte.
func (s *service) price(now, perKilobyte time.Duration) time.Duration {
	count := s.count.add(now, 0)
	if perKilobyte == 0 || count < 1 {
		return 0
	}
	return time.Duration(float64(perKilobyte) * s.bytes.add(now, 0) / count / 1000)
}

// addBytes counts a packet of a request.
func (t *Tracker) addBytes(now time.Duration, id uint64, bytes int) {
	if s := t.servers[id]; s != nil && s.service != nil {
		s.service.bytes.add(now, float64(bytes))
	}
}

// LeavingByService returns, by service, the decisions on leaving the availability zone.
func (t *Tracker) LeavingByService() map[string]spill.State {
	states := make(map[string]spill.State, len(t.spills))
	for name, s := range t.spills {
		states[name] = s.spill.State()
	}
	return states
}

// pickAtFixedCost returns the candidate of the best option, or -1 if there is none.
func (t *Tracker) pickAtFixedCost(home string) int {
	best, bestCost := -1, 0.0
	for i, o := range t.options {
		cost := o.Cost
		if o.Zone != home {
			cost += spill.DefaultCrossing
		}
		if best < 0 || cost < bestCost || cost == bestCost && o.Rank > t.options[best].Rank {
			best, bestCost = i, cost
		}
	}
	if best < 0 {
		return -1
	}
	return t.indexes[best]
}

// service returns the state of a service, creating it if necessary.
func (t *Tracker) service(name string) *service {
	sv := t.spills[name]
	if sv == nil {
		if t.spills == nil {
			t.spills = map[string]*service{}
		}
		sv = &service{}
		t.spills[name] = sv
	}
	return sv
}

// requestLatency returns the time since the latest request of a flow. That of the first
// request begins with the opening packet, so that it contains the trips of the opening. It
// is 0 if the process was paused meanwhile: it did not see when the response came.
func (t *Tracker) requestLatency(now time.Duration, f *flow) time.Duration {
	start := f.since
	if f.opened > 0 {
		start = f.opened
	}
	// The first packets after a pause are handled before it is detected.
	pausedNow := t.scannedAt > 0 && now-t.scannedAt > maxScanGap
	if pausedNow || t.resumedAt > 0 && start <= t.resumedAt {
		f.opened = 0
		return 0
	}
	return now - start
}

// observeWait records the latency of a response whose first bytes the caller has
// acknowledged, if they are enough to tell that it is no error. Errors of a backend
// server that is full come sooner than other responses. Otherwise observeSize records
// it.
func (t *Tracker) observeWait(now time.Duration, f *flow, p Packet) {
	bytes := p.Ack - f.requestAck
	if bytes > 0 && bytes <= maxResponseBytes && !t.route(p.Route).isShort(math.Log(float64(bytes))) {
		t.addWait(now, f, p.Route)
	}
}

// addWait passes the latency of a flow's latest response to its service, once.
func (t *Tracker) addWait(now time.Duration, f *flow, route netip.AddrPort) {
	if f.latency == 0 {
		return
	}
	if s := t.servers[f.server]; s != nil && s.service != nil {
		s.service.count.add(now, 1)
		s.service.spill.Answered(now, t.home, s.zone, route, f.latency)
		if usual := s.service.spill.Usual(route); usual > 0 && s.zone == t.home {
			t.observeSpeed(now, f.server, s.service, float64(f.latency)/float64(usual))
		}
	}
	f.latency, f.opened = 0, 0
}
