package load

import (
	"maps"
	"math"
	"net/netip"
	"slices"
	"time"
)

// An instance does not see answers, but it sees how much of each its caller
// acknowledges. A backend server that answers with errors sends much less than the
// others do on the same route, and mostly sooner, so that it would also look like
// the least busy one.
const (
	// answersKept is how many of the latest answers of a route are remembered, and
	// minAnswers how many are needed to judge one.
	answersKept = 32
	minAnswers  = 8
	// An answer is short when the logarithm of its size is shortDeviations below the
	// median of its route. Sizes of answers to alike requests spread about as a log-normal
	// distribution, where that is one answer in 700.
	shortDeviations = 3
	// minDeviation is the least deviation that is believed, and makes an answer of a
	// route with equal answers short at two fifths of their size. Errors carry a head
	// and few words.
	minDeviation = 0.3
	// upperQuartile is the distance of the upper quartile from the median, in
	// deviations of a normal distribution. The lower one may hold errors.
	upperQuartile = 0.674
	// maxShortShare is the share of a route's answers above which short ones are no
	// errors: their sizes differ by nature.
	maxShortShare = 0.4
	// A request is stuck when its first bytes of answer take stuckTimes as long as
	// usual on the route, and longer than minStuck, within which a lost packet of it
	// is sent again twice.
	stuckTimes = 10
	minStuck   = 700 * time.Millisecond
	// timeGain is the weight of the latest answer in the usual time.
	timeGain = 1.0 / 32
	// maxScanGap is the time between two looks for stuck requests above which the
	// process has stood still, and the requests with it.
	maxScanGap = 400 * time.Millisecond
	// routeMemory is how long a route without answers is remembered.
	routeMemory = 10 * time.Minute
)

// routeAnswers is what is known of the answers of one route.
type routeAnswers struct {
	seen time.Duration // when the latest answer was seen
	// sizes are logarithms of the latest sizes in bytes, a ring of count answers so
	// far.
	sizes [answersKept]float64
	count int
	took  time.Duration // usual time to the first bytes of an answer
}

// isShort takes in the size of an answer and reports whether it is short.
func (a *routeAnswers) isShort(bytes float64) bool {
	size := math.Log(bytes)
	short := a.count >= minAnswers && size < a.shortest()
	a.sizes[a.count%answersKept] = size
	a.count++
	return short
}

// shortest returns the size below which an answer is short. Median and upper quartile
// stay about the same while up to a third of the answers are errors.
func (a *routeAnswers) shortest() float64 {
	sorted := a.sizes
	known := sorted[:min(a.count, answersKept)]
	slices.Sort(known)
	median, quartile := known[len(known)/2], known[len(known)*3/4]
	limit := median - shortDeviations*max((quartile-median)/upperQuartile, minDeviation)
	if short, _ := slices.BinarySearch(known, limit); float64(short) > maxShortShare*float64(len(known)) {
		return math.Inf(-1)
	}
	return limit
}

// observeAnswer takes in the size of an answer that a backend server has sent on a route.
// Without any bytes there was no answer, which says nothing here.
func (t *Tracker) observeAnswer(now time.Duration, s *server, p Packet, bytes uint32) {
	if bytes == 0 || bytes > maxAnswer {
		return
	}
	a := t.route(p.Route)
	a.seen = now
	if a.isShort(float64(bytes)) {
		t.countFailure(s.id)
	}
}

// route returns what is known of the answers of a route.
func (t *Tracker) route(route netip.AddrPort) *routeAnswers {
	if t.routes == nil {
		t.routes = map[netip.AddrPort]*routeAnswers{}
	}
	a := t.routes[route]
	if a == nil {
		a = &routeAnswers{}
		t.routes[route] = a
	}
	return a
}

// observeTime takes in how long a request of a route has waited for its answer.
func (t *Tracker) observeTime(now, took time.Duration, route netip.AddrPort) {
	a := t.route(route)
	a.seen = now
	if a.took == 0 {
		a.took = took
	}
	a.took += time.Duration(timeGain * float64(took-a.took))
	if t.OnAnswer != nil {
		t.OnAnswer(took)
	}
}

// DetectStuckRequests notes the requests that are stuck, each once, for TakeFailures. It has to be
// called every 100 ms or so. Callers of a backend server that hangs, or resets what
// it gets, show nothing else.
func (t *Tracker) DetectStuckRequests(now time.Duration) {
	gap := now - t.scannedAt
	t.scannedAt = now
	for _, r := range t.flows {
		if r.state != busy || r.stuck {
			continue
		}
		if gap > maxScanGap {
			r.since += gap
		}
		usual := time.Duration(0)
		if a := t.routes[r.route]; a != nil {
			usual = a.took
		}
		if now-r.since > max(minStuck, stuckTimes*usual) {
			r.stuck = true
			t.countFailure(r.server)
		}
	}
}

// countFailure notes a failed request for TakeFailures.
func (t *Tracker) countFailure(id uint64) {
	if t.failures == nil {
		t.failures = map[uint64]int{}
	}
	t.failures[id]++
}

// TakeFailures returns the failed requests that were seen since its last call, in the
// order of the backend servers' identifiers, for Outliers.
func (t *Tracker) TakeFailures() []Failures {
	if len(t.failures) == 0 {
		return nil
	}
	var seen []Failures
	for _, id := range slices.Sorted(maps.Keys(t.failures)) {
		seen = append(seen, Failures{ID: id, Count: t.failures[id]})
	}
	clear(t.failures)
	return seen
}

// Eject carries out an ejection that was decided elsewhere.
func (t *Tracker) Eject(now time.Duration, e Ejection) {
	t.server(e.ID).ejectedTo = now + e.Period
}

// maxAnswer is above any answer; a larger difference of two acknowledgements is the
// start of a flow whose first packets went elsewhere.
const maxAnswer = 1 << 30
