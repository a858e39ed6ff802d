// Package spill decides for each new flow whether it leaves the availability zone of
// its entry instance. For operators, traffic between zones is slower and costs money,
// but the backend servers of a zone are sometimes too few.
//
// An instance of a large fleet sees only its own share of a zone's load: one or two
// requests in flight over 80 slots. Its counts do not show that the zone is full, but
// the latency of its requests does. A Service therefore keeps, for each zone, the time
// by which requests exceed the lowest usual latency of their route at home. From it
// follow two quantities:
//
//   - The share of new flows that leave regardless of the counts. It increases in
//     small steps while requests at home wait longer than those elsewhere, including
//     the trip and the price of the bytes, and decreases in steps otherwise.
//   - The cost of crossing for all other flows, which leave when each backend server at
//     home has more requests in flight than elsewhere by that cost. It increases with
//     the waits in the other zone, so that nothing is sent to a zone that is full too.
//
// Of two zones at most one sends a share to the other: the one in which requests wait
// longer. A Service that has learned nothing adds DefaultCrossing to other zones.
//
// # Usage
//
//	s.Answered(now, home, zone, route, latency) // a request was answered
//	s.Unanswered(now, zone)                     // an opening packet was repeated
//	i := s.Choose(now, home, options, key)      // the zone of a new flow
//	state := s.State()                          // for metrics and the log
//
// A Service is not safe for concurrent use. Times are readings of one monotonic clock.
package spill

import (
	"maps"
	"math"
	"net/netip"
	"slices"
	"time"

	"boragepost/core/place"
)

const (
	// DefaultCrossing is the cost of leaving the zone while nothing is known of the
	// other zones, in units of a backend server's full load. A flow then leaves once
	// each backend server at home has a request in each slot as seen by this instance.
	DefaultCrossing = 0.6
	// fullWait is the wait in another zone, in usual latencies, above which a flow hardly
	// finds a free slot there, and waitFactor the increase of the cost of leaving per
	// usual latency beyond. A wait of 2 means full queues: no flow gains by leaving.
	fullWait   = 1.2
	waitFactor = 10
	// maxCrossing bounds the cost of leaving: above it no flow leaves for its counts.
	maxCrossing = 10

	// halfLife is the time after which a measured wait counts half. An instance of a
	// large fleet has about 30 answers a second, of which one half-life must contain
	// enough for an average.
	halfLife = 600 * time.Millisecond
	// memory is the time after which a wait in a zone that gets no flows counts half. It
	// is several times as long as queues of full backend servers last.
	memory = 5 * time.Second
	// minWeight is the number of answers, decayed, below which an average is unknown.
	minWeight = 3
	// usualWindow is the number of answers whose upper quartile is one candidate for the
	// lowest usual latency of a route. The lower ones may be rejections of servers that
	// are full.
	usualWindow = 32
	// firstWindow is the number of answers for the first estimate. It is small, because
	// an instance may start when its zone is becoming full.
	firstWindow = 8
	// usualRetention is the time in which the lowest usual latency would rise by a
	// factor of e, so that a route that becomes slower for good is learned anew.
	usualRetention = 5 * time.Minute
	// quick is the fraction of the usual latency below which an answer says nothing about
	// waiting: it was rejected or took no work.
	quick = 0.2
	// quickTime is the time after which answers of a route that are all quick are taken for
	// its usual ones. A server that only returns errors answers quickly too; within this
	// time it is removed or repaired in most cases.
	quickTime = time.Minute
	// maxIdle bounds the time between two answers for which the lowest usual latency and
	// the lowest waits rise: a time without flows is no evidence that they have changed.
	maxIdle = 10 * time.Second
	// failedExcess is what a rejected request counts for, in usual latencies. It is about
	// the excess at a backend server whose queue is full.
	failedExcess = 2
	// margin is the gain in usual latencies above which the share rises. Averages over a
	// half-life vary by less.
	margin = 0.4
	// maxRoutes bounds the routes of a service whose usual latency is kept. Further ones are
	// not used until one of these has had no answer for usualRetention.
	maxRoutes = 256

	// maxRise and maxFall are the largest changes of the share in one second. Rising
	// takes longer than it takes to measure the effect (latency and a half-life).
	maxRise = 0.3
	maxFall = 0.3
	// maxShare leaves enough flows at home to measure the wait there.
	maxShare = 0.95
	// fullGain is the gain, in usual latencies, at which the share changes by the
	// largest step.
	fullGain = 1.0
	// maxGap bounds the time that one update accounts for: a pause of the process is no
	// evidence of a gain.
	maxGap = 100 * time.Millisecond

	// cutThreshold is the number of consecutive opening packets without an answer, with
	// no answer from the zone in between, after which nothing but probes is sent to it.
	// A caller repeats its packet twice at most, so more than one has failed.
	cutThreshold = 4
	// minProbe is the time between two probes of a zone that is cut off; it doubles up to
	// maxProbe. A probe delays one caller by 200 ms.
	minProbe = time.Second
	maxProbe = 8 * time.Second
	// minAwayProbe is the time between two flows that leave to measure the wait elsewhere
	// while requests wait at home. It doubles up to maxAwayProbe while the share stays 0.
	minAwayProbe = 500 * time.Millisecond
	maxAwayProbe = 8 * time.Second
	// comparable is the difference in cost up to which flows that leave are spread over
	// zones. Ejected, silent and suspect backend servers cost more.
	comparable = 1.0
)

