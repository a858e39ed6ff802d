package load

import (
	"math"
	"time"
)

const (
	// speedHalfLife is the time after which an observed latency counts half for the speed
	// of a backend server. An instance of a large fleet gets an answer of each only every
	// few seconds.
	speedHalfLife = 30 * time.Second
	// minSpeedAnswers is the number of answers, decayed, below which a speed is not used:
	// the latencies of single requests vary by a factor of three.
	minSpeedAnswers = 8
	// minSpeed and maxSpeed bound the learned speed. The fastest gets at most four times
	// as much as the slowest.
	minSpeed, maxSpeed = 0.5, 2
	// evenSpeed is the difference from the average that is no evidence of another speed.
	evenSpeed = 0.15
	// speedDeviations is three standard deviations of one latency relative to the usual one:
	// a smaller difference from the average may be chance.
	speedDeviations = 1.8
	// maxSlowness bounds one latency, in usual ones, so that a few long requests do not
	// make a backend server slow.
	maxSlowness = 4
	// minSlowness is the latency in usual ones below which an answer was not served but
	// rejected: a backend server that fails must not seem fast.
	minSlowness = 0.2
)

// slowness is a decaying average of latencies relative to the usual one of the route.
type slowness struct {
	sum, count float64
	at         time.Duration
}

func (s *slowness) add(now time.Duration, v, count float64) {
	f := math.Exp2(-float64(now-s.at) / float64(speedHalfLife))
	s.sum, s.count, s.at = s.sum*f+v, s.count*f+count, now
}

// observeSpeed records the latency of a backend server, in usual latencies.
func (t *Tracker) observeSpeed(now time.Duration, id uint64, sv *service, ratio float64) {
	if ratio < minSlowness {
		return
	}
	if t.speeds == nil {
		t.speeds = map[uint64]*slowness{}
	}
	s := t.speeds[id]
	if s == nil {
		s = &slowness{at: now}
		t.speeds[id] = s
	}
	ratio = min(ratio, maxSlowness)
	s.add(now, ratio, 1)
	sv.slowness.add(now, ratio, 1)
}

// speed returns the learned speed of a backend server relative to its service's average,
// or 1 while too little is known. sv is nil where speeds are not learned.
func (t *Tracker) speed(now time.Duration, id uint64, sv *service) float64 {
	s := t.speeds[id]
	if s == nil || sv == nil || s.count < minSpeedAnswers || sv.slowness.count == 0 {
		return 1
	}
	v := sv.slowness.sum / sv.slowness.count * s.count / s.sum
	if math.Abs(v-1) < max(evenSpeed, speedDeviations/math.Sqrt(s.count)) {
		return 1
	}
	if s.count*math.Exp2(-float64(now-s.at)/float64(speedHalfLife)) < minSpeedAnswers {
		return 1
	}
	return min(max(v, minSpeed), maxSpeed)
}

// weightedRank returns a rank that is the highest of several with a probability in
// proportion to their speeds.
func weightedRank(hash uint64, speed float64) uint64 {
	const scale = 1 << 53
	u := float64(hash>>11) / scale
	if speed != 1 {
		u = math.Pow(u, 1/speed)
	}
	return uint64(u * scale)
}
