package load

import (
	"math"
	"net/netip"
	"time"
)

// An instance does not see answers, but it sees how much of each its caller
// acknowledges. A backend server that answers with errors sends much less than the
// others do on the same route, and mostly sooner, so that it would also look like
// the least busy one.
const (
	// shortShare is the part of a route's usual answer below which an answer
	// counts as short. Errors carry a head and few words.
	shortShare = 0.5
	// minAnswers is how many answers of a route are seen before any is judged.
	minAnswers = 8
	// A larger answer raises the usual size by a part of the difference, a smaller
	// one lowers it by less, so that errors do not become usual.
	usualRise = 0.25
	usualFall = 1.0 / 64
	// rateGain is the weight of the latest answer in a route's share of short ones,
	// and minRate the least share that is believed.
	rateGain = 1.0 / 64
	minRate  = 0.02
	// chance is how unlikely a row of short answers must be, if all backend servers
	// of the route were alike, for the backend server to be avoided.
	chance = 0.05
	// erring is how long a backend server is avoided for short answers. It is
	// several times what it takes to see a few answers of it; it doubles up to
	// maxErring while the first answer after it is short too.
	erring    = 2 * time.Second
	maxErring = 16 * time.Second
	// routeMemory is how long a route without answers is remembered.
	routeMemory = 10 * time.Minute
)

// routeAnswers is what is known of the answers of one route.
type routeAnswers struct {
	count int
	seen  time.Duration // when the latest answer was seen
	usual float64       // size in bytes
	rate  float64       // share of short answers from backend servers that are not avoided
}

// isShort takes in the size of an answer and reports whether it is short.
func (a *routeAnswers) isShort(bytes float64) bool {
	short := a.count >= minAnswers && bytes < shortShare*a.usual
	a.count++
	if bytes > a.usual {
		a.usual += usualRise * (bytes - a.usual)
	} else {
		a.usual += usualFall * (bytes - a.usual)
	}
	return short
}

// note takes in whether an answer was short.
func (a *routeAnswers) note(short bool) {
	value := 0.0
	if short {
		value = 1
	}
	a.rate += rateGain * (value - a.rate)
}

// isOutlier reports whether a row of short answers is too long for chance.
func (a *routeAnswers) isOutlier(row int) bool {
	return math.Pow(max(a.rate, minRate), float64(row)) < chance
}

// judge takes in the size of an answer that a backend server has sent on a route.
// Without any bytes there was no answer, which says nothing here.
func (t *Tracker) judge(now time.Duration, s *server, p Packet, bytes uint32) {
	if bytes == 0 || bytes > maxAnswer {
		return
	}
	if t.routes == nil {
		t.routes = map[netip.AddrPort]*routeAnswers{}
	}
	a := t.routes[p.Route]
	if a == nil {
		a = &routeAnswers{}
		t.routes[p.Route] = a
	}
	a.seen = now
	short := a.isShort(float64(bytes))
	if now >= s.erringTo {
		a.note(short)
	}
	if !short {
		s.shortRow = 0
		s.erring /= 2
		return
	}
	s.shortRow++
	if now >= s.erringTo && a.isOutlier(s.shortRow) {
		s.erring = min(max(2*s.erring, erring), maxErring)
		s.erringTo = now + s.erring
	}
}

// maxAnswer is above any answer; a larger difference of two acknowledgements is the
// start of a flow whose first packets went elsewhere.
const maxAnswer = 1 << 30