// Option is what one zone offers to a new flow.
type Option struct {
	Zone string
	// Slots is the number of slots of its eligible backend servers.
	Slots int
	// Cost is that of its best backend server, in units of a full load.
	Cost float64
	// Rank decides among zones of equal cost.
	Rank uint64
}

// Reason tells why flows leave or stay.
type Reason string

// The reasons of a decision.
const (
	Learning Reason = "learning" // too few answers; crossing has the default cost
	Home     Reason = "home"     // staying is better, or as good
	Waits    Reason = "waits"    // requests at home wait longer
	NoServer Reason = "noServer" // no eligible backend server at home
	CutOff   Reason = "cutOff"   // nothing is answered at home
)

// State describes the decision in force.
type State struct {
	// Share is the fraction of new flows that leave the zone, apart from those that
	// leave for the counts of requests in flight.
	Share  float64
	Reason Reason
	// HomeWait and AwayWait are above the lowest usual latency of a route at home. The
	// latter contains the trip.
	HomeWait, AwayWait time.Duration
	// Price is that of the bytes of one request.
	Price time.Duration
	// Gain is HomeWait less AwayWait and Price.
	Gain time.Duration
	// Left and Flows count the flows that left and all.
	Left, Flows uint64
}

// Service decides for one service. The zero value is ready to use.
type Service struct {
	// Price is how much waiting is accepted to keep one request in the zone.
	Price time.Duration

	state State
	// probeAt is the earliest time of the next flow that leaves to measure, probeAfter
	// the time since the one before.
	probeAt, probeAfter time.Duration
	updatedAt           time.Duration
	zones               []*zone
	routes              map[netip.AddrPort]*route
	usual               mean // of the usual latencies of the answered requests, in seconds
}

// zone holds what is known of one zone.
type zone struct {
	name       string
	excess     mean    // over the lowest usual latency at home, in seconds
	floor      float64 // lowest average excess
	floorAt    time.Duration
	latest     float64 // average excess when it was last known
	latestAt   time.Duration
	known      bool // floor is set
	unanswered int  // consecutive repeated opening packets
	probeAfter time.Duration
	probeAt    time.Duration
}

// route holds the lowest usual latency of a route at home.
type route struct {
	home, away window
	usual      float64       // in seconds; 0 while unknown
	age        time.Duration // since usual was updated, without idle time
	seen       time.Duration // time of the latest answer
}

// window holds the latest latencies of a route, in seconds.
type window struct {
	latest [usualWindow]float64
	count  int
	// quick is the number of latest answers that were all quick, quickSince the time of
	// the first of them.
	quick      int
	quickSince time.Duration
}

// mean is an average whose terms decay with halfLife.
type mean struct {
	sum, weight float64
	at          time.Duration
}

func (m *mean) decay(now time.Duration) {
	if now > m.at {
		f := math.Exp2(-float64(now-m.at) / float64(halfLife))
		m.sum, m.weight, m.at = m.sum*f, m.weight*f, now
	}
}

func (m *mean) add(now time.Duration, v float64) {
	m.decay(now)
	m.sum, m.weight = m.sum+v, m.weight+1
}

// value returns the average and whether enough answers support it.
func (m *mean) value(now time.Duration) (float64, bool) {
	m.decay(now)
	if m.weight < minWeight {
		return 0, false
	}
	return m.sum / m.weight, true
}

