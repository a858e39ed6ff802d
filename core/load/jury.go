package load

import (
	"math"
	"time"
)

// Shorts counts the short answers of one backend server that an instance has seen
// since it last told of them.
type Shorts struct {
	ID    uint64 `cbor:"1,keyasint"`
	Count int    `cbor:"2,keyasint"`
}

// Avoid is a verdict: for some time new flows should go elsewhere.
type Avoid struct {
	ID  uint64        `cbor:"1,keyasint"`
	For time.Duration `cbor:"2,keyasint"`
}

const (
	// evidenceHalfLife is the time after which half of what was seen no longer
	// counts. A backend server of today's deployments gives some ten answers in it.
	evidenceHalfLife = time.Second
	// minEvidence is how many short answers convict: more than a backend server
	// that is full for a moment sends before its callers go elsewhere.
	minEvidence = 3
	// outlierRatio is how many times the usual number of short answers convict.
	// Where many backend servers fail alike, avoiding some helps nobody.
	outlierRatio = 3
)

// Jury decides from the short answers that many instances have seen which backend
// servers are to be avoided. One instance of a fleet sees too few answers of each
// backend server to tell soon. The zero value works.
type Jury struct {
	servers map[uint64]*evidence
	total   decaying
}

// evidence is what is known against one backend server.
type evidence struct {
	shorts  decaying
	avoidTo time.Duration
	length  time.Duration // of the latest verdict
}

// Hear takes in what an instance has seen, and returns the verdicts that follow.
// servers is the number of backend servers that take new flows.
func (j *Jury) Hear(now time.Duration, servers int, seen []Shorts) []Avoid {
	if j.servers == nil {
		j.servers = map[uint64]*evidence{}
	}
	var verdicts []Avoid
	for _, s := range seen {
		e := j.servers[s.ID]
		if e == nil {
			e = &evidence{}
			j.servers[s.ID] = e
		}
		count := e.shorts.add(now, float64(s.Count))
		usual := j.total.add(now, float64(s.Count)) / float64(max(servers, 1))
		if now < e.avoidTo || count < minEvidence || count < outlierRatio*usual {
			continue
		}
		verdicts = append(verdicts, Avoid{ID: s.ID, For: e.convict(now)})
	}
	return verdicts
}

// convict returns for how long a backend server is avoided: longer each time that it
// fails again soon after.
func (e *evidence) convict(now time.Duration) time.Duration {
	if now-e.avoidTo > maxErring {
		e.length = 0
	}
	e.length = min(max(2*e.length, erring), maxErring)
	e.avoidTo = now + e.length
	return e.length
}

// Expire forgets the backend servers that nothing was heard against for long.
func (j *Jury) Expire(now time.Duration) {
	for id, e := range j.servers {
		if now-max(e.shorts.at, e.avoidTo) > 2*maxErring {
			delete(j.servers, id)
		}
	}
}

// decaying is a sum whose parts lose half of their weight in evidenceHalfLife.
type decaying struct {
	sum float64
	at  time.Duration
}

// add adds to the sum and returns it.
func (d *decaying) add(now time.Duration, value float64) float64 {
	age := float64(now-d.at) / float64(evidenceHalfLife)
	d.sum = d.sum*math.Exp2(-age) + value
	d.at = now
	return d.sum
}
