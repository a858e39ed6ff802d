package load

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Failures is the number of failed requests of one backend server that an instance
// has counted since its previous report.
type Failures struct {
	ID    uint64 `cbor:"1,keyasint"`
	Count int    `cbor:"2,keyasint"`
	// Incarnation is the start of the backend server that failed them.
	Incarnation uint64 `cbor:"3,keyasint,omitempty"`
}

// Ejection keeps new flows away from a backend server for Period. A zero Period ends
// an earlier ejection.
type Ejection struct {
	ID     uint64        `cbor:"1,keyasint"`
	Period time.Duration `cbor:"2,keyasint"`
	// Incarnation is the start of the backend server that is ejected.
	Incarnation uint64 `cbor:"3,keyasint,omitempty"`
}

const (
	// failureHalfLife is the time after which a failed request counts half. A backend
	// server of present deployments gives about ten responses in it.
	failureHalfLife = time.Second
	// A backend server is ejected at minFailures failed requests plus outlierRatio
	// times the average over all backend servers. minFailures is more than a backend
	// server that is full for a moment rejects before its callers go elsewhere.
	minFailures  = 3
	outlierRatio = 2
	// maxFailingFraction is the fraction of the backend servers with recent failures
	// above which none is ejected: failures of that many mean overload, and each
	// ejection would increase the load of the others.
	maxFailingFraction = 0.5
	// minEjection is the period of a first ejection, several times as long as it takes
	// to observe a few failed requests. The period doubles up to maxEjection while the
	// backend server fails again soon after.
	minEjection = 2 * time.Second
	maxEjection = 16 * time.Second
)

// OutlierDetector decides from the failed requests that many instances report which
// backend servers are ejected. One instance of a large fleet observes too few
// responses of each backend server to decide soon enough. The zero value is ready to
// use.
type OutlierDetector struct {
	servers map[uint64]*outlierStats
	total   decayingSum
}

// outlierStats holds the failures and ejections of one start of a backend server.
type outlierStats struct {
	incarnation  uint64
	failures     decayingSum
	ejectedUntil time.Duration
	period       time.Duration // period of the latest ejection
}

// Report records the failures that an instance has counted and returns the resulting
// ejections. servers is the number of backend servers that accept new flows.
func (o *OutlierDetector) Report(now time.Duration, servers int, reports []Failures) []Ejection {
	if o.servers == nil {
		o.servers = map[uint64]*outlierStats{}
	}
	for _, report := range reports {
		s := o.servers[report.ID]
		if s == nil || s.incarnation < report.Incarnation {
			s = &outlierStats{incarnation: report.Incarnation}
			o.servers[report.ID] = s
		}
		if report.Incarnation < s.incarnation {
			continue // the backend server has started again since
		}
		s.failures.add(now, float64(report.Count))
		o.total.add(now, float64(report.Count))
	}
	if o.failingServers(now) > maxFailingFraction*float64(servers) {
		return o.endEjections(now)
	}
	average := o.total.add(now, 0) / float64(max(servers, 1))
	var ejections []Ejection
	for _, report := range reports {
		s := o.servers[report.ID]
		if now >= s.ejectedUntil && s.failures.add(now, 0) >= minFailures+outlierRatio*average {
			ejections = append(ejections, Ejection{ID: report.ID, Period: s.eject(now), Incarnation: s.incarnation})
		}
	}
	return ejections
}

// failingServers returns the number of backend servers with recent failures.
func (o *OutlierDetector) failingServers(now time.Duration) float64 {
	n := 0.0
	for _, s := range o.servers {
		if s.failures.add(now, 0) >= 1 {
			n++
		}
	}
	return n
}

// endEjections ends all ejections.
func (o *OutlierDetector) endEjections(now time.Duration) []Ejection {
	var ended []Ejection
	for _, id := range slices.Sorted(maps.Keys(o.servers)) {
		if s := o.servers[id]; now < s.ejectedUntil {
			s.ejectedUntil, s.period = now, 0
			ended = append(ended, Ejection{ID: id, Incarnation: s.incarnation})
		}
	}
	return ended
}

// eject ejects a backend server and returns the period, which grows each time that
// the backend server fails again soon after.
func (s *outlierStats) eject(now time.Duration) time.Duration {
	if now-s.ejectedUntil > maxEjection {
		s.period = 0
	}
	s.period = min(max(2*s.period, minEjection), maxEjection)
	s.ejectedUntil = now + s.period
	return s.period
}

// Expire drops the backend servers without a recent failure or ejection.
func (o *OutlierDetector) Expire(now time.Duration) {
	for id, s := range o.servers {
		if now-max(s.failures.at, s.ejectedUntil) > 2*maxEjection {
			delete(o.servers, id)
		}
	}
}

// decayingSum is a sum whose terms decay exponentially with failureHalfLife.
type decayingSum struct {
	sum float64
	at  time.Duration
}

// add adds a value and returns the decayed sum.
func (d *decayingSum) add(now time.Duration, value float64) float64 {
	age := float64(now-d.at) / float64(failureHalfLife)
	d.sum = d.sum*math.Exp2(-age) + value
	d.at = now
	return d.sum
}