func (s *Service) zone(name string) *zone {
	for _, z := range s.zones {
		if z.name == name {
			return z
		}
	}
	z := &zone{name: name}
	s.zones = append(s.zones, z)
	return z
}

// Answered records the latency of an answered request: the time from the flow's
// opening packet, or from a later request, to the acknowledgement of response data.
func (s *Service) Answered(now time.Duration, home, zone string, address netip.AddrPort, latency time.Duration) {
	s.Reachable(zone)
	r := s.route(now, address)
	if r == nil {
		return
	}
	r.age += min(now-r.seen, maxIdle)
	r.seen = now
	w := &r.home
	if zone != home {
		w = &r.away
	}
	isQuick := latency.Seconds() < quick*r.usual
	if !w.counts(now, isQuick) {
		return
	}
	if quartile, ok := w.add(latency.Seconds()); ok && r.learn(quartile) {
		s.forgetWaits()
	}
	if r.usual == 0 || isQuick {
		return
	}
	s.usual.add(now, r.usual)
	z := s.zone(zone)
	z.excess.add(now, r.excess(latency.Seconds()))
	if v, ok := z.excess.value(now); ok && z.excess.weight >= 2*minWeight {
		if z.known {
			z.floor += (v - z.floor) * (float64(min(now-z.floorAt, maxIdle)) / float64(usualRetention))
		}
		if !z.known || v < z.floor {
			z.known, z.floor = true, v
		}
		z.floorAt = now
	}
}

// route returns the state of a route, creating it if necessary, or nil if there are too
// many.
func (s *Service) route(now time.Duration, address netip.AddrPort) *route {
	if s.routes == nil {
		s.routes = map[netip.AddrPort]*route{}
	}
	r := s.routes[address]
	if r != nil {
		return r
	}
	if len(s.routes) >= maxRoutes {
		maps.DeleteFunc(s.routes, func(_ netip.AddrPort, r *route) bool { return now-r.seen > usualRetention })
	}
	if len(s.routes) >= maxRoutes {
		return nil
	}
	r = &route{seen: now}
	s.routes[address] = r
	return r
}

// forgetWaits drops the waits of all zones, which were measured against a usual latency
// that was too high: the lowest one would make all later waits seem long.
func (s *Service) forgetWaits() {
	for _, z := range s.zones {
		z.excess, z.floor, z.known, z.latest = mean{}, 0, false, 0
	}
}

// Usual returns the lowest usual latency of a route at home, or 0 while it is unknown.
func (s *Service) Usual(address netip.AddrPort) time.Duration {
	if r := s.routes[address]; r != nil {
		return seconds(r.usual)
	}
	return 0
}

// excess returns by how much a latency exceeds the usual one, in seconds. Beyond twice
// the usual it grows with the logarithm, so that the few requests that take very long do
// not decide.
func (r *route) excess(seconds float64) float64 {
	if ratio := seconds / r.usual; ratio > 2 {
		return r.usual * (1 + math.Log(ratio/2))
	}
	return seconds - r.usual
}

// counts reports whether an answer is used, which is quick or not. Quick answers are used
// if all others have been quick for quickTime.
func (w *window) counts(now time.Duration, quick bool) bool {
	switch {
	case !quick:
		w.quick = 0
		return true
	case w.quick == 0:
		w.quickSince = now
	}
	w.quick++
	return w.quick > usualWindow && now-w.quickSince > quickTime
}

// add adds a latency and returns the upper quartile of the latest ones, and whether they
// are a full window.
func (w *window) add(seconds float64) (float64, bool) {
	w.latest[w.count%usualWindow] = seconds
	w.count++
	if w.count != firstWindow && w.count != 2*firstWindow && w.count%usualWindow != 0 {
		return 0, false
	}
	n := min(w.count, usualWindow)
	sorted := w.latest
	slices.Sort(sorted[:n])
	return sorted[n*3/4], true
}

// remembered returns the latest known average excess. It decays while there are too few
// answers: otherwise flows would return to a full zone as soon as the answers of those that
// found it full are forgotten.
func (z *zone) remembered(now time.Duration) float64 {
	if v, ok := z.excess.value(now); ok {
		z.latest, z.latestAt = v, now
		return v
	}
	return z.latest * math.Exp2(-float64(now-z.latestAt)/float64(memory))
}

