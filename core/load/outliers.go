package load

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Failures counts the requests that one backend server has failed, as an instance has
// seen since it last told of them.
type Failures struct {
	ID    uint64 `cbor:"1,keyasint"`
	Count int    `cbor:"2,keyasint"`
}

// Ejection keeps new flows away from a backend server for some time.
type Ejection struct {
	ID     uint64        `cbor:"1,keyasint"`
	Period time.Duration `cbor:"2,keyasint"`
}

const (
	// failureHalfLife is the time after which a failed request counts half. A backend server of today's deployments gives some ten answers in it.
	failureHalfLife = time.Second
	// minFailures is how many failed requests eject a backend server: more than one
	// that is full for a moment sends before its callers go elsewhere.
	minFailures = 3
	// outlierRatio times the usual number comes on top.
	outlierRatio = 2
	// maxSpread is the share of the backend servers that may have failed something
	// lately for any to be ejected. Where more fail they are overloaded, and each one that
	// is avoided overloads the others more.
	maxSpread = 0.5
	// minEjection is how long a backend server is avoided: several times what it takes
	// to see a few requests of it fail. It doubles up to maxEjection while it fails again
	// soon after.
	minEjection = 2 * time.Second
	maxEjection = 16 * time.Second
)

// OutlierDetector decides from the failed requests that many instances have seen which backend
// servers are to be ejected. One instance of a fleet sees too few answers of each
// backend server to tell soon. The zero value works.
type OutlierDetector struct {
	servers map[uint64]*suspect
	total   decaying
}

// suspect is a backend server of which failed requests were seen.
type suspect struct {
	failures  decaying
	ejectedTo time.Duration
	length    time.Duration // of the latest ejection
}

// Report takes in what an instance has seen, and returns the ejections that follow.
// One For no time ends an earlier one. servers is the number of backend servers that
// take new flows.
func (o *OutlierDetector) Report(now time.Duration, servers int, seen []Failures) []Ejection {
	if o.servers == nil {
		o.servers = map[uint64]*suspect{}
	}
	for _, report := range seen {
		s := o.servers[report.ID]
		if s == nil {
			s = &suspect{}
			o.servers[report.ID] = s
		}
		s.failures.add(now, float64(report.Count))
		o.total.add(now, float64(report.Count))
	}
	if o.spread(now) > maxSpread*float64(servers) {
		return o.endAll(now)
	}
	usual := o.total.add(now, 0) / float64(max(servers, 1))
	var ejections []Ejection
	for _, report := range seen {
		s := o.servers[report.ID]
		if now >= s.ejectedTo && s.failures.add(now, 0) >= minFailures+outlierRatio*usual {
			ejections = append(ejections, Ejection{ID: report.ID, Period: s.eject(now)})
		}
	}
	return ejections
}

// spread returns the number of backend servers that have failed something lately.
func (o *OutlierDetector) spread(now time.Duration) float64 {
	n := 0.0
	for _, s := range o.servers {
		if s.failures.add(now, 0) >= 1 {
			n++
		}
	}
	return n
}

// endAll ends all ejections.
func (o *OutlierDetector) endAll(now time.Duration) []Ejection {
	var ended []Ejection
	for _, id := range slices.Sorted(maps.Keys(o.servers)) {
		if s := o.servers[id]; now < s.ejectedTo {
			s.ejectedTo, s.length = now, 0
			ended = append(ended, Ejection{ID: id})
		}
	}
	return ended
}

// eject returns for how long a backend server is ejected: longer each time that it
// fails again soon after.
func (s *suspect) eject(now time.Duration) time.Duration {
	if now-s.ejectedTo > maxEjection {
		s.length = 0
	}
	s.length = min(max(2*s.length, minEjection), maxEjection)
	s.ejectedTo = now + s.length
	return s.length
}

// Expire forgets the backend servers that nothing was heard against for long.
func (o *OutlierDetector) Expire(now time.Duration) {
	for id, s := range o.servers {
		if now-max(s.failures.at, s.ejectedTo) > 2*maxEjection {
			delete(o.servers, id)
		}
	}
}

// decaying is a sum whose parts lose half of their weight in failureHalfLife.
type decaying struct {
	sum float64
	at  time.Duration
}

// add adds to the sum and returns it.
func (d *decaying) add(now time.Duration, value float64) float64 {
	age := float64(now-d.at) / float64(failureHalfLife)
	d.sum = d.sum*math.Exp2(-age) + value
	d.at = now
	return d.sum
}
