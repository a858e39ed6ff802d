package load

import (
	"math"
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
	ID  uint64        `cbor:"1,keyasint"`
	For time.Duration `cbor:"2,keyasint"`
}

const (
	// failureHalfLife is the time after which a failed request counts half. A backend server of today's deployments gives some ten answers in it.
	failureHalfLife = time.Second
	// minFailures is how many failed requests eject a backend server: more than one
	// that is full for a moment sends before its callers go elsewhere.
	minFailures = 3
	// outlierRatio is how many times the usual number it must be.
	// Where many backend servers fail alike, avoiding some helps nobody.
	outlierRatio = 3
)

// Outliers decides from the failed requests that many instances have seen which backend
// servers are to be ejected. One instance of a fleet sees too few answers of each
// backend server to tell soon. The zero value works.
type Outliers struct {
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
// servers is the number of backend servers that take new flows.
func (o *Outliers) Report(now time.Duration, servers int, seen []Failures) []Ejection {
	if o.servers == nil {
		o.servers = map[uint64]*suspect{}
	}
	var ejections []Ejection
	for _, report := range seen {
		s := o.servers[report.ID]
		if s == nil {
			s = &suspect{}
			o.servers[report.ID] = s
		}
		count := s.failures.add(now, float64(report.Count))
		usual := o.total.add(now, float64(report.Count)) / float64(max(servers, 1))
		if now < s.ejectedTo || count < minFailures || count < outlierRatio*usual {
			continue
		}
		ejections = append(ejections, Ejection{ID: report.ID, For: s.eject(now)})
	}
	return ejections
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
func (o *Outliers) Expire(now time.Duration) {
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