// learn updates the lowest usual latency, and reports whether it has fallen to less than
// half: it was learned while servers were cold or the zone was full. One in another zone
// contains the trip, so that the usual one at home is no higher.
func (r *route) learn(quartile float64) bool {
	former := r.usual
	r.usual *= math.Exp(float64(r.age) / float64(usualRetention))
	r.age = 0
	if r.usual == 0 || quartile < r.usual {
		r.usual = quartile
	}
	return r.usual < former/2
}

// Reachable records that a backend server of a zone has answered.
func (s *Service) Reachable(zone string) {
	z := s.zone(zone)
	z.unanswered, z.probeAfter = 0, 0
}

// Unanswered records that an opening packet to a zone was repeated by its caller.
func (s *Service) Unanswered(now time.Duration, zone string) {
	z := s.zone(zone)
	z.unanswered++
	if z.unanswered == cutThreshold {
		z.probeAfter = minProbe
		z.probeAt = now + z.probeAfter
	}
}

// Failed records that a request of a zone was answered with an error. A backend server
// that is full rejects requests sooner than it answers others.
func (s *Service) Failed(now time.Duration, zone string) {
	if usual, ok := s.usual.value(now); ok {
		s.zone(zone).excess.add(now, failedExcess*usual)
	}
}

// cut reports whether a zone answers nothing and is not to be probed now.
func (z *zone) cut(now time.Duration) bool { return z.unanswered >= cutThreshold && now < z.probeAt }

// probed records that a flow was sent to a zone that is cut off.
func (z *zone) probed(now time.Duration) {
	if z.unanswered >= cutThreshold {
		z.probeAfter = min(2*z.probeAfter, maxProbe)
		z.probeAt = now + z.probeAfter
	}
}

// Choose returns the index of the option for a new flow, or -1 if there is none.
func (s *Service) Choose(now time.Duration, home string, options []Option, key uint64) int {
	at := slices.IndexFunc(options, func(o Option) bool { return o.Zone == home })
	atHome := at
	if at >= 0 && s.zone(home).cut(now) && len(options) > 1 {
		atHome = -1
	}
	others := slices.ContainsFunc(options, func(o Option) bool { return o.Zone != home && !s.zone(o.Zone).cut(now) })
	s.update(now, home, at >= 0, atHome >= 0, others)
	chosen := s.choose(now, atHome, options, key)
	if chosen < 0 {
		chosen = at
	}
	if chosen < 0 {
		return -1
	}
	s.state.Flows++
	if options[chosen].Zone != home {
		s.state.Left++
	}
	s.zone(options[chosen].Zone).probed(now)
	return chosen
}

// choose returns the option for a flow, or -1. home is the index of the home zone, or
// -1 if it takes no flows.
func (s *Service) choose(now time.Duration, home int, options []Option, key uint64) int {
	if home < 0 {
		if i := s.spread(now, home, options, key, math.Inf(1)); i >= 0 {
			return i
		}
	} else if unit(place.Mix(key, leaveSalt)) < s.state.Share || s.probesAway(now, options[home].Zone) {
		if i := s.spread(now, home, options, key, options[home].Cost+comparable); i >= 0 {
			return i
		}
	}
	best, bestCost := -1, 0.0
	for i, o := range options {
		cost := o.Cost
		if i != home {
			z := s.zone(o.Zone)
			if home >= 0 && z.cut(now) {
				continue
			}
			cost += s.crossing(now, z, options, home)
		}
		if best < 0 || cost < bestCost || cost == bestCost && o.Rank > options[best].Rank {
			best, bestCost = i, cost
		}
	}
	return best
}

// probesAway reports whether a flow leaves to measure the wait elsewhere.
func (s *Service) probesAway(now time.Duration, home string) bool {
	usual, ok := s.usual.value(now)
	h := s.zone(home)
	if s.state.Share > 0 {
		s.probeAfter = 0
		return false
	}
	if !ok || !h.known || now < s.probeAt {
		return false
	}
	wait, _ := h.excess.value(now)
	if wait-h.floor < (margin+s.Price.Seconds()/usual)*usual {
		return false
	}
	s.probeAfter = min(max(2*s.probeAfter, minAwayProbe), maxAwayProbe)
	s.probeAt = now + s.probeAfter
	return true
}

