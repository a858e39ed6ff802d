package load

import (
	"maps"
	"math"
	"net/netip"
	"slices"
	"time"
)

// An instance does not see responses, but it sees how many bytes of each its caller
// acknowledges. A backend server that responds with errors sends much less than the
// others do on the same route, and mostly sooner, so that it would also look like
// the least loaded one.
const (
	// responseWindow is the number of a route's latest responses whose sizes are kept,
	// and minResponses the number needed to classify one as short.
	responseWindow = 32
	minResponses   = 8
	// A response is short if the logarithm of its size is shortDeviations standard
	// deviations below the median of its route. The sizes of responses to similar
	// requests are about log-normally distributed, where that holds for one response
	// in 700.
	shortDeviations = 3
	// minDeviation is the lower bound of the estimated deviation. On a route with
	// responses of equal size it makes a response short at two fifths of that size.
	// Error responses have headers and little text.
	minDeviation = 0.3
	// upperQuartile is the distance of the upper quartile from the median of a normal
	// distribution in standard deviations. The lower quartile may contain errors and
	// is not used.
	upperQuartile = 0.674
	// maxShortFraction is the fraction of a route's responses above which short ones
	// do not count as errors: the sizes of such a route vary by nature.
	maxShortFraction = 0.4
	// A request is stuck if the first bytes of its response take stuckFactor times the
	// route's average and longer than minStuck, within which a lost packet of it is
	// retransmitted twice.
	stuckFactor = 10
	minStuck    = 700 * time.Millisecond
	// The network has distributed the flows anew if, within about a second, at least
	// minArrivals flows have come from other instances, and arrivalFraction of those
	// that this instance tracks.
	minArrivals     = 5
	arrivalFraction = 0.25
	// latencyGain is the weight of the latest response in the average latency.
	latencyGain = 1.0 / 32
	// maxScanGap is the time between two scans for stuck requests above which the
	// process was paused. It neither forwarded packets nor observed responses
	// meanwhile, so the pause does not count as waiting time of a request.
	maxScanGap = 400 * time.Millisecond
	// routeRetention is how long the statistics of a route without responses are kept.
	routeRetention = 10 * time.Minute
)

// routeStats holds the response statistics of one route.
type routeStats struct {
	lastSeen time.Duration // time of the latest response
	// sizes is a ring buffer of the logarithms of the latest response sizes in bytes;
	// count is the number of responses so far.
	sizes   [responseWindow]float64
	count   int
	short   float64       // logarithm of the size below which a response is short
	latency time.Duration // moving average of the time to the first bytes of a response
}

// recordSize records the size of a response and reports whether it is short.
func (r *routeStats) recordSize(bytes float64) bool {
	size := math.Log(bytes)
	short := r.isShort(size)
	r.sizes[r.count%responseWindow] = size
	r.count++
	r.short = r.shortThreshold()
	return short
}

// isShort reports whether a response of this logarithm of a size is short.
func (r *routeStats) isShort(size float64) bool { return r.count >= minResponses && size < r.short }

// shortThreshold returns the logarithm of the size below which a response is short.
// Median and upper quartile change little while up to a third of the responses are
// errors.
func (r *routeStats) shortThreshold() float64 {
	sorted := r.sizes
	window := sorted[:min(r.count, responseWindow)]
	slices.Sort(window)
	median, quartile := window[len(window)/2], window[len(window)*3/4]
	limit := median - shortDeviations*max((quartile-median)/upperQuartile, minDeviation)
	if short, _ := slices.BinarySearch(window, limit); float64(short) > maxShortFraction*float64(len(window)) {
		return math.Inf(-1)
	}
	return limit
}

// observeSize records the size of a flow's latest response when the caller sends its next
// request or ends the flow. No bytes mean that there was no response, which is not
// counted here.
func (t *Tracker) observeSize(now time.Duration, f *flow, p Packet) {
	bytes := p.Ack - f.requestAck
	if bytes == 0 || bytes > maxResponseBytes {
		return
	}
	r := t.route(p.Route)
	r.lastSeen = now
	if r.recordSize(float64(bytes)) {
		t.countFailure(f.server)
		if s := t.servers[f.server]; s != nil && s.service != nil {
			s.service.spill.Failed(now, s.zone)
		}
		return
	}
	t.addWait(now, f, p.Route)
}

// route returns the statistics of a route, creating them if necessary.
func (t *Tracker) route(route netip.AddrPort) *routeStats {
	if t.routes == nil {
		t.routes = map[netip.AddrPort]*routeStats{}
	}
	r := t.routes[route]
	if r == nil {
		r = &routeStats{}
		t.routes[route] = r
	}
	return r
}

// observeLatency records the time from a request to the first bytes of its response.
func (t *Tracker) observeLatency(now, latency time.Duration, route netip.AddrPort) {
	r := t.route(route)
	r.lastSeen = now
	if r.latency == 0 {
		r.latency = latency
	}
	r.latency += time.Duration(latencyGain * float64(latency-r.latency))
	if t.OnResponse != nil {
		t.OnResponse(latency)
	}
}

// recordArrival records a flow that began at another instance.
func (t *Tracker) recordArrival(now time.Duration) {
	if t.arrivals.add(now, 1) >= max(minArrivals, arrivalFraction*float64(len(t.flows))) {
		t.reroutedAt = now
	}
}

// DetectStuckRequests counts the requests that are stuck, each once, for
// TakeFailures. It must be called about every 100 ms. The callers' packets give no
// other sign of a backend server that hangs or resets its flows. Requests before the
// network distributed the flows anew are not counted: their responses may be
// acknowledged through other instances.
func (t *Tracker) DetectStuckRequests(now time.Duration) {
	gap := now - t.scannedAt
	if t.scannedAt > 0 && gap > maxScanGap {
		t.resumedAt = now
	}
	t.scannedAt = now
	for _, f := range t.flows {
		if f.state != awaitingResponse || f.stuck || t.reroutedAt > 0 && f.since <= t.reroutedAt {
			continue
		}
		if gap > maxScanGap {
			f.since += gap
		}
		average := time.Duration(0)
		if r := t.routes[f.route]; r != nil {
			average = r.latency
		}
		if now-f.since > max(minStuck, stuckFactor*average) {
			f.stuck = true
			t.countFailure(f.server)
		}
	}
}

// countFailure counts a failed request for TakeFailures.
func (t *Tracker) countFailure(id uint64) {
	if t.failures == nil {
		t.failures = map[uint64]int{}
	}
	t.failures[id]++
}

// TakeFailures returns the failed requests counted since its last call, ordered by
// backend server, for OutlierDetector.
func (t *Tracker) TakeFailures() []Failures {
	if len(t.failures) == 0 {
		return nil
	}
	var out []Failures
	for _, id := range slices.Sorted(maps.Keys(t.failures)) {
		out = append(out, Failures{ID: id, Count: t.failures[id], Incarnation: t.starts[id]})
	}
	clear(t.failures)
	return out
}

// Eject applies an ejection decided by OutlierDetector, unless the backend server has
// started again since.
func (t *Tracker) Eject(now time.Duration, e Ejection) {
	if e.Incarnation < t.starts[e.ID] {
		return
	}
	t.server(e.ID).ejectedUntil = now + e.Period
}

// maxResponseBytes is above the size of any response. A larger difference of two
// acknowledgements belongs to a flow whose first packets went to another instance.
const maxResponseBytes = 1 << 30