// crossing returns the cost of sending a flow to another zone.
func (s *Service) crossing(now time.Duration, z *zone, options []Option, home int) float64 {
	usual, ok := s.usual.value(now)
	if !ok || home < 0 {
		return DefaultCrossing
	}
	h := s.zone(options[home].Zone)
	if !h.known {
		return DefaultCrossing
	}
	excess := z.remembered(now)
	price := s.Price.Seconds() / usual
	return DefaultCrossing + min(price+waitFactor*max(0, (excess-h.floor)/usual-fullWait), maxCrossing)
}

// spread returns the option for a flow that leaves: zones get flows in proportion to
// their slots, less where requests wait. It returns -1 if no zone costs at most limit.
func (s *Service) spread(now time.Duration, home int, options []Option, key uint64, limit float64) int {
	lowest := math.Inf(1)
	for i, o := range options {
		if i != home && !s.zone(o.Zone).cut(now) {
			lowest = min(lowest, o.Cost)
		}
	}
	limit = min(limit, lowest+comparable)
	usual, usualKnown := s.usual.value(now)
	weight := func(i int) float64 {
		o := options[i]
		z := s.zone(o.Zone)
		if i == home || o.Cost > limit || z.cut(now) {
			return 0
		}
		excess, ok := z.excess.value(now)
		if !ok || !usualKnown {
			return float64(max(o.Slots, 1))
		}
		return float64(max(o.Slots, 1)) / (1 + max(excess, 0)/usual)
	}
	total := 0.0
	for i := range options {
		total += weight(i)
	}
	if total == 0 {
		return -1
	}
	point := unit(place.Mix(key, spreadSalt)) * total
	last := -1
	for i := range options {
		w := weight(i)
		if w == 0 {
			continue
		}
		last = i
		if point < w {
			break
		}
		point -= w
	}
	return last
}

// update changes the share by the time that has passed. others reports whether another zone
// takes flows.
func (s *Service) update(now time.Duration, home string, servers, reachable, others bool) {
	dt := min(now-s.updatedAt, maxGap).Seconds()
	s.updatedAt = now
	st := &s.state
	st.Price = s.Price
	usual, learned := s.usual.value(now)
	if !servers || !reachable {
		st.Reason, st.HomeWait, st.AwayWait, st.Gain = NoServer, 0, 0, 0
		if servers {
			st.Reason = CutOff
		}
		if others {
			// The flows return in steps once the zone takes them again.
			st.Share = min(st.Share+maxRise*dt, 1)
		} else {
			st.Share = max(st.Share-maxFall*dt, 0)
		}
		return
	}
	h := s.zone(home)
	wait, ok := h.excess.value(now)
	if !ok || !learned || !h.known {
		st.Reason, st.HomeWait, st.AwayWait, st.Gain = Learning, 0, 0, 0
		st.Share = max(st.Share-maxFall*dt, 0)
		return
	}
	if !others {
		st.Reason, st.HomeWait, st.AwayWait, st.Gain = Home, seconds(wait-h.floor), 0, 0
		st.Share = max(st.Share-maxFall*dt, 0)
		return
	}
	away, gain := s.awayWait(now, h, usual), 0.0
	gain = wait - away - s.Price.Seconds()
	st.HomeWait, st.AwayWait, st.Gain = seconds(wait-h.floor), seconds(away-h.floor), seconds(gain)
	if step := (gain/usual - margin) / fullGain; step > 0 {
		st.Share = min(st.Share+min(step, 1)*maxRise*dt, max(st.Share, maxShare))
	} else {
		st.Share = max(st.Share+max(step, -1)*maxFall*dt, 0)
	}
	st.Reason = Home
	if st.Share > 0 {
		st.Reason = Waits
	}
}

// awayWait returns the average excess over the other zones that answer. An assumption
// counts as one answer: that these zones are idle, at the trip that DefaultCrossing
// stands for.
func (s *Service) awayWait(now time.Duration, h *zone, usual float64) float64 {
	sum, weight := h.floor+DefaultCrossing*usual, 1.0
	for _, z := range s.zones {
		if z == h || z.cut(now) {
			continue
		}
		z.excess.decay(now)
		sum, weight = sum+z.excess.sum, weight+z.excess.weight
	}
	return sum / weight
}

// State returns the decision in force.
func (s *Service) State() State { return s.state }

// The salts make the two choices for one flow independent of each other and of the
// choice of a backend server.
const (
	leaveSalt  = 0x6c65617665
	spreadSalt = 0x737072656164
)

// unit maps a hash to [0, 1).
func unit(h uint64) float64 { return float64(h>>11) / (1 << 53) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
